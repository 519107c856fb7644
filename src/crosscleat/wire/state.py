"""Messages of the key-value store.

The structures have the protocol's field names; the functions map them to the core's types. A body
that is not what the protocol says raises msgspec.DecodeError.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..core.model.ids import LeaseId, Version
from ..core.model.store_calls import Commit, Item, Put, Remove, WatchResult


class Pair(msgspec.Struct):
    """A key with its value; also the answer to GET /kv with a key."""

    path: str
    data: Any
    stamp: int

    def item(self) -> Item:
        """The key in the core's terms."""
        return Item(self.path, self.data, Version(self.stamp))


class PageBody(msgspec.Struct):
    """The answer to GET /kv with a prefix."""

    pairs: list[Pair]
    more: bool
    ledger_rev: int


class RevisionBody(msgspec.Struct):
    """The answer to a transaction that was carried out, and to a read of a missing key."""

    ledger_rev: int


class RefusedBody(msgspec.Struct):
    """The answer to a transaction whose conditions failed."""

    failed: list[str]


class GrantBody(msgspec.Struct):
    """The answer to POST /grants."""

    permit: int


class Change(msgspec.Struct, rename={"put": "set"}):
    """One change in a watch."""

    put: str | None = None
    delete: str | None = None
    data: Any = None
    stamp: int = 0

    def item(self) -> Item:
        """The key in the core's terms; a version of 0 marks a removed key."""
        if self.put is not None:
            return Item(self.put, self.data, Version(self.stamp))
        return Item(self.delete or "", None, Version(0))


class ChangesBody(msgspec.Struct):
    """The answer to GET /changes."""

    ledger_rev: int
    news: list[Change] = []


class ItemPage(msgspec.Struct, frozen=True):
    """One page of the keys with a prefix, as they were at the revision."""

    items: list[Item]
    more: bool
    """Whether another page follows, after the last key."""
    revision: Version


_pair = msgspec.msgpack.Decoder(Pair)
_page = msgspec.msgpack.Decoder(PageBody)
_revision = msgspec.msgpack.Decoder(RevisionBody)
_refused = msgspec.msgpack.Decoder(RefusedBody)
_grant = msgspec.msgpack.Decoder(GrantBody)
_changes = msgspec.msgpack.Decoder(ChangesBody)
_encoder = msgspec.msgpack.Encoder()


def decode_item(body: bytes) -> Item:
    """The answer to GET /kv with a key that exists."""
    return _pair.decode(body).item()


def decode_page(body: bytes) -> ItemPage:
    """The answer to GET /kv with a prefix."""
    page = _page.decode(body)
    return ItemPage([pair.item() for pair in page.pairs], page.more, Version(page.ledger_rev))


def decode_changes(body: bytes) -> WatchResult:
    """The answer to GET /changes."""
    changes = _changes.decode(body)
    return WatchResult(Version(changes.ledger_rev), [change.item() for change in changes.news])


def decode_revision(body: bytes) -> Version:
    """The revision in the answer to a transaction, or to a read of a key that does not exist."""
    return Version(_revision.decode(body).ledger_rev)


def decode_failed_keys(body: bytes) -> frozenset[str]:
    """The keys whose conditions failed, of a transaction that was not carried out."""
    return frozenset(_refused.decode(body).failed)


def decode_lease(body: bytes) -> LeaseId:
    """The answer to POST /grants."""
    return LeaseId(_grant.decode(body).permit)


def encode_transaction(commits: list[Commit]) -> bytes:
    """The body of POST /commit that carries out all of these, or none."""
    conditions = {key: version for commit in commits for key, version in commit.conditions}
    return _encoder.encode(
        {
            "if": [{"path": key, "stamp": version} for key, version in conditions.items()],
            "writes": [_write(write) for commit in commits for write in commit.writes],
        }
    )


def _write(write: Put | Remove) -> dict[str, Any]:
    if not isinstance(write, Put):
        return {"delete": write.key}
    if write.lease is None:
        return {"set": write.key, "data": write.value}
    return {"set": write.key, "data": write.value, "permit": write.lease}


def encode_lease_request(life_s: float) -> bytes:
    """The body of POST /grants."""
    return _encoder.encode({"life_ms": int(life_s * 1000)})
