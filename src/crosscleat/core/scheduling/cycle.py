"""One cycle of the Weighted Util algorithm (paper section 3.2): assigns waiting tasks to machines.

The same code plans all jobs or the jobs of one shard, so that the leader can plan a shard whose
owner does not answer.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from ..model.ids import MachineId
from ..state.jobs import Job
from ..state.machine import Machine
from .assignment_search import AssignmentSearch
from .assignments import Assignment, Reservation
from .feasibility import CycleContext, Feasibility
from .free_capacity import FreeCapacity, fetch_time
from .gang_placement import GangPlacer
from .job_selection import JobSelection
from .ranking import CandidateRanking, machines_per_job, select_candidates
from .reservations import reserve_machines, reserve_on_demand
from .scoring import MIN_COST, PairScorer, Scorer

MAX_ASSIGNMENTS = 48
"""Maximum number of assignments in one cycle; the next cycle continues with the other tasks."""


class SchedulingCycle:
    """Plans from the state of the cluster at one moment; each call starts again from it."""

    def __init__(self, context: CycleContext, scorer: Scorer, rng: Random) -> None:
        self._context = context
        self._scorer = scorer
        self._rng = rng

    def plan(
        self,
        jobs: Iterable[Job],
        machines: Iterable[Machine],
        max_assignments: int,
        reservations: dict[MachineId, Reservation] | None = None,
    ) -> list[Assignment]:
        """Return at most `max_assignments` assignments, the best pair of job and machine first.

        The last gang may exceed that number, as it is placed as a whole. Pass `reservations` if
        `jobs` are only a part of the waiting jobs; otherwise the cycle makes its own.
        """
        waiting = [job for job in jobs if job.next_task() is not None]
        if not waiting:
            return []
        feasibility = Feasibility(self._context, machines)
        reserve_on_demand(feasibility.candidates, self._context.reserves.on_demand_cpus)
        candidates = select_candidates(feasibility.candidates, waiting, self._context.now)
        if not candidates:
            return []
        if reservations is None:
            reserve_machines(feasibility, waiting, self._scorer)
        else:
            for candidate in feasibility.candidates:
                candidate.reservation = reservations.get(candidate.machine.id)
        return self._search(feasibility, candidates, waiting, max_assignments)

    def _search(
        self,
        feasibility: Feasibility,
        candidates: list[FreeCapacity],
        waiting: list[Job],
        max_assignments: int,
    ) -> list[Assignment]:
        max_sample = machines_per_job(len(waiting))
        selection = JobSelection(feasibility, self._scorer, self._rng)
        selected = selection.sample(waiting)
        scorer = self._pair_scorer(feasibility, selected)
        search = AssignmentSearch(
            feasibility,
            CandidateRanking(candidates, max_sample, feasibility, scorer, self._rng),
            GangPlacer(feasibility, scorer, self._scorer.deployment),
            selection,
        )
        deferred = []
        for job in selected:
            if selection.is_deferred(job):
                deferred.append(job)
            else:
                search.push_best_pair(job)
        search.commit(max_assignments)
        # DESIGN: deferred tasks may use capacity that is idle after all other jobs are placed.
        for job in deferred:
            search.push_best_pair(job)
        search.commit(max_assignments)
        return search.assignments

    def reservations(
        self, jobs: Iterable[Job], machines: Iterable[Machine]
    ) -> dict[MachineId, Reservation]:
        """Reservations of machines for large tasks and gangs, by machine."""
        feasibility = Feasibility(self._context, machines)
        waiting = [job for job in jobs if job.next_task() is not None]
        reserve_machines(feasibility, waiting, self._scorer)
        return {
            candidate.machine.id: candidate.reservation
            for candidate in feasibility.candidates
            if candidate.reservation is not None
        }

    def complete_gang(
        self, job: Job, machines: Iterable[Machine], time_left_s: float
    ) -> list[Assignment]:
        """Assign the missing tasks of a waiting gang to machines.

        Returns one assignment for each of them, or an empty list if they cannot all start within
        `time_left_s`.
        """
        feasibility = Feasibility(self._context, machines)
        candidates = select_candidates(feasibility.candidates, [job], self._context.now)
        scorer = self._pair_scorer(feasibility, [job])
        ranking = CandidateRanking(candidates, len(candidates), feasibility, scorer, self._rng)
        gangs = GangPlacer(feasibility, scorer, self._scorer.deployment)
        chosen = gangs.complete(job, ranking.candidates(job), time_left_s)
        return [Assignment(job.ref, candidate.machine.id) for candidate in chosen]

    def machines_kept_for_on_demand(self, machines: Iterable[Machine]) -> set[MachineId]:
        """On-demand machines with capacity kept for jobs that may not use spot machines."""
        feasibility = Feasibility(self._context, machines)
        reserve_on_demand(feasibility.candidates, self._context.reserves.on_demand_cpus)
        return {
            candidate.machine.id
            for candidate in feasibility.candidates
            if candidate.kept_for_on_demand
        }

    def _pair_scorer(self, feasibility: Feasibility, jobs: Iterable[Job]) -> PairScorer:
        """Create a scorer scaled by the highest cost of any of the jobs on any type of machine."""
        machines = (candidate.machine for candidate in feasibility.candidates)
        representatives = {(machine.type.name, machine.spot): machine for machine in machines}
        costs = (
            self._scorer.cost(job, machine.type, machine.spot, fetch_time(job.spec, machine.type))
            for job in jobs
            for machine in representatives.values()
        )
        return PairScorer(self._scorer, max(max(costs, default=0.0), MIN_COST))
