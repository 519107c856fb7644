"""Names, tags and positions on the wire, as literal samples.

A field that is renamed or moved in the source could change what is encoded, and other services and
other versions of the controller could no longer read it. `tests/samples_394dfe6.py` holds samples
that the version in production wrote; this file covers what they leave out. Values of the same type
differ within each sample, so that two swapped fields are noticed. The expected objects are built by
keyword: when a field is renamed, its keyword changes here too, but the samples never change.
"""

from __future__ import annotations

import dataclasses
from typing import Any, get_args

import msgspec
import pytest

from crosscleat.core.model import heartbeats
from crosscleat.core.model.cloud import ListedMachine, MachineType
from crosscleat.core.model.cloud_calls import Rent
from crosscleat.core.model.heartbeats import Heartbeat, TaskStatus
from crosscleat.core.model.ids import (
    AgentEpoch,
    Attempt,
    HeartbeatId,
    Image,
    JobRef,
    LeaseId,
    MachineId,
    TaskId,
    Team,
    Token,
    TypeName,
    Version,
    Zone,
)
from crosscleat.core.model.job_spec import Priority
from crosscleat.core.model.shards import JobView, MachineView, ShardProposal, ShardView
from crosscleat.core.model.store_calls import Commit, Item, Put, Remove
from crosscleat.core.model.worker_calls import ClearOrder, Order, StartOrder, StopOrder
from crosscleat.wire import cloud, peers, state, workers

from .encoded import SPEC, STORED_SPEC, pack, unpack

replace = msgspec.structs.replace

# Workers

HEARTBEAT_BODY: dict[str, Any] = {
    "box": "m-000007", "addr": "10.0.0.1:9000", "rig": "small", "yard": "north", "loaners": True,
    "shift": 3, "tally": 17, "baton": 41, "recall_s": 110.0,
    "picks": [{"pick": "job-1/4", "try": 2, "status": "exited", "cause": "stopped", "saved": True}],
}  # fmt: skip
HEARTBEAT = Heartbeat(
    machine=MachineId("m-000007"),
    address="10.0.0.1:9000",
    type=TypeName("small"),
    zone=Zone("north"),
    spot=True,
    heartbeat_id=HeartbeatId(agent_epoch=AgentEpoch(3), sequence=17),
    token=41,
    notice_s=110.0,
    tasks=(
        TaskStatus(
            task=TaskId(job=JobRef("job-1"), number=4),
            attempt=Attempt(2),
            state="exited",
            cause="stopped",
            saved=True,
        ),
    ),
)
STATES = [
    ("pulling", heartbeats.FETCHING),
    ("running", heartbeats.RUNNING),
    ("waiting", heartbeats.WAITING),
    ("flushing", heartbeats.SAVING),
    ("exited", heartbeats.EXITED),
]
CAUSES = [
    ("done", heartbeats.DONE),
    ("stopped", heartbeats.STOPPED),
    ("error", heartbeats.ERROR),
    ("no_room", heartbeats.NO_CAPACITY),
    ("mates_gone", heartbeats.GANG_MEMBER_LOST),
    ("incomplete", heartbeats.INCOMPLETE),
    ("busy", "busy"),
    ("no_such", "no_such"),
]


def test_every_field_of_a_heartbeat_is_read() -> None:
    assert workers.parse_heartbeat(pack(HEARTBEAT_BODY)) == HEARTBEAT


def test_the_optional_fields_of_a_heartbeat_may_be_missing() -> None:
    pick = {"pick": "job-1/4", "try": 2, "status": "exited"}
    body = {name: HEARTBEAT_BODY[name] for name in HEARTBEAT_BODY if name != "recall_s"}
    task = replace(HEARTBEAT.tasks[0], cause=None, saved=False)
    heartbeat = replace(HEARTBEAT, notice_s=None, tasks=(task,))

    assert workers.parse_heartbeat(pack({**body, "picks": [pick]})) == heartbeat


@pytest.mark.parametrize("name", [name for name in HEARTBEAT_BODY if name != "recall_s"])
def test_every_other_field_of_a_heartbeat_is_required(name: str) -> None:
    body = {other: HEARTBEAT_BODY[other] for other in HEARTBEAT_BODY if other != name}
    assert workers.parse_heartbeat(pack(body)) is None


def heartbeat_with(status: str, cause: str | None) -> Heartbeat:
    pick = {"pick": "job-1/4", "try": 2, "status": status, "cause": cause}
    heartbeat = workers.parse_heartbeat(pack({**HEARTBEAT_BODY, "picks": [pick]}))
    assert heartbeat is not None
    return heartbeat


@pytest.mark.parametrize(("wire_value", "expected"), STATES)
def test_each_state_of_a_task_is_decoded(wire_value: str, expected: str) -> None:
    heartbeat = heartbeat_with(wire_value, None)
    assert heartbeat.tasks[0].state == expected
    assert not heartbeats.unknown_states_and_causes(heartbeat)
    assert len(workers.STATES) == len(heartbeats.STATES) == 5


