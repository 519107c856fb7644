"""The cost budget of a period.

DESIGN: a period's budget covers rented machines plus waiting work and never idles rented
machines. The budget therefore only limits further rentals.
"""

from __future__ import annotations

import math

from ..model.ids import Seconds


class Budget:
    """The allowance of the current period and the amount spent of it."""

    def __init__(self, period_s: float, allowance: float, now: Seconds) -> None:
        self._period_s = period_s
        self.allowance = allowance
        self._period_start = now
        self._charged_until = now
        self.spent = 0.0

    def charge(self, rate_per_s: float, now: Seconds) -> None:
        """Add the cost of the rented machines since the last call; each period starts at 0."""
        if now - self._period_start >= self._period_s:
            into_period_s = math.fmod(now - self._period_start, self._period_s)
            self._period_start = Seconds(now - into_period_s)
            self.spent = 0.0
            self._charged_until = self._period_start
        self.spent += rate_per_s * (now - self._charged_until)
        self._charged_until = now

    def remaining_s(self, now: Seconds) -> float:
        """Seconds until the current period ends."""
        return self._period_start + self._period_s - now

    def admits(
        self, rate_per_s: float, added_per_s: float, waiting_cost: float, now: Seconds
    ) -> bool:
        """Whether the budget allows a rental that costs `added_per_s` per second.

        The cost projected to the end of the period must not exceed the allowance plus
        `waiting_cost`, the cost of running all waiting work. `rate_per_s` is the price per second
        of the machines rented now.
        """
        projected = self.spent + (rate_per_s + added_per_s) * self.remaining_s(now)
        return projected <= self.allowance + waiting_cost
