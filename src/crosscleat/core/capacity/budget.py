"""Money per period: what rented machines and waiting work may cost.

DESIGN: a period's budget covers rented machines plus waiting work and never idles rented
machines. So the budget only ever holds back further renting.
"""

from __future__ import annotations

from ..model.ids import Seconds


class Budget:
    """One period's allowance and what was spent of it."""

    def __init__(self, period_s: float, allowance: float, now: Seconds) -> None:
        self._period_s = period_s
        self.allowance = allowance
        self._start = now
        self._last = now
        self.spent = 0.0

    def charge(self, rate_per_s: float, now: Seconds) -> None:
        """Count what the rented machines cost since the last call."""
        while now - self._start >= self._period_s:
            self._start = Seconds(self._start + self._period_s)
            self.spent = 0.0
            self._last = max(self._last, self._start)
        self.spent += rate_per_s * (now - self._last)
        self._last = now

    def left_s(self, now: Seconds) -> float:
        """Seconds until the period ends."""
        return self._start + self._period_s - now

    def admits(self, rate_per_s: float, more_per_s: float, waiting: float, now: Seconds) -> bool:
        """Whether renting for `more_per_s` keeps the period within allowance plus waiting work."""
        projected = self.spent + (rate_per_s + more_per_s) * self.left_s(now)
        return projected <= self.allowance + waiting
