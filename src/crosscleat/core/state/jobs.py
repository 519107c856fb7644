"""Jobs as the leader holds them, and the records that keep jobs in the store.

`live/<ref>` holds the spec and whether its user cancelled it, `ended/<ref>` the final
outcome. A chunk of tasks, kept in one of the leader's records (`records`), says which are
done, and which attempt of the others may be on which machine. `format/<member>` says that this
controller has come to the version that may write smaller chunks.
"""

from __future__ import annotations

import heapq
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

NEVER_TRIED = Attempt(0)

DEFAULT_CHUNK_LENGTH = 200
"""Tasks that are kept together where nothing says otherwise, and always before `format/`."""


@dataclass(slots=True)
class Placement:
    """Where the present attempt of a task may be."""

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
    """A job's `span` of consecutive tasks, kept together in one record."""

    number: int
    record_number: int | None = None
    """The number of the record that keeps it."""
    placed: dict[int, Placement] = field(default_factory=dict)
    attempts: dict[int, Attempt] = field(default_factory=dict)
    recorded: frozenset[RecordedPlacement] = frozenset()
    """Where the stored records say that attempts may be."""

    def known_placements(self) -> frozenset[RecordedPlacement]:
        """Where attempts may be as far as this process knows, recorded or not."""
        return frozenset(
            RecordedPlacement(index, placed.attempt, placed.machine)
            for index, placed in self.placed.items()
        )

    def has_unrecorded(self) -> bool:
        """Whether an attempt is entered that the store does not have."""
        return any((i, p.attempt, p.machine) not in self.recorded for i, p in self.placed.items())


