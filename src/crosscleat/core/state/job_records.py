"""The records that keep a job in the store while it is live, and its outcome for good."""

from __future__ import annotations

import msgspec

from ..model.ids import WallTime
from ..model.job_spec import JobSpec
from ..model.store_calls import Record


def live_record(spec: JobSpec, submitted: WallTime, cancelled: bool) -> Record:
    """What is stored of a job until it is over."""
    return {"spec": msgspec.to_builtins(spec), "at": submitted, "aborted": cancelled}


def spec_of(record: Record) -> JobSpec:
    """The job as its live record describes it."""
    return msgspec.convert(record["spec"], JobSpec)


def submitted_at(record: Record) -> WallTime:
    """When the job of this live record was submitted."""
    return WallTime(record["at"])


def is_cancelled(record: Record) -> bool:
    """Whether the job of this live record was cancelled by its user."""
    cancelled: bool = record["aborted"]
    return cancelled


class JobOutcome(msgspec.Struct, frozen=True):
    """How a job ended: with all its tasks done, or cancelled."""

    tasks: int
    cancelled: bool


def outcome_of(record: Record) -> JobOutcome:
    """The job's end as its ended record describes it."""
    return JobOutcome(record["tasks"], record["aborted"])


def ended_record(tasks: int, cancelled: bool) -> Record:
    """What is stored of a job's outcome, for good."""
    return {"tasks": tasks, "aborted": cancelled}
