"""The two stages of Weighted Util (paper section 3.2): each job's best pair, then the best of all.

Stage one finds the best machine for the next task of each job. Stage two commits the best pair
overall and sends the job of that pair through stage one again.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from ..state.jobs import Job
from .assignments import Assignment
from .feasibility import Feasibility
from .free_capacity import FreeCapacity
from .gang_placement import GangPlacer
from .job_selection import JobSelection, fails_repeatedly
from .ranking import CandidateRanking


class BestPair(NamedTuple):
    """A job and the best machine for its next task, in the order of the heap."""

    negated_score: float
    negated_age: float
    entry: int
    """Counts entries, so that comparisons end here."""
    job: Job
    candidate: FreeCapacity


class AssignmentSearch:
    """Collects the assignments of one cycle."""

    def __init__(
        self,
        feasibility: Feasibility,
        ranking: CandidateRanking,
        gangs: GangPlacer,
        selection: JobSelection,
    ) -> None:
        self._feasibility = feasibility
        self._ranking = ranking
        self._gangs = gangs
        self._selection = selection
        self._heap: list[BestPair] = []
        self._entries = 0
        self.assignments: list[Assignment] = []

    def offer(self, job: Job) -> None:
        """Stage one: find the best machine for the job's next task, if it may have one."""
        if not self._may_be_placed(job):
            return
        best = self._ranking.best(job)
        if best is None:
            return
        self._entries += 1
        score, candidate = best
        if self._selection.must_start_next(job):
            score = -math.inf
        negated_age = job.submitted - self._feasibility.now
        heapq.heappush(self._heap, BestPair(score, negated_age, self._entries, job, candidate))

    def commit(self, max_assignments: int) -> None:
        """Stage two: commit the best pair until there is none, or so many assignments."""
        while self._heap and len(self.assignments) < max_assignments:
            pair = heapq.heappop(self._heap)
            if pair.job.is_gang:
                self._commit_gang(pair.job)
            else:
                self._commit_task(pair.job, pair.candidate)

    def _may_be_placed(self, job: Job) -> bool:
        taken = self._feasibility.taken(job)
        if taken >= job.waiting_count() or not self._feasibility.team_admits(job):
            return False
        if (fails_repeatedly(job) or job.is_gang) and taken + job.placed_count() > 0:
            return False
        # If some tasks of a gang pause after a failure, it is tried again whole.
        return not job.is_gang or job.waiting_count() >= job.spec.tasks

    def _commit_gang(self, job: Job) -> None:
        candidates = self._gangs.place(job, self._ranking.candidates(job))
        self.assignments.extend(
            Assignment(job.ref, candidate.machine.id) for candidate in candidates
        )

    def _commit_task(self, job: Job, candidate: FreeCapacity) -> None:
        # The pair may be stale: its capacity or its team's quota may have gone to others.
        if self._feasibility.admits(job, candidate) and self._feasibility.team_admits(job):
            self._feasibility.take(job, candidate)
            self.assignments.append(Assignment(job.ref, candidate.machine.id))
        self.offer(job)
