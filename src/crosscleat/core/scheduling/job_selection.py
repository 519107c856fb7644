"""Which waiting jobs a cycle considers, which go first, and which take only what others leave."""

from __future__ import annotations

from random import Random

from ..model.ids import JobRef
from ..state.jobs import Job
from .feasibility import Feasibility
from .scoring import Scorer

MAX_RANKED_JOBS = 120
"""Jobs that one cycle considers if more than twice as many wait: half of them the best by utility,
half a sample of the others."""

MUST_START_AFTER_S = 100.0
"""A job that has waited so long without a start goes next, whatever else waits."""


REPEATED_FAILURE_MACHINES = 2
"""A job that failed on so many machines and succeeded on none is tried one task at a time."""


def fails_repeatedly(job: Job) -> bool:
    """Whether the job has failed on several machines and succeeded on none."""
    return not job.has_completed_task and len(job.failed_on) >= REPEATED_FAILURE_MACHINES


class JobSelection:
    """Compares waiting jobs by what the next task of each would be worth."""

    def __init__(self, feasibility: Feasibility, scorer: Scorer, rng: Random) -> None:
        self._feasibility = feasibility
        self._scorer = scorer
        self._rng = rng
        self._drop_threshold = scorer.deployment.tuning.drop_threshold
        self._utilities: dict[JobRef, float] = {}

    def sample(self, waiting: list[Job]) -> list[Job]:
        """Not each of a thousand jobs is considered in each cycle: it places few of them.

        The random half gives a chance to those that the better ones would always leave behind.
        """
        if len(waiting) <= 2 * MAX_RANKED_JOBS:
            return waiting
        admitted = [job for job in waiting if self._feasibility.team_admits(job)]
        if len(admitted) <= MAX_RANKED_JOBS:
            return admitted
        admitted.sort(
            key=lambda job: (self.must_start_next(job), self._best_utility(job)), reverse=True
        )
        half = MAX_RANKED_JOBS // 2
        return admitted[:half] + self._rng.sample(admitted[half:], MAX_RANKED_JOBS - half)

    def must_start_next(self, job: Job) -> bool:
        """Whether its first task goes before all others.

        Late work is worth little, and among ever new work that is worth more it would never start.
        A gang goes first soon: what is freed or rented for it would be taken by others one task at
        a time, while it must have all at once.
        """
        if self._feasibility.gang_goes_first(job):
            return True
        age = self._feasibility.now - job.submitted
        return age > MUST_START_AFTER_S and not job.ever_placed and not self._feasibility.taken(job)

    def is_set_aside(self, job: Job) -> bool:
        """Whether it may only use what all others leave."""
        if job.backfill and not self.must_start_next(job):
            return True
        return self._best_utility(job) < self._drop_threshold

    def _best_utility(self, job: Job) -> float:
        """What the next task would be worth if it started now (paper section 3.3)."""
        utility = self._utilities.get(job.ref)
        if utility is None:
            age = self._feasibility.now - job.submitted
            utility = self._scorer.utility(job.spec, age, age + self._scorer.remaining_s(job))
            self._utilities[job.ref] = utility
        return utility
