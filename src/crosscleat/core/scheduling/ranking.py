"""Ranks the machines on which each job of a cycle may be placed."""

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
"""Target number of pairs of a job and a machine that one cycle scores. With more pairs, each job is
scored on a sample of the machines; users want sampling under overload."""

MIN_SAMPLE = 24
"""Minimum size of the sample of machines for each job, however many jobs wait. It is also the size
if only a sample of the jobs is considered."""

RankedCandidate = tuple[float, FreeCapacity]
"""A negated score and the scored candidate; a plain tuple because a cycle creates thousands."""


def select_candidates(
    candidates: Iterable[FreeCapacity], waiting: Iterable[Job], now: Seconds
) -> list[FreeCapacity]:
    """Select the candidates that have enough CPUs for the smallest task; set their `fetching_s`.

    Most machines are full. They are left out here so that they are neither scored nor sampled.
    """
    min_cpus = min(job.spec.cpus for job in waiting) - ROUNDING_TOLERANCE
    selected = [candidate for candidate in candidates if candidate.cpus >= min_cpus]
    for candidate in selected:
        images = candidate.machine.images.ready_at.values()
        candidate.fetching_s = max(0.0, max(images, default=now) - now)
    return selected


def machines_per_job(waiting: int) -> int:
    """The number of machines on which each job is scored if `waiting` jobs wait."""
    if waiting > 2 * MAX_RANKED_JOBS:
        return MIN_SAMPLE
    return max(MIN_SAMPLE, MAX_PAIRS // waiting)


class CandidateRanking:
    """Ranks candidates for jobs and caches the ranking of each job."""

    def __init__(
        self,
        candidates: list[FreeCapacity],
        max_sample: int,
        feasibility: Feasibility,
        scorer: PairScorer,
        rng: Random,
    ) -> None:
        """Each job is ranked on a random sample if there are more than `max_sample` candidates."""
        self._candidates = candidates
        self._max_sample = max_sample
        self._feasibility = feasibility
        self._scorer = scorer
        self._rng = rng
        self._ranked: dict[JobRef, deque[RankedCandidate]] = {}
        """Ranked candidates of each job, without those that no longer admit a task of it."""

    def best(self, job: Job) -> RankedCandidate | None:
        """The candidate with the highest score for the job's next task, and its negated score.

        The candidates of a job are ranked once in a cycle, and a candidate that no longer admits a
        task of the job is dropped for good. This suffices because all tasks of a job are alike and
        free capacity only decreases during a cycle.
        """
        ranked = self._ranked.get(job.ref)
        if ranked is None:
            ranked = self._ranked[job.ref] = self._rank(job)
        while ranked and not self._feasibility.admits(job, ranked[0][1]):
            ranked.popleft()
        return ranked[0] if ranked else None

    def candidates(self, job: Job) -> list[FreeCapacity]:
        """All candidates that admit the job now, best first, from a new sample and ranking."""
        return [candidate for _, candidate in self._rank(job)]

    def _rank(self, job: Job) -> deque[RankedCandidate]:
        age = Seconds(self._feasibility.now - job.submitted)
        scores: dict[tuple[TypeName, bool, float], float] = {}
        entries = []
        for position, candidate in enumerate(self._sample(job)):
            if not self._feasibility.admits(job, candidate):
                continue
            machine = candidate.machine
            fetch_s = self._feasibility.fetch_s(job, candidate)
            key = (machine.type.name, machine.spot, fetch_s)
            score = scores.get(key)
            if score is None:
                # A job at risk prefers on-demand machines (see the sort below); they are scored at
                # the spot price, so that their higher price does not count against them.
                spot = machine.spot or job.at_risk
                score = self._scorer.score(job, age, machine.type, spot, fetch_s)
                # Scores are rounded so that the fuller of nearly equal machines is preferred. The
                # others then empty and can be returned, or keep enough capacity for large tasks.
                # Scores are negated so that the best candidates sort first.
                score = scores[key] = -round(score, 2)
            entries.append(
                (score, job.at_risk and machine.spot, candidate.cpus, position, candidate)
            )
        entries.sort()
        return deque((score, candidate) for score, _, _, _, candidate in entries)

    def _sample(self, job: Job) -> list[FreeCapacity]:
        if len(self._candidates) > self._max_sample and not self._feasibility.ignores_reserves(job):
            return self._rng.sample(self._candidates, self._max_sample)
        return self._candidates
