"""The two stages of the Weighted Util algorithm (paper section 3.2).

Stage one finds the best machine for the next task of each job. Stage two repeatedly commits the
best pair of a job and a machine over all jobs, and runs stage one again for the job of that pair.
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
    """A job and the best machine for its next task. The order of fields is the heap's order."""

    negated_score: float
    negated_age: float
    sequence: int
    """Insertion order; unique, so that jobs and candidates are never compared."""
    job: Job
    candidate: FreeCapacity


class AssignmentSearch:
    """Finds the assignments of one cycle and collects them in `assignments`."""

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
        self._sequence = 0
        self.assignments: list[Assignment] = []

    def push_best_pair(self, job: Job) -> None:
        """Stage one: find the best machine for the job's next task and push the pair on the heap.

        Nothing is pushed if no task of the job can be placed now.
        """
        if not self._may_be_placed(job):
            return
        best = self._ranking.best(job)
        if best is None:
            return
        self._sequence += 1
        negated_score, candidate = best
        if self._selection.must_start_next(job):
            negated_score = -math.inf
        negated_age = job.submitted - self._feasibility.now
        heapq.heappush(
            self._heap, BestPair(negated_score, negated_age, self._sequence, job, candidate)
        )

    def commit(self, max_assignments: int) -> None:
        """Stage two: commit the best pair until none is left or `max_assignments` are reached."""
        while self._heap and len(self.assignments) < max_assignments:
            pair = heapq.heappop(self._heap)
            if pair.job.is_gang:
                self._commit_gang(pair.job)
            else:
                self._commit_task(pair.job, pair.candidate)

    def _may_be_placed(self, job: Job) -> bool:
        assigned = self._feasibility.assigned_count(job)
        if assigned >= job.waiting_count() or not self._feasibility.quota_admits(job):
            return False
        if (fails_repeatedly(job) or job.is_gang) and assigned + job.placed_count() > 0:
            return False
        # A gang is placed only as a whole: it waits while some of its tasks are delayed after a
        # failure.
        return not job.is_gang or job.waiting_count() >= job.spec.tasks

    def _commit_gang(self, job: Job) -> None:
        candidates = self._gangs.place(job, self._ranking.candidates(job))
        self.assignments.extend(
            Assignment(job.ref, candidate.machine.id) for candidate in candidates
        )

    def _commit_task(self, job: Job, candidate: FreeCapacity) -> None:
        # The pair may be stale: since it was pushed, other jobs may have used the capacity or the
        # team's quota.
        if self._feasibility.admits(job, candidate) and self._feasibility.quota_admits(job):
            self._feasibility.take(job, candidate)
            self.assignments.append(Assignment(job.ref, candidate.machine.id))
        self.push_best_pair(job)
