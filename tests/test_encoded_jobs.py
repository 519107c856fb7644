"""Submissions, responses to users and stored records, as literal samples.

A renamed or moved field could change what users and the store receive, and a new version could no
longer read the records of the previous one. `tests/test_encoded_forms.py` describes the samples.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from random import Random
from typing import Any

import aiohttp
import msgspec
import pytest

from crosscleat.adapters.http_server import HttpServer
from crosscleat.core.election.election import Election
from crosscleat.core.election.upgrade import Upgrade
from crosscleat.core.model.effects import Outbox, Response
from crosscleat.core.model.ids import JobRef, MachineId, Member, Seconds, Version, WallTime
from crosscleat.core.model.job_spec import JobSpec, Priority, Shape
from crosscleat.core.model.store_calls import (
    Commit,
    Committed,
    Item,
    Put,
    Read,
    ReadResult,
    Scan,
    ScanResult,
)
from crosscleat.core.state.decommission_records import DecommissionRecords
from crosscleat.core.state.job_records import ended_record, live_record, spec_of
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.keys import ended_key, live_key
from crosscleat.core.state.placement_records import PlacementRecords
from crosscleat.wire import users
from crosscleat.wire.workers import HeartbeatReply

from .effects import NoElectionExpected, only, only_response
from .encoded import LIVE_RECORD, SPEC, STORED_SPEC, SUBMISSION, pack, unpack
from .user_requests import user_requests
from .world import job

NOW = Seconds(100.0)
replace = msgspec.structs.replace

# Users


def test_every_field_of_a_submission_is_read() -> None:
    assert users.parse_submission(pack(SUBMISSION)) == SPEC


def test_the_optional_fields_of_a_submission_may_be_missing() -> None:
    body = {name: SUBMISSION[name] for name in SUBMISSION if name not in ("rigs", "yard", "due_s")}
    assert users.parse_submission(pack(body)) == replace(
        SPEC, types=None, zone=None, deadline_s=None
    )


@pytest.mark.parametrize(
    "name", [name for name in SUBMISSION if name not in ("rigs", "yard", "due_s")]
)
def test_every_other_field_of_a_submission_is_required(name: str) -> None:
    body = {other: SUBMISSION[other] for other in SUBMISSION if other != name}
    ref = None if name == "ref" else JobRef("job-000412")

    assert users.parse_submission(pack(body)) == users.MalformedSubmission(ref)


FLAGS = [
    ("together", 12, replace(SPEC, one_zone=True)),
    ("apart", 13, replace(SPEC, spread=True)),
    ("loaners", 14, replace(SPEC, spot=True)),
]
URGENCIES = [
    ("low", 0, Priority.LOW),
    ("standard", 1, Priority.NORMAL),
    ("urgent", 2, Priority.HIGH),
    ("prod", 3, Priority.PRODUCTION),
]
SHAPES = [
    ("array", 0, Shape.ARRAY),
    ("ensemble", 1, Shape.GANG),
    ("service", 2, Shape.SERVICE),
]


def assert_read_and_stored(
    change: dict[str, Any], position: int, value: Any, spec: JobSpec
) -> None:
    """Check that the changed body yields `spec`, stored with `value` at `position`."""
    stored = [*STORED_SPEC]
    stored[position] = value
    assert users.parse_submission(pack({**SUBMISSION, **change})) == spec
    assert unpack(pack(spec)) == stored
    assert spec_of({"spec": stored}) == spec


@pytest.mark.parametrize(("name", "position", "spec"), FLAGS)
def test_each_flag_of_a_submission_has_its_stored_position(
    name: str, position: int, spec: JobSpec
) -> None:
    assert_read_and_stored({name: True}, position, True, spec)


@pytest.mark.parametrize(("wire_value", "number", "priority"), URGENCIES)
def test_each_urgency_has_its_stored_number(
    wire_value: str, number: int, priority: Priority
) -> None:
    assert priority.value == number
    assert len(Priority) == 4
    assert_read_and_stored({"urgency": wire_value}, 3, number, replace(SPEC, priority=priority))


@pytest.mark.parametrize(("wire_value", "number", "shape"), SHAPES)
def test_each_shape_has_its_stored_number(wire_value: str, number: int, shape: Shape) -> None:
    assert shape.value == number
    assert len(Shape) == 3
    assert_read_and_stored({"shape": wire_value}, 19, number, replace(SPEC, shape=shape))


REF = JobRef("job-000412")


def test_an_accepted_job_is_queued() -> None:
    requests, outbox = user_requests()
    requests.submit(1, job("job-000412"), WallTime(1.0))
    commit = only(outbox, Commit)
    assert commit.conditions == (("live/job-000412", 0), ("ended/job-000412", 0))
    assert [write.key for write in commit.writes] == ["live/job-000412"]

    commit.continuation(Committed(Version(8)))
    response = only_response(outbox)
    assert (response.status, response.body) == (201, {"ref": "job-000412", "status": "queued"})


LIVE_JOB_RESPONSES = [
    (False, (0, 0), {"ref": "job-000412", "status": "queued", "done": 0, "running": 0}),
    (False, (1, 2), {"ref": "job-000412", "status": "running", "done": 1, "running": 2}),
    (True, (1, 2), {"ref": "job-000412", "status": "aborted", "done": 1, "running": 2}),
]
ENDED_JOB_RESPONSES = [
    (False, {"ref": "job-000412", "status": "done", "done": 3, "running": 0}),
    (True, {"ref": "job-000412", "status": "aborted", "done": 0, "running": 0}),
]


@pytest.mark.parametrize(("cancelled", "progress", "body"), LIVE_JOB_RESPONSES)
def test_the_status_of_a_live_job_is_returned(
    cancelled: bool, progress: tuple[int, int], body: Any
) -> None:
    requests, outbox = user_requests()
    requests.update_progress({"job-000412": progress})
    requests.query(1, REF)
    scan = only(outbox, Scan)
    assert scan.prefix == "live/"

    scan.continuation(
        ScanResult(
            [Item("live/job-000412", {**LIVE_RECORD, "aborted": cancelled}, Version(7))], Version(8)
        )
    )
    response = only_response(outbox)
    assert (response.status, response.body) == (200, body)


@pytest.mark.parametrize(("cancelled", "body"), ENDED_JOB_RESPONSES)
def test_the_status_of_an_ended_job_is_returned(cancelled: bool, body: Any) -> None:
    requests, outbox = user_requests()
    requests.query(1, REF)
    only(outbox, Scan).continuation(ScanResult([], Version(8)))
    read = only(outbox, Read)
    assert read.key == "ended/job-000412"

    item = Item("ended/job-000412", {"tasks": 3, "aborted": cancelled}, Version(7))
    read.continuation(ReadResult(item, Version(8)))
    response = only_response(outbox)
    assert (response.status, response.body) == (200, body)


def test_a_cancellation_is_stored_and_confirmed() -> None:
    requests, outbox = user_requests()
    requests.cancel(1, REF)
    read = only(outbox, Read)
    assert read.key == "live/job-000412"

    read.continuation(ReadResult(Item("live/job-000412", LIVE_RECORD, Version(7)), Version(8)))
    commit = only(outbox, Commit)
    assert commit.conditions == (("live/job-000412", 7),)

    (write,) = commit.writes
    assert isinstance(write, Put)
    assert write.key == "live/job-000412"
    assert unpack(pack(write.value)) == {**LIVE_RECORD, "aborted": True}

    commit.continuation(Committed(Version(9)))
    assert only_response(outbox).body == {"ref": "job-000412", "status": "aborted"}


class _FixedResponseService:
    """Returns the same response to every user."""

    def __init__(self, response: Response) -> None:
        self.response = response

    async def handle_request(self, _make_input: Callable[[int], Any]) -> Response | None:
        return self.response

    async def receive_heartbeat(self, body: bytes) -> HeartbeatReply:
        return HeartbeatReply(200, body)

    def ready(self) -> bool:
        return True


async def _get(fixed_response: Response) -> tuple[int, bytes]:
    with socket.socket() as temporary_socket:
        temporary_socket.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{temporary_socket.getsockname()[1]}"
    await HttpServer(_FixedResponseService(fixed_response), 10).start(address)
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/work/job-000412") as response,
    ):
        return response.status, await response.read()


def test_responses_to_users_are_msgpack() -> None:
    body = {"ref": "job-1", "status": "running", "done": 1, "running": 2}
    status, written = asyncio.run(_get(Response(1, 200, body)))

    assert status == 200
    assert written.hex() == (
        "84a3726566a56a6f622d31a6737461747573a772756e6e696e67a4646f6e6501a772756e6e696e6702"
    )


# Stored records


def test_a_live_record_is_stored_under_its_key() -> None:
    assert live_key(REF) == "live/job-000412"
    record = live_record(SPEC, WallTime(1700000000.25), cancelled=False)
    assert unpack(pack(record)) == LIVE_RECORD
    assert spec_of(LIVE_RECORD) == SPEC


def test_an_ended_record_is_stored_under_its_key() -> None:
    assert ended_key(REF) == "ended/job-000412"
    assert ended_record(tasks=3, cancelled=True) == {"tasks": 3, "aborted": True}


def test_records_of_deletions_are_read_and_written() -> None:
    decommission_records = DecommissionRecords(16.0)
    stored = {"machines": ["m-1", "m-2"]}
    assert decommission_records.load([Item("drop/4", stored, Version(2))]) == ["m-1", "m-2"]

    record, _ = decommission_records.record_with_capacity()
    extended = {"machines": ["m-1", "m-2", "m-3"]}
    assert record.put_with([MachineId("m-3")]) == Put("drop/4", extended)


SHORT_CHUNKS = {
    "jobs": [
        ["job-000412", 0, [[0, 1]], [[1, 4], [2, 5, "m-000231", 6]]],
        ["job-000412", 1, [[42, 44], [45, 46]], [[46, 7, "m-000007", 8]]],
    ],
    "span": 42,
}


def test_short_chunks_are_read_and_written_with_their_length() -> None:
    loaded_job = Job(replace(SPEC, tasks=47), Version(3), NOW, 42)
    records = PlacementRecords(value_kb=2.0, txn_ops=5, shorten_chunks=True)
    records.load([Item("work/7", SHORT_CHUNKS, Version(5))], {REF: loaded_job})
    (record,) = records
    assert (record.key, record.value()) == ("work/7", SHORT_CHUNKS)
    assert [index for index in range(47) if loaded_job.done[index]] == [0, 42, 43, 45]
    assert loaded_job.chunks[0].attempts == {1: 4, 2: 5}

    placement = loaded_job.chunks[1].placed[46]
    assert (placement.attempt, placement.machine, placement.agent_epoch) == (7, "m-000007", 8)


def test_a_controller_writes_its_format_version() -> None:
    outbox = Outbox()
    Upgrade(Member("c0"), (Member("c0"),), outbox, lambda: None).start()
    commit = only(outbox, Commit)
    assert commit.conditions == (("format/c0", 0),)
    assert commit.writes == (Put("format/c0", {"version": 2}),)

    commit.continuation(Committed(Version(8)))
    assert only(outbox, Scan).prefix == "format/"


def test_the_leader_is_looked_up_under_its_key() -> None:
    outbox = Outbox()
    Election(
        Member("c1"), "0123456789abcdef", outbox, Random(1), lambda: NOW, NoElectionExpected()
    ).start()

    assert only(outbox, Read).key == "leader"
