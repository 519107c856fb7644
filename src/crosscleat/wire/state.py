"""Messages of the state service."""

from __future__ import annotations

from typing import Any

import msgspec

from ..core.model.ids import Version
from ..core.model.store_calls import Commit, Item, Put


class Pair(msgspec.Struct):
    """A key with its value."""

    path: str
    data: Any
    stamp: int

    def item(self) -> Item:
        """As the core knows it."""
        return Item(self.path, self.data, Version(self.stamp))


class Page(msgspec.Struct):
    """Answer of GET /kv with a prefix."""

    pairs: list[Pair]
    more: bool
    ledger_rev: int


class Revision(msgspec.Struct):
    """Answer of a transaction that was carried out."""

    ledger_rev: int


class Refused(msgspec.Struct):
    """Answer of a transaction whose conditions failed."""

    failed: list[str]


class Permit(msgspec.Struct):
    """Answer of POST /grants."""

    permit: int


class Change(msgspec.Struct, rename={"put": "set"}):
    """One change in a watch."""

    put: str | None = None
    delete: str | None = None
    data: Any = None
    stamp: int = 0

    def item(self) -> Item:
        """A version of 0 marks a removed key."""
        if self.put is not None:
            return Item(self.put, self.data, Version(self.stamp))
        return Item(self.delete or "", None, Version(0))


class Changes(msgspec.Struct):
    """Answer of GET /changes."""

    ledger_rev: int
    news: list[Change] = []


pair = msgspec.msgpack.Decoder(Pair)
page = msgspec.msgpack.Decoder(Page)
revision = msgspec.msgpack.Decoder(Revision)
refused = msgspec.msgpack.Decoder(Refused)
permit = msgspec.msgpack.Decoder(Permit)
changes = msgspec.msgpack.Decoder(Changes)
_encoder = msgspec.msgpack.Encoder()


def transaction(commits: list[Commit]) -> bytes:
    """One transaction that carries out all of these, or none."""
    conditions = {key: version for commit in commits for key, version in commit.conditions}
    writes: list[dict[str, Any]] = []
    for commit in commits:
        for write in commit.writes:
            if not isinstance(write, Put):
                writes.append({"delete": write.key})
            elif write.lease is None:
                writes.append({"set": write.key, "data": write.value})
            else:
                writes.append({"set": write.key, "data": write.value, "permit": write.lease})
    return _encoder.encode(
        {
            "if": [{"path": key, "stamp": version} for key, version in conditions.items()],
            "writes": writes,
        }
    )


def grant(life_s: float) -> bytes:
    """Body of POST /grants."""
    return _encoder.encode({"life_ms": int(life_s * 1000)})
