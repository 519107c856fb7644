"""Messages of users: the job that a submission describes.

The structure has the protocol's field names; `job` maps them to the core's type.
"""

from __future__ import annotations

import math
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from ..core.model.ids import Image, JobRef, Team, TypeName, Zone, is_job_ref
from ..core.model.job_spec import JobSpec, Priority, Shape

MAX_BYTES = 64 * 1024
MAX_TASKS = 100_000

Amount = Annotated[float, Meta(ge=0.0, le=1e12)]
Text = Annotated[str, Meta(min_length=1, max_length=200)]

PRIORITIES = {
    "low": Priority.LOW,
    "standard": Priority.NORMAL,
    "urgent": Priority.HIGH,
    "prod": Priority.PRODUCTION,
}

SHAPES = {"array": Shape.ARRAY, "ensemble": Shape.GANG, "service": Shape.SERVICE}


class Submission(msgspec.Struct):
    """The body of POST /work."""

    ref: Text
    jobline: Text
    crew: str
    shape: Literal["array", "ensemble", "service"]
    urgency: Literal["prod", "urgent", "standard", "low"]
    picks: Annotated[int, Meta(ge=1, le=MAX_TASKS)]
    cores: Amount
    gpus: Amount
    memory_gb: Amount
    kit: Text
    image_gb: Amount
    together: bool
    apart: bool
    loaners: bool
    expect_s: Amount
    stash_every_s: Amount
    stash_s: Amount
    rigs: list[str] | None = None
    yard: str | None = None
    due_s: Amount | None = None

    def job(self) -> JobSpec:
        """The job in the core's terms."""
        return JobSpec(
            ref=JobRef(self.ref),
            job_class=self.jobline,
            team=Team(self.crew),
            priority=PRIORITIES[self.urgency],
            tasks=self.picks,
            cpus=self.cores,
            gpus=self.gpus,
            memory_gb=self.memory_gb,
            image=Image(self.kit),
            image_gb=self.image_gb,
            types=None if self.rigs is None else tuple(TypeName(rig) for rig in self.rigs),
            zone=None if self.yard is None else Zone(self.yard),
            one_zone=self.together,
            spread=self.apart,
            spot=self.loaners,
            estimate_s=self.expect_s,
            checkpoint_s=self.stash_every_s,
            save_s=self.stash_s,
            deadline_s=self.due_s,
            shape=SHAPES[self.shape],
        )


_decoder = msgspec.msgpack.Decoder(Submission)
_any_decoder = msgspec.msgpack.Decoder()


class MalformedSubmission(msgspec.Struct, frozen=True):
    """A body that describes no job, is too long, or has a number that is not finite."""

    ref: JobRef | None
    """The job's name, if that much is readable: a job of this name may exist already."""


def parse_submission(body: bytes) -> JobSpec | MalformedSubmission:
    """The job that the body of POST /work describes."""
    try:
        submission = _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return MalformedSubmission(_name_in(body))
    if not is_job_ref(submission.ref):
        return MalformedSubmission(None)
    if not _fits(body) or not all(map(math.isfinite, _amounts(submission))):
        return MalformedSubmission(JobRef(submission.ref))
    return submission.job()


def _fits(body: bytes) -> bool:
    """Whether the body keeps to the size limit.

    That counts JSON, which is seldom more than four times as long.
    """
    if len(body) > MAX_BYTES:
        return False
    if len(body) * 4 <= MAX_BYTES:
        return True
    try:
        return len(msgspec.json.encode(_any_decoder.decode(body))) <= MAX_BYTES
    except (TypeError, ValueError):
        return False


def _amounts(submission: Submission) -> tuple[float, ...]:
    return (
        submission.cores,
        submission.gpus,
        submission.memory_gb,
        submission.image_gb,
        submission.expect_s,
        submission.stash_every_s,
        submission.stash_s,
        submission.due_s or 0.0,
    )


def _name_in(body: bytes) -> JobRef | None:
    try:
        raw: Any = _any_decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError, TypeError):
        return None
    ref = raw.get("ref") if isinstance(raw, dict) else None
    return JobRef(ref) if isinstance(ref, str) and is_job_ref(ref) else None
