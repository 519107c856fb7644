"""Messages of the key-value store.

The structures use the protocol's field names; their methods and the functions below map them to the
core's types. Decoding a body that violates the protocol raises msgspec.DecodeError.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..core.model.ids import LeaseId, Version
from ..core.model.store_calls import Commit, Item, Put, Remove, WatchResult


class Pair(msgspec.Struct):
    """A key with its value and version; also the response body of GET /kv with a key."""

    path: str
    data: Any
    stamp: int

    def item(self) -> Item:
        """Convert to the core's type."""
        return Item(self.path, self.data, Version(self.stamp))


class PageBody(msgspec.Struct):
    """The response body of GET /kv with a prefix: one page of its keys."""

    pairs: list[Pair]
    more: bool
    ledger_rev: int


class RevisionBody(msgspec.Struct):
    """The response body of a committed transaction, and of a read of a key that does not exist."""

    ledger_rev: int


class FailedConditionsBody(msgspec.Struct):
    """The response body of a transaction that was rejected because conditions failed."""

    failed: list[str]


class LeaseBody(msgspec.Struct):
    """The response body of POST /grants: the id of the new lease."""

    permit: int


class Change(msgspec.Struct, rename={"put": "set"}):
    """One changed key in a watch response: either `put` or `delete` names the key."""

    put: str | None = None
    delete: str | None = None
    data: Any = None
    stamp: int = 0

    def item(self) -> Item:
        """Convert to the core's type; version 0 marks a removed key."""
        if self.put is not None:
            return Item(self.put, self.data, Version(self.stamp))
        return Item(self.delete or "", None, Version(0))


class ChangesBody(msgspec.Struct):
    """The response body of GET /changes."""

    ledger_rev: int
    news: list[Change] = []


class ItemPage(msgspec.Struct, frozen=True):
    """One page of the keys with a prefix, as of `revision`."""

    items: list[Item]
    more: bool
    """Whether another page follows; it starts after this page's last key."""
    revision: Version


_pair_decoder = msgspec.msgpack.Decoder(Pair)
_page_decoder = msgspec.msgpack.Decoder(PageBody)
_revision_decoder = msgspec.msgpack.Decoder(RevisionBody)
_failed_conditions_decoder = msgspec.msgpack.Decoder(FailedConditionsBody)
_lease_decoder = msgspec.msgpack.Decoder(LeaseBody)
_changes_decoder = msgspec.msgpack.Decoder(ChangesBody)
_encoder = msgspec.msgpack.Encoder()


def decode_item(body: bytes) -> Item:
    """Decode the response of GET /kv with an existing key."""
    return _pair_decoder.decode(body).item()


def decode_page(body: bytes) -> ItemPage:
    """Decode the response of GET /kv with a prefix."""
    page = _page_decoder.decode(body)
    return ItemPage([pair.item() for pair in page.pairs], page.more, Version(page.ledger_rev))


def decode_changes(body: bytes) -> WatchResult:
    """Decode the response of GET /changes."""
    changes = _changes_decoder.decode(body)
    return WatchResult(Version(changes.ledger_rev), [change.item() for change in changes.news])


def decode_revision(body: bytes) -> Version:
    """Decode the revision of a committed transaction, or of a read of a key that does not exist."""
    return Version(_revision_decoder.decode(body).ledger_rev)


def decode_failed_keys(body: bytes) -> frozenset[str]:
    """Decode the keys whose conditions failed from the response to a rejected transaction."""
    return frozenset(_failed_conditions_decoder.decode(body).failed)


def decode_lease(body: bytes) -> LeaseId:
    """Decode the response of POST /grants: the id of the new lease."""
    return LeaseId(_lease_decoder.decode(body).permit)


def encode_transaction(commits: list[Commit]) -> bytes:
    """Encode the request body of POST /commit, which applies all of these commits or none."""
    conditions = {key: version for commit in commits for key, version in commit.conditions}
    return _encoder.encode(
        {
            "if": [{"path": key, "stamp": version} for key, version in conditions.items()],
            "writes": [_write_fields(write) for commit in commits for write in commit.writes],
        }
    )


def _write_fields(write: Put | Remove) -> dict[str, Any]:
    if not isinstance(write, Put):
        return {"delete": write.key}
    if write.lease is None:
        return {"set": write.key, "data": write.value}
    return {"set": write.key, "data": write.value, "permit": write.lease}


def encode_lease_request(ttl_s: float) -> bytes:
    """Encode the request body of POST /grants, for a lease that expires after `ttl_s` seconds."""
    return _encoder.encode({"life_ms": int(ttl_s * 1000)})
