"""Divides the sockets that the platform allows, and creates HTTP sessions within these limits."""

from __future__ import annotations

from typing import NamedTuple

import aiohttp

KEEP_ALIVE_S = 2.0
"""Time limit for idle connections to other services, as each uses a socket at both ends."""


class SocketBudget(NamedTuple):
    """Maximum number of open sockets for each use.

    If all other controllers are down, one controller must serve all workers and users. Hanging
    connections of clients or to workers must not keep requests to the key-value store or the
    cloud waiting for a socket.
    """

    store: int
    cloud: int
    workers: int
    """Connections in use; the same number may be open and idle."""
    clients: int

    @classmethod
    def divide(cls, max_sockets: int, peers: int) -> SocketBudget:
        """Divide `max_sockets` for a controller with `peers` peers."""
        store = max(3, max_sockets // 20)
        cloud = max(2, max_sockets // 100)
        workers = max(2, max_sockets // 16)
        # Two listening sockets; for each peer one incoming link, one outgoing link and one attempt
        # to reconnect.
        remaining = max_sockets - store - cloud - 2 * workers - 3 * peers - 2
        # A reserve is left for the system.
        return cls(store, cloud, workers, max(2, remaining - max_sockets // 32))


def client_session(max_connections: int) -> aiohttp.ClientSession:
    """An HTTP session for calls to other services; needs a running event loop."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=max_connections, use_dns_cache=False, keepalive_timeout=KEEP_ALIVE_S
        ),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
