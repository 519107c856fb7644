"""Jobs in the leader's memory: which tasks are done, waiting or placed, and what is recorded.

`live/<ref>` keeps the spec and whether its user cancelled the job, `ended/<ref>` the final
outcome (`job_records`). A job's tasks are divided into chunks, each kept in one placement record
(`placement_records`).
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
"""The number before that of the first attempt."""


@dataclass(slots=True)
class Placement:
    """The machine and agent epoch of a task's present attempt."""

    attempt: Attempt
    machine: MachineId
    agent_epoch: AgentEpoch


class RecordedPlacement(NamedTuple):
    """An attempt of the task with this number is on the machine, as far as the store knows.

    The machine belongs to it: a gang's lost task is replaced under the same attempt number.
    """

    number: int
    attempt: Attempt
    machine: MachineId


@dataclass(slots=True, eq=False)
class Chunk:
    """Consecutive tasks of a job, kept together in one placement record."""

    number: int
    record_number: int | None = None
    """The number of the record that keeps it."""
    placed: dict[int, Placement] = field(default_factory=dict)
    """Tasks with an attempt that may be on a machine."""
    attempts: dict[int, Attempt] = field(default_factory=dict)
    """The last attempt of each task that was attempted and is not done."""
    recorded: frozenset[RecordedPlacement] = frozenset()
    """Where the stored records say that attempts may be."""

    def known_placements(self) -> frozenset[RecordedPlacement]:
        """Where attempts may be according to this process, recorded or not."""
        return frozenset(
            RecordedPlacement(index, placed.attempt, placed.machine)
            for index, placed in self.placed.items()
        )

    def has_unrecorded(self) -> bool:
        """Whether an attempt is placed that the store does not have."""
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
    """Tasks from this number on have never been attempted."""
    retry_queue: list[int] = field(default_factory=list)
    """Tasks that may be attempted again now; the last one is the next."""
    delayed: list[tuple[Seconds, int]] = field(default_factory=list)
    """A heap of tasks that may be attempted again at a later time."""
    failures: dict[int, int] = field(default_factory=dict)
    """Failures of each task since it last completed."""
    failed_on: set[MachineId] = field(default_factory=set)
    succeeded: bool = False
    """A task of it has completed in this term."""
    chunks: dict[int, Chunk] = field(default_factory=dict)
    gang_attempt: Attempt = NO_ATTEMPT
    """The number before the one of a gang's present attempt."""
    progress: GangProgress = field(default_factory=GangProgress)
    """Used for gangs only."""
    idle_since: Seconds = LONG_AGO
    """When an attempt of it last ended; earlier than its submission if none has."""
    at_risk: bool = False
    """The loss of a spot machine is likely to make it late (`interruptions`)."""
    backfill: bool = False
    """It only uses capacity that others leave idle (`model.is_backfill`)."""
    needs_reread: bool = False
    """Its end is being written, or a write of ours found its live record changed."""

    def __post_init__(self) -> None:
        if not self.done:
            self.done = bytearray(self.spec.tasks)

    @property
    def ref(self) -> JobRef:
        """The job's id."""
        return self.spec.ref

    def chunk_of(self, index: int) -> Chunk:
        """The chunk that the task belongs to, created if it does not exist yet."""
        return self._chunk(index // self.chunk_length)

    def _chunk(self, number: int) -> Chunk:
        chunk = self.chunks.get(number)
        if chunk is None:
            chunk = self.chunks[number] = Chunk(number)
        return chunk

    @property
    def is_gang(self) -> bool:
        """Whether its tasks run together or not at all."""
        return self.spec.shape is Shape.GANG

    @property
    def fully_recorded(self) -> bool:
        """Whether the store has a placement of every task of the gang."""
        return self.placed_count() == self.spec.tasks and not any(
            chunk.has_unrecorded() for chunk in self.chunks.values()
        )

    @property
    def ever_placed(self) -> bool:
        """Whether any task of it has ever been placed."""
        return self.first_untried > 0

    def waiting_count(self) -> int:
        """Tasks that could be placed now."""
        return self.spec.tasks - self.first_untried + len(self.retry_queue)

    @property
    def partly_placed(self) -> bool:
        """Whether a gang lacks some of its tasks, none of which has completed."""
        return 0 < self.placed_count() < self.spec.tasks and not self.done_count

    def placed_count(self) -> int:
        """Tasks that may be on a machine."""
        return sum(len(chunk.placed) for chunk in self.chunks.values())

    def idle_duration_s(self, now: Seconds) -> float:
        """For how long no task of it has been on a machine."""
        return 0.0 if self.placed_count() else now - max(self.submitted, self.idle_since)

    def resume_delayed(self, now: Seconds) -> None:
        """Move tasks whose delay has elapsed to the retry queue."""
        while self.delayed and self.delayed[0][0] <= now:
            self.retry_queue.append(heapq.heappop(self.delayed)[1])

    def next_task(self) -> int | None:
        """The task to place next; None if none waits."""
        if self.retry_queue:
            return self.retry_queue[-1]
        return self.first_untried if self.first_untried < self.spec.tasks else None

    def place(self, machine: MachineId, agent_epoch: AgentEpoch) -> tuple[TaskId, Attempt]:
        """Place a new attempt of the next task: it must be recorded before a start is sent."""
        if self.is_gang and not self.placed_count():
            self.gang_attempt = self._highest_attempt()
            self.progress.begin_attempt(self.spec)
        if self.retry_queue:
            index = self.retry_queue.pop()
        else:
            index = self.first_untried
            self.first_untried += 1
        chunk = self.chunk_of(index)
        # All tasks of a gang's attempt have its number: by that they find each other.
        before = self.gang_attempt if self.is_gang else chunk.attempts.get(index, 0)
        attempt = Attempt(before + 1)
        chunk.attempts[index] = attempt
        chunk.placed[index] = Placement(attempt, machine, agent_epoch)
        return TaskId(self.ref, index), attempt

    def _highest_attempt(self) -> Attempt:
        """The highest number that an attempt of any task has had."""
        attempts = (
            attempt for chunk in self.chunks.values() for attempt in chunk.attempts.values()
        )
        return max(attempts, default=NO_ATTEMPT)

    def is_current(self, index: int, attempt: Attempt, machine: MachineId) -> bool:
        """Whether the task's present attempt has this number and is on this machine."""
        chunk = self.chunks.get(index // self.chunk_length)
        placement = chunk.placed.get(index) if chunk is not None else None
        return (
            placement is not None and placement.attempt == attempt and placement.machine == machine
        )

    def finish(self, index: int) -> None:
        """The task's present attempt completed."""
        chunk = self.chunk_of(index)
        chunk.placed.pop(index, None)
        chunk.attempts.pop(index, None)
        if not self.done[index]:
            self.done[index] = 1
            self.done_count += 1
        self.failures.pop(index, None)
        self.succeeded = True

    def requeue(self, index: int, not_before: Seconds | None) -> None:
        """The task's present attempt is proven to have ended without a result.

        `not_before` delays the next attempt; None: at once.
        """
        chunk = self.chunk_of(index)
        chunk.placed.pop(index, None)
        if not_before is None:
            self.retry_queue.append(index)
        else:
            heapq.heappush(self.delayed, (not_before, index))

    def encode_chunk(self, chunk: Chunk) -> Record:
        """The stored form of the chunk, as `stored_placements.StoredChunk` describes it."""
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
        """Replace what is known of the tasks from `first` to before `last` by what is stored.

        Returns the chunks that these tasks belong to.
        """
        for start, end in done:
            for index in range(start, end):
                self.done[index] = 1
        last = min(last, self.spec.tasks)
        found = [
            self._chunk(number)
            for number in range(first // self.chunk_length, (last - 1) // self.chunk_length + 1)
        ]
        for chunk in found:
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
        for chunk in found:
            chunk.recorded = chunk.known_placements()
        return found

    def finish_loading(self) -> None:
        """Work out which tasks wait, after all chunks are loaded."""
        self.done_count = sum(self.done)
        if self.is_gang and self.placed_count():
            self.gang_attempt = Attempt(self._highest_attempt() - 1)
        reached = (max(self.chunks) + 1) * self.chunk_length if self.chunks else 0
        self.first_untried = min(reached, self.spec.tasks)
        self.retry_queue = [
            index
            for index in range(self.first_untried - 1, -1, -1)
            if not self.done[index] and not self.is_placed(index)
        ]

    def finish_unplaced(self) -> None:
        """Mark all tasks as done that are neither done nor placed."""
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
        """Whether its end can be recorded: all tasks done, or cancelled with no task placed."""
        if self.complete:
            return True
        return self.cancelled and self.placed_count() == 0


def _ranges(flags: bytearray, first: int, last: int) -> list[list[int]]:
    """Ranges of set flags between `first` and before `last`, as in `TaskRange`."""
    found: list[list[int]] = []
    index = flags.find(1, first, last)
    while index >= 0:
        end = flags.find(0, index, last)
        if end < 0:
            end = last
        found.append([index, end])
        index = flags.find(1, end, last)
    return found
