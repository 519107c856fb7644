"""What the core asks of the outside: calls with a continuation, answers, and messages to peers.

A call carries `then`, which the controller runs inside a later `step` with the call's
result. The outside only carries calls out; it never decides.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .cloud_calls import DeleteMachines, ListMachines, ListTypes, Rent
from .store_calls import (
    Commit,
    GrantLease,
    Read,
    RenewLease,
    RevokeLease,
    Scan,
    Watch,
)
from .worker_calls import DirectCommand, HeartbeatResponse, IndirectProbe


class Response(msgspec.Struct, frozen=True):
    """The answer to one request from outside."""

    request: int
    status: int
    body: Any = None
    retry_after_s: int | None = None


class Delay(msgspec.Struct, frozen=True):
    """Run `then` after a delay."""

    delay_s: float
    continuation: Callable[[], None]


class BroadcastProgress(msgspec.Struct, frozen=True):
    """A message for every other controller that listens."""

    message: Any


class ShardRequest(msgspec.Struct, frozen=True):
    """The owner's part of a round, for it to plan."""

    member: str
    view: Any


class ProposeShard(msgspec.Struct, frozen=True):
    """Our choices for the part that a leader gave us."""

    member: str
    proposal: Any


class LogRecord(msgspec.Struct, frozen=True):
    """A line for the log."""

    level: str
    text: str


Effect = (
    Commit
    | Read
    | Scan
    | Watch
    | GrantLease
    | RenewLease
    | RevokeLease
    | ListTypes
    | ListMachines
    | Rent
    | DeleteMachines
    | DirectCommand
    | IndirectProbe
    | Response
    | HeartbeatResponse
    | Delay
    | BroadcastProgress
    | ShardRequest
    | ProposeShard
    | LogRecord
)


class Outbox:
    """Collects the effects of one step."""

    __slots__ = ("effects",)

    def __init__(self) -> None:
        self.effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Do this outside, after the step."""
        self.effects.append(effect)

    def log(self, level: str, text: str) -> None:
        """Log a line."""
        self.effects.append(LogRecord(level, text))

    def take(self) -> list[Effect]:
        """The effects so far, which are then no longer here."""
        effects, self.effects = self.effects, []
        return effects
