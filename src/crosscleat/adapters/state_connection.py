"""Requests to the key-value store with retries; tracks whether the store is available.

After a 429 or 503 the request was not executed. Without a response it may have been executed, or
may be executed later.
"""

from __future__ import annotations

import asyncio
import logging
from random import Random

import aiohttp

from .clock import monotonic_time
from .http_calls import HttpEndpoint, HttpResponse

ATTEMPT_TIMEOUT_S = 1.0
REFUSED_STATUSES = (429, 503)
"""Statuses of requests that were not executed."""
DOWN_AFTER_FAILURES = 3
"""Consecutive failures after which the store counts as down."""
DOWN_PAUSE_S = 0.25
"""Time after a failure during which no requests of users are sent to a store that is down."""
CHECK_INTERVAL_S = 1.0
FIRST_PAUSE_S, MAX_PAUSE_S, MIN_OUTAGE_PAUSE_S = 0.04, 0.5, 0.2

log = logging.getLogger("crosscleat.state")


class StateConnection:
    """Sends requests to the key-value store and counts consecutive failures."""

    def __init__(self, session: aiohttp.ClientSession, address: str, rng: Random) -> None:
        self._endpoint = HttpEndpoint(session, address, log)
        self._rng = rng
        self._failures = 0
        self._failing_since: float | None = None
        self._retry_at = 0.0
        self._served_at = monotonic_time()

    @property
    def is_available(self) -> bool:
        """Whether the last request got a response other than 503."""
        return self._failures == 0

    def outage_s(self) -> float:
        """Seconds since the first failure; 0 before `DOWN_AFTER_FAILURES` consecutive failures."""
        if self._failures < DOWN_AFTER_FAILURES or self._failing_since is None:
            return 0.0
        return monotonic_time() - self._failing_since

    def is_down(self) -> bool:
        """Whether the store counts as down and the last failure is less than `DOWN_PAUSE_S` ago."""
        return self._failures >= DOWN_AFTER_FAILURES and monotonic_time() < self._retry_at

    async def keep_checking(self) -> None:
        """Read a key whenever there was no response for some time, until cancelled.

        A controller that the store does not serve takes no user requests, so none of these would
        show that the store is available again.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if monotonic_time() - self._served_at > CHECK_INTERVAL_S:
                await self.try_once("GET", "/kv/leader", None, ATTEMPT_TIMEOUT_S)

    async def try_once(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpResponse | None:
        """Send a request once; the response may be a refusal, and is None if there was none."""
        response = await self._endpoint.request(method, path, body, timeout_s)
        if response is None or response.status == 503:
            self._record_failure()
        else:
            self._failures = 0
            self._failing_since = None
            self._served_at = monotonic_time()
        return response

    async def call_with_retries(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpResponse | None:
        """Repeat a request while it is refused or gets no response.

        Returns None if each attempt within `timeout_s` was refused or got no response.
        """
        give_up_at = monotonic_time() + timeout_s
        pause_s = FIRST_PAUSE_S
        while True:
            left_s = give_up_at - monotonic_time()
            if left_s <= 0.0:
                return None
            response = await self.try_once(method, path, body, min(ATTEMPT_TIMEOUT_S, left_s))
            if response is not None and response.status not in REFUSED_STATUSES:
                return response
            if (
                response is not None
                and response.status == 503
                and self._failures > DOWN_AFTER_FAILURES
            ):
                pause_s = max(pause_s, MIN_OUTAGE_PAUSE_S)
            await self.pause(pause_s, left_s)
            pause_s = min(MAX_PAUSE_S, pause_s * 2.0)

    async def pause(self, pause_s: float, left_s: float) -> None:
        """Sleep for 50% to 150% of `pause_s`, at random, but no longer than `left_s`."""
        await asyncio.sleep(min(left_s, pause_s * (0.5 + self._rng.random())))

    def _record_failure(self) -> None:
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = monotonic_time()
        self._retry_at = monotonic_time() + DOWN_PAUSE_S
