"""Detects that the key-value store serves other controllers but not this one."""

from __future__ import annotations

from typing import Protocol

from ..wire.peers import Ping
from .clock import monotonic_time

PING_INTERVAL_S = 1.0
"""Interval in seconds at which a controller pings each of its peers."""
MIN_OUTAGE_S = 2.5
"""Shorter outages are bridged by retries."""
ISOLATED_AFTER_S = 8.0
"""Time without a ping from any peer; longer than a simultaneous restart of all peers takes."""


class StoreStatus(Protocol):
    """The availability of the key-value store, as its client sees it."""

    @property
    def is_available(self) -> bool:
        """Whether the store served the last request."""

    def outage_s(self) -> float:
        """Seconds since the store stopped serving this controller; 0 until that is certain."""


class Health:
    """Compares whether the store serves this controller with whether it serves the peers."""

    def __init__(self, store: StoreStatus, has_peers: bool = True) -> None:
        self._store = store
        self._has_peers = has_peers
        self._served_at: dict[str, float] = {}
        """Time of the last ping in which the peer reported that the store serves it."""
        self._last_ping_at = monotonic_time()

    def ping(self) -> Ping:
        """The ping that this controller sends to its peers."""
        return Ping(self._store.is_available)

    def receive_ping(self, peer: str, ping: Ping) -> None:
        """Record whether the store serves the peer."""
        self._last_ping_at = monotonic_time()
        if ping.store_available:
            self._served_at[peer] = monotonic_time()
        else:
            self._served_at.pop(peer, None)

    def is_isolated(self) -> bool:
        """Whether users should go to other controllers: the store serves those but not this one.

        Controllers detect an outage that affects all of them at slightly different times. A peer's
        ping therefore counts only if it came at least `MIN_OUTAGE_S - PING_INTERVAL_S` after this
        controller's outage began. A controller that reaches neither the store nor any peer must
        assume that it is isolated.
        """
        outage_s = self._store.outage_s()
        if outage_s < MIN_OUTAGE_S:
            return False
        now = monotonic_time()
        if self._has_peers and now - self._last_ping_at > ISOLATED_AFTER_S:
            return True
        return any(
            now - served_at < 2.0 * PING_INTERVAL_S
            and served_at > now - outage_s + MIN_OUTAGE_S - PING_INTERVAL_S
            for served_at in self._served_at.values()
        )
