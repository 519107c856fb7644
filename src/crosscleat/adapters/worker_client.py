"""Client that sends commands and probes directly to workers."""

from __future__ import annotations

import logging

import aiohttp

from ..core.model.ids import AgentEpoch, Token
from ..core.model.worker_calls import DirectCommand, DirectReply
from ..wire import workers as wire
from .deadline import Deadline
from .http_calls import NO_RESPONSE_ERRORS, HttpResponse

CONNECT_TIMEOUT_S = 0.8
SOCKET_TIMEOUT_S = 1.5
"""For a free socket and the connection together; after it the request is not sent at all."""
RESPONSE_TIMEOUT_S = 2.0
TOTAL_TIMEOUT_S = 4.0
STATUSES_WITH_HEARTBEAT = (200, 409)

log = logging.getLogger("crosscleat.workers")

_NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors before the request was sent; an abandoned connection attempt never completes later."""


class WorkerClient:
    """Sends direct commands and probes to workers."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(
            connect=SOCKET_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S, sock_read=RESPONSE_TIMEOUT_S
        )

    async def probe(self, address: str, token: Token, agent_epoch: AgentEpoch) -> bytes | None:
        """Send a command without orders; returns the worker's heartbeat, undecoded, or None."""
        try:
            response = await self._post(address, wire.encode_direct_command(token, agent_epoch, ()))
        except NO_RESPONSE_ERRORS as error:
            log.debug("%s: no response to a probe (%s)", address, error or type(error).__name__)
            return None
        return response.body if response.status in STATUSES_WITH_HEARTBEAT else None

    async def send_command(self, call: DirectCommand) -> DirectReply:
        """Send the orders; the reply says whether they may have been, or may yet be, executed."""
        body = wire.encode_direct_command(call.token, call.agent_epoch, call.orders)
        try:
            response = await self._post(call.address, body)
        except _NOT_SENT_ERRORS as error:
            log.debug("%s: command not sent (%s)", call.address, error)
            return DirectReply(None, may_execute=False)
        except NO_RESPONSE_ERRORS as error:
            log.debug(
                "%s: no response to a command (%s)", call.address, error or type(error).__name__
            )
            return DirectReply(None, may_execute=True)
        if response.status not in STATUSES_WITH_HEARTBEAT:
            return DirectReply(None, may_execute=response.status >= 500)
        return DirectReply(wire.parse_heartbeat(response.body), may_execute=True)

    async def _post(self, address: str, body: bytes) -> HttpResponse:
        url = f"http://{address}/do"
        async with (
            Deadline(TOTAL_TIMEOUT_S),
            self._session.post(url, data=body, timeout=self._timeout) as response,
        ):
            return HttpResponse(response.status, await response.read())
