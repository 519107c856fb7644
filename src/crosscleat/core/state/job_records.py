"""The stored records of jobs: a live record until the job is over, then a permanent outcome."""

from __future__ import annotations

import msgspec

from ..model.ids import WallTime
from ..model.job_spec import JobSpec
from ..model.store_calls import Record


def live_record(spec: JobSpec, submitted: WallTime, cancelled: bool) -> Record:
    """Encode the record that is stored until the job is over."""
    return {"spec": msgspec.to_builtins(spec), "at": submitted, "aborted": cancelled}


def spec_of(record: Record) -> JobSpec:
    """Decode the job's spec from its live record."""
    return msgspec.convert(record["spec"], JobSpec)


def submitted_at(record: Record) -> WallTime:
    """Decode from a live record when the job was submitted."""
    return WallTime(record["at"])


def is_cancelled(record: Record) -> bool:
    """Decode from a live record whether the user cancelled the job."""
    cancelled: bool = record["aborted"]
    return cancelled


class JobOutcome(msgspec.Struct, frozen=True):
    """How a job ended: all its tasks are done, or it was cancelled."""

    tasks: int
    cancelled: bool


def outcome_of(record: Record) -> JobOutcome:
    """Decode a job's outcome from its ended record."""
    return JobOutcome(record["tasks"], record["aborted"])


def ended_record(tasks: int, cancelled: bool) -> Record:
    """Encode the permanent record of a job's outcome."""
    return {"tasks": tasks, "aborted": cancelled}
