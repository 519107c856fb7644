"""Utility, cost and run-time estimates, from which the Weighted Util score is computed."""

from __future__ import annotations

import math
from collections import deque

from ..model.cloud import HOUR_S, MachineType
from ..model.deployment import Deployment
from ..model.ids import Seconds
from ..model.job_spec import JobSpec, Priority
from ..state.jobs import Job

PEAK_UTILITY = {
    Priority.LOW: 1.0,
    Priority.NORMAL: 2.0,
    Priority.HIGH: 4.0,
    Priority.PRODUCTION: 8.0,
}
"""Utility of a task that completes at the time of submission, by priority."""

MAX_UTILITY = max(PEAK_UTILITY.values())

LATE_START_FACTOR = 0.8
"""Factor on the utility for each missed objective for the start time."""

UTILITY_LOSS_AT_TARGET = 0.3
"""Share of the peak utility that a task loses linearly until its completion target."""

UTILITY_AT_TARGET = 0.7
"""Share of the peak utility that remains at the completion target; it then decays exponentially."""

MIN_TARGET_S = 1.0
"""Lower bound of completion targets, in seconds."""

DEFAULT_TARGET_S = 60.0
"""Constant part of the completion target of a job without deadline and objective, in seconds."""

DEFAULT_TARGET_RUNS = 3.0
"""Variable part of that completion target, as a multiple of the estimated run time."""

MIN_RUN_S = 0.1
MAX_RUN_S = 1e12
"""Bounds of run-time estimates, in seconds; the upper one is the largest that a user can give."""

MIN_COST = 1e-9
"""Lower bound of the highest cost, against a division by zero if no machine costs anything."""

PRIOR_RATIOS = 2
"""Number of assumed observations of exact estimates. They keep the first few real observations from
changing the factor of a class too much."""

MAX_RATIOS = 64
"""Number of newest completed runs of a class from which its factor is computed."""


class RunTimes:
    """Corrects users' run-time estimates by factors learned for each job class.

    Users' estimates are wrong in one direction for whole days. Charging them uncorrected would
    exhaust the budget early, as DESIGN warns.
    """

    def __init__(self, factors: dict[str, float] | None = None) -> None:
        """`factors` are initial factors, learned by another controller."""
        self._ratios: dict[str, deque[float]] = {}
        self.factors: dict[str, float] = dict(factors or {})
        """Actual run time as a multiple of the estimate, by class."""

    def learn(self, job: JobSpec, run_time_s: float) -> None:
        """Update the factor of the job's class with the run time of a completed run, in seconds."""
        if job.estimate_s <= 0 or run_time_s <= 0:
            return
        ratios = self._ratios.setdefault(job.job_class, deque(maxlen=MAX_RATIOS))
        ratios.append(run_time_s / max(MIN_RUN_S, job.estimate_s))
        factor = (sum(ratios) + PRIOR_RATIOS) / (len(ratios) + PRIOR_RATIOS)
        self.factors[job.job_class] = factor

    def estimate(self, job: JobSpec) -> float:
        """The user's estimate in seconds, corrected by the factor of the job's class."""
        corrected_s = max(MIN_RUN_S, job.estimate_s) * self.factors.get(job.job_class, 1.0)
        return min(MAX_RUN_S, max(MIN_RUN_S, corrected_s))


