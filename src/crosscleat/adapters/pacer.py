"""A share of an allowance that is counted per second."""

from __future__ import annotations

import asyncio

from .clock import steady


class Pacer:
    """A token bucket of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._burst = max(1.0, rate)
        self._tokens = self._burst
        self._at = steady()

    def _refill(self) -> None:
        now = steady()
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self._rate)
        self._at = now

    def spare(self, amount: float) -> bool:
        """Use the amount if it is there now; a user is told to come back rather than kept."""
        self._refill()
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    async def take(self, amount: float) -> None:
        """Wait until the amount may be used; large amounts go once the bucket is full."""
        needed = min(amount, self._burst)
        self._refill()
        while self._tokens < needed:
            await asyncio.sleep(max(0.005, (needed - self._tokens) / self._rate))
            self._refill()
        self._tokens -= amount
