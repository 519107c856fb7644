"""Calls to the key-value store and their outcomes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .ids import LeaseId, Version

Record = Any
"""Plain data, as it is stored: maps, lists, strings and numbers."""


class Item(msgspec.Struct, frozen=True):
    """A key in the store with its value and version."""

    key: str
    value: Record
    version: Version


class Put(msgspec.Struct, frozen=True):
    """Write a key; with a lease, the key is removed when the lease ends."""

    key: str
    value: Record
    lease: LeaseId | None = None


class Remove(msgspec.Struct, frozen=True):
    """Remove a key."""

    key: str


class Unanswered(msgspec.Struct, frozen=True):
    """The store gave no readable answer in time.

    A write or renewal may have been carried out, or may be carried out later.
    """


class Committed(msgspec.Struct, frozen=True):
    """The transaction was carried out."""

    revision: Version


class Conflict(msgspec.Struct, frozen=True):
    """Compare-and-swap failed: the keys in `failed` had other versions; nothing was written."""

    failed: frozenset[str]
    repeated: bool
    """Whether an earlier attempt of the same request may have changed the keys."""


class NoSuchLease(msgspec.Struct, frozen=True):
    """The lease had already ended; nothing was written."""


class LeaseRenewed(msgspec.Struct, frozen=True):
    """The lease was renewed for its full time to live."""


CommitOutcome = Committed | Conflict | NoSuchLease | Unanswered
"""Possible outcomes of a compare-and-swap."""
RenewalOutcome = LeaseRenewed | NoSuchLease | Unanswered
"""Possible outcomes of a lease renewal."""


class ReadResult(msgspec.Struct, frozen=True):
    """A key as of the revision; `item` is None if it does not exist."""

    item: Item | None
    revision: Version


class ScanResult(msgspec.Struct, frozen=True):
    """All keys with a prefix as of the revision."""

    items: list[Item]
    revision: Version


class WatchResult(msgspec.Struct, frozen=True):
    """The changes after a revision, up to `revision`; a version of 0 marks a removed key."""

    revision: Version
    changes: list[Item]


class ChangesLost(msgspec.Struct, frozen=True):
    """The store no longer has all changes after that revision; the keys must be read again."""


WatchOutcome = WatchResult | ChangesLost | Unanswered
"""Possible outcomes of a watch."""


class Commit(msgspec.Struct, frozen=True):
    """A compare-and-swap: all writes are carried out if all keys have the given versions."""

    conditions: tuple[tuple[str, Version], ...]
    writes: tuple[Put | Remove, ...]
    continuation: Callable[[CommitOutcome], None]
    timeout_s: float = 2.0
    """How long it is retried while its outcome is unknown."""
    for_user: bool = False
    """Whether a user waits for it.

    It may then share a transaction with others, and fails immediately during an outage.
    """


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
    """Wait up to `block_s` seconds for changes to keys with the prefix after a revision."""

    prefix: str
    after: Version
    block_s: float
    continuation: Callable[[WatchOutcome], None]
    for_user: bool = False


class GrantLease(msgspec.Struct, frozen=True):
    """Request a lease with a time to live of `ttl_s` seconds."""

    ttl_s: float
    continuation: Callable[[LeaseId | Unanswered], None]


class RenewLease(msgspec.Struct, frozen=True):
    """Renew a lease."""

    lease: LeaseId
    continuation: Callable[[RenewalOutcome], None]


class RevokeLease(msgspec.Struct, frozen=True):
    """End a lease immediately."""

    lease: LeaseId