class Scorer:
    """Computes the utility and the cost of one task of a job."""

    def __init__(self, deployment: Deployment, run_times: RunTimes) -> None:
        self.deployment = deployment
        self._run_times = run_times
        self._completion_objectives: dict[str, float | None] = {}
        self._start_objectives: dict[str, tuple[float, ...]] = {}

    def completion_target_s(self, job: JobSpec) -> float:
        """Seconds after submission after which the job's utility decays quickly.

        This is the job's deadline, else the strictest completion objective of its class, else a
        default based on its estimated run time.
        """
        if job.deadline_s is not None:
            return job.deadline_s
        if job.job_class not in self._completion_objectives:
            limits = self.deployment.objective_limits("finished", job.job_class)
            self._completion_objectives[job.job_class] = min(limits, default=None)
        limit = self._completion_objectives[job.job_class]
        if limit is not None:
            return limit
        return DEFAULT_TARGET_S + DEFAULT_TARGET_RUNS * self._run_times.estimate(job)

    def completion_targets_s(self, job: JobSpec) -> list[float]:
        """Completion targets in seconds after submission, in ascending order.

        These are the job's deadline, else the completion objectives of its class.
        """
        if job.deadline_s is not None:
            return [job.deadline_s]
        return sorted(self.deployment.objective_limits("finished", job.job_class))

    def utility(self, job: JobSpec, start_age: float, completion_age: float) -> float:
        """Utility of a task that starts and completes at these ages, in seconds after submission.

        It decreases slowly until the completion target and quickly after it, and by a factor for
        each missed start objective. The paper's utility depends on completion only; the objectives
        also set limits for the start.
        """
        target_s = max(MIN_TARGET_S, self.completion_target_s(job))
        peak = PEAK_UTILITY[job.priority]
        for limit in self._start_limits(job.job_class):
            if start_age > limit:
                peak *= LATE_START_FACTOR
        if completion_age <= target_s:
            return peak * (1.0 - UTILITY_LOSS_AT_TARGET * max(0.0, completion_age) / target_s)
        return peak * UTILITY_AT_TARGET * math.exp(-(completion_age - target_s) / target_s)

    def _start_limits(self, job_class: str) -> tuple[float, ...]:
        limits = self._start_objectives.get(job_class)
        if limits is None:
            limits = self.deployment.objective_limits("wait", job_class)
            self._start_objectives[job_class] = limits
        return limits

    def run_s(self, job: JobSpec) -> float:
        """Estimated run time of one of the job's tasks, in seconds."""
        return self._run_times.estimate(job)

    def machine_share(self, job: JobSpec, machine_type: MachineType) -> float:
        """The share of such a machine that one task keeps other tasks from using.

        This is the largest of its shares of the machine's CPUs, GPUs and memory.
        """
        return max(
            job.cpus / machine_type.cpus if machine_type.cpus else 0.0,
            job.gpus / machine_type.gpus if machine_type.gpus else 0.0,
            job.memory_gb / machine_type.memory_gb if machine_type.memory_gb else 0.0,
        )

    def remaining_s(self, job: Job) -> float:
        """Estimated run time of the job's next attempt, which resumes from the checkpoint."""
        return max(MIN_RUN_S, self.run_s(job.spec) - job.progress.saved_s)

    def cost(self, job: Job, machine_type: MachineType, spot: bool, fetch_s: float) -> float:
        """The price of one task on such a machine, from the image fetch to the task's end."""
        rate = machine_type.price_for(spot) / HOUR_S
        return (self.remaining_s(job) + fetch_s) * rate * self.machine_share(job.spec, machine_type)


class PairScorer:
    """Scores a task on a machine.

    (1 - wf) * utility / max utility - wf * cost / max cost (paper section 3.2, eq. 1),
    where wf is the setting `weight`.
    """

    def __init__(self, scorer: Scorer, max_cost: float) -> None:
        """`max_cost` is the highest cost among the pairs to compare."""
        self._scorer = scorer
        self._weight = scorer.deployment.tuning.weight
        self._max_cost = max_cost

    def score(
        self, job: Job, age: Seconds, machine_type: MachineType, spot: bool, fetch_s: float
    ) -> float:
        """Score of one task that starts on such a machine after `fetch_s`; larger is better."""
        completion_age = age + fetch_s + self._scorer.remaining_s(job)
        utility = self._scorer.utility(job.spec, age + fetch_s, completion_age)
        cost = self._scorer.cost(job, machine_type, spot, fetch_s)
        return (1.0 - self._weight) * utility / MAX_UTILITY - self._weight * cost / self._max_cost