@dataclass(slots=True, eq=False)
class Job:
    """A job and the state of its tasks, as the leader holds them."""

    spec: JobSpec
    version: Version
    submitted: Seconds
    chunk_length: int = DEFAULT_CHUNK_LENGTH
    cancelled: bool = False
    done: bytearray = field(default_factory=bytearray)
    done_count: int = 0
    first_untried: int = 0
    """Tasks from here on have never been tried."""
    retry_queue: list[int] = field(default_factory=list)
    delayed: list[tuple[Seconds, int]] = field(default_factory=list)
    """Tasks that failed and wait before they are tried again."""
    failures: dict[int, int] = field(default_factory=dict)
    failed_on: set[MachineId] = field(default_factory=set)
    succeeded: bool = False
    chunks: dict[int, Chunk] = field(default_factory=dict)
    gang_attempt: Attempt = NEVER_TRIED
    """The number before that of a gang's present attempt."""
    progress: GangProgress = field(default_factory=GangProgress)
    """Of a gang only."""
    idle_since: Seconds = LONG_AGO
    """When the last of its tasks left its machine; before its submission: none was on one."""
    at_risk: bool = False
    """The loss of a cheap machine may well make it late (`interruptions`)."""
    backfill: bool = False
    """It only uses what others leave idle (`model.is_backfill`)."""
    needs_reread: bool = False
    """Its end is being written, or its live record changed under a write of ours."""

    def __post_init__(self) -> None:
        if not self.done:
            self.done = bytearray(self.spec.tasks)

    @property
    def ref(self) -> JobRef:
        """The job's id."""
        return self.spec.ref

    def chunk_of(self, index: int) -> Chunk:
        """The chunk that holds the task."""
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
        """Whether all of a gang's tasks may be on machines, as far as the store knows."""
        return self.placed_count() == self.spec.tasks and not any(
            s.has_unrecorded() for s in self.chunks.values()
        )

    @property
    def ever_placed(self) -> bool:
        """Whether any task of it is, or was, on a machine."""
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
        return sum(len(s.placed) for s in self.chunks.values())

    def idle_duration_s(self, now: Seconds) -> float:
        """For how long no task of it has been on a machine."""
        return 0.0 if self.placed_count() else now - max(self.submitted, self.idle_since)

    def resume_delayed(self, now: Seconds) -> None:
        """Let tasks be tried again that have rested for long enough."""
        while self.delayed and self.delayed[0][0] <= now:
            self.retry_queue.append(heapq.heappop(self.delayed)[1])

    def next_task(self) -> int | None:
        """The task to place next."""
        if self.retry_queue:
            return self.retry_queue[-1]
        return self.first_untried if self.first_untried < self.spec.tasks else None

    def place(self, machine: MachineId, agent_epoch: AgentEpoch) -> tuple[TaskId, Attempt]:
        """Take the next task and enter its new attempt, to be recorded before it is sent."""
        if self.is_gang and not self.placed_count():
            self.gang_attempt = self._tried_last()
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

    def _tried_last(self) -> Attempt:
        """The highest number that an attempt of any task has had."""
        tries = (attempt for s in self.chunks.values() for attempt in s.attempts.values())
        return max(tries, default=NEVER_TRIED)

    def is_current(self, index: int, attempt: Attempt, machine: MachineId) -> bool:
        """Whether the task's present attempt has this number and is on this machine."""
        chunk = self.chunks.get(index // self.chunk_length)
        placement = chunk.placed.get(index) if chunk is not None else None
        return (
            placement is not None and placement.attempt == attempt and placement.machine == machine
        )

    def finish(self, index: int) -> None:
        """The task's current attempt completed."""
        chunk = self.chunk_of(index)
        chunk.placed.pop(index, None)
        chunk.attempts.pop(index, None)
        if not self.done[index]:
            self.done[index] = 1
            self.done_count += 1
        self.failures.pop(index, None)
        self.succeeded = True

    def requeue(self, index: int, not_before: Seconds | None) -> None:
        """The task's current attempt is proven gone without result."""
        chunk = self.chunk_of(index)
        chunk.placed.pop(index, None)
        if not_before is None:
            self.retry_queue.append(index)
        else:
            heapq.heappush(self.delayed, (not_before, index))

    def chunk_record(self, chunk: Chunk) -> tuple[Record, Record]:
        """What a record keeps of the chunk: the tasks done, and the attempts of others."""
        first = chunk.number * self.chunk_length
        last = min(first + self.chunk_length, self.spec.tasks)
        rows: list[list[int | str]] = []
        for index, attempt in sorted(chunk.attempts.items()):
            placement = chunk.placed.get(index)
            if placement is None:
                rows.append([index, attempt])
            else:
                rows.append([index, attempt, placement.machine, placement.agent_epoch])
        return _ranges(self.done, first, last), rows

    def load_chunk_record(self, first: int, last: int, done: Record, rows: Record) -> list[Chunk]:
        """Take over these tasks as an earlier leader left them, in place of what was known."""
        for start, end in done:
            for index in range(start, end):
                self.done[index] = 1
        last = min(last, self.spec.tasks)
        found = [
            self._chunk(n)
            for n in range(first // self.chunk_length, (last - 1) // self.chunk_length + 1)
        ]
        for chunk in found:
            for index in [i for i in chunk.attempts if first <= i < last]:
                del chunk.attempts[index]
                chunk.placed.pop(index, None)
        for row in rows:
            index, attempt = row[0], Attempt(row[1])
            chunk = self.chunk_of(index)
            chunk.attempts[index] = attempt
            if len(row) > 2:
                chunk.placed[index] = Placement(attempt, MachineId(row[2]), AgentEpoch(row[3]))
        for chunk in found:
            chunk.recorded = chunk.known_placements()
        return found

    def finish_loading(self) -> None:
        """All chunks are in: work out what waits."""
        self.done_count = sum(self.done)
        if self.is_gang and self.placed_count():
            self.gang_attempt = Attempt(self._tried_last() - 1)
        reached = (max(self.chunks) + 1) * self.chunk_length if self.chunks else 0
        self.first_untried = min(reached, self.spec.tasks)
        self.retry_queue = [
            index
            for index in range(self.first_untried - 1, -1, -1)
            if not self.done[index] and not self.is_placed(index)
        ]

    def finish_unplaced(self) -> None:
        """The tasks that are neither done nor placed, whatever they waited for."""
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
        """Nothing more can happen to any task of it."""
        if self.complete:
            return True
        return self.cancelled and self.placed_count() == 0


def _ranges(flags: bytearray, first: int, last: int) -> list[list[int]]:
    found: list[list[int]] = []
    index = flags.find(1, first, last)
    while index >= 0:
        end = flags.find(0, index, last)
        if end < 0:
            end = last
        found.append([index, end])
        index = flags.find(1, end, last)
    return found
