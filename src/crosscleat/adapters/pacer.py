"""Keeps a client to its share of a rate limit that is counted per second."""

from __future__ import annotations

import asyncio

from .clock import steady

MIN_SLEEP_S = 0.005


class Pacer:
    """A token bucket that holds what `rate` allows in one second, and at least one request."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._burst = max(1.0, rate)
        self._tokens = self._burst
        self._refilled_at = steady()

    def _refill(self) -> None:
        now = steady()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now

    def try_take(self, amount: float) -> bool:
        """Take the amount if it is there now; False: nothing was taken."""
        self._refill()
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    async def take(self, amount: float) -> None:
        """Wait until the amount may be taken.

        One that the bucket never holds is taken once it is full, and leaves a debt.
        """
        needed = min(amount, self._burst)
        self._refill()
        while self._tokens < needed:
            await asyncio.sleep(max(MIN_SLEEP_S, (needed - self._tokens) / self._rate))
            self._refill()
        self._tokens -= amount
