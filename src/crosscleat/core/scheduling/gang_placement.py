"""Finds machines for all tasks of a gang at once (DESIGN: a gang commits whole or not at all).

A gang is scored as a whole: it starts when the last of its machines has the image, and each task
occupies its capacity from the time of its placement.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from ..model.deployment import Deployment
from ..model.ids import Seconds, Zone
from ..state.gangs import MAX_FETCH_TIME_FACTOR, order_delay_s
from ..state.jobs import Job
from .feasibility import Feasibility
from .free_capacity import FreeCapacity, group_by_zone
from .scoring import PairScorer


@dataclass(frozen=True, slots=True)
class GangPlan:
    """A placement of all missing tasks of a gang, with one entry in `candidates` for each task."""

    candidates: list[FreeCapacity]
    score: float

    @property
    def rank(self) -> tuple[float, int]:
        """Sort key of plans; larger is better.

        Of plans with nearly equal scores, the one on fewer machines is better: the loss of any of
        its machines ends a gang's attempt.
        """
        return round(self.score, 2), -len({candidate.machine.id for candidate in self.candidates})


class GangPlacer:
    """Places gangs in one cycle."""

    def __init__(
        self, feasibility: Feasibility, scorer: PairScorer, deployment: Deployment
    ) -> None:
        self._feasibility = feasibility
        self._scorer = scorer
        self._deployment = deployment

    def place(self, job: Job, ranked: list[FreeCapacity]) -> list[FreeCapacity]:
        """Choose the best plan for all tasks of the job and take their capacity.

        `ranked` are the candidates that the job may use, best first. Returns one candidate for each
        task, or an empty list if the tasks do not all fit.
        """
        return self._take_best(job, ranked, self._deployment.gang_wait_s / MAX_FETCH_TIME_FACTOR)

    def complete(
        self, job: Job, ranked: list[FreeCapacity], time_left_s: float
    ) -> list[FreeCapacity]:
        """Like `place`, for the missing tasks of a waiting gang.

        Only candidates are used on which a task starts within `time_left_s`, even if it takes
        `MAX_FETCH_TIME_FACTOR` times the computed delay.
        """
        in_time = [
            candidate
            for candidate in ranked
            if self._start_delay_s(job, candidate) * MAX_FETCH_TIME_FACTOR <= time_left_s
        ]
        return self._take_best(job, in_time, time_left_s)

    def _take_best(
        self, job: Job, ranked: list[FreeCapacity], max_wait_s: float
    ) -> list[FreeCapacity]:
        plans = [
            plan
            for candidates in self._fill_orders(job, ranked)
            if (plan := self._plan(job, candidates, max_wait_s)) is not None
        ]
        if not plans:
            return []
        best = max(plans, key=lambda plan: plan.rank)
        for candidate in best.candidates:
            self._feasibility.take(job, candidate)
        return best.candidates

    def _fill_orders(self, job: Job, ranked: list[FreeCapacity]) -> Iterator[list[FreeCapacity]]:
        """Yield orders in which to fill the candidates.

        Each order covers a single zone if all tasks must be in one zone.
        """
        for candidates in self._zone_groups(job, ranked):
            yield candidates
            yield sorted(candidates, key=lambda candidate: -candidate.count_fitting(job.spec))

    def _zone_groups(self, job: Job, ranked: list[FreeCapacity]) -> list[list[FreeCapacity]]:
        if not job.spec.one_zone:
            return [ranked]
        return group_by_zone(ranked)

    def _plan(self, job: Job, candidates: list[FreeCapacity], max_wait_s: float) -> GangPlan | None:
        """Fill the candidates in the given order, or return None if the tasks do not all fit.

        Candidates on which a task would wait longer than `max_wait_s` for the last task to start
        are left out.
        """
        count = job.waiting_count()
        if not self._feasibility.admits_all(job, count):
            return None
        while True:
            filled = self._fill(job, candidates, count)
            if len(filled) < count:
                return None
            start_delays = [self._start_delay_s(job, candidate) for candidate in filled]
            last_delay = max(start_delays)
            if last_delay - min(start_delays) <= max_wait_s:
                return GangPlan(filled, self._score(job, filled, last_delay))
            # The task that starts first would give up before the last one can start.
            candidates = [
                candidate
                for candidate in candidates
                if self._start_delay_s(job, candidate) >= last_delay - max_wait_s
            ]

    def _fill(self, job: Job, candidates: list[FreeCapacity], count: int) -> list[FreeCapacity]:
        filled: list[FreeCapacity] = []
        zone_counts: Counter[Zone] = Counter()
        for candidate in candidates:
            zone = candidate.machine.zone
            zone_tasks_left = self._feasibility.tasks_left_in_zone(job, zone) - zone_counts[zone]
            tasks = min(candidate.count_fitting(job.spec), zone_tasks_left, count - len(filled))
            if tasks > 0:
                filled.extend([candidate] * tasks)
                zone_counts[zone] += tasks
            if len(filled) == count:
                break
        return filled

    def _start_delay_s(self, job: Job, candidate: FreeCapacity) -> float:
        """Seconds until a task that is placed on the candidate now has its image."""
        delay_s = order_delay_s(candidate.machine, self._deployment, self._feasibility.now)
        return delay_s + self._feasibility.fetch_s(job, candidate)

    def _score(self, job: Job, candidates: list[FreeCapacity], start_s: float) -> float:
        """Score the gang as a whole: the utility at its last start and the mean cost of a task."""
        age = Seconds(self._feasibility.now - job.submitted)
        scores = (
            self._scorer.score(
                job, age, candidate.machine.type, candidate.machine.spot or job.at_risk, start_s
            )
            for candidate in candidates
        )
        return sum(scores) / len(candidates)
