"""Messages of users: the submission of a job.

The structure uses the protocol's field names; `job_spec` maps them to the core's type.
"""

from __future__ import annotations

import math
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from ..core.model.ids import Image, JobRef, Team, TypeName, Zone, is_job_ref
from ..core.model.job_spec import JobSpec, Priority, Shape

MAX_BODY_BYTES = 64 * 1024
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
    """The request body of POST /work."""

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

    def job_spec(self) -> JobSpec:
        """Convert to the core's type."""
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
_untyped_decoder = msgspec.msgpack.Decoder()


class MalformedSubmission(msgspec.Struct, frozen=True):
    """The body is not a valid submission, is too long, or has a number that is not finite."""

    ref: JobRef | None
    """The job's name if it is valid and can be decoded: a job of this name may exist already."""


def parse_submission(body: bytes) -> JobSpec | MalformedSubmission:
    """Decode and validate the request body of POST /work."""
    try:
        submission = _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return MalformedSubmission(_decode_job_ref(body))
    if not is_job_ref(submission.ref):
        return MalformedSubmission(None)
    if not _within_size_limit(body) or not all(map(math.isfinite, _numeric_fields(submission))):
        return MalformedSubmission(JobRef(submission.ref))
    return submission.job_spec()


def _within_size_limit(body: bytes) -> bool:
    """Whether the body keeps to the size limit, which applies to its length as JSON.

    JSON is seldom more than four times as long as MessagePack. Therefore a body is converted to
    JSON and measured only if it is longer than a quarter of the limit.
    """
    if len(body) > MAX_BODY_BYTES:
        return False
    if len(body) * 4 <= MAX_BODY_BYTES:
        return True
    try:
        return len(msgspec.json.encode(_untyped_decoder.decode(body))) <= MAX_BODY_BYTES
    except (TypeError, ValueError):
        return False


def _numeric_fields(submission: Submission) -> tuple[float, ...]:
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


def _decode_job_ref(body: bytes) -> JobRef | None:
    try:
        raw: Any = _untyped_decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError, TypeError):
        return None
    ref = raw.get("ref") if isinstance(raw, dict) else None
    return JobRef(ref) if isinstance(ref, str) and is_job_ref(ref) else None