@pytest.mark.parametrize(("wire_value", "expected"), CAUSES)
def test_each_cause_of_an_exit_is_decoded(wire_value: str, expected: str) -> None:
    heartbeat = heartbeat_with("exited", wire_value)
    assert heartbeat.tasks[0].cause == expected
    assert not heartbeats.unknown_states_and_causes(heartbeat)
    assert len(heartbeats.CAUSES) == 8


ORDERS: tuple[Order, ...] = (
    StartOrder(task="job-1/0", attempt=2),
    StopOrder(task="job-1/1", attempt=3, grace_s=10.0),
    ClearOrder(task="job-1/2", attempt=4),
)
ENCODED_ORDERS = (
    "a66f72646572739383a476657262a57374617274a47069636ba76a6f622d312f30a37472790284a476657262a473"
    "746f70a47069636ba76a6f622d312f31a374727903ab77696e645f646f776e5f73cb402400000000000083a47665"
    "7262a5636c656172a47069636ba76a6f622d312f32a374727904"
)


def test_the_response_to_a_heartbeat_is_written() -> None:
    written = workers.encode_heartbeat_response(Token(41), ORDERS).hex()
    assert written == "82a56261746f6e29" + ENCODED_ORDERS


def test_a_direct_command_to_a_worker_is_written() -> None:
    written = workers.encode_direct_command(Token(41), AgentEpoch(3), ORDERS).hex()
    assert written == "83a56261746f6e29a5736869667403" + ENCODED_ORDERS


# Cloud

MACHINE_TYPE_BODY: dict[str, Any] = {
    "sku": "small", "cores": 8.0, "memory_gb": 32.0, "price": 0.5, "low_price": 0.2,
    "yards": ["north", "south"], "gpus": 2.0, "local_gb": 100.0, "pull_gb_per_s": 1.5,
    "ready_s": 45.0,
}  # fmt: skip
MACHINE_TYPE = MachineType(
    name=TypeName("small"),
    cpus=8.0,
    gpus=2.0,
    memory_gb=32.0,
    cache_gb=100.0,
    fetch_gb_per_s=1.5,
    price=0.5,
    spot_price=0.2,
    boot_s=45.0,
    zones=(Zone("north"), Zone("south")),
)
MACHINE_BODY: dict[str, Any] = {
    "ref": "m-000007", "rig": "small", "yard": "north", "loaners": True, "status": "running",
    "addr": "10.0.0.1:9000", "age_s": 12.5,
}  # fmt: skip
LISTED_MACHINE = ListedMachine(
    id=MachineId("m-000007"),
    address="10.0.0.1:9000",
    type=TypeName("small"),
    zone=Zone("north"),
    spot=True,
    state="running",
    age_s=12.5,
)


def test_machine_types_are_read() -> None:
    assert cloud.decode_machine_types(pack({"rigs": [MACHINE_TYPE_BODY]})) == [MACHINE_TYPE]


def test_the_optional_fields_of_a_machine_type_have_defaults() -> None:
    optional = ("gpus", "local_gb", "pull_gb_per_s", "ready_s")
    body = {name: MACHINE_TYPE_BODY[name] for name in MACHINE_TYPE_BODY if name not in optional}

    machine_type = dataclasses.replace(
        MACHINE_TYPE, gpus=0.0, cache_gb=0.0, fetch_gb_per_s=1.0, boot_s=60.0
    )

    assert cloud.decode_machine_types(pack({"rigs": [body]})) == [machine_type]


def test_the_machine_list_is_read() -> None:
    page = cloud.decode_machine_page(pack({"boxes": [MACHINE_BODY], "more": True}))
    assert page.machines == [LISTED_MACHINE]
    assert page.more

    required_fields = {
        name: MACHINE_BODY[name] for name in MACHINE_BODY if name not in ("addr", "age_s")
    }
    page = cloud.decode_machine_page(pack({"boxes": [required_fields]}))
    assert page.machines[0] == replace(LISTED_MACHINE, address="", age_s=0.0)
    assert not page.more


def test_a_rental_is_written_and_its_response_read() -> None:
    rental = Rent(
        name="c0-17",
        type="small",
        zone="north",
        spot=True,
        count=3,
        continuation=lambda _names: None,
    )
    assert unpack(cloud.encode_rental(rental)) == {
        "hire": "c0-17", "rig": "small", "yard": "north", "loaners": True, "number": 3,
    }  # fmt: skip
    assert cloud.decode_rental(pack({"boxes": ["m-1", "m-2"]})) == ["m-1", "m-2"]


def test_a_deletion_is_written() -> None:
    assert unpack(cloud.encode_deletion(("m-1", "m-2"))) == {"boxes": ["m-1", "m-2"]}


# Key-value store


def test_a_pair_is_read() -> None:
    item = state.decode_item(pack({"path": "a/b", "data": {"n": 1}, "stamp": 7}))
    assert item == Item(key="a/b", value={"n": 1}, version=Version(7))


