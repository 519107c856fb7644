"""The CPUs that work has asked for over the last two minutes."""

from __future__ import annotations

import math
from collections import deque

from ..model.ids import Seconds
from ..state.jobs import Job

WINDOW_S = 120.0
"""Samples and job sizes are kept for so long."""

RECENT_S = 45.0
"""Samples of so long ago count as recent."""

LARGE_JOB_QUANTILE = 0.8
"""Of the sizes of arrived jobs: the size that capacity is kept for."""


class Demand:
    """Samples of the CPUs that a class of work asks for, and the sizes of its jobs."""

    def __init__(self) -> None:
        self._samples: deque[tuple[Seconds, float]] = deque()
        self._job_sizes: deque[tuple[Seconds, float]] = deque()

    def sample(self, cpus: float, now: Seconds) -> None:
        """Record the CPUs in use or asked for now, and forget what is older than the window."""
        self._samples.append((now, cpus))
        for records in (self._samples, self._job_sizes):
            while records and now - records[0][0] > WINDOW_S:
                records.popleft()

    def record_job(self, job: Job, now: Seconds) -> None:
        """Record the size of a job that arrived."""
        self._job_sizes.append((now, job.spec.cpus * job.spec.tasks))

    def mean(self) -> float:
        """Mean over the whole window; 0 without samples."""
        return sum(cpus for _, cpus in self._samples) / len(self._samples) if self._samples else 0.0

    def recent_mean(self, now: Seconds) -> float:
        """Mean over the last `RECENT_S`; 0 without samples."""
        recent = [cpus for at, cpus in self._samples if now - at <= RECENT_S]
        return sum(recent) / len(recent) if recent else 0.0

    def sustained(self, now: Seconds) -> float:
        """What was asked for both recently and over the whole window: a short burst is left out."""
        return min(self.mean(), self.recent_mean(now))

    def base_load(self, now: Seconds) -> float:
        """What is nearly always asked for: near 0 if demand comes and goes, as on a small fleet."""
        return max(0.0, self.sustained(now) - self.deviation())

    def deviation(self) -> float:
        """Standard deviation of the samples in the window."""
        mean = self.mean()
        if len(self._samples) < 2:
            return 0.0
        return math.sqrt(sum((cpus - mean) ** 2 for _, cpus in self._samples) / len(self._samples))

    def large_job_cpus(self) -> float:
        """CPUs that all but the largest fifth of the arrived jobs ask for at once."""
        sizes = sorted(cpus for _, cpus in self._job_sizes)
        return sizes[int(len(sizes) * LARGE_JOB_QUANTILE)] if sizes else 0.0
