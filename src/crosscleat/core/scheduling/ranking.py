"""The machines that each job of a cycle may go to, best first."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from random import Random

from ..model.ids import JobRef, Seconds, TypeName
from ..model.quantities import ROUNDING_TOLERANCE
from ..state.jobs import Job
from .feasibility import Feasibility
from .free_capacity import FreeCapacity
from .job_selection import MAX_RANKED_JOBS
from .scoring import PairScorer

MAX_PAIRS = 12_000
"""Pairs of a job and a machine that one cycle scores; beyond it machines are sampled, as the
users want under overload."""

MIN_SAMPLE = 24
"""Machines that each job is scored on, however many jobs there are: also one of a sample of jobs.
"""

Ranked = tuple[float, FreeCapacity]
"""A negated score and the free capacity that it stands for: plain, as a cycle makes thousands."""


def open_candidates(
    candidates: Iterable[FreeCapacity], waiting: Iterable[Job], now: Seconds
) -> list[FreeCapacity]:
    """Those with the CPUs of the smallest task.

    Most machines are full and stay out of the cycle: they are neither scored nor sampled.
    """
    min_cpus = min(job.spec.cpus for job in waiting) - ROUNDING_TOLERANCE
    found = [candidate for candidate in candidates if candidate.cpus >= min_cpus]
    for candidate in found:
        images = candidate.machine.images.ready_at.values()
        candidate.fetching_s = max(0.0, max(images, default=now) - now)
    return found


def machines_per_job(waiting: int) -> int:
    """On how many machines each of so many waiting jobs is scored."""
    if waiting > 2 * MAX_RANKED_JOBS:
        return MIN_SAMPLE
    return max(MIN_SAMPLE, MAX_PAIRS // waiting)


class CandidateRanking:
    """Ranks free capacities for jobs, and remembers the ranking of each job."""

    def __init__(
        self,
        candidates: list[FreeCapacity],
        max_sample: int,
        feasibility: Feasibility,
        scorer: PairScorer,
        rng: Random,
    ) -> None:
        """Of more than `max_sample` candidates each job gets a random sample of that size."""
        self._candidates = candidates
        self._max_sample = max_sample
        self._feasibility = feasibility
        self._scorer = scorer
        self._rng = rng
        self._ranked: dict[JobRef, deque[Ranked]] = {}
        """Of each job, without those that have been used up."""

    def best(self, job: Job) -> Ranked | None:
        """The candidate of the highest score for the job's next task.

        A job's tasks are alike and what others take only makes capacities smaller, so its
        candidates are ranked once in a cycle, and those that cannot have it any more are dropped
        for good.
        """
        ranked = self._ranked.get(job.ref)
        if ranked is None:
            ranked = self._ranked[job.ref] = self._rank(job)
        while ranked and not self._feasibility.admits(job, ranked[0][1]):
            ranked.popleft()
        return ranked[0] if ranked else None

    def candidates(self, job: Job) -> list[FreeCapacity]:
        """All that the job may go to now, best first: ranked anew, and from a new sample."""
        return [candidate for _, candidate in self._rank(job)]

    def _rank(self, job: Job) -> deque[Ranked]:
        age = Seconds(self._feasibility.now - job.submitted)
        scores: dict[tuple[TypeName, bool, float], float] = {}
        found = []
        for number, candidate in enumerate(self._sample(job)):
            if not self._feasibility.admits(job, candidate):
                continue
            machine = candidate.machine
            fetch_s = self._feasibility.fetch_s(job, candidate)
            key = (machine.type.name, machine.spot, fetch_s)
            score = scores.get(key)
            if score is None:
                # A job at risk goes to on-demand machines, as if those cost the same.
                spot = machine.spot or job.at_risk
                score = self._scorer.score(job, age, machine.type, spot, fetch_s)
                # Among near equals the fuller machine: others empty and can be returned, and
                # large capacities stay whole for large tasks.
                score = scores[key] = -round(score, 2)
            found.append((score, job.at_risk and machine.spot, candidate.cpus, number, candidate))
        found.sort()
        return deque((score, candidate) for score, _, _, _, candidate in found)

    def _sample(self, job: Job) -> list[FreeCapacity]:
        if len(self._candidates) > self._max_sample and not self._feasibility.ignores_reserves(job):
            return self._rng.sample(self._candidates, self._max_sample)
        return self._candidates