def test_a_page_is_read() -> None:
    pair = {"path": "a/b", "data": 1, "stamp": 7}
    page = state.decode_page(pack({"pairs": [pair], "more": True, "ledger_rev": 9}))

    assert page.items == [Item("a/b", 1, Version(7))]
    assert (page.more, page.revision) == (True, 9)


def test_changes_are_read() -> None:
    changes = [{"set": "a/b", "data": 1, "stamp": 7}, {"delete": "c"}]
    watch_result = state.decode_changes(pack({"ledger_rev": 9, "news": changes}))

    assert watch_result.revision == 9
    assert watch_result.changes == [
        Item(key="a/b", value=1, version=Version(7)),
        Item(key="c", value=None, version=Version(0)),
    ]
    assert state.decode_changes(pack({"ledger_rev": 9})).changes == []


def test_responses_to_transactions_and_lease_requests_are_read() -> None:
    assert state.decode_revision(pack({"ledger_rev": 9})) == 9
    assert state.decode_failed_keys(pack({"failed": ["a/b"]})) == frozenset({"a/b"})
    assert state.decode_lease(pack({"permit": 5})) == 5


def test_a_transaction_and_a_lease_request_are_written() -> None:
    commit = Commit(
        conditions=(("a/b", Version(4)),),
        writes=(Put(key="a/b", value=1, lease=LeaseId(5)), Put(key="d", value=2), Remove(key="c")),
        continuation=lambda _result: None,
    )
    assert unpack(state.encode_transaction([commit])) == {
        "if": [{"path": "a/b", "stamp": 4}],
        "writes": [
            {"set": "a/b", "data": 1, "permit": 5},
            {"set": "d", "data": 2},
            {"delete": "c"},
        ],
    }
    assert unpack(state.encode_lease_request(3.25)) == {"life_ms": 3250}


# Other controllers

VIEW = ShardView(
    number=7,
    jobs=(
        JobView(
            spec=SPEC,
            age_s=1.5,
            waiting_tasks=2,
            failed_on=(MachineId("m-3"), MachineId("m-4")),
            zones={Zone("north"): 5},
            at_risk=True,
        ),
    ),
    machines=(
        MachineView(
            machine=MachineId("m-1"),
            type=TypeName("small"),
            zone=Zone("south"),
            spot=True,
            used_cpus=1.0,
            used_gpus=2.0,
            used_memory=3.0,
            images={Image("img-9"): 4.0},
            reservation=(JobRef("job-9"), Priority.PRODUCTION, 5.0),
        ),
    ),
    shares={Team("red"): (6.0, 8.0)},
    urgent_reserve=0.5,
    estimate_factors={"nightly": 1.25},
)
ENCODED_VIEW: list[Any] = [
    7,
    [[STORED_SPEC, 1.5, 2, ["m-3", "m-4"], {"north": 5}, True]],
    [["m-1", "small", "south", True, 1.0, 2.0, 3.0, {"img-9": 4.0}, ["job-9", 3, 5.0]]],
    {"red": [6.0, 8.0]},
    0.5,
    {"nightly": 1.25},
]
MESSAGES: list[tuple[list[Any], peers.Message]] = [
    (["hello", "c1"], peers.Hello(member="c1")),
    (["ping", True], peers.Ping(store_available=True)),
    (["relay", 3, b"body"], peers.Relay(number=3, body=b"body")),
    (["relayed", 3, 200, b"body"], peers.Relayed(number=3, status=200, body=b"body")),
    (["counts", {"job-1": [2, 3]}], peers.Counts(jobs={"job-1": (2, 3)})),
    (["part", ENCODED_VIEW], peers.ShardRequest(view=VIEW)),
    (
        ["proposed", [7, [["job-1", "m-1"], ["job-2", "m-2"]]]],
        peers.ShardProposed(
            proposal=ShardProposal(
                number=7,
                assignments=(
                    (JobRef("job-1"), MachineId("m-1")),
                    (JobRef("job-2"), MachineId("m-2")),
                ),
            )
        ),
    ),
    (
        ["probe", "10.0.0.1:9000", 41, 3],
        peers.IndirectProbe(address="10.0.0.1:9000", token=41, agent_epoch=3),
    ),
    (["probed", b"body"], peers.ProbeReply(body=b"body")),
]


@pytest.mark.parametrize(("sample", "message"), MESSAGES, ids=[m[0][0] for m in MESSAGES])
def test_each_message_between_controllers_has_its_tag_and_positions(
    sample: list[Any], message: peers.Message
) -> None:
    assert peers.decode_message(pack(sample)) == message
    framed = peers.encode_frame(message)
    assert framed[:4] == len(pack(sample)).to_bytes(4, "big")
    assert unpack(framed[4:]) == sample


def test_there_is_a_sample_of_each_message() -> None:
    assert {type(message) for _, message in MESSAGES} == set(get_args(peers.Message))
