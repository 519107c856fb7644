"""CPU demand over the last two minutes."""

from __future__ import annotations

import math
from collections import deque

from ..model.ids import Seconds
from ..state.jobs import Job

WINDOW_S = 120.0
"""Time in seconds that samples and job sizes are kept."""

RECENT_S = 45.0
"""Maximum age in seconds of a recent sample."""

LARGE_JOB_QUANTILE = 0.8
"""Quantile of the sizes of arrived jobs that defines a large job, for which capacity is kept."""


class Demand:
    """Samples of the CPUs that a class of work requests, and the sizes of its jobs."""

    def __init__(self) -> None:
        self._samples: deque[tuple[Seconds, float]] = deque()
        self._job_sizes: deque[tuple[Seconds, float]] = deque()

    def sample(self, cpus: float, now: Seconds) -> None:
        """Record the CPUs in use or waited for, and drop records older than the window."""
        self._samples.append((now, cpus))
        for records in (self._samples, self._job_sizes):
            while records and now - records[0][0] > WINDOW_S:
                records.popleft()

    def record_job(self, job: Job, now: Seconds) -> None:
        """Record the size of an arrived job, which is the CPUs of all its tasks."""
        self._job_sizes.append((now, job.spec.cpus * job.spec.tasks))

    def mean(self) -> float:
        """Mean over the whole window; 0 without samples."""
        return sum(cpus for _, cpus in self._samples) / len(self._samples) if self._samples else 0.0

    def recent_mean(self, now: Seconds) -> float:
        """Mean over the last `RECENT_S`; 0 without samples."""
        recent = [cpus for sampled_at, cpus in self._samples if now - sampled_at <= RECENT_S]
        return sum(recent) / len(recent) if recent else 0.0

    def sustained(self, now: Seconds) -> float:
        """The lower of the recent mean and the mean, so that a short burst does not count."""
        return min(self.mean(), self.recent_mean(now))

    def base_load(self, now: Seconds) -> float:
        """Demand that is nearly always present: near 0 if it fluctuates, as on a small fleet."""
        return max(0.0, self.sustained(now) - self.deviation())

    def deviation(self) -> float:
        """Standard deviation of the samples in the window."""
        mean = self.mean()
        if len(self._samples) < 2:
            return 0.0
        return math.sqrt(sum((cpus - mean) ** 2 for _, cpus in self._samples) / len(self._samples))

    def large_job_cpus(self) -> float:
        """CPUs of a large job: about four fifths of the arrived jobs request no more."""
        sizes = sorted(cpus for _, cpus in self._job_sizes)
        return sizes[int(len(sizes) * LARGE_JOB_QUANTILE)] if sizes else 0.0
