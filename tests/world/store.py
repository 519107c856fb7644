"""The simulated key-value store: compare-and-swap, leases, watches, outages and limits."""

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
    """Holds items with versions and leases, and a log of all changes for watches."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.outage_until = 0.0
        self.limits = LIMITS
        self.rejected_for_size = 0
        """Number of transactions rejected because they exceed the limits."""
        self.refused_until: dict[str, float] = {}
        """The time until which the store does not serve a controller, by controller."""
        self.revision = 0
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        """Value, version and lease of each key."""
        self._log: list[tuple[int, str, Any]] = []
        """Revision, key and value of each change; the value of a deleted key is None."""
        self._leases: dict[int, tuple[float, float]] = {}
        """Duration and expiry time of each lease."""

    def serves(self, member: str) -> bool:
        return self._clock.now >= max(self.outage_until, self.refused_until.get(member, 0.0))

    def outage(self, seconds: float) -> None:
        self.expire()
        self.outage_until = self._clock.now + seconds
        # Every lease lasts for its full duration after the end of an outage.
        self._leases = {
            lease: (duration, self.outage_until + duration)
            for lease, (duration, _) in self._leases.items()
        }

    def expire(self) -> None:
        """Revoke the leases that have expired; no lease expires during an outage."""
        if self._clock.now < self.outage_until:
            return
        for lease, (_, expires_at) in list(self._leases.items()):
            if expires_at <= self._clock.now:
                self.revoke(lease)

    def grant(self, duration: float) -> int:
        lease = len(self._log) * 1000 + len(self._leases) + 1
        self._leases[lease] = (duration, self._clock.now + duration)
        return lease

    def renew(self, lease: int) -> bool:
        if lease not in self._leases:
            return False
        duration, _ = self._leases[lease]
        self._leases[lease] = (duration, self._clock.now + duration)
        return True

    def revoke(self, lease: int) -> None:
        """End the lease and delete the keys that are attached to it."""
        self._leases.pop(lease, None)
        attached = [key for key, (_, _, key_lease) in self.items.items() if key_lease == lease]
        if attached:
            self.revision += 1
        for key in attached:
            del self.items[key]
            self._log.append((self.revision, key, None))

    def version(self, key: str) -> int:
        return self.items[key][1] if key in self.items else 0

    def commit(self, call: Commit, repeated: bool) -> Committed | Conflict | NoSuchLease:
        self.expire()
        if not self.within_limits(call):
            self.rejected_for_size += 1
            return Conflict(frozenset(), repeated)
        failed = frozenset(k for k, v in call.conditions if self.version(k) != v)
        if failed:
            return Conflict(failed, repeated)
        for write in call.writes:
            if isinstance(write, Put) and write.lease not in (None, *self._leases):
                return NoSuchLease()
        if call.writes:
            self.revision += 1
        for write in call.writes:
            if isinstance(write, Put):
                # Encoding and decoding copies the value: the store shares no objects with the core.
                value = msgspec.msgpack.decode(msgspec.msgpack.encode(write.value))
                self.items[write.key] = (value, self.revision, write.lease)
                self._log.append((self.revision, write.key, value))
            else:
                self.items.pop(write.key, None)
                self._log.append((self.revision, write.key, None))
        return Committed(Version(self.revision))

    def within_limits(self, call: Commit) -> bool:
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

    def scan(self, prefix: str) -> ScanResult:
        self.expire()
        items = [self.item(key) for key in sorted(self.items) if key.startswith(prefix)]
        return ScanResult([item for item in items if item], Version(self.revision))

    def changes_after(self, prefix: str, after: int) -> list[Item]:
        self.expire()
        return [
            Item(key, value, Version(0 if value is None else revision))
            for revision, key, value in self._log
            if revision > after and key.startswith(prefix)
        ]
