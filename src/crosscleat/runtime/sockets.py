"""How the sockets that the platform allows are divided, and the HTTP sessions that keep to it."""

from __future__ import annotations

from typing import NamedTuple

import aiohttp

KEEP_ALIVE_S = 2.0
"""How long an idle connection to another service is kept: it holds a socket on both sides."""


class SocketBudget(NamedTuple):
    """The most sockets that may be open at one time, by use.

    A controller that is left alone must hold the connections of all workers and users. Whatever
    hangs, among those or among the workers that it addresses, neither the key-value store nor the
    cloud may wait for a socket.
    """

    store: int
    cloud: int
    workers: int
    """In use; as many again may be kept open while idle."""
    clients: int

    @classmethod
    def divide(cls, max_sockets: int, peers: int) -> SocketBudget:
        """Divide `max_sockets` for a controller with this number of peers."""
        store = max(3, max_sockets // 20)
        cloud = max(2, max_sockets // 100)
        workers = max(2, max_sockets // 16)
        # Two to listen on; for each peer one link in, one out and its next attempt to connect.
        remaining = max_sockets - store - cloud - 2 * workers - 3 * peers - 2
        # Some are left to the system.
        return cls(store, cloud, workers, max(2, remaining - max_sockets // 32))


def client_session(max_connections: int) -> aiohttp.ClientSession:
    """A session for calls to other services; needs a running event loop."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=max_connections, use_dns_cache=False, keepalive_timeout=KEEP_ALIVE_S
        ),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
