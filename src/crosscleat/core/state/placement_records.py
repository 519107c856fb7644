"""The placement records: the chunks of several jobs in each value of the store.

The store allows few changes a second, so the chunks of many jobs are kept in few values. A chunk
stays in the record that it was first put in. What a record still has of a job that has ended is
ignored, and removed with the record's next change.

A chunk has 200 tasks, or as many as fit into one value where that is less. If a record of an
earlier version, or written under other limits, has chunks of another length than ours, all its
tasks are rewritten in ours, a few at a time, and it is removed after the last. Until then a task
may be in two records: the one that was changed later is valid.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ..model.ids import ABSENT, LONG_AGO, JobRef, Seconds, Version
from ..model.job_spec import Priority
from ..model.store_calls import Item, Record
from .jobs import Chunk, Job
from .keys import PLACEMENTS
from .stored_placements import DEFAULT_CHUNK_LENGTH, StoredPlacements, encode_placements

TASK_BYTES = 40
"""Upper bound for a task in a record, whatever its state, in the form that limits count."""

CHUNK_BYTES = 160
"""Upper bound for the rest of a chunk."""

TARGET_FILL = 0.6
"""Share of a value's limit up to which chunks of the default length are added to a record."""

MAX_FILL = 0.9
"""Share of a value's limit that is used where chunks are made to fit one."""

OVERDUE_S = 1.0
"""A start that has waited so long to be recorded precedes those of a higher priority."""


