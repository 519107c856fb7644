"""The inputs of a controller's step: time, results of calls, requests and peers' messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .heartbeats import Report
from .ids import JobRef, Member
from .job_spec import JobSpec
from .shards import Proposal, View


class Tick(msgspec.Struct, frozen=True):
    """A tenth of a second has passed."""


class Began(msgspec.Struct, frozen=True):
    """The process is up."""


class Completed(msgspec.Struct, frozen=True):
    """A call's result, or the end of a delay: run its continuation."""

    then: Callable[..., None]
    results: tuple[Any, ...] = ()


class Submit(msgspec.Struct, frozen=True):
    """A user submits a job."""

    request: int
    spec: JobSpec


class Refuse(msgspec.Struct, frozen=True):
    """A submission that is malformed, with its job's name if that much is readable."""

    request: int
    ref: JobRef | None
    status: int


class Poll(msgspec.Struct, frozen=True):
    """A user asks about a job."""

    request: int
    ref: JobRef


class Abort(msgspec.Struct, frozen=True):
    """A user cancels a job."""

    request: int
    ref: JobRef


class CheckIn(msgspec.Struct, frozen=True):
    """A worker's report, received here or relayed by another controller."""

    request: int
    report: Report
    relayed: bool = False


class Probed(msgspec.Struct, frozen=True):
    """A worker's report that another controller brought at our request."""

    report: Report


class Progress(msgspec.Struct, frozen=True):
    """The leader's counts of done and running tasks, for display."""

    counts: dict[str, tuple[int, int]]


class PartGiven(msgspec.Struct, frozen=True):
    """A leader asks us to plan our part of a round."""

    member: Member
    view: View


class Proposed(msgspec.Struct, frozen=True):
    """An owner's choices for its part."""

    member: Member
    proposal: Proposal


class PeerGone(msgspec.Struct, frozen=True):
    """A peer's link closed and its address refuses connections: its process may have ended."""

    member: Member


Input = (
    Tick
    | Began
    | Completed
    | Submit
    | Refuse
    | Poll
    | Abort
    | CheckIn
    | Probed
    | Progress
    | PartGiven
    | Proposed
    | PeerGone
)
