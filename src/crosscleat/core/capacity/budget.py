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
        self._charged_until = now
        self.spent = 0.0

    def charge(self, rate_per_s: float, now: Seconds) -> None:
        """Add the cost of the rented machines since the last call; a new period begins at 0."""
        while now - self._start >= self._period_s:
            self._start = Seconds(self._start + self._period_s)
            self.spent = 0.0
            self._charged_until = max(self._charged_until, self._start)
        self.spent += rate_per_s * (now - self._charged_until)
        self._charged_until = now

    def remaining_s(self, now: Seconds) -> float:
        """Seconds until the period ends."""
        return self._start + self._period_s - now

    def admits(
        self, rate_per_s: float, added_per_s: float, waiting_cost: float, now: Seconds
    ) -> bool:
        """Whether renting for `added_per_s` more keeps within the allowance and waiting work.

        `rate_per_s` is the price of the machines rented now, `waiting_cost` that of running all
        that waits.
        """
        projected = self.spent + (rate_per_s + added_per_s) * self.remaining_s(now)
        return projected <= self.allowance + waiting_cost
