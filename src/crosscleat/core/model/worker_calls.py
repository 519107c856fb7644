"""Orders to workers, in the responses to their heartbeats and in direct commands."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from .heartbeats import Heartbeat
from .ids import AgentEpoch, Token


class StartOrder(msgspec.Struct, frozen=True):
    """Start an attempt of a task."""

    task: str
    attempt: int


class StopOrder(msgspec.Struct, frozen=True):
    """Stop an attempt, which may save its progress for `grace_s` seconds."""

    task: str
    attempt: int
    grace_s: float


class ClearOrder(msgspec.Struct, frozen=True):
    """Remove an exited attempt from the worker's heartbeats."""

    task: str
    attempt: int


Order = StartOrder | StopOrder | ClearOrder
"""What a worker is to do with one attempt."""


class DirectReply(msgspec.Struct, frozen=True):
    """The outcome of a message sent straight to a worker."""

    heartbeat: Heartbeat | None
    """The worker's status; None: it sent none that could be read."""
    may_execute: bool
    """Whether the orders were, or may still be, carried out."""


class DirectCommand(msgspec.Struct, frozen=True):
    """Send orders straight to a worker; without orders, ask for its status."""

    address: str
    token: Token
    agent_epoch: AgentEpoch
    orders: tuple[Order, ...]
    continuation: Callable[[DirectReply], None]


class IndirectProbe(msgspec.Struct, frozen=True):
    """Ask the other controllers for the status of a worker that does not answer this one."""

    address: str
    token: Token
    agent_epoch: AgentEpoch


class HeartbeatResponse(msgspec.Struct, frozen=True):
    """The answer to one heartbeat."""

    request: int
    token: Token
    orders: tuple[Order, ...]
