"""Requests to the key-value store, their retries, and whether the store is available.

A 429 or 503 means that nothing was executed. No answer means that the request was perhaps
executed, or will be later.
"""

from __future__ import annotations

import asyncio
import logging
from random import Random

import aiohttp

from .clock import steady
from .http_calls import HttpEndpoint, HttpResponse

TRY_TIMEOUT_S = 1.0
REFUSED = (429, 503)
"""Statuses of requests that were not executed."""
DOWN_AFTER = 3
"""Failures in a row."""
DOWN_PAUSE_S = 0.25
"""After a failure; meanwhile a store that is down is not tried for users' sake."""
CHECK_INTERVAL_S = 1.0
FIRST_PAUSE_S, MAX_PAUSE_S, MIN_OUTAGE_PAUSE_S = 0.04, 0.5, 0.2

log = logging.getLogger("crosscleat.state")


class StateConnection:
    """The way to the key-value store; it keeps count of failures."""

    def __init__(self, session: aiohttp.ClientSession, address: str, rng: Random) -> None:
        self._endpoint = HttpEndpoint(session, address, log)
        self._rng = rng
        self._failures = 0
        self._failing_since: float | None = None
        self._retry_at = 0.0
        self._served_at = steady()

    @property
    def is_available(self) -> bool:
        """Whether the store answered the last request."""
        return self._failures == 0

    def outage_s(self) -> float:
        """For how many seconds it has not served this controller; 0 until that is certain."""
        if self._failures < DOWN_AFTER or self._failing_since is None:
            return 0.0
        return steady() - self._failing_since

    def is_down(self) -> bool:
        """Whether it failed several times in a row, the last time a moment ago."""
        return self._failures >= DOWN_AFTER and steady() < self._retry_at

    async def keep_checking(self) -> None:
        """Ask for a key whenever nothing else was answered for a while, until cancelled.

        A controller that the store refuses takes no requests, so none would show that this has
        ended.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if steady() - self._served_at > CHECK_INTERVAL_S:
                await self.try_once("GET", "/kv/leader", None, TRY_TIMEOUT_S)

    async def try_once(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpResponse | None:
        """The answer to one request, a refusal too; None: no answer."""
        response = await self._endpoint.request(method, path, body, timeout_s)
        if response is None or response.status == 503:
            self._record_failure()
        else:
            self._failures = 0
            self._failing_since = None
            self._served_at = steady()
        return response

    async def call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpResponse | None:
        """The answer to a request that is repeated while it is refused or not answered.

        None: the store did not decide within `timeout_s`.
        """
        give_up_at = steady() + timeout_s
        pause_s = FIRST_PAUSE_S
        while True:
            left_s = give_up_at - steady()
            if left_s <= 0.0:
                return None
            response = await self.try_once(method, path, body, min(TRY_TIMEOUT_S, left_s))
            if response is not None and response.status not in REFUSED:
                return response
            if response is not None and response.status == 503 and self._failures > DOWN_AFTER:
                pause_s = max(pause_s, MIN_OUTAGE_PAUSE_S)
            await self.pause(pause_s, left_s)
            pause_s = min(MAX_PAUSE_S, pause_s * 2.0)

    async def pause(self, pause_s: float, left_s: float) -> None:
        """Sleep for half to one and a half times the pause, and no longer than what is left."""
        await asyncio.sleep(min(left_s, pause_s * (0.5 + self._rng.random())))

    def _record_failure(self) -> None:
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = steady()
        self._retry_at = steady() + DOWN_PAUSE_S
