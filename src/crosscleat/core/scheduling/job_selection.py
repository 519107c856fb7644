"""Selects the waiting jobs of a cycle, and which of them are placed first or last."""

from __future__ import annotations

from random import Random

from ..model.ids import JobRef
from ..state.jobs import Job
from .feasibility import Feasibility
from .scoring import Scorer

MAX_RANKED_JOBS = 120
"""Number of jobs that one cycle considers if more than twice as many wait. Half of them are those
with the highest utility, half are a random sample of the others."""

MUST_START_AFTER_S = 100.0
"""A job that has waited this many seconds without any start goes before all other jobs."""

REPEATED_FAILURE_MACHINES = 2
"""A job that failed on this many machines or more and succeeded on none gets one task at a time."""


def fails_repeatedly(job: Job) -> bool:
    """Whether the job has failed on several machines and succeeded on none."""
    return not job.has_completed_task and len(job.failed_on) >= REPEATED_FAILURE_MACHINES


class JobSelection:
    """Compares waiting jobs by the utility of the next task of each."""

    def __init__(self, feasibility: Feasibility, scorer: Scorer, rng: Random) -> None:
        self._feasibility = feasibility
        self._scorer = scorer
        self._rng = rng
        self._drop_threshold = scorer.deployment.tuning.drop_threshold
        self._utilities: dict[JobRef, float] = {}

    def sample(self, waiting: list[Job]) -> list[Job]:
        """Select the jobs to consider: a cycle places only few of a thousand waiting jobs.

        The random half of the sample gives a chance to jobs that would otherwise always be behind
        jobs of higher utility.
        """
        if len(waiting) <= 2 * MAX_RANKED_JOBS:
            return waiting
        admitted = [job for job in waiting if self._feasibility.quota_admits(job)]
        if len(admitted) <= MAX_RANKED_JOBS:
            return admitted
        admitted.sort(
            key=lambda job: (self.must_start_next(job), self._best_utility(job)), reverse=True
        )
        half = MAX_RANKED_JOBS // 2
        return admitted[:half] + self._rng.sample(admitted[half:], MAX_RANKED_JOBS - half)

    def must_start_next(self, job: Job) -> bool:
        """Whether the job's first task goes before the tasks of all other jobs.

        Late jobs have a low utility and would never start while new jobs of higher utility keep
        arriving. Gangs go first after a short wait: they need all their capacity at once, and
        single tasks of other jobs would take the machines that are freed or rented for them.
        """
        if self._feasibility.gang_goes_first(job):
            return True
        age = self._feasibility.now - job.submitted
        return (
            age > MUST_START_AFTER_S
            and not job.ever_placed
            and not self._feasibility.assigned_count(job)
        )

    def is_deferred(self, job: Job) -> bool:
        """Whether the job may only use the capacity that all other jobs leave."""
        if job.backfill and not self.must_start_next(job):
            return True
        return self._best_utility(job) < self._drop_threshold

    def _best_utility(self, job: Job) -> float:
        """The utility of the next task if it started now (paper section 3.3)."""
        utility = self._utilities.get(job.ref)
        if utility is None:
            age = self._feasibility.now - job.submitted
            utility = self._scorer.utility(job.spec, age, age + self._scorer.remaining_s(job))
            self._utilities[job.ref] = utility
        return utility
