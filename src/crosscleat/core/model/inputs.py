"""The inputs of a controller's step: ticks, results of calls, requests and messages from peers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .heartbeats import Heartbeat
from .ids import JobRef, Member
from .job_spec import JobSpec
from .shards import ShardProposal, ShardView


class Tick(msgspec.Struct, frozen=True):
    """Sent every tenth of a second."""


class Started(msgspec.Struct, frozen=True):
    """The process has started; this is the first input."""


class CallCompleted(msgspec.Struct, frozen=True):
    """A call has a result, or a delay has ended; its continuation is run with `results`."""

    continuation: Callable[..., None]
    results: tuple[Any, ...] = ()


class SubmitJob(msgspec.Struct, frozen=True):
    """A user submits a job."""

    request: int
    spec: JobSpec


class RejectJob(msgspec.Struct, frozen=True):
    """A user submits a malformed job; `ref` is its id if that is readable."""

    request: int
    ref: JobRef | None
    status: int


class QueryJob(msgspec.Struct, frozen=True):
    """A user queries the status of a job."""

    request: int
    ref: JobRef


class CancelJob(msgspec.Struct, frozen=True):
    """A user cancels a job."""

    request: int
    ref: JobRef


class HeartbeatReceived(msgspec.Struct, frozen=True):
    """A heartbeat from a worker, received directly or relayed by another controller."""

    request: int
    heartbeat: Heartbeat
    relayed: bool = False


class ProbeReply(msgspec.Struct, frozen=True):
    """The status of a worker, sent by another controller that was asked to probe it."""

    heartbeat: Heartbeat


class ProgressReceived(msgspec.Struct, frozen=True):
    """The numbers of done and running tasks by job, sent by the leader for display to users."""

    counts: dict[str, tuple[int, int]]


class ShardRequested(msgspec.Struct, frozen=True):
    """A leader asks this controller to plan its shard of a full scheduling cycle."""

    member: Member
    view: ShardView


class ShardProposed(msgspec.Struct, frozen=True):
    """The assignments that a shard owner proposes for its shard."""

    member: Member
    proposal: ShardProposal


class PeerUnreachable(msgspec.Struct, frozen=True):
    """A peer's connection closed and its address refuses new ones: its process may have ended."""

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
