"""Rate limiter that keeps a client within its share of a per-second limit."""

from __future__ import annotations

import asyncio

from .clock import monotonic_time

MIN_SLEEP_S = 0.005


class Pacer:
    """A token bucket that holds the tokens of one second at `rate`, but at least one token."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._capacity = max(1.0, rate)
        self._tokens = self._capacity
        self._refilled_at = monotonic_time()

    def _refill(self) -> None:
        now = monotonic_time()
        self._tokens = min(self._capacity, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now

    def try_take(self, amount: float) -> bool:
        """Take the amount if it is available now; False if nothing was taken."""
        self._refill()
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    async def take(self, amount: float) -> None:
        """Wait until the amount is available and take it.

        An amount above the bucket's capacity is taken once the bucket is full; the number of
        tokens is then negative, which delays the next requests.
        """
        needed = min(amount, self._capacity)
        self._refill()
        while self._tokens < needed:
            await asyncio.sleep(max(MIN_SLEEP_S, (needed - self._tokens) / self._rate))
            self._refill()
        self._tokens -= amount
