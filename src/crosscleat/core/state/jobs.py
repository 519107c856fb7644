"""Jobs in the leader's memory: which tasks are done, waiting or placed, and what is recorded.

The store key `live/<ref>` holds the spec and whether the user cancelled the job, `ended/<ref>` the
final outcome (`job_records`). A job's tasks are divided into chunks, each stored in one placement
record (`placement_records`).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..model.ids import (
    LONG_AGO,
    AgentEpoch,
    Attempt,
    JobRef,
    MachineId,
    Seconds,
    TaskId,
    Version,
)
from ..model.job_spec import JobSpec, Shape
from ..model.store_calls import Record
from .gangs import GangProgress
from .stored_placements import (
    DEFAULT_CHUNK_LENGTH,
    StoredAttempt,
    TaskRange,
)

NO_ATTEMPT = Attempt(0)
"""The number before that of the first attempt: a task with it was never attempted."""


@dataclass(slots=True)
class Placement:
    """The machine and agent epoch of a task's current attempt."""

    attempt: Attempt
    machine: MachineId
    agent_epoch: AgentEpoch


class RecordedPlacement(NamedTuple):
    """An attempt of the task with this number on this machine, as the store has it.

    The attempt number alone does not identify the attempt, since a lost task of a gang is replaced
    on another machine under the same number.
    """

    number: int
    attempt: Attempt
    machine: MachineId


@dataclass(slots=True, eq=False)
class Chunk:
    """Consecutive tasks of a job that are stored together in one placement record."""

    number: int
    record_number: int | None = None
    """The number of the placement record that contains the chunk."""
    placed: dict[int, Placement] = field(default_factory=dict)
    """Placements of the tasks whose current attempt may be on a machine."""
    attempts: dict[int, Attempt] = field(default_factory=dict)
    """The last attempt number of each task that was attempted and is not done."""
    recorded: frozenset[RecordedPlacement] = frozenset()
    """The placements in the stored records."""

    def known_placements(self) -> frozenset[RecordedPlacement]:
        """The placements known to this process, whether stored or not."""
        return frozenset(
            RecordedPlacement(index, placed.attempt, placed.machine)
            for index, placed in self.placed.items()
        )

    def has_unrecorded(self) -> bool:
        """Whether there is a placement that is not in the store."""
        return any(
            (index, placement.attempt, placement.machine) not in self.recorded
            for index, placement in self.placed.items()
        )


