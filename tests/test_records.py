"""The leader's records in the store, written by one leader and read by the next.

Guards against a new leader that repeats done tasks, gives out an attempt number twice or forgets a
decided deletion because a record did not keep it. Also guards against records and transactions that
the store refuses because they exceed its limits, and against starts that are never recorded because
others have a higher priority.
"""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from crosscleat.core.model.ids import (
    ABSENT,
    AgentEpoch,
    Attempt,
    JobRef,
    MachineId,
    Seconds,
    Version,
)
from crosscleat.core.model.job_spec import Priority
from crosscleat.core.model.store_calls import Item, Put
from crosscleat.core.state.batch import Batch
from crosscleat.core.state.decommission_records import DecommissionRecords
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.placement_records import PlacementRecords
from crosscleat.core.state.stored_placements import DEFAULT_CHUNK_LENGTH

from .world import job

NOW = Seconds(100.0)
VALUE_KB = 16.0
TXN_OPS = 24


def waiting_job(ref: str, **changes: Any) -> Job:
    return Job(job(ref, **changes), Version(1), NOW)


MACHINE = MachineId("m-000001")


def place(records: PlacementRecords, placed_job: Job) -> tuple[int, Attempt]:
    task, attempt = placed_job.place(MACHINE, AgentEpoch(2))
    records.record_for(placed_job, placed_job.chunk_of(task.number)).mark_changed(
        placed_job.spec.priority, NOW
    )
    return task.number, attempt


def stored(records: PlacementRecords) -> list[Item]:
    return [
        Item(r.key, msgspec.msgpack.decode(msgspec.msgpack.encode(r.value())), Version(3))
        for r in records
    ]


@given(st.lists(st.integers(1, 3 * DEFAULT_CHUNK_LENGTH), min_size=1, max_size=12), st.data())
def test_tasks_survive_a_failover(sizes: list[int], data: st.DataObject) -> None:
    before = {
        JobRef(f"job-{n}"): waiting_job(f"job-{n}", tasks=size) for n, size in enumerate(sizes)
    }
    records = PlacementRecords(VALUE_KB, TXN_OPS, True)
    for placed_job in before.values():
        for _ in range(data.draw(st.integers(0, min(placed_job.spec.tasks, 40)))):
            number, attempt = place(records, placed_job)
            outcome = data.draw(st.sampled_from(("runs", "done", "lost")))
            if outcome == "done":
                placed_job.finish(number)
            elif outcome == "lost":
                placed_job.requeue(number, None)
            assert placed_job.is_current(number, attempt, MACHINE) == (outcome == "runs")
    items = stored(records)
    ended = data.draw(st.sampled_from(sorted(before)))
    after = {
        ref: Job(placed_job.spec, Version(1), NOW)
        for ref, placed_job in before.items()
        if ref != ended
    }
    reloaded = PlacementRecords(VALUE_KB, TXN_OPS, True)
    reloaded.load(items, after)
    for ref, placed_job in after.items():
        placed_job.finish_loading()
        old = before[ref]
        assert placed_job.done == old.done
        assert placed_job.done_count == old.done_count
        assert placed_job.placed_count() == old.placed_count()
        assert placed_job.waiting_count() == old.waiting_count()
        for number, chunk in old.chunks.items():
            assert {i: t for i, t in chunk.attempts.items() if i in chunk.placed} == {
                i: p.attempt for i, p in placed_job.chunks[number].placed.items()
            }
            # No attempt number is given out twice, not even by different leaders.
            for index, attempt in chunk.attempts.items():
                assert placed_job.chunks[number].attempts.get(index) == attempt or old.done[index]

    assert all(ref != ended for r in reloaded for ref, _ in r.entries)


@given(
    st.lists(st.tuples(st.integers(1, 3 * DEFAULT_CHUNK_LENGTH), st.integers(0, 60)), max_size=40)
)
def test_records_and_transactions_stay_within_the_limits(jobs: list[tuple[int, int]]) -> None:
    records = PlacementRecords(VALUE_KB, TXN_OPS, True)
    for n, (tasks, placed) in enumerate(jobs):
        placed_job = waiting_job(f"job-{n:0>60}", tasks=tasks)
        for index in range(min(tasks, 4 * placed)):
            place(records, placed_job)
            if index % 2:
                # If every second task is done, the encoded ranges of done tasks are longest.
                placed_job.finish(index)
    for record in records:
        assert len(msgspec.json.encode(record.value())) <= VALUE_KB * 1024

    batch = Batch(7, TXN_OPS)
    for record in records.awaited_by_starts(NOW):
        batch.add_record(record)
    assert bool(batch.writes) == bool(list(records))
    assert len(batch.writes) <= TXN_OPS
    assert len(batch.conditions) <= 4 * TXN_OPS

    puts = [write for write in batch.writes if isinstance(write, Put)]
    assert len(puts) == len(batch.writes)
    assert len(msgspec.json.encode([put.value for put in puts])) <= 56 * 1024
    for written_job, chunk, _ in batch.chunks:
        assert not chunk.has_unrecorded() or written_job in batch.compared_jobs, (
            "the live record of a starting job is not compared"
        )


def test_starts_are_written_by_priority_unless_one_is_overdue() -> None:
    records = PlacementRecords(VALUE_KB, TXN_OPS, True)
    low = waiting_job("job-slow", tasks=DEFAULT_CHUNK_LENGTH, priority=Priority.LOW)
    high = waiting_job("job-soon", tasks=DEFAULT_CHUNK_LENGTH, priority=Priority.HIGH)
    place(records, low)
    place(records, high)
    order = [[ref for ref, _ in r.entries] for r in records.awaited_by_starts(NOW)]
    assert order == [["job-soon"], ["job-slow"]]

    next(iter(records)).start_waiting_since = Seconds(NOW - 2.0)
    order = [[ref for ref, _ in r.entries] for r in records.awaited_by_starts(NOW)]
    assert order == [["job-slow"], ["job-soon"]]


def test_a_record_without_jobs_is_removed_and_gets_no_new_chunks() -> None:
    records = PlacementRecords(VALUE_KB, TXN_OPS, True)
    placed_job = waiting_job("job-1")
    place(records, placed_job)
    (record,) = records
    records.remove_job(placed_job)
    assert records.deferrable() == [record]
    assert record.size == 0

    record.removal_pending = True
    other = waiting_job("job-2")
    place(records, other)
    assert len(list(records)) == 2
    assert records.deferrable() != [record]


def test_deletions_survive_a_failover() -> None:
    decommission_records = DecommissionRecords(VALUE_KB)
    record, _ = decommission_records.record_with_capacity()
    put = record.put_with([MachineId("m-1"), MachineId("m-2")])
    record.machine_ids.update({MachineId("m-1"): None, MachineId("m-2"): None})
    record.version = Version(5)
    reloaded = DecommissionRecords(VALUE_KB)
    assert reloaded.load([Item(put.key, put.value, Version(5))]) == ["m-1", "m-2"]
    assert reloaded.remove_machine_id(MachineId("m-1")) is None

    empty = reloaded.remove_machine_id(MachineId("m-2"))
    assert empty is not None
    assert empty.version == 5

    fresh, _ = reloaded.record_with_capacity()
    assert fresh.version == ABSENT
    assert fresh.key != put.key
