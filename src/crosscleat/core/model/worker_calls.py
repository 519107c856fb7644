"""Orders to workers, sent in responses to their heartbeats and in direct commands."""

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
    """Stop an attempt, which has `grace_s` seconds to save its progress."""

    task: str
    attempt: int
    grace_s: float


class ClearOrder(msgspec.Struct, frozen=True):
    """Remove an exited attempt from the worker's heartbeats."""

    task: str
    attempt: int


Order = StartOrder | StopOrder | ClearOrder
"""An instruction to a worker about one attempt."""


class DirectReply(msgspec.Struct, frozen=True):
    """The outcome of a direct command to a worker."""

    heartbeat: Heartbeat | None
    """The worker's status, or None if it sent no readable one."""
    may_execute: bool
    """Whether the orders were carried out or may still be."""


class DirectCommand(msgspec.Struct, frozen=True):
    """Send orders directly to a worker; without orders, it only requests the worker's status."""

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
    """The response to a heartbeat."""

    request: int
    token: Token
    orders: tuple[Order, ...]
