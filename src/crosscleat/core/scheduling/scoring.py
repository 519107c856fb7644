"""Utility, cost and run-time estimates: the terms of the Weighted Util score."""

from __future__ import annotations

import math
from collections import deque

from ..model.cloud import MachineType
from ..model.deployment import Deployment
from ..model.ids import Seconds
from ..model.job_spec import JobSpec, Priority
from ..state.jobs import Job

PEAKS = {
    Priority.LOW: 1.0,
    Priority.NORMAL: 2.0,
    Priority.HIGH: 4.0,
    Priority.PRODUCTION: 8.0,
}

MAX_UTILITY = max(PEAKS.values())

LATE_START = 0.8
"""What is left of the utility for each start aim that is missed."""


class RunTimes:
    """Learns per class by how much owners' estimates are off.

    Owners' estimates are wrong in one direction for whole days; charging them unchanged
    would let the budget drain early, as DESIGN warns.
    """

    def __init__(self) -> None:
        self._ratios: dict[str, deque[float]] = {}
        self.factors: dict[str, float] = {}

    def learn(self, job: JobSpec, ran_s: float) -> None:
        """Compare a completed run with its owner's estimate."""
        if job.estimate_s <= 0 or ran_s <= 0:
            return
        ratios = self._ratios.setdefault(job.job_class, deque(maxlen=64))
        ratios.append(ran_s / job.estimate_s)
        # Two pretended observations of 1.0 keep the first few from swinging it.
        self.factors[job.job_class] = (sum(ratios) + 2.0) / (len(ratios) + 2)

    def estimate(self, job: JobSpec) -> float:
        """The owner's estimate, corrected by what the class has shown."""
        return max(0.1, job.estimate_s * self.factors.get(job.job_class, 1.0))


class Scorer:
    """(1 - wf) * utility / max utility - wf * cost / max cost, paper section 3.2, eq. 1."""

    def __init__(self, deployment: Deployment, run_times: RunTimes) -> None:
        self.deployment = deployment
        self._run_times = run_times
        self._limits: dict[str, float | None] = {}
        self._starts: dict[str, tuple[float, ...]] = {}
        self.weight = deployment.tuning.weight
        self.max_cost = 1e-9

    def completion_target_s(self, job: JobSpec) -> float:
        """Seconds after submission from which the job is worth less: deadline, aim or estimate."""
        if job.deadline_s is not None:
            return job.deadline_s
        if job.job_class not in self._limits:
            limits = self.deployment.class_limits("finished", job.job_class)
            self._limits[job.job_class] = min(limits, default=None)
        limit = self._limits[job.job_class]
        return limit if limit is not None else 60.0 + 3.0 * self._run_times.estimate(job)

    def completion_targets_s(self, job: JobSpec) -> list[float]:
        """The times after submission by which the aims want it done, the first one first."""
        if job.deadline_s is not None:
            return [job.deadline_s]
        return sorted(self.deployment.class_limits("finished", job.job_class))

    def utility(self, job: JobSpec, start_age: float, completion_age: float) -> float:
        """Monotonically decreasing in both ages: slowly until due, then quickly.

        The paper knows completion alone; the aims also ask for starts within a time.
        """
        completion_target_s = max(1.0, self.completion_target_s(job))
        peak = PEAKS[job.priority]
        for limit in self._start_limits(job.job_class):
            if start_age > limit:
                peak *= LATE_START
        if completion_age <= completion_target_s:
            return peak * (1.0 - 0.3 * max(0.0, completion_age) / completion_target_s)
        return peak * 0.7 * math.exp(-(completion_age - completion_target_s) / completion_target_s)

    def _start_limits(self, job_class: str) -> tuple[float, ...]:
        limits = self._starts.get(job_class)
        if limits is None:
            limits = self._starts[job_class] = self.deployment.class_limits("wait", job_class)
        return limits

    def run_s(self, job: JobSpec) -> float:
        """Estimated run time of one of the job's tasks."""
        return self._run_times.estimate(job)

    def share(self, job: JobSpec, machine: MachineType) -> float:
        """The part of the machine that one task keeps others from using."""
        return max(
            job.cpus / machine.cpus if machine.cpus else 0.0,
            job.gpus / machine.gpus if machine.gpus else 0.0,
            job.memory_gb / machine.memory_gb if machine.memory_gb else 0.0,
        )

    def remaining_s(self, job: Job) -> float:
        """Estimated run time of the job's next attempt, which goes on from saved progress."""
        return max(0.1, self.run_s(job.spec) - job.progress.saved_s)

    def cost(self, job: Job, machine: MachineType, spot: bool, fetch_s: float) -> float:
        """Of one task there, from its start to its end."""
        rate = machine.price_for(spot) / 3600.0
        return (self.remaining_s(job) + fetch_s) * rate * self.share(job.spec, machine)

    def score(
        self, job: Job, age: Seconds, machine: MachineType, spot: bool, fetch_s: float
    ) -> float:
        """Of one task there, if it starts after `fetch_s`."""
        completion_age = age + fetch_s + self.remaining_s(job)
        utility = self.utility(job.spec, age + fetch_s, completion_age)
        cost = self.cost(job, machine, spot, fetch_s)
        return (1.0 - self.weight) * utility / MAX_UTILITY - self.weight * cost / self.max_cost