def chunk_length_for(value_kb: float) -> int:
    """How many tasks a chunk has, so that it fits into a value of at most `value_kb` KiB."""
    return min(DEFAULT_CHUNK_LENGTH, (int(value_kb * 1024 * MAX_FILL) - CHUNK_BYTES) // TASK_BYTES)


@dataclass(slots=True, eq=False)
class PlacementRecord:
    """One record: the value under `work/<number>`."""

    number: int
    version: Version = ABSENT
    entries: dict[tuple[JobRef, int], tuple[Job, Chunk]] = field(default_factory=dict)
    size: int = 0
    """Upper bound for its bytes in the store."""
    dirty: bool = False
    """It differs from what is stored."""
    start_priority: Priority | None = None
    """The highest priority among the starts that wait until it is written."""
    start_waiting_since: Seconds = LONG_AGO
    removal_pending: bool = False
    """Its removal was sent: nothing is added to it any more."""
    chunk_length: int = DEFAULT_CHUNK_LENGTH

    @property
    def key(self) -> str:
        """Its key in the store."""
        return f"{PLACEMENTS}{self.number}"

    def mark_changed(self, priority: Priority | None, now: Seconds) -> None:
        """Note a change to be written; with a priority, a start of that priority waits for it."""
        self.dirty = True
        if priority is None:
            return
        if self.start_priority is None:
            self.start_waiting_since = now
            self.start_priority = priority
        else:
            self.start_priority = max(self.start_priority, priority)

    def value(self) -> Record:
        """Its stored form."""
        chunks = [job.encode_chunk(chunk) for job, chunk in self.entries.values()]
        return encode_placements(chunks, self.chunk_length)


@dataclass(slots=True)
class Superseded:
    """A record whose tasks are being rewritten in chunks of our length."""

    key: str
    version: Version
    waiting: dict[tuple[JobRef, int], None] = field(default_factory=dict)
    """The chunks of our length, by job and number, that are not written yet, in their order."""


class PlacementRecords:
    """All records of placements, and which chunk is in which."""

    def __init__(self, value_kb: float, txn_ops: int, cut: bool) -> None:
        """`cut`: whether chunks may be shortened to fit a value; older versions can't read that."""
        self.chunk_length = chunk_length_for(value_kb) if cut else DEFAULT_CHUNK_LENGTH
        share = MAX_FILL if self.chunk_length < DEFAULT_CHUNK_LENGTH else TARGET_FILL
        self._max_bytes = int(value_kb * 1024 * share)
        # A transaction compares the live record of each job that starts something.
        self._max_entries = 2 * txn_ops
        self._records: dict[int, PlacementRecord] = {}
        self._superseded: list[Superseded] = []
        self._next = 1

    def __iter__(self) -> Iterator[PlacementRecord]:
        return iter(self._records.values())

    def load(self, items: Iterable[Item], jobs: dict[JobRef, Job]) -> None:
        """Load the records of an earlier leader; jobs that are not in `jobs` have ended."""
        # The later change is valid, so it comes last.
        for item in sorted(items, key=lambda item: item.version):
            self._load_record(item, jobs)
        waiting = dict.fromkeys(key for old in self._superseded for key in old.waiting)
        for ref, number in waiting:
            job = jobs[ref]
            self.record_for(job, job.chunks[number]).mark_changed(None, LONG_AGO)

    def _load_record(self, item: Item, jobs: dict[JobRef, Job]) -> None:
        number = int(item.key.removeprefix(PLACEMENTS))
        self._next = max(self._next, number + 1)
        stored = StoredPlacements.parse(item.value)
        length = stored.chunk_length
        old: Superseded | None = None
        if length == self.chunk_length:
            self._records[number] = PlacementRecord(number, item.version, chunk_length=length)
        else:
            old = Superseded(item.key, item.version)
            self._superseded.append(old)
        for tasks in stored.chunks:
            job = jobs.get(tasks.job)
            if job is None:
                continue
            first, last = tasks.number * length, (tasks.number + 1) * length
            for chunk in job.load_tasks(first, last, tasks.done, tasks.attempts):
                if old is not None:
                    # A chunk of ours may have tasks of several such chunks: what other records
                    # have of it is needed until it is rewritten.
                    old.waiting[job.ref, chunk.number] = None
                else:
                    self._detach(job, chunk)
                    chunk.record_number = number
                    self._attach(self._records[number], job, chunk)

    def _detach(self, job: Job, chunk: Chunk) -> None:
        """Take the chunk out of its record: a record that was changed later has it too."""
        for old in self._superseded:
            old.waiting.pop((job.ref, chunk.number), None)
        if chunk.record_number is not None:
            record = self._records[chunk.record_number]
            del record.entries[job.ref, chunk.number]
            record.size -= self._bytes(job)
            chunk.record_number = None

    def mark_rewritten(self, chunks: Iterable[tuple[Job, Chunk]]) -> None:
        """Note that the store has these chunks in our length."""
        keys = {(job.ref, chunk.number) for job, chunk in chunks}
        for old in self._superseded:
            for key in keys:
                old.waiting.pop(key, None)

    def take_rewritten(self) -> list[tuple[str, Version]]:
        """Records all of whose tasks are rewritten; they can be removed, and are given out once."""
        found = [(old.key, old.version) for old in self._superseded if not old.waiting]
        self._superseded = [old for old in self._superseded if old.waiting]
        return found

    def _bytes(self, job: Job) -> int:
        return CHUNK_BYTES + TASK_BYTES * min(self.chunk_length, job.spec.tasks)

    def _attach(self, record: PlacementRecord, job: Job, chunk: Chunk) -> None:
        record.entries[job.ref, chunk.number] = job, chunk
        record.size += self._bytes(job)

    def record_for(self, job: Job, chunk: Chunk) -> PlacementRecord:
        """The record of the chunk: the one that it is in, or else the first with capacity."""
        if chunk.record_number is not None:
            return self._records[chunk.record_number]
        size = self._bytes(job)
        record = next((existing for existing in self if self._has_capacity(existing, size)), None)
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
            and len(record.entries) < self._max_entries
            and record.size + size <= self._max_bytes
        )

    def remove_job(self, job: Job) -> None:
        """Take out all chunks of a job that has ended."""
        self.mark_rewritten((job, chunk) for chunk in job.chunks.values())
        for chunk in job.chunks.values():
            if chunk.record_number is not None:
                record = self._records[chunk.record_number]
                del record.entries[job.ref, chunk.number]
                record.size -= self._bytes(job)

    def awaited_by_starts(self, now: Seconds) -> list[PlacementRecord]:
        """Records that starts wait for, in the order in which they are to be written."""
        waiting = [record for record in self if record.start_priority is not None]
        return sorted(
            waiting,
            key=lambda record: (
                now - record.start_waiting_since < OVERDUE_S,
                -(record.start_priority or 0),
                record.start_waiting_since,
            ),
        )

    def deferrable(self) -> list[PlacementRecord]:
        """Records that changed, and empty ones to be removed: no start need wait for either."""
        return [
            record
            for record in self
            if record.dirty or (not record.entries and not record.removal_pending)
        ]

    def remove_record(self, record: PlacementRecord) -> None:
        """Forget a record that the store no longer has."""
        del self._records[record.number]
