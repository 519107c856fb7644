"""Whom the key-value store serves, as far as this controller and its peers know."""

from __future__ import annotations

from typing import Protocol

from ..wire.peers import Ping
from .clock import steady

PING_INTERVAL_S = 1.0
"""Seconds between two pings of a controller to each of its peers."""
MIN_OUTAGE_S = 2.5
"""Shorter outages are left to retries."""
ISOLATED_AFTER_S = 8.0
"""Without a ping; longer than the peers are away when all end at once and start again."""


class StoreStatus(Protocol):
    """What the client of the key-value store says about it."""

    @property
    def is_available(self) -> bool:
        """Whether the store answered the last request."""

    def outage_s(self) -> float:
        """For how many seconds it has not served this controller; 0 while it does."""


class Health:
    """Compares the store's service for this controller with that for its peers."""

    def __init__(self, store: StoreStatus, has_peers: bool = True) -> None:
        self._store = store
        self._has_peers = has_peers
        self._served_at: dict[str, float] = {}
        """When a peer last said that the store serves it."""
        self._last_ping_at = steady()

    def ping(self) -> Ping:
        """What this controller tells its peers."""
        return Ping(self._store.is_available)

    def receive_ping(self, peer: str, ping: Ping) -> None:
        """Note whether the store serves the peer."""
        self._last_ping_at = steady()
        if ping.store_available:
            self._served_at[peer] = steady()
        else:
            self._served_at.pop(peer, None)

    def is_cut_off(self) -> bool:
        """Whether users are better off with other controllers: those are served, this one is not.

        In an outage of all, the others find out a little later than this one does, or earlier. A
        controller that reaches neither the store nor any peer has to assume that it is cut off.
        """
        outage_s = self._store.outage_s()
        if outage_s < MIN_OUTAGE_S:
            return False
        now = steady()
        if self._has_peers and now - self._last_ping_at > ISOLATED_AFTER_S:
            return True
        return any(
            now - served_at < 2.0 * PING_INTERVAL_S
            and served_at > now - outage_s + MIN_OUTAGE_S - PING_INTERVAL_S
            for served_at in self._served_at.values()
        )
