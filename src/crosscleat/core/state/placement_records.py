"""The leader's records of placements and deletions, many to a value.

The region allows few changes a second, so what belongs to many jobs is kept in few values:
`work/<n>` holds the chunks of several jobs, `drop/<n>` the names of many machines. A job's
chunks stay in the record that they were first put in. What a record still says of a job
that has ended means nothing: it goes with the record's next change.

A chunk has 200 tasks, or as many as fit into one value where that is less. Where a record has
chunks of another length than ours, of an earlier version or other limits, all its tasks are
written anew in ours, a few at a time, and it is removed after the last. Until then the same task
stands in two records: the one that was changed later holds.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ..model.ids import ABSENT, LONG_AGO, JobRef, Seconds, Version
from ..model.job_spec import Priority
from ..model.store_calls import Item, Record
from .jobs import DEFAULT_CHUNK_LENGTH, Chunk, Job
from .keys import PLACEMENTS

TASK_BYTES = 40
"""More than a task takes in a record, whatever its state, in the form that limits count."""

CHUNK_BYTES = 160

FILL = 0.6

FULL = 0.9
"""Of a value, where chunks are cut to fit one."""

OVERDUE_S = 1.0
"""A start that has waited so long to be written goes before more urgent ones."""


def chunk_length_for(value_kb: float) -> int:
    """How many tasks a chunk has, so that one fits into a value."""
    return min(DEFAULT_CHUNK_LENGTH, (int(value_kb * 1024 * FULL) - CHUNK_BYTES) // TASK_BYTES)


@dataclass(slots=True, eq=False)
class PlacementRecord:
    """One value with the chunks of several jobs."""

    number: int
    version: Version = ABSENT
    entries: dict[tuple[JobRef, int], tuple[Job, Chunk]] = field(default_factory=dict)
    size: int = 0
    dirty: bool = False
    start_priority: Priority | None = None
    """The highest priority among the starts that wait for it to be written."""
    start_waiting_since: Seconds = LONG_AGO
    removal_pending: bool = False
    """Its removal is on the way: nothing is entered any more."""
    chunk_length: int = DEFAULT_CHUNK_LENGTH

    @property
    def key(self) -> str:
        """Its key in the store."""
        return f"{PLACEMENTS}{self.number}"

    def mark_changed(self, priority: Priority | None, now: Seconds) -> None:
        """Something in it changed; with a priority, a start waits for it."""
        self.dirty = True
        if priority is None:
            return
        if self.start_priority is None:
            self.start_waiting_since = now
            self.start_priority = priority
        else:
            self.start_priority = max(self.start_priority, priority)

    def value(self) -> Record:
        """What is stored under it."""
        jobs = [
            [ref, number, *job.chunk_record(chunk)]
            for (ref, number), (job, chunk) in self.entries.items()
        ]
        return (
            {"jobs": jobs}
            if self.chunk_length == DEFAULT_CHUNK_LENGTH
            else {"jobs": jobs, "span": self.chunk_length}
        )


@dataclass(slots=True)
class Superseded:
    """A record whose tasks are being written anew in chunks of our length."""

    key: str
    version: Version
    waiting: set[tuple[JobRef, int]] = field(default_factory=set)
    """Those of our chunks that are not written yet."""


class PlacementRecords:
    """All records of placements, and which chunk is in which."""

    def __init__(self, value_kb: float, txn_ops: int, cut: bool) -> None:
        """`cut`: whether chunks may be cut to fit a value, as no older version reads them."""
        self.chunk_length = chunk_length_for(value_kb) if cut else DEFAULT_CHUNK_LENGTH
        share = FULL if self.chunk_length < DEFAULT_CHUNK_LENGTH else FILL
        self._most_bytes = int(value_kb * 1024 * share)
        # A transaction compares the live record of each job that starts something.
        self._most_members = 2 * txn_ops
        self._records: dict[int, PlacementRecord] = {}
        self._superseded: list[Superseded] = []
        self._next = 1

    def __iter__(self) -> Iterator[PlacementRecord]:
        return iter(self._records.values())

    def load(self, items: Iterable[Item], jobs: dict[JobRef, Job]) -> None:
        """Take over what an earlier leader left; jobs that are not live have ended."""
        # The later change holds, so it comes last.
        for item in sorted(items, key=lambda item: item.version):
            number = int(item.key.removeprefix(PLACEMENTS))
            self._next = max(self._next, number + 1)
            chunk_length = item.value.get("span", DEFAULT_CHUNK_LENGTH)
            old = Superseded(item.key, item.version)
            if chunk_length == self.chunk_length:
                self._records[number] = PlacementRecord(
                    number, item.version, chunk_length=chunk_length
                )
            else:
                self._superseded.append(old)
            for ref, part, done, rows in item.value["jobs"]:
                job = jobs.get(JobRef(ref))
                if job is None:
                    continue
                for chunk in job.load_chunk_record(
                    part * chunk_length, (part + 1) * chunk_length, done, rows
                ):
                    if chunk_length == self.chunk_length:
                        self._detach(job, chunk)
                        chunk.record_number = number
                        self._attach(self._records[number], job, chunk)
                    else:
                        # One of ours may hold tasks of several of such a length: what other
                        # records say of it stays of worth until it is written anew.
                        old.waiting.add((job.ref, chunk.number))
        for ref, part in {key for old in self._superseded for key in old.waiting}:
            self.record_for(jobs[ref], jobs[ref].chunks[part]).mark_changed(None, LONG_AGO)

    def _detach(self, job: Job, chunk: Chunk) -> None:
        """All that was known of it before is out of date."""
        for old in self._superseded:
            old.waiting.discard((job.ref, chunk.number))
        if chunk.record_number is not None:
            record = self._records[chunk.record_number]
            del record.entries[job.ref, chunk.number]
            record.size -= self._bytes(job)
            chunk.record_number = None

    def mark_rewritten(self, chunks: Iterable[tuple[Job, Chunk]]) -> None:
        """These chunks are on record in our length."""
        keys = {(job.ref, chunk.number) for job, chunk in chunks}
        for old in self._superseded:
            old.waiting -= keys

    def take_rewritten(self) -> list[tuple[str, Version]]:
        """Records of which all is written anew: they can be removed."""
        found = [(old.key, old.version) for old in self._superseded if not old.waiting]
        self._superseded = [old for old in self._superseded if old.waiting]
        return found

    def _bytes(self, job: Job) -> int:
        return CHUNK_BYTES + TASK_BYTES * min(self.chunk_length, job.spec.tasks)

    def _attach(self, record: PlacementRecord, job: Job, chunk: Chunk) -> None:
        record.entries[job.ref, chunk.number] = job, chunk
        record.size += self._bytes(job)

    def record_for(self, job: Job, chunk: Chunk) -> PlacementRecord:
        """The record that keeps the chunk: the one it is in, or one that has room."""
        if chunk.record_number is not None:
            return self._records[chunk.record_number]
        size = self._bytes(job)
        record = next((r for r in self._records.values() if self._has_capacity(r, size)), None)
        if record is None:
            record = PlacementRecord(self._next, chunk_length=self.chunk_length)
            self._records[record.number] = record
            self._next += 1
        chunk.record_number = record.number
        self._attach(record, job, chunk)
        return record

    def _has_capacity(self, record: PlacementRecord, size: int) -> bool:
        return (
            not record.removal_pending
            and len(record.entries) < self._most_members
            and record.size + size <= self._most_bytes
        )

    def remove_job(self, job: Job) -> None:
        """The job has ended."""
        self.mark_rewritten((job, chunk) for chunk in job.chunks.values())
        for chunk in job.chunks.values():
            if chunk.record_number is not None:
                record = self._records[chunk.record_number]
                del record.entries[job.ref, chunk.number]
                record.size -= self._bytes(job)

    def awaited_by_starts(self, now: Seconds) -> list[PlacementRecord]:
        """Those that starts wait for, in the order in which they are to be written."""
        waiting = [r for r in self._records.values() if r.start_priority is not None]
        return sorted(
            waiting,
            key=lambda r: (
                now - r.start_waiting_since < OVERDUE_S,
                -(r.start_priority or 0),
                r.start_waiting_since,
            ),
        )

    def deferrable(self) -> list[PlacementRecord]:
        """Those that can wait, a removal being one that changes nothing any more."""
        return [
            r
            for r in self._records.values()
            if r.dirty or (not r.entries and not r.removal_pending)
        ]

    def remove_record(self, record: PlacementRecord) -> None:
        """The record is gone from the store."""
        del self._records[record.number]
