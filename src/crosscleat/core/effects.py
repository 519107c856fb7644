"""What the core asks of the outside: calls with a continuation, answers, and messages to peers.

A call carries `then`, which the controller runs inside a later `step` with the call's
result. The outside only carries calls out; it never decides.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .ids import LeaseId, Session, Token, Version

Record = Any
"""Plain data as the store keeps it: maps, lists, text, numbers."""


@dataclass(frozen=True, slots=True)
class Item:
    key: str
    value: Record
    version: Version


@dataclass(frozen=True, slots=True)
class Put:
    key: str
    value: Record
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class Remove:
    key: str


# Results of store calls. `None` in place of a result: no usable answer in time, so the
# request may have been executed, or may still be.


@dataclass(frozen=True, slots=True)
class Committed:
    revision: Version


@dataclass(frozen=True, slots=True)
class Conflict:
    failed: frozenset[str]
    repeated: bool
    """An earlier try of the same request may have been the one that changed the keys."""


@dataclass(frozen=True, slots=True)
class NoSuchLease:
    pass


@dataclass(frozen=True, slots=True)
class Found:
    item: Item | None
    revision: Version


@dataclass(frozen=True, slots=True)
class Listing:
    items: list[Item]
    revision: Version


@dataclass(frozen=True, slots=True)
class News:
    """Changes after a revision; a version of 0 marks a removed key. `lost`: reread everything."""

    revision: Version
    changes: list[Item]
    lost: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    conditions: tuple[tuple[str, Version], ...]
    writes: tuple[Put | Remove, ...]
    then: Callable[[Committed | Conflict | NoSuchLease | None], None]
    patience_s: float = 2.0
    for_user: bool = False
    """A user waits: may share a transaction with others, and fails at once without a store."""


@dataclass(frozen=True, slots=True)
class Read:
    key: str
    then: Callable[[Found | None], None]
    patience_s: float = 1.5
    for_user: bool = False


@dataclass(frozen=True, slots=True)
class Scan:
    prefix: str
    then: Callable[[Listing | None], None]
    for_user: bool = False


@dataclass(frozen=True, slots=True)
class Watch:
    prefix: str
    after: Version
    block_s: float
    then: Callable[[News | None], None]
    for_user: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    life_s: float
    then: Callable[[LeaseId | None], None]


@dataclass(frozen=True, slots=True)
class Touch:
    lease: LeaseId
    then: Callable[[bool | None], None]
    """True: renewed. False: the lease has ended."""


@dataclass(frozen=True, slots=True)
class Revoke:
    lease: LeaseId


@dataclass(frozen=True, slots=True)
class ListTypes:
    then: Callable[[Any], None]


@dataclass(frozen=True, slots=True)
class ListMachines:
    then: Callable[[Any], None]


@dataclass(frozen=True, slots=True)
class Rent:
    name: str
    type: str
    zone: str
    spot: bool
    count: int
    then: Callable[[list[str] | bool | None], None]
    """Names of the machines; False: refused for lack of capacity; None: unknown."""


@dataclass(frozen=True, slots=True)
class DeleteMachines:
    machines: tuple[str, ...]
    then: Callable[[bool], None]


@dataclass(frozen=True, slots=True)
class StartOrder:
    task: str
    attempt: int


@dataclass(frozen=True, slots=True)
class StopOrder:
    task: str
    attempt: int
    grace_s: float


@dataclass(frozen=True, slots=True)
class ClearOrder:
    task: str
    attempt: int


Order = StartOrder | StopOrder | ClearOrder


@dataclass(frozen=True, slots=True)
class Direct:
    """Orders sent straight to a worker."""

    address: str
    token: Token
    session: Session
    orders: tuple[Order, ...]
    then: Callable[[Any, bool], None]
    """The worker's report, or None; and whether the orders may still reach the worker."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one request from outside."""

    request: int
    status: int
    body: Any = None
    retry_after_s: int | None = None


@dataclass(frozen=True, slots=True)
class Orders:
    """The answer to one worker's check-in."""

    request: int
    token: Token
    orders: tuple[Order, ...]


@dataclass(frozen=True, slots=True)
class Later:
    """Run `then` after a delay."""

    delay_s: float
    then: Callable[[], None]


@dataclass(frozen=True, slots=True)
class Tell:
    """A message for every other controller that listens."""

    message: Any


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the log."""

    level: str
    text: str


Effect = (
    Commit
    | Read
    | Scan
    | Watch
    | Grant
    | Touch
    | Revoke
    | ListTypes
    | ListMachines
    | Rent
    | DeleteMachines
    | Direct
    | Answer
    | Orders
    | Later
    | Tell
    | Note
)


class Outbox:
    """Collects the effects of one step."""

    __slots__ = ("effects",)

    def __init__(self) -> None:
        self.effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        self.effects.append(effect)

    def note(self, level: str, text: str) -> None:
        self.effects.append(Note(level, text))

    def take(self) -> list[Effect]:
        effects, self.effects = self.effects, []
        return effects
