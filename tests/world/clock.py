"""A simulated clock that runs scheduled events."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Runs scheduled events in the order of their simulated time; ties run in scheduling order."""

    def __init__(self) -> None:
        self.now = 1000.0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = itertools.count()

    def after(self, delay: float, event: Callable[[], object]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._sequence), event))

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end
