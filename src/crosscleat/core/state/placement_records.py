"""Placement records, each of which stores the chunks of several jobs in one value.

The store allows few changes per second, so the chunks of many jobs are stored in few values. A
chunk stays in the record to which it was first added. Data of ended jobs in a record is ignored,
and removed with the record's next change.

A chunk has 200 tasks, or as many as fit into one value if that is less. If a record that was
written by an earlier version or under other limits has a different chunk length, all its tasks are
rewritten in chunks of the current length, a few at a time, and then the record is removed. Until
then a task may be in two records; the one that was changed later is valid.
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
"""Upper bound for the size of a task in a record, whatever its state.

It is the size as JSON, which the store's limits count.
"""

CHUNK_BYTES = 160
"""Upper bound for the size of a chunk without its tasks."""

TARGET_FILL = 0.6
"""Share of the value size limit up to which chunks of the default length are added to a record."""

MAX_FILL = 0.9
"""Share of the value size limit that is used if chunks are shortened to fit into a value."""

OVERDUE_S = 1.0
"""A start that has waited this long to be recorded precedes those of a higher priority."""


def chunk_length_for(value_kb: float) -> int:
    """Return the number of tasks per chunk, so that a chunk fits into a value of `value_kb` KiB."""
    return min(DEFAULT_CHUNK_LENGTH, (int(value_kb * 1024 * MAX_FILL) - CHUNK_BYTES) // TASK_BYTES)


@dataclass(slots=True, eq=False)
class PlacementRecord:
    """One placement record: the value of the key `work/<number>`."""

    number: int
    version: Version = ABSENT
    entries: dict[tuple[JobRef, int], tuple[Job, Chunk]] = field(default_factory=dict)
    size: int = 0
    """Upper bound for its size in the store, in bytes."""
    dirty: bool = False
    """Whether it differs from what is stored."""
    start_priority: Priority | None = None
    """The highest priority among the starts that wait for it to be written."""
    start_waiting_since: Seconds = LONG_AGO
    removal_pending: bool = False
    """Whether its removal was sent; nothing more is added to it then."""
    chunk_length: int = DEFAULT_CHUNK_LENGTH

    @property
    def key(self) -> str:
        """The record's key in the store."""
        return f"{PLACEMENTS}{self.number}"

    def mark_changed(self, priority: Priority | None, now: Seconds) -> None:
        """Mark the record as changed.

        `priority` is that of a start that waits until the record is written, or None.
        """
        self.dirty = True
        if priority is None:
            return
        if self.start_priority is None:
            self.start_waiting_since = now
            self.start_priority = priority
        else:
            self.start_priority = max(self.start_priority, priority)

    def value(self) -> Record:
        """Encode the record."""
        chunks = [job.encode_chunk(chunk) for job, chunk in self.entries.values()]
        return encode_placements(chunks, self.chunk_length)


@dataclass(slots=True)
class SupersededRecord:
    """A record whose tasks are being rewritten in chunks of the current length."""

    key: str
    version: Version
    unwritten: dict[tuple[JobRef, int], None] = field(default_factory=dict)
    """Chunks of the current length, by job and number, that are not written yet, in load order."""


