"""One HTTP request to another service, and its outcome."""

from __future__ import annotations

from logging import Logger

import aiohttp
import msgspec

from .deadline import Deadline


class HttpResponse(msgspec.Struct, frozen=True):
    """A service's answer."""

    status: int
    body: bytes


NO_RESPONSE = (aiohttp.ClientError, OSError, TimeoutError)
"""What is raised by a request that got no answer; it may have been carried out all the same."""


class HttpEndpoint:
    """Another service, at one address."""

    def __init__(self, session: aiohttp.ClientSession, address: str, log: Logger) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._log = log

    async def request(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpResponse | None:
        """The answer to one request, whatever its status; None: no answer in time."""
        try:
            async with (
                Deadline(timeout_s),
                self._session.request(method, self._base + path, data=body) as response,
            ):
                return HttpResponse(response.status, await response.read())
        except NO_RESPONSE as error:
            self._log.debug("%s %s: no answer (%s)", method, path, error or type(error).__name__)
            return None
