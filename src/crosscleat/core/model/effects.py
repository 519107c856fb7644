"""The effects of a controller's step: calls, responses to requests, and messages to peers.

A call has a continuation, which the controller runs in a later step with the call's result. The
code that carries out effects makes no decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .cloud_calls import DeleteMachines, ListMachines, ListTypes, Rent
from .shards import ShardProposal, ShardView
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
    """The response to a user's request: an HTTP status and an optional body."""

    request: int
    status: int
    body: Any = None
    retry_after_s: int | None = None


class Delay(msgspec.Struct, frozen=True):
    """Run the continuation in a step after a delay."""

    delay_s: float
    continuation: Callable[[], None]


class BroadcastProgress(msgspec.Struct, frozen=True):
    """Send the numbers of done and running tasks by job to all other controllers."""

    counts: dict[str, tuple[int, int]]


class ShardRequest(msgspec.Struct, frozen=True):
    """Ask another controller, as a shard owner, to plan its shard of a full scheduling cycle."""

    member: str
    view: ShardView


class ProposeShard(msgspec.Struct, frozen=True):
    """Send the leader the assignments for the shard that it asked this controller to plan."""

    member: str
    proposal: ShardProposal


class LogRecord(msgspec.Struct, frozen=True):
    """A line to be logged."""

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
        """Add an effect, which is carried out after the step."""
        self.effects.append(effect)

    def log(self, level: str, text: str) -> None:
        """Add a line to be logged."""
        self.effects.append(LogRecord(level, text))

    def take(self) -> list[Effect]:
        """Remove and return the collected effects in order."""
        effects, self.effects = self.effects, []
        return effects
