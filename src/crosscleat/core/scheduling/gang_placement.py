"""Places for all tasks of a gang at once, or none (DESIGN: a gang commits whole or not at all).

A gang is scored as a whole: it starts when the last of its machines has the image, and every task
holds its room from the beginning.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from ..model.ids import Seconds, Zone
from ..state.gangs import FETCH_SPREAD, start_delay_s
from ..state.jobs import Job
from .feasibility import Feasibility
from .free_capacity import FreeCapacity
from .scoring import Scorer


@dataclass(frozen=True, slots=True)
class GangPlan:
    """Rooms for all missing tasks of a gang, one entry a task."""

    candidates: list[FreeCapacity]
    score: float

    @property
    def rank(self) -> tuple[float, int]:
        """Larger is better. Among near equals the one on fewer machines: the loss of any ends the
        attempt."""
        return round(self.score, 2), -len({candidate.machine.id for candidate in self.candidates})


class GangPlacer:
    """Finds places for gangs in one round."""

    def __init__(self, feasible: Feasibility, scorer: Scorer, now: Seconds) -> None:
        self._feasible = feasible
        self._scorer = scorer
        self._deployment = scorer.deployment
        self._now = now

    def place(self, job: Job, ranked: list[FreeCapacity]) -> list[FreeCapacity]:
        """The best places for all its tasks, taken from the round; or none."""
        longest_s = self._deployment.gang_wait_s / FETCH_SPREAD
        plans = [
            plan
            for candidates in self._orders(job, ranked)
            if (plan := self._plan(job, candidates, longest_s)) is not None
        ]
        return self._take(job, plans)

    def complete(self, job: Job, ranked: list[FreeCapacity], left_s: float) -> list[FreeCapacity]:
        """Places for its missing tasks that can start within `left_s`; or none."""
        in_time = [
            candidate
            for candidate in ranked
            if self._start_s(job, candidate) * FETCH_SPREAD <= left_s
        ]
        plans = [
            plan
            for candidates in self._orders(job, in_time)
            if (plan := self._plan(job, candidates, left_s)) is not None
        ]
        return self._take(job, plans)

    def _take(self, job: Job, plans: list[GangPlan]) -> list[FreeCapacity]:
        if not plans:
            return []
        best = max(plans, key=lambda plan: plan.rank)
        for candidate in best.candidates:
            self._feasible.take(job, candidate)
        return best.candidates

    def _orders(self, job: Job, ranked: list[FreeCapacity]) -> Iterator[list[FreeCapacity]]:
        """Orders in which rooms may be filled, in each zone where all tasks must be in one."""
        for candidates in self._zones(job, ranked):
            yield candidates
            yield sorted(candidates, key=lambda candidate: -candidate.count_fitting(job.spec))

    def _zones(self, job: Job, ranked: list[FreeCapacity]) -> list[list[FreeCapacity]]:
        if not job.spec.one_zone:
            return [ranked]
        by_zone: dict[Zone, list[FreeCapacity]] = {}
        for candidate in ranked:
            by_zone.setdefault(candidate.machine.zone, []).append(candidate)
        return list(by_zone.values())

    def _plan(self, job: Job, candidates: list[FreeCapacity], longest_s: float) -> GangPlan | None:
        """Fill the rooms in this order, without those whose task would wait too long."""
        count = job.waiting_count()
        if not self._feasible.admits_all(job, count):
            return None
        while True:
            filled = self._fill(job, candidates, count)
            if len(filled) < count:
                return None
            starts = [self._start_s(job, candidate) for candidate in filled]
            last = max(starts)
            if last - min(starts) <= longest_s:
                return GangPlan(filled, self._score(job, filled, last))
            # The first to wait would give up before the last can start.
            candidates = [
                candidate
                for candidate in candidates
                if self._start_s(job, candidate) >= last - longest_s
            ]

    def _fill(self, job: Job, candidates: list[FreeCapacity], count: int) -> list[FreeCapacity]:
        filled: list[FreeCapacity] = []
        in_zone: Counter[Zone] = Counter()
        for candidate in candidates:
            zone = candidate.machine.zone
            left = self._feasible.zone_left(job, zone) - in_zone[zone]
            tasks = min(candidate.count_fitting(job.spec), left, count - len(filled))
            if tasks > 0:
                filled.extend([candidate] * tasks)
                in_zone[zone] += tasks
            if len(filled) == count:
                break
        return filled

    def _start_s(self, job: Job, candidate: FreeCapacity) -> float:
        """Until a task placed there now has its image."""
        delay_s = start_delay_s(candidate.machine, self._deployment, self._now)
        return delay_s + self._feasible.fetch_s(job, candidate)

    def _score(self, job: Job, candidates: list[FreeCapacity], start_s: float) -> float:
        """Of the gang as one: utility at its last start, cost of a task in the mean."""
        age = Seconds(self._now - job.submitted)
        scores = (
            self._scorer.score(
                job, age, candidate.machine.type, candidate.machine.spot or job.at_risk, start_s
            )
            for candidate in candidates
        )
        return sum(scores) / len(candidates)
