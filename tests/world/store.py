"""The key-value store: compare-and-swap, leases, watches, outages and limits."""

from __future__ import annotations

from typing import Any

import msgspec

from crosscleat.core.model.ids import Version
from crosscleat.core.model.store_calls import (
    Commit,
    Committed,
    Conflict,
    Item,
    NoSuchLease,
    Put,
    ScanResult,
)

from .clock import Clock
from .scenario import LIMITS


class Store:
    """The key-value store: compare-and-swap, leases, watches, outages and limits."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.out_until = 0.0
        self.limits = LIMITS
        self.too_large = 0
        """Transactions refused for their size."""
        self.refused_until: dict[str, float] = {}
        self.revision = 0
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self._log: list[tuple[int, str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}

    def serves(self, member: str) -> bool:
        return self._clock.now >= max(self.out_until, self.refused_until.get(member, 0.0))

    def outage(self, seconds: float) -> None:
        self.expire()
        self.out_until = self._clock.now + seconds
        # After an outage every lease has its full time again.
        self._leases = {n: (life, self.out_until + life) for n, (life, _) in self._leases.items()}

    def expire(self) -> None:
        if self._clock.now < self.out_until:
            return
        for number, (_, end) in list(self._leases.items()):
            if end <= self._clock.now:
                self.revoke(number)

    def grant(self, life: float) -> int:
        number = len(self._log) * 1000 + len(self._leases) + 1
        self._leases[number] = (life, self._clock.now + life)
        return number

    def renew(self, number: int) -> bool:
        if number not in self._leases:
            return False
        life, _ = self._leases[number]
        self._leases[number] = (life, self._clock.now + life)
        return True

    def revoke(self, number: int) -> None:
        self._leases.pop(number, None)
        expired = [key for key, (_, _, lease) in self.items.items() if lease == number]
        if expired:
            self.revision += 1
        for key in expired:
            del self.items[key]
            self._log.append((self.revision, key, None))

    def version(self, key: str) -> int:
        return self.items[key][1] if key in self.items else 0

    def commit(self, call: Commit, unclear: bool) -> Committed | Conflict | NoSuchLease:
        self.expire()
        if not self.admits(call):
            self.too_large += 1
            return Conflict(frozenset(), unclear)
        failed = frozenset(k for k, v in call.conditions if self.version(k) != v)
        if failed:
            return Conflict(failed, unclear)
        for write in call.writes:
            if isinstance(write, Put) and write.lease not in (None, *self._leases):
                return NoSuchLease()
        if call.writes:
            self.revision += 1
        for write in call.writes:
            if isinstance(write, Put):
                # Encoded and decoded: a stored value is never the core's own object.
                value = msgspec.msgpack.decode(msgspec.msgpack.encode(write.value))
                self.items[write.key] = (value, self.revision, write.lease)
                self._log.append((self.revision, write.key, value))
            else:
                self.items.pop(write.key, None)
                self._log.append((self.revision, write.key, None))
        return Committed(Version(self.revision))

    def admits(self, call: Commit) -> bool:
        value_kb, ops = self.limits
        values = [msgspec.json.encode(w.value) for w in call.writes if isinstance(w, Put)]
        return (
            all(len(value) <= value_kb * 1024 for value in values)
            and len(call.writes) <= ops
            and len(call.conditions) <= 4 * ops
        )

    def item(self, key: str) -> Item | None:
        if key not in self.items:
            return None
        value, version, _ = self.items[key]
        return Item(key, value, Version(version))

    def listing(self, prefix: str) -> ScanResult:
        self.expire()
        found = [self.item(key) for key in sorted(self.items) if key.startswith(prefix)]
        return ScanResult([item for item in found if item], Version(self.revision))

    def changes_after(self, prefix: str, after: int) -> list[Item]:
        self.expire()
        return [
            Item(key, value, Version(0 if value is None else revision))
            for revision, key, value in self._log
            if revision > after and key.startswith(prefix)
        ]
