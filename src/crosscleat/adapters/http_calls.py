"""HTTP requests to other services."""

from __future__ import annotations

from logging import Logger

import aiohttp
import msgspec

from .deadline import Deadline


class HttpResponse(msgspec.Struct, frozen=True):
    """A service's response to one request."""

    status: int
    body: bytes


NO_RESPONSE_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)
"""Errors of a request that got no response; the service may have executed it nevertheless."""


class HttpEndpoint:
    """Sends requests to another service at one address."""

    def __init__(self, session: aiohttp.ClientSession, address: str, log: Logger) -> None:
        self._session = session
        self._base_url = f"http://{address}"
        self._log = log

    async def request(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpResponse | None:
        """The response to one request, whatever its status; None if there was none in time."""
        try:
            async with (
                Deadline(timeout_s),
                self._session.request(method, self._base_url + path, data=body) as response,
            ):
                return HttpResponse(response.status, await response.read())
        except NO_RESPONSE_ERRORS as error:
            self._log.debug("%s %s: no response (%s)", method, path, error or type(error).__name__)
            return None
