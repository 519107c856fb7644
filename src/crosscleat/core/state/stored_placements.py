"""The stored form of placement records, `work/<n>`, which every version must be able to read.

A record is a map with the chunks as `jobs`, and the chunk length as `span` if it is not the
default. A chunk is an array of its job's id, its number, the ranges of tasks that are done, and a
row for each other task that was attempted. A row has the task's number and attempt number, and, if
the attempt may be on a machine, the machine and its agent epoch. `Job.encode_chunk` encodes chunks
without creating these structs, because records are written often.
"""

from __future__ import annotations

import msgspec

from ..model.ids import AgentEpoch, Attempt, JobRef, MachineId
from ..model.store_calls import Record

DEFAULT_CHUNK_LENGTH = 200
"""Tasks per chunk if the record has no `span`, as in all records written before `format/` keys."""

TaskRange = tuple[int, int]
"""The first task of a range, and the task after its last."""


class StoredAttempt(msgspec.Struct, array_like=True, frozen=True):
    """The last attempt of a task; `machine` is None if the attempt is proven to have ended."""

    index: int
    attempt: Attempt
    machine: MachineId | None = None
    agent_epoch: AgentEpoch = AgentEpoch(0)


class StoredChunk(msgspec.Struct, array_like=True, frozen=True):
    """Consecutive tasks of one job: chunk `number` in units of its record's chunk length."""

    job: JobRef
    number: int
    done: list[TaskRange]
    attempts: list[StoredAttempt]


class StoredPlacements(msgspec.Struct, frozen=True):
    """The content of a placement record."""

    chunks: list[StoredChunk] = msgspec.field(name="jobs")
    chunk_length: int = msgspec.field(name="span", default=DEFAULT_CHUNK_LENGTH)

    @classmethod
    def parse(cls, record: Record) -> StoredPlacements:
        """Parse a record; raises `msgspec.ValidationError` if it does not have this form."""
        return msgspec.convert(record, cls)


def encode_placements(chunks: list[Record], chunk_length: int) -> Record:
    """Encode a record; the default chunk length is omitted."""
    if chunk_length == DEFAULT_CHUNK_LENGTH:
        return {"jobs": chunks}
    return {"jobs": chunks, "span": chunk_length}
