"""Places for all tasks of a gang at once, or none (DESIGN: a gang commits whole or not at all).

A gang is scored as a whole: it starts when the last of its machines has the image, and every task
takes its capacity from the beginning.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from ..model.deployment import Deployment
from ..model.ids import Seconds, Zone
from ..state.gangs import MAX_FETCH_TIME_FACTOR, start_delay_s
from ..state.jobs import Job
from .feasibility import Feasibility
from .free_capacity import FreeCapacity, by_zone
from .scoring import PairScorer


@dataclass(frozen=True, slots=True)
class GangPlan:
    """Places for all missing tasks of a gang, one candidate a task."""

    candidates: list[FreeCapacity]
    score: float

    @property
    def rank(self) -> tuple[float, int]:
        """Larger is better.

        Among near equals the one on fewer machines: the loss of any ends the attempt.
        """
        return round(self.score, 2), -len({candidate.machine.id for candidate in self.candidates})


class GangPlacer:
    """Finds places for gangs in one cycle."""

    def __init__(
        self, feasibility: Feasibility, scorer: PairScorer, deployment: Deployment
    ) -> None:
        self._feasibility = feasibility
        self._scorer = scorer
        self._deployment = deployment

    def place(self, job: Job, ranked: list[FreeCapacity]) -> list[FreeCapacity]:
        """Take the best places for all its tasks, one entry a task; none if they do not all fit.

        `ranked` are the candidates that the job may use, best first.
        """
        return self._take_best(job, ranked, self._deployment.gang_wait_s / MAX_FETCH_TIME_FACTOR)

    def complete(self, job: Job, ranked: list[FreeCapacity], left_s: float) -> list[FreeCapacity]:
        """Take places for its missing tasks that can start within `left_s`; or none."""
        in_time = [
            candidate
            for candidate in ranked
            if self._start_s(job, candidate) * MAX_FETCH_TIME_FACTOR <= left_s
        ]
        return self._take_best(job, in_time, left_s)

    def _take_best(
        self, job: Job, ranked: list[FreeCapacity], max_wait_s: float
    ) -> list[FreeCapacity]:
        plans = [
            plan
            for candidates in self._orders(job, ranked)
            if (plan := self._plan(job, candidates, max_wait_s)) is not None
        ]
        if not plans:
            return []
        best = max(plans, key=lambda plan: plan.rank)
        for candidate in best.candidates:
            self._feasibility.take(job, candidate)
        return best.candidates

    def _orders(self, job: Job, ranked: list[FreeCapacity]) -> Iterator[list[FreeCapacity]]:
        """Orders in which candidates may be filled, by zone where all tasks must be in one."""
        for candidates in self._zones(job, ranked):
            yield candidates
            yield sorted(candidates, key=lambda candidate: -candidate.count_fitting(job.spec))

    def _zones(self, job: Job, ranked: list[FreeCapacity]) -> list[list[FreeCapacity]]:
        if not job.spec.one_zone:
            return [ranked]
        return by_zone(ranked)

    def _plan(self, job: Job, candidates: list[FreeCapacity], max_wait_s: float) -> GangPlan | None:
        """Fill the candidates in this order.

        Those on which a task would wait for the last one for over `max_wait_s` are left out.
        """
        count = job.waiting_count()
        if not self._feasibility.admits_all(job, count):
            return None
        while True:
            filled = self._fill(job, candidates, count)
            if len(filled) < count:
                return None
            starts = [self._start_s(job, candidate) for candidate in filled]
            last = max(starts)
            if last - min(starts) <= max_wait_s:
                return GangPlan(filled, self._score(job, filled, last))
            # The first to wait would give up before the last can start.
            candidates = [
                candidate
                for candidate in candidates
                if self._start_s(job, candidate) >= last - max_wait_s
            ]

    def _fill(self, job: Job, candidates: list[FreeCapacity], count: int) -> list[FreeCapacity]:
        filled: list[FreeCapacity] = []
        in_zone: Counter[Zone] = Counter()
        for candidate in candidates:
            zone = candidate.machine.zone
            left = self._feasibility.tasks_left_in_zone(job, zone) - in_zone[zone]
            tasks = min(candidate.count_fitting(job.spec), left, count - len(filled))
            if tasks > 0:
                filled.extend([candidate] * tasks)
                in_zone[zone] += tasks
            if len(filled) == count:
                break
        return filled

    def _start_s(self, job: Job, candidate: FreeCapacity) -> float:
        """Seconds until a task placed there now has its image."""
        delay_s = start_delay_s(candidate.machine, self._deployment, self._feasibility.now)
        return delay_s + self._feasibility.fetch_s(job, candidate)

    def _score(self, job: Job, candidates: list[FreeCapacity], start_s: float) -> float:
        """Of the gang as a whole: utility at its last start, mean cost of a task."""
        age = Seconds(self._feasibility.now - job.submitted)
        scores = (
            self._scorer.score(
                job, age, candidate.machine.type, candidate.machine.spot or job.at_risk, start_s
            )
            for candidate in candidates
        )
        return sum(scores) / len(candidates)
