"""Compatibility of records and messages with the version in production (394dfe6).

Guards against an upgrade that loses jobs or tasks. Until all controllers are upgraded either
version may lead, and must read what the other wrote. Afterwards a leader splits large records into
smaller ones for the new store limits, and may crash in the middle of this.
"""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crosscleat.core.election.election import Election
from crosscleat.core.model.effects import Outbox
from crosscleat.core.model.ids import (
    AgentEpoch,
    JobRef,
    LeaseId,
    MachineId,
    Member,
    Seconds,
    Version,
    WallTime,
)
from crosscleat.core.model.store_calls import Item, Read, ReadResult
from crosscleat.core.state.decommission_records import DecommissionRecords
from crosscleat.core.state.job_records import ended_record, live_record, spec_of
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.placement_records import PlacementRecords
from crosscleat.core.state.stored_placements import DEFAULT_CHUNK_LENGTH
from crosscleat.wire import peers

from .effects import NoElectionExpected, only, only_response
from .samples_394dfe6 import (
    FRAMES_394DFE6,
    LIVE_394DFE6,
    PART_394DFE6,
    PROPOSED_394DFE6,
    SPEC,
    WORK_394DFE6,
    Spec394dfe6,
    read_by_394dfe6,
)
from .user_requests import user_requests
from .world import NEXT_LIMITS, job

NOW = Seconds(100.0)
SMALL_KB, SMALL_OPS = NEXT_LIMITS


def stored_items(records: PlacementRecords, version: int = 9) -> list[Item]:
    """The records as the store holds them, each with a version of its own."""
    return [
        Item(r.key, msgspec.msgpack.decode(msgspec.msgpack.encode(r.value())), Version(version + n))
        for n, r in enumerate(records)
    ]


def task_states(one_job: Job) -> dict[int, tuple[int, str, int] | str]:
    """The done and the placed tasks of the job, in the form that `read_by_394dfe6` returns."""
    state: dict[int, tuple[int, str, int] | str] = {
        index: "done" for index in range(one_job.spec.tasks) if one_job.done[index]
    }
    for chunk in one_job.chunks.values():
        for index, placed in chunk.placed.items():
            state[index] = (placed.attempt, placed.machine, placed.agent_epoch)
    return state


def unplaced(jobs: dict[JobRef, Job], records: PlacementRecords) -> dict[JobRef, Job]:
    """The same jobs without placements, as a new leader has them before it loads the records."""
    return {
        ref: Job(one_job.spec, Version(1), NOW, records.chunk_length)
        for ref, one_job in jobs.items()
    }


def drawn_jobs(
    sizes: list[int], records: PlacementRecords, data: st.DataObject
) -> dict[JobRef, Job]:
    """Jobs with these numbers of tasks, some of them placed in the records and some done."""
    jobs = {JobRef(f"job-{n}"): Job(job(f"job-{n}", tasks=size), Version(1), NOW)
            for n, size in enumerate(sizes)}  # fmt: skip
    for one_job in jobs.values():
        placed = data.draw(st.integers(0, one_job.spec.tasks))
        place_tasks(records, one_job, placed, data.draw(st.integers(0, placed)))
    return jobs


def finish_first(records: PlacementRecords) -> None:
    """Mark the placed tasks of the first entry of the first record as done."""
    (one_job, chunk), *_ = next(iter(records)).entries.values()
    for index in list(chunk.placed):
        one_job.finish(index)


def place_tasks(records: PlacementRecords, one_job: Job, placed: int, done: int) -> None:
    """Place this number of tasks, and mark the first `done` tasks as done."""
    for _ in range(placed):
        task, _ = one_job.place(MachineId("m-000007"), AgentEpoch(1))
        records.record_for(one_job, one_job.chunk_of(task.number)).mark_changed(
            one_job.spec.priority, NOW
        )
    for index in range(done):
        one_job.finish(index)


def test_records_and_messages_of_production_are_read() -> None:
    assert spec_of(LIVE_394DFE6) == SPEC

    jobs = {
        SPEC.ref: Job(SPEC, Version(3), NOW),
        JobRef("job-000413"): Job(job("job-000413", tasks=401), Version(4), NOW),
    }
    items = [Item(key, value, Version(5)) for key, value in WORK_394DFE6.items()]
    PlacementRecords(16.0, 8, True).load(items, jobs)
    expected = read_by_394dfe6(WORK_394DFE6)
    for ref, one_job in jobs.items():
        one_job.finish_loading()
        assert task_states(one_job) == expected[ref]
    assert jobs[SPEC.ref].chunks[0].attempts == {1: 1, 2: 1}

    decommission_records = DecommissionRecords(16.0)
    assert decommission_records.load([Item("drop/1", {"machines": ["m-000009"]}, Version(2))]) == [
        "m-000009"
    ]
    for sample, message in FRAMES_394DFE6.items():
        assert peers.decode_message(bytes.fromhex(sample)[4:]) == message

    shard_request = peers.decode_message(bytes.fromhex(PART_394DFE6)[4:])
    assert isinstance(shard_request, peers.ShardRequest)
    assert shard_request.view.jobs[0].spec == SPEC
    assert isinstance(
        peers.decode_message(bytes.fromhex(PROPOSED_394DFE6)[4:]), peers.ShardProposed
    )


def test_the_leader_key_is_read_and_written_as_by_production() -> None:
    """Either version follows a leader of the other version, and may take over its key."""
    leader_394dfe6 = {"member": "c1", "boot": "0123456789abcdef", "lease": 7}
    outbox = Outbox()
    election = Election(
        Member("c1"), "0123456789abcdef", outbox, Random(1), lambda: NOW, NoElectionExpected()
    )
    assert election._leader_record(LeaseId(7)) == leader_394dfe6

    election._follow(leader_394dfe6)
    assert election.leader == "c1"


