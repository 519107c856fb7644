"""CPUs asked for over the last while."""

from __future__ import annotations

import math
from collections import deque

from ..model.ids import Seconds
from ..state.jobs import Job

WINDOW_S = 120.0

RECENT_S = 45.0


class Demand:
    """CPUs asked for over the last while: what the warm room is sized by."""

    def __init__(self) -> None:
        self._samples: deque[tuple[Seconds, float]] = deque()
        self._sizes: deque[tuple[Seconds, float]] = deque()

    def sample(self, cpus: float, now: Seconds) -> None:
        """Note how much is asked for now."""
        self._samples.append((now, cpus))
        for kept in (self._samples, self._sizes):
            while kept and now - kept[0][0] > WINDOW_S:
                kept.popleft()

    def arrived(self, job: Job, now: Seconds) -> None:
        """A job came that room is kept for."""
        self._sizes.append((now, job.spec.cpus * job.spec.tasks))

    def mean(self) -> float:
        """Of the whole window."""
        return sum(c for _, c in self._samples) / len(self._samples) if self._samples else 0.0

    def lately(self, now: Seconds) -> float:
        """The mean of the last `RECENT_S`."""
        lately = [c for at, c in self._samples if now - at <= RECENT_S]
        return sum(lately) / len(lately) if lately else 0.0

    def usual(self, now: Seconds) -> float:
        """What was asked for both lately and over the whole while: no passing burst."""
        return min(self.mean(), self.lately(now))

    def steady(self, now: Seconds) -> float:
        """What is nearly always asked for: of what comes and goes, as on a small fleet, little."""
        return max(0.0, self.usual(now) - self.spread())

    def spread(self) -> float:
        """Standard deviation in the window."""
        mean = self.mean()
        if len(self._samples) < 2:
            return 0.0
        return math.sqrt(sum((c - mean) ** 2 for _, c in self._samples) / len(self._samples))

    def one_job(self) -> float:
        """CPUs that most of those jobs ask for at once."""
        sizes = sorted(cpus for _, cpus in self._sizes)
        return sizes[int(len(sizes) * 0.8)] if sizes else 0.0
