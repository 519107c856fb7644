"""The records that keep a job in the store while it is live, and its outcome for good."""

from __future__ import annotations

import msgspec

from ..model.ids import (
    WallTime,
)
from ..model.job_spec import JobSpec
from ..model.store_calls import Record


def live_record(spec: JobSpec, submitted: WallTime, cancelled: bool) -> Record:
    """What is stored of a job until it is over."""
    return {"spec": msgspec.to_builtins(spec), "at": submitted, "aborted": cancelled}


def spec_of(record: Record) -> JobSpec:
    """The job as its live record describes it."""
    return msgspec.convert(record["spec"], JobSpec)


def ended_record(tasks: int, cancelled: bool) -> Record:
    """What is stored of a job's outcome, for good."""
    return {"tasks": tasks, "aborted": cancelled}