@pytest.mark.parametrize(("cancelled", "status"), [(False, "done"), (True, "aborted")])
def test_an_ended_job_that_production_recorded_is_answered(cancelled: bool, status: str) -> None:
    record = {"tasks": 3, "aborted": cancelled}
    item = Item("ended/job-000412", record, Version(7))
    requests, outbox = user_requests()

    requests.cancel(1, JobRef("job-000412"))
    only(outbox, Read).continuation(ReadResult(None, Version(8)))
    only(outbox, Read).continuation(ReadResult(item, Version(8)))

    answer = only_response(outbox)
    assert answer.status == 200
    assert answer.body["status"] == status


def test_records_and_messages_keep_the_form_of_production_until_all_are_upgraded() -> None:
    record = msgspec.to_builtins(live_record(SPEC, WallTime(1700000000.25), cancelled=False))
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(record)) == LIVE_394DFE6
    assert msgspec.convert(record["spec"], Spec394dfe6).ref == SPEC.ref
    assert ended_record(3, cancelled=False) == {"tasks": 3, "aborted": False}
    for sample, message in FRAMES_394DFE6.items():
        assert peers.encode_frame(message).hex() == sample

    shard_request = peers.decode_message(bytes.fromhex(PART_394DFE6)[4:])
    assert peers.encode_frame(shard_request).hex() == PART_394DFE6

    decommission_records, capacity = DecommissionRecords(SMALL_KB).record_with_capacity()
    assert decommission_records.put_with([MachineId("m-000009")]).value == {
        "machines": ["m-000009"]
    }
    assert capacity >= 50


@given(st.integers(1, 450), st.data())
def test_production_reads_what_is_written_before_all_are_upgraded(
    tasks: int, data: st.DataObject
) -> None:
    records = PlacementRecords(SMALL_KB, SMALL_OPS, shorten_chunks=False)
    one_job = Job(job("job-1", tasks=tasks), Version(1), NOW, records.chunk_length)
    placed = data.draw(st.integers(0, tasks))

    place_tasks(records, one_job, placed, data.draw(st.integers(0, placed)))
    items = {item.key: item.value for item in stored_items(records)}

    assert all(set(value) == {"jobs"} for value in items.values())
    assert read_by_394dfe6(items).get("job-1", {}) == task_states(one_job)


@settings(max_examples=300)
@given(st.lists(st.integers(1, 450), min_size=1, max_size=5), st.data())
def test_large_records_are_rewritten_as_small_ones_and_no_task_is_lost(
    sizes: list[int], data: st.DataObject
) -> None:
    old = PlacementRecords(16.0, 8, shorten_chunks=False)
    before = drawn_jobs(sizes, old, data)
    items = stored_items(old, version=2)
    small = PlacementRecords(SMALL_KB, SMALL_OPS, shorten_chunks=True)
    after = unplaced(before, small)
    small.load(items, after)
    removable = small.take_rewritten()
    # The leader crashes after it has rewritten some records: the next leader reads old and
    # rewritten ones, and the later ones take precedence.
    written = data.draw(st.integers(0, len(list(small))))
    rewritten = stored_items(small, version=50)[:written]
    for record in list(small)[:written]:
        assert len(msgspec.json.encode(record.value())) <= SMALL_KB * 1024
        small.mark_rewritten(list(record.entries.values()))
    removable += small.take_rewritten()
    kept = [item for item in items if item.key not in {key for key, _ in removable}]
    changed = data.draw(st.booleans()) and bool(rewritten)
    if changed:
        # Some tasks of a rewritten record have been done since.
        finish_first(small)
        rewritten[0] = stored_items(small, version=50)[0]
    reloaded_records = PlacementRecords(SMALL_KB, SMALL_OPS, shorten_chunks=True)
    reloaded = unplaced(before, reloaded_records)
    reloaded_records.load([*kept, *rewritten], reloaded)
    for ref, one_job in reloaded.items():
        one_job.finish_loading()
        assert task_states(one_job) == task_states(after[ref])
        assert (
            one_job.waiting_count() + one_job.placed_count() + one_job.done_count
            == one_job.spec.tasks
        )

    if not changed:
        assert {ref: task_states(one_job) for ref, one_job in after.items()} == {
            ref: task_states(one_job) for ref, one_job in before.items()
        }


def test_a_record_is_removed_only_when_all_of_it_is_rewritten() -> None:
    old = PlacementRecords(16.0, 8, shorten_chunks=False)
    one_job = Job(job("job-1", tasks=150), Version(1), NOW)
    place_tasks(old, one_job, 150, 0)
    small = PlacementRecords(SMALL_KB, SMALL_OPS, shorten_chunks=True)
    jobs = {one_job.ref: Job(one_job.spec, Version(1), NOW, small.chunk_length)}
    small.load(stored_items(old), jobs)
    records = list(small)
    assert len(records) == 4
    assert small.take_rewritten() == []

    for record in records[:-1]:
        small.mark_rewritten(list(record.entries.values()))
        assert small.take_rewritten() == []
    small.mark_rewritten(list(records[-1].entries.values()))
    assert small.take_rewritten() == [("work/1", 9)]


def test_chunks_are_shorter_than_the_default_only_for_small_values() -> None:
    assert PlacementRecords(16.0, 8, shorten_chunks=True).chunk_length == DEFAULT_CHUNK_LENGTH
    assert PlacementRecords(SMALL_KB, SMALL_OPS, shorten_chunks=True).chunk_length == 42
    assert (
        PlacementRecords(SMALL_KB, SMALL_OPS, shorten_chunks=False).chunk_length
        == DEFAULT_CHUNK_LENGTH
    )
