"""Calls to the key-value store and their outcomes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .ids import LeaseId, Version

Record = Any
"""Plain data as the store keeps it: maps, lists, text, numbers."""


class Item(msgspec.Struct, frozen=True):
    """A key of the store with its value and version."""

    key: str
    value: Record
    version: Version


class Put(msgspec.Struct, frozen=True):
    """Write a key; one under a lease goes away with it."""

    key: str
    value: Record
    lease: LeaseId | None = None


class Remove(msgspec.Struct, frozen=True):
    """Remove a key."""

    key: str


class Unanswered(msgspec.Struct, frozen=True):
    """The store gave no answer in time, or none that could be read.

    What was to be written or renewed was perhaps carried out, or will be later.
    """


class Committed(msgspec.Struct, frozen=True):
    """The transaction was carried out."""

    revision: Version


class Conflict(msgspec.Struct, frozen=True):
    """Compare-and-swap failed: the keys in `failed` had other versions, nothing was written."""

    failed: frozenset[str]
    repeated: bool
    """An earlier try of the same request may have been the one that changed the keys."""


class NoSuchLease(msgspec.Struct, frozen=True):
    """The lease had ended; nothing was written."""


class LeaseRenewed(msgspec.Struct, frozen=True):
    """The lease has its full life again."""


CommitOutcome = Committed | Conflict | NoSuchLease | Unanswered
"""The outcomes of a compare-and-swap."""
RenewalOutcome = LeaseRenewed | NoSuchLease | Unanswered
"""The outcomes of a lease renewal."""


class ReadResult(msgspec.Struct, frozen=True):
    """A key as it was at the revision; `item` is None if it does not exist."""

    item: Item | None
    revision: Version


class ScanResult(msgspec.Struct, frozen=True):
    """All keys with a prefix as they were at the revision."""

    items: list[Item]
    revision: Version


class WatchResult(msgspec.Struct, frozen=True):
    """Changes after a revision; a version of 0 marks a removed key."""

    revision: Version
    changes: list[Item]


class ChangesLost(msgspec.Struct, frozen=True):
    """The store no longer has all changes after that revision: the keys must be read again."""


WatchOutcome = WatchResult | ChangesLost | Unanswered
"""The outcomes of a watch."""


class Commit(msgspec.Struct, frozen=True):
    """A compare-and-swap: all writes are carried out if all keys have these versions."""

    conditions: tuple[tuple[str, Version], ...]
    writes: tuple[Put | Remove, ...]
    continuation: Callable[[CommitOutcome], None]
    timeout_s: float = 2.0
    """How long it is repeated while the store does not decide."""
    for_user: bool = False
    """A user waits: it may share a transaction with others, and fails at once in an outage."""


class Read(msgspec.Struct, frozen=True):
    """Read one key."""

    key: str
    continuation: Callable[[ReadResult | Unanswered], None]
    timeout_s: float = 1.5
    for_user: bool = False


class Scan(msgspec.Struct, frozen=True):
    """Read all keys with the prefix."""

    prefix: str
    continuation: Callable[[ScanResult | Unanswered], None]
    for_user: bool = False


class Watch(msgspec.Struct, frozen=True):
    """Wait for changes below the prefix after a revision, up to `block_s`."""

    prefix: str
    after: Version
    block_s: float
    continuation: Callable[[WatchOutcome], None]
    for_user: bool = False


class GrantLease(msgspec.Struct, frozen=True):
    """Ask for a lease of `life_s` seconds."""

    life_s: float
    continuation: Callable[[LeaseId | Unanswered], None]


class RenewLease(msgspec.Struct, frozen=True):
    """Renew a lease."""

    lease: LeaseId
    continuation: Callable[[RenewalOutcome], None]


class RevokeLease(msgspec.Struct, frozen=True):
    """End a lease at once."""

    lease: LeaseId
