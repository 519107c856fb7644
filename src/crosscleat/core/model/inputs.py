"""The inputs of a controller's step: time, results of calls, requests and peers' messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .heartbeats import Heartbeat
from .ids import JobRef, Member
from .job_spec import JobSpec
from .shards import ShardProposal, ShardView


class Tick(msgspec.Struct, frozen=True):
    """A tenth of a second has passed."""


class Started(msgspec.Struct, frozen=True):
    """The process has started; the first input."""


class CallCompleted(msgspec.Struct, frozen=True):
    """A call's result, or the end of a delay: run its continuation."""

    continuation: Callable[..., None]
    results: tuple[Any, ...] = ()


class SubmitJob(msgspec.Struct, frozen=True):
    """A user submits a job."""

    request: int
    spec: JobSpec


class RejectJob(msgspec.Struct, frozen=True):
    """A submission that is malformed, with its job's name if that much is readable."""

    request: int
    ref: JobRef | None
    status: int


class QueryJob(msgspec.Struct, frozen=True):
    """A user asks about a job."""

    request: int
    ref: JobRef


class CancelJob(msgspec.Struct, frozen=True):
    """A user cancels a job."""

    request: int
    ref: JobRef


class HeartbeatReceived(msgspec.Struct, frozen=True):
    """A heartbeat that a worker sent here, or that another controller relayed."""

    request: int
    heartbeat: Heartbeat
    relayed: bool = False


class ProbeReply(msgspec.Struct, frozen=True):
    """The status of a worker, from another controller that this one asked to probe it."""

    heartbeat: Heartbeat


class ProgressReceived(msgspec.Struct, frozen=True):
    """The leader's numbers of done and running tasks by job, for display."""

    counts: dict[str, tuple[int, int]]


class ShardRequested(msgspec.Struct, frozen=True):
    """A leader asks this controller to plan its shard of a full cycle."""

    member: Member
    view: ShardView


class ShardProposed(msgspec.Struct, frozen=True):
    """The assignments that a shard owner proposes for its shard."""

    member: Member
    proposal: ShardProposal


class PeerUnreachable(msgspec.Struct, frozen=True):
    """A peer's link closed and its address refuses connections: its process may have ended."""

    member: Member


Input = (
    Tick
    | Started
    | CallCompleted
    | SubmitJob
    | RejectJob
    | QueryJob
    | CancelJob
    | HeartbeatReceived
    | ProbeReply
    | ProgressReceived
    | ShardRequested
    | ShardProposed
    | PeerUnreachable
)
