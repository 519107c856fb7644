"""Utility, cost and run-time estimates: the terms of the Weighted Util score."""

from __future__ import annotations

import math
from collections import deque

from ..model.cloud import MachineType
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
"""Utility of a task that completes as soon as it is submitted."""

MAX_UTILITY = max(PEAK_UTILITY.values())

LATE_START = 0.8
"""What is left of the utility for each objective for starts that is missed."""

UTILITY_LOSS_AT_TARGET = 0.3
"""The part of its utility that a task loses until its completion target."""

UTILITY_AT_TARGET = 0.7
"""What is left of it then; it falls exponentially from there."""

MIN_TARGET_S = 1.0
"""Earlier completion targets are taken for this one."""

DEFAULT_TARGET_S = 60.0
"""Part of the completion target where users gave none; the other part is in run times."""

DEFAULT_TARGET_RUNS = 3.0

MIN_RUN_S = 0.1
"""The shortest run time that is expected of any task."""

MIN_COST = 1e-9
"""Stands for the highest cost where nothing costs anything."""

PRIOR_RATIOS = 2
"""Assumed observations of right estimates: they keep the first few real ones from swinging it."""

MAX_RATIOS = 64
"""Completed runs of a class that count: the newest ones."""


class RunTimes:
    """Learns per class by how much users' estimates are off.

    Users' estimates are wrong in one direction for whole days; charging them unchanged would let
    the budget drain early, as DESIGN warns.
    """

    def __init__(self, factors: dict[str, float] | None = None) -> None:
        """`factors` are those that another controller has learned."""
        self._ratios: dict[str, deque[float]] = {}
        self.factors: dict[str, float] = dict(factors or {})
        """Actual run time as a multiple of the estimate, by class."""

    def learn(self, job: JobSpec, ran_s: float) -> None:
        """Compare a completed run with its user's estimate."""
        if job.estimate_s <= 0 or ran_s <= 0:
            return
        ratios = self._ratios.setdefault(job.job_class, deque(maxlen=MAX_RATIOS))
        ratios.append(ran_s / job.estimate_s)
        factor = (sum(ratios) + PRIOR_RATIOS) / (len(ratios) + PRIOR_RATIOS)
        self.factors[job.job_class] = factor

    def estimate(self, job: JobSpec) -> float:
        """The user's estimate in seconds, corrected by what the class has shown."""
        return max(MIN_RUN_S, job.estimate_s * self.factors.get(job.job_class, 1.0))


class Scorer:
    """Utility and cost of one task of a job."""

    def __init__(self, deployment: Deployment, run_times: RunTimes) -> None:
        self.deployment = deployment
        self._run_times = run_times
        self._completion_objectives: dict[str, float | None] = {}
        self._start_objectives: dict[str, tuple[float, ...]] = {}

    def completion_target_s(self, job: JobSpec) -> float:
        """Seconds after submission from which the job is worth less.

        By its deadline, else the strictest objective of its class, else its run time.
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
        """Seconds after submission by which its objectives want it done, the first one first."""
        if job.deadline_s is not None:
            return [job.deadline_s]
        return sorted(self.deployment.objective_limits("finished", job.job_class))

    def utility(self, job: JobSpec, start_age: float, completion_age: float) -> float:
        """Falls with both ages: slowly until the completion target, then quickly.

        Ages are seconds after submission. The paper knows completion alone; the objectives also
        ask for starts within a time.
        """
        target_s = max(MIN_TARGET_S, self.completion_target_s(job))
        peak = PEAK_UTILITY[job.priority]
        for limit in self._start_limits(job.job_class):
            if start_age > limit:
                peak *= LATE_START
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

    def share(self, job: JobSpec, machine_type: MachineType) -> float:
        """The part of such a machine that one task keeps others from using."""
        return max(
            job.cpus / machine_type.cpus if machine_type.cpus else 0.0,
            job.gpus / machine_type.gpus if machine_type.gpus else 0.0,
            job.memory_gb / machine_type.memory_gb if machine_type.memory_gb else 0.0,
        )

    def remaining_s(self, job: Job) -> float:
        """Estimated run time of the job's next attempt, which goes on from its checkpoint."""
        return max(MIN_RUN_S, self.run_s(job.spec) - job.progress.saved_s)

    def cost(self, job: Job, machine_type: MachineType, spot: bool, fetch_s: float) -> float:
        """The price of one task on such a machine, from the fetch of its image to its end."""
        rate = machine_type.price_for(spot) / 3600.0
        return (self.remaining_s(job) + fetch_s) * rate * self.share(job.spec, machine_type)


class PairScorer:
    """The score of a task on a machine.

    (1 - wf) * utility / max utility - wf * cost / max cost (paper section 3.2, eq. 1).
    """

    def __init__(self, scorer: Scorer, max_cost: float) -> None:
        """`max_cost` is the highest cost among the pairs that are compared."""
        self._scorer = scorer
        self._weight = scorer.deployment.tuning.weight
        self._max_cost = max_cost

    def score(
        self, job: Job, age: Seconds, machine_type: MachineType, spot: bool, fetch_s: float
    ) -> float:
        """Of one task that starts there after `fetch_s`; larger is better."""
        completion_age = age + fetch_s + self._scorer.remaining_s(job)
        utility = self._scorer.utility(job.spec, age + fetch_s, completion_age)
        cost = self._scorer.cost(job, machine_type, spot, fetch_s)
        return (1.0 - self._weight) * utility / MAX_UTILITY - self._weight * cost / self._max_cost