class PlacementRecords:
    """All placement records, and the record that contains each chunk."""

    def __init__(self, value_kb: float, txn_ops: int, shorten_chunks: bool) -> None:
        """Create an empty collection.

        `shorten_chunks`: whether chunks may be shortened to fit into a value; older versions can't
        read shortened chunks.
        """
        self.chunk_length = chunk_length_for(value_kb) if shorten_chunks else DEFAULT_CHUNK_LENGTH
        fill = MAX_FILL if self.chunk_length < DEFAULT_CHUNK_LENGTH else TARGET_FILL
        self._max_bytes = int(value_kb * 1024 * fill)
        # Each job with a new attempt adds a condition on its live record to the transaction.
        self._max_entries = 2 * txn_ops
        self._records: dict[int, PlacementRecord] = {}
        self._superseded: list[SupersededRecord] = []
        self._next = 1

    def __iter__(self) -> Iterator[PlacementRecord]:
        return iter(self._records.values())

    def load(self, items: Iterable[Item], jobs: dict[JobRef, Job]) -> None:
        """Load the records that an earlier leader wrote; jobs that are not in `jobs` have ended."""
        # Later changes override earlier ones, so they are loaded last.
        for item in sorted(items, key=lambda item: item.version):
            self._load_record(item, jobs)
        unwritten = dict.fromkeys(key for old in self._superseded for key in old.unwritten)
        for ref, number in unwritten:
            job = jobs[ref]
            self.record_for(job, job.chunks[number]).mark_changed(None, LONG_AGO)

    def _load_record(self, item: Item, jobs: dict[JobRef, Job]) -> None:
        number = int(item.key.removeprefix(PLACEMENTS))
        self._next = max(self._next, number + 1)
        stored = StoredPlacements.parse(item.value)
        length = stored.chunk_length
        old: SupersededRecord | None = None
        if length == self.chunk_length:
            self._records[number] = PlacementRecord(number, item.version, chunk_length=length)
        else:
            old = SupersededRecord(item.key, item.version)
            self._superseded.append(old)
        for tasks in stored.chunks:
            job = jobs.get(tasks.job)
            if job is None:
                continue
            first, last = tasks.number * length, (tasks.number + 1) * length
            for chunk in job.load_tasks(first, last, tasks.done, tasks.attempts):
                if old is not None:
                    # A chunk of the current length may have tasks from chunks of several records.
                    # These records are needed until the chunk is rewritten.
                    old.unwritten[job.ref, chunk.number] = None
                else:
                    self._detach(job, chunk)
                    chunk.record_number = number
                    self._attach(self._records[number], job, chunk)

    def _detach(self, job: Job, chunk: Chunk) -> None:
        """Remove the chunk from its record, because a record that was changed later has it too."""
        for old in self._superseded:
            old.unwritten.pop((job.ref, chunk.number), None)
        if chunk.record_number is not None:
            record = self._records[chunk.record_number]
            del record.entries[job.ref, chunk.number]
            record.size -= self._size_bound(job)
            chunk.record_number = None

    def mark_rewritten(self, chunks: Iterable[tuple[Job, Chunk]]) -> None:
        """Record that these chunks are in the store with the current length."""
        keys = {(job.ref, chunk.number) for job, chunk in chunks}
        for old in self._superseded:
            for key in keys:
                old.unwritten.pop(key, None)

    def take_rewritten(self) -> list[tuple[str, Version]]:
        """Return the records whose tasks are all rewritten, each only once; they can be removed."""
        rewritten = [(old.key, old.version) for old in self._superseded if not old.unwritten]
        self._superseded = [old for old in self._superseded if old.unwritten]
        return rewritten

    def _size_bound(self, job: Job) -> int:
        return CHUNK_BYTES + TASK_BYTES * min(self.chunk_length, job.spec.tasks)

    def _attach(self, record: PlacementRecord, job: Job, chunk: Chunk) -> None:
        record.entries[job.ref, chunk.number] = job, chunk
        record.size += self._size_bound(job)

    def record_for(self, job: Job, chunk: Chunk) -> PlacementRecord:
        """Return the chunk's record; if it has none, add it to the first record with capacity.

        A new record is created if none has capacity.
        """
        if chunk.record_number is not None:
            return self._records[chunk.record_number]
        size = self._size_bound(job)
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
        """Remove all chunks of a job that has ended."""
        self.mark_rewritten((job, chunk) for chunk in job.chunks.values())
        for chunk in job.chunks.values():
            if chunk.record_number is not None:
                record = self._records[chunk.record_number]
                del record.entries[job.ref, chunk.number]
                record.size -= self._size_bound(job)

    def awaited_by_starts(self, now: Seconds) -> list[PlacementRecord]:
        """Return the records that starts wait for, in the order in which they are to be written."""
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
        """Return the changed records, and the empty ones to be removed.

        Neither is urgent in itself; `awaited_by_starts` has the records that starts wait for.
        """
        return [
            record
            for record in self
            if record.dirty or (not record.entries and not record.removal_pending)
        ]

    def remove_record(self, record: PlacementRecord) -> None:
        """Remove a record that is no longer in the store."""
        del self._records[record.number]