@dataclass(slots=True, eq=False)
class Job:
    """A job and the state of its tasks in the leader's memory."""

    spec: JobSpec
    version: Version
    submitted: Seconds
    chunk_length: int = DEFAULT_CHUNK_LENGTH
    cancelled: bool = False
    done: bytearray = field(default_factory=bytearray)
    done_count: int = 0
    first_untried: int = 0
    """Tasks with this or a higher number have never been attempted."""
    retry_queue: list[int] = field(default_factory=list)
    """Stack of tasks that may be retried now; the last one is placed next."""
    delayed: list[tuple[Seconds, int]] = field(default_factory=list)
    """Heap of tasks that may be retried later, ordered by the earliest time of the retry."""
    failures: dict[int, int] = field(default_factory=dict)
    """Number of failures of each task since it last completed."""
    failed_on: set[MachineId] = field(default_factory=set)
    has_completed_task: bool = False
    """Whether a task of the job has completed in this term."""
    chunks: dict[int, Chunk] = field(default_factory=dict)
    previous_gang_attempt: Attempt = NO_ATTEMPT
    """For a gang: the attempt number before that of its current attempt."""
    progress: GangProgress = field(default_factory=GangProgress)
    """Only used for gangs."""
    idle_since: Seconds = LONG_AGO
    """When an attempt of the job last ended; earlier than its submission if none has."""
    at_risk: bool = False
    """Whether the loss of a spot machine is likely to make the job late (`interruptions`)."""
    backfill: bool = False
    """Whether the job only uses capacity that others leave idle (`deployment.is_backfill`)."""
    needs_reread: bool = False
    """Whether the live record must be read again because one of our writes found it changed."""

    def __post_init__(self) -> None:
        if not self.done:
            self.done = bytearray(self.spec.tasks)

    @property
    def ref(self) -> JobRef:
        """The job's id."""
        return self.spec.ref

    def chunk_of(self, index: int) -> Chunk:
        """Return the chunk that contains the task, created if it does not exist yet."""
        return self._chunk(index // self.chunk_length)

    def _chunk(self, number: int) -> Chunk:
        chunk = self.chunks.get(number)
        if chunk is None:
            chunk = self.chunks[number] = Chunk(number)
        return chunk

    @property
    def is_gang(self) -> bool:
        """Whether the job's tasks run together or not at all."""
        return self.spec.shape is Shape.GANG

    @property
    def fully_recorded(self) -> bool:
        """Whether the store has the placements of all tasks of the gang."""
        return self.placed_count() == self.spec.tasks and not any(
            chunk.has_unrecorded() for chunk in self.chunks.values()
        )

    @property
    def ever_placed(self) -> bool:
        """Whether any task of the job has ever been placed."""
        return self.first_untried > 0

    def waiting_count(self) -> int:
        """Number of tasks that could be placed now."""
        return self.spec.tasks - self.first_untried + len(self.retry_queue)

    @property
    def partly_placed(self) -> bool:
        """Whether only some tasks of a gang are placed and none has completed."""
        return 0 < self.placed_count() < self.spec.tasks and not self.done_count

    def placed_count(self) -> int:
        """Number of tasks that may be on a machine."""
        return sum(len(chunk.placed) for chunk in self.chunks.values())

    def idle_duration_s(self, now: Seconds) -> float:
        """Seconds for which no task of the job has been on a machine."""
        return 0.0 if self.placed_count() else now - max(self.submitted, self.idle_since)

    def resume_delayed(self, now: Seconds) -> None:
        """Move tasks whose delay has elapsed to the retry queue."""
        while self.delayed and self.delayed[0][0] <= now:
            self.retry_queue.append(heapq.heappop(self.delayed)[1])

    def next_task(self) -> int | None:
        """Return the task to place next, or None if none is waiting."""
        if self.retry_queue:
            return self.retry_queue[-1]
        return self.first_untried if self.first_untried < self.spec.tasks else None

    def place(self, machine: MachineId, agent_epoch: AgentEpoch) -> tuple[TaskId, Attempt]:
        """Place a new attempt of the next task; it must be stored before a start is sent."""
        if self.is_gang and not self.placed_count():
            self.previous_gang_attempt = self._highest_attempt()
            self.progress.begin_attempt(self.spec)
        if self.retry_queue:
            index = self.retry_queue.pop()
        else:
            index = self.first_untried
            self.first_untried += 1
        chunk = self.chunk_of(index)
        # All tasks of a gang's attempt share its number, by which they find each other.
        previous = self.previous_gang_attempt if self.is_gang else chunk.attempts.get(index, 0)
        attempt = Attempt(previous + 1)
        chunk.attempts[index] = attempt
        chunk.placed[index] = Placement(attempt, machine, agent_epoch)
        return TaskId(self.ref, index), attempt

    def _highest_attempt(self) -> Attempt:
        """The highest attempt number of any task."""
        attempts = (
            attempt for chunk in self.chunks.values() for attempt in chunk.attempts.values()
        )
        return max(attempts, default=NO_ATTEMPT)

    def is_current(self, index: int, attempt: Attempt, machine: MachineId) -> bool:
        """Whether the task's current attempt has this number and is on this machine."""
        chunk = self.chunks.get(index // self.chunk_length)
        placement = chunk.placed.get(index) if chunk is not None else None
        return (
            placement is not None and placement.attempt == attempt and placement.machine == machine
        )

    def finish(self, index: int) -> None:
        """Mark the task as done: its current attempt completed."""
        chunk = self.chunk_of(index)
        chunk.placed.pop(index, None)
        chunk.attempts.pop(index, None)
        if not self.done[index]:
            self.done[index] = 1
            self.done_count += 1
        self.failures.pop(index, None)
        self.has_completed_task = True

    def requeue(self, index: int, not_before: Seconds | None) -> None:
        """Queue the task again: its current attempt is proven to have ended without a result.

        `not_before` is the earliest time of the next attempt; None allows it at once.
        """
        chunk = self.chunk_of(index)
        chunk.placed.pop(index, None)
        if not_before is None:
            self.retry_queue.append(index)
        else:
            heapq.heappush(self.delayed, (not_before, index))

    def encode_chunk(self, chunk: Chunk) -> Record:
        """Encode the chunk in the form of `stored_placements.StoredChunk`."""
        first = chunk.number * self.chunk_length
        last = min(first + self.chunk_length, self.spec.tasks)
        rows: list[list[int | str]] = []
        for index, attempt in sorted(chunk.attempts.items()):
            placement = chunk.placed.get(index)
            if placement is None:
                rows.append([index, attempt])
            else:
                rows.append([index, attempt, placement.machine, placement.agent_epoch])
        return [self.ref, chunk.number, _ranges(self.done, first, last), rows]

    def load_tasks(
        self, first: int, last: int, done: Iterable[TaskRange], attempts: Iterable[StoredAttempt]
    ) -> list[Chunk]:
        """Replace the state of the tasks from `first` to before `last` by the stored state.

        Returns the chunks that contain these tasks.
        """
        for start, end in done:
            for index in range(start, end):
                self.done[index] = 1
        last = min(last, self.spec.tasks)
        loaded_chunks = [
            self._chunk(number)
            for number in range(first // self.chunk_length, (last - 1) // self.chunk_length + 1)
        ]
        for chunk in loaded_chunks:
            for index in [index for index in chunk.attempts if first <= index < last]:
                del chunk.attempts[index]
                chunk.placed.pop(index, None)
        for stored in attempts:
            chunk = self.chunk_of(stored.index)
            chunk.attempts[stored.index] = stored.attempt
            if stored.machine is not None:
                chunk.placed[stored.index] = Placement(
                    stored.attempt, stored.machine, stored.agent_epoch
                )
        for chunk in loaded_chunks:
            chunk.recorded = chunk.known_placements()
        return loaded_chunks

    def finish_loading(self) -> None:
        """Determine which tasks are waiting, after all chunks are loaded."""
        self.done_count = sum(self.done)
        if self.is_gang and self.placed_count():
            self.previous_gang_attempt = Attempt(self._highest_attempt() - 1)
        loaded_end = (max(self.chunks) + 1) * self.chunk_length if self.chunks else 0
        self.first_untried = min(loaded_end, self.spec.tasks)
        self.retry_queue = [
            index
            for index in range(self.first_untried - 1, -1, -1)
            if not self.done[index] and not self.is_placed(index)
        ]

    def finish_unplaced(self) -> None:
        """Mark all tasks as done that are not placed."""
        for index in range(self.spec.tasks):
            if not self.done[index] and not self.is_placed(index):
                self.finish(index)
        self.retry_queue.clear()
        self.delayed.clear()
        self.first_untried = self.spec.tasks

    def is_placed(self, index: int) -> bool:
        """Whether an attempt of the task may be on a machine."""
        chunk = self.chunks.get(index // self.chunk_length)
        return chunk is not None and index in chunk.placed

    @property
    def complete(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count >= self.spec.tasks

    def is_over(self) -> bool:
        """Whether the job's end can be recorded.

        Either all tasks are done, or the job is cancelled and no task is placed.
        """
        if self.complete:
            return True
        return self.cancelled and self.placed_count() == 0


def _ranges(flags: bytearray, first: int, last: int) -> list[list[int]]:
    """Return the ranges of set flags from `first` to before `last`, each as a `TaskRange`."""
    ranges: list[list[int]] = []
    index = flags.find(1, first, last)
    while index >= 0:
        end = flags.find(0, index, last)
        if end < 0:
            end = last
        ranges.append([index, end])
        index = flags.find(1, end, last)
    return ranges
