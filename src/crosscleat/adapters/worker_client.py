"""Orders sent straight to a worker."""

from __future__ import annotations

import asyncio
import logging

import aiohttp

from ..core.model.heartbeats import Heartbeat
from ..core.model.ids import AgentEpoch, Token
from ..core.model.worker_calls import DirectCommand
from ..wire import workers as wire

CONNECT_S = 0.8
WAIT_S = 1.5
"""For a socket of ours to become free, and the connection: what waits longer is never sent."""
ANSWER_S = 2.0
TIMEOUT_S = 4.0
REPORTED = (200, 409)
"""The answers whose body is the worker's report."""

log = logging.getLogger("crosscleat.workers")

_NEVER_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""A connection attempt that is given up does not complete afterwards."""


class WorkerClient:
    """Direct messages to workers."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(
            connect=WAIT_S, sock_connect=CONNECT_S, sock_read=ANSWER_S
        )

    async def _post(self, address: str, body: bytes) -> tuple[int, bytes]:
        async with asyncio.timeout(TIMEOUT_S):
            async with self._session.post(
                f"http://{address}/do", data=body, timeout=self._timeout
            ) as response:
                return response.status, await response.read()

    async def probe(self, address: str, token: Token, session: AgentEpoch) -> bytes | None:
        """The worker's report, unread, by a direct message without orders."""
        try:
            status, answer = await self._post(address, wire.direct(token, session, ()))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.debug("%s: no answer to a probe (%s)", address, error or type(error).__name__)
            return None
        return answer if status in REPORTED else None

    async def direct(self, call: DirectCommand) -> tuple[Heartbeat | None, bool]:
        """The worker's report; and, without one, whether the orders may still be executed."""
        body = wire.direct(call.token, call.agent_epoch, call.orders)
        try:
            status, answer = await self._post(call.address, body)
        except _NEVER_SENT as error:
            log.debug("%s: not reached (%s)", call.address, error)
            return None, False
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.debug("%s: no answer (%s)", call.address, error or type(error).__name__)
            return None, True
        if status not in REPORTED:
            return None, status >= 500
        return wire.parse_heartbeat(answer), True
