"""What the core asks of the outside: calls with a continuation, answers, and messages to peers.

A call carries `then`, which the controller runs inside a later `step` with the call's
result. The outside only carries calls out; it never decides.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .ids import LeaseId, Session, Token, Version

Record = Any
"""Plain data as the store keeps it: maps, lists, text, numbers."""


class Item(msgspec.Struct, frozen=True):
    """A key of the store with its value and version."""

    key: str
    value: Record
    version: Version


class Put(msgspec.Struct, frozen=True):
    """Write a key, under a lease or none."""

    key: str
    value: Record
    lease: LeaseId | None = None


class Remove(msgspec.Struct, frozen=True):
    """Remove a key."""

    key: str


# Results of store calls. `None` in place of a result: no usable answer in time, so the
# request may have been executed, or may still be.


class Committed(msgspec.Struct, frozen=True):
    """The transaction was carried out."""

    revision: Version


class Conflict(msgspec.Struct, frozen=True):
    """The keys in `failed` had other versions; nothing was written."""

    failed: frozenset[str]
    repeated: bool
    """An earlier try of the same request may have been the one that changed the keys."""


class NoSuchLease(msgspec.Struct, frozen=True):
    """The lease had ended; nothing was written."""


class Found(msgspec.Struct, frozen=True):
    """A key as it was at the revision; `item` is None if it does not exist."""

    item: Item | None
    revision: Version


class Listing(msgspec.Struct, frozen=True):
    """All keys with a prefix as they were at the revision."""

    items: list[Item]
    revision: Version


class News(msgspec.Struct, frozen=True):
    """Changes after a revision; a version of 0 marks a removed key. `lost`: reread everything."""

    revision: Version
    changes: list[Item]
    lost: bool = False


class Commit(msgspec.Struct, frozen=True):
    """A transaction: the writes are done if all keys have the given versions."""

    conditions: tuple[tuple[str, Version], ...]
    writes: tuple[Put | Remove, ...]
    then: Callable[[Committed | Conflict | NoSuchLease | None], None]
    patience_s: float = 2.0
    for_user: bool = False
    """A user waits: may share a transaction with others, and fails at once without a store."""


class Read(msgspec.Struct, frozen=True):
    """Read one key."""

    key: str
    then: Callable[[Found | None], None]
    patience_s: float = 1.5
    for_user: bool = False


class Scan(msgspec.Struct, frozen=True):
    """Read all keys with the prefix."""

    prefix: str
    then: Callable[[Listing | None], None]
    for_user: bool = False


class Watch(msgspec.Struct, frozen=True):
    """Wait for changes below the prefix after a revision, up to `block_s`."""

    prefix: str
    after: Version
    block_s: float
    then: Callable[[News | None], None]
    for_user: bool = False


class Grant(msgspec.Struct, frozen=True):
    """Ask for a lease."""

    life_s: float
    then: Callable[[LeaseId | None], None]


class Touch(msgspec.Struct, frozen=True):
    """Renew a lease."""

    lease: LeaseId
    then: Callable[[bool | None], None]
    """True: renewed. False: the lease has ended."""


class Revoke(msgspec.Struct, frozen=True):
    """End a lease at once."""

    lease: LeaseId


class ListTypes(msgspec.Struct, frozen=True):
    """Read the machine types."""

    then: Callable[[Any], None]


class ListMachines(msgspec.Struct, frozen=True):
    """Read the machine list."""

    then: Callable[[Any], None]


class Rent(msgspec.Struct, frozen=True):
    """Rent machines; a repeat under the same name rents nothing more."""

    name: str
    type: str
    zone: str
    spot: bool
    count: int
    then: Callable[[list[str] | bool | None], None]
    """Names of the machines; False: refused for lack of capacity; None: unknown."""


class DeleteMachines(msgspec.Struct, frozen=True):
    """Return machines for good."""

    machines: tuple[str, ...]
    then: Callable[[bool], None]


class StartOrder(msgspec.Struct, frozen=True):
    """Start an attempt of a task."""

    task: str
    attempt: int


class StopOrder(msgspec.Struct, frozen=True):
    """Stop an attempt, which may save for so long."""

    task: str
    attempt: int
    grace_s: float


class ClearOrder(msgspec.Struct, frozen=True):
    """Forget an exited attempt."""

    task: str
    attempt: int


Order = StartOrder | StopOrder | ClearOrder


class Direct(msgspec.Struct, frozen=True):
    """Orders sent straight to a worker."""

    address: str
    token: Token
    session: Session
    orders: tuple[Order, ...]
    then: Callable[[Any, bool], None]
    """The worker's report, or None; and whether the orders may still reach the worker."""


class Probe(msgspec.Struct, frozen=True):
    """Asks the other controllers to bring the report of a worker that we do not hear."""

    address: str
    token: Token
    session: Session


class Answer(msgspec.Struct, frozen=True):
    """The answer to one request from outside."""

    request: int
    status: int
    body: Any = None
    retry_after_s: int | None = None


class Orders(msgspec.Struct, frozen=True):
    """The answer to one worker's check-in."""

    request: int
    token: Token
    orders: tuple[Order, ...]


class Later(msgspec.Struct, frozen=True):
    """Run `then` after a delay."""

    delay_s: float
    then: Callable[[], None]


class Tell(msgspec.Struct, frozen=True):
    """A message for every other controller that listens."""

    message: Any


class Part(msgspec.Struct, frozen=True):
    """The owner's part of a round, for it to plan."""

    member: str
    view: Any


class Propose(msgspec.Struct, frozen=True):
    """Our choices for the part that a leader gave us."""

    member: str
    proposal: Any


class Note(msgspec.Struct, frozen=True):
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
    | Probe
    | Answer
    | Orders
    | Later
    | Tell
    | Part
    | Propose
    | Note
)


class Outbox:
    """Collects the effects of one step."""

    __slots__ = ("effects",)

    def __init__(self) -> None:
        self.effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Do this outside, after the step."""
        self.effects.append(effect)

    def note(self, level: str, text: str) -> None:
        """Log a line."""
        self.effects.append(Note(level, text))

    def take(self) -> list[Effect]:
        """The effects so far, which are then no longer here."""
        effects, self.effects = self.effects, []
        return effects
