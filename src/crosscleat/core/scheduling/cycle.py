"""One round of Weighted Util (paper section 3.2): which waiting task goes to which machine now.

The same function plans the whole or one controller's part, so that the leader can plan a
part whose owner does not answer.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterable
from random import Random

from ..model.deployment import TeamLimits
from ..model.ids import JobRef, MachineId, Seconds, Team, TypeName
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from .feasibility import Feasibility
from .free_capacity import Assignment, FreeCapacity, Reservation, fails_repeatedly, fetch_time
from .gang_placement import GangPlacer
from .reservations import reserve_machines, reserve_on_demand
from .scoring import Scorer

MAX_JOBS = 120
"""Jobs that one round looks at if there are more than twice as many: half of them the best by
utility, half a sample of the others."""

MAX_PAIRS = 12_000
"""Pairs of a job and a machine that one round looks at; beyond it machines are sampled, as the
users want under overload."""

MIN_SAMPLE = 24
"""Machines that each job looks at, however many jobs there are: also one of a sample of jobs."""

MAX_ASSIGNMENTS = 48
"""Choices of one round; the next one goes on."""

BEGIN_S = 100.0
"""A job that has waited so long begins next, whatever else there is to do."""

HeapEntry = tuple[float, float, int, Job, FreeCapacity]
"""A job's best pair in the heap: negated score, negated age, order of entry, job, room."""


class SchedulingCycle:
    """One planning round over the machines and jobs it is given."""

    def __init__(
        self,
        cluster: ClusterState,
        scorer: Scorer,
        teams: dict[Team, TeamLimits],
        rng: Random,
        now: Seconds,
        drop_threshold: float,
        urgent_reserve: float,
        ordinary_reserve: float = 0.0,
        backfill_reserve: float = 0.0,
    ) -> None:
        """The reserves are CPUs that less urgent work, work that may use spot machines and
        backfill leave free."""
        self._scorer = scorer
        self._rng = rng
        self._now = now
        self._threshold = drop_threshold
        self._ordinary_reserve = ordinary_reserve
        self._feasible = Feasibility(cluster, teams, now, urgent_reserve, backfill_reserve)
        self._gangs = GangPlacer(self._feasible, scorer, now)
        self._open: list[FreeCapacity] = []
        """Those that could have at least the smallest task."""
        self._ranked: dict[JobRef, deque[tuple[float, FreeCapacity]]] = {}
        """The machines that each job may go to, best first, as far as they are not used up."""
        self._sample = 0
        self._heap: list[HeapEntry] = []
        self._entries = 0

    def plan(
        self,
        jobs: Iterable[Job],
        machines: Iterable[Machine],
        most: int,
        reservations: dict[MachineId, Reservation] | None = None,
    ) -> list[Assignment]:
        """At most `most` choices, best pair first.

        `reservations` is given where `jobs` is only a part of what waits.
        """
        waiting = [job for job in jobs if job.peek() is not None]
        if not waiting:
            return []
        self._feasible.add_machines(machines)
        reserve_on_demand(self._feasible.candidates, self._ordinary_reserve)
        self._open_candidates(waiting)
        if not self._open:
            return []
        if reservations is None:
            self._reserve(waiting)
        else:
            for candidate in self._feasible.candidates:
                candidate.reservation = reservations.get(candidate.machine.id)
        waiting = self._sample_jobs(waiting)
        self._scorer.max_cost = self._max_cost(waiting)
        set_aside = []
        for job in waiting:
            if self._is_set_aside(job):
                set_aside.append(job)
            else:
                self._offer(job)
        assignments: list[Assignment] = []
        self._commit(assignments, most)
        # DESIGN: set-aside tasks may still take idle room, once all others have chosen.
        for job in set_aside:
            self._offer(job)
        self._commit(assignments, most)
        return assignments

    def reservations(
        self, jobs: Iterable[Job], machines: Iterable[Machine]
    ) -> dict[MachineId, Reservation]:
        """The machines that are emptied for large tasks and gangs, and for whose."""
        self._feasible.add_machines(machines)
        self._reserve([job for job in jobs if job.peek() is not None])
        return {
            candidate.machine.id: candidate.reservation
            for candidate in self._feasible.candidates
            if candidate.reservation is not None
        }

    def complete_gang(
        self, job: Job, machines: Iterable[Machine], left_s: float
    ) -> list[Assignment]:
        """Places for the tasks that a waiting gang lacks, which can start within `left_s`."""
        self._feasible.add_machines(machines)
        self._open_candidates([job])
        self._sample = len(self._open)
        self._scorer.max_cost = self._max_cost([job])
        candidates = self._gangs.complete(
            job, [candidate for _, candidate in self._rank(job)], left_s
        )
        return [Assignment(job.ref, candidate.machine.id) for candidate in candidates]

    def kept_for_on_demand(self, machines: Iterable[Machine]) -> set[MachineId]:
        """Machines whose room is left to work that may not use spot machines."""
        self._feasible.add_machines(machines)
        reserve_on_demand(self._feasible.candidates, self._ordinary_reserve)
        return {
            candidate.machine.id
            for candidate in self._feasible.candidates
            if candidate.kept_for_on_demand
        }

    def _reserve(self, waiting: list[Job]) -> None:
        reserve_machines(
            self._feasible.candidates, waiting, self._scorer, self._now, self._feasible.team_admits
        )

    def _sample_jobs(self, waiting: list[Job]) -> list[Job]:
        """Not each of a thousand jobs is looked at in each round: it places few of them.

        The sample lets those through that no better one leaves behind, though it finds no room.
        """
        self._sample = max(MIN_SAMPLE, MAX_PAIRS // len(waiting))
        if len(waiting) <= 2 * MAX_JOBS:
            return waiting
        self._sample = MIN_SAMPLE
        waiting = [job for job in waiting if self._feasible.team_admits(job)]
        if len(waiting) <= MAX_JOBS:
            return waiting
        waiting.sort(key=lambda job: (self._must_begin(job), self._best_utility(job)), reverse=True)
        half = MAX_JOBS // 2
        return waiting[:half] + self._rng.sample(waiting[half:], MAX_JOBS - half)

    def _open_candidates(self, waiting: list[Job]) -> None:
        """Most machines are full, and stay out of the round: neither ranked nor sampled."""
        least = min(job.spec.cpus for job in waiting) - 1e-9
        self._open = [
            candidate for candidate in self._feasible.candidates if candidate.cpus >= least
        ]
        for candidate in self._open:
            images = candidate.machine.images.values()
            candidate.fetching_s = max(0.0, max(images, default=self._now) - self._now)

    def _commit(self, assignments: list[Assignment], most: int) -> None:
        """Stage two: the best pair overall is committed, and again."""
        while self._heap and len(assignments) < most:
            *_, job, candidate = heapq.heappop(self._heap)
            if job.gang:
                candidates = self._gangs.place(job, [candidate for _, candidate in self._rank(job)])
                assignments.extend(
                    Assignment(job.ref, candidate.machine.id) for candidate in candidates
                )
                continue
            # The pair may be stale: its room or its team's quota may have gone to others.
            if self._feasible.admits(job, candidate) and self._feasible.team_admits(job):
                self._feasible.take(job, candidate)
                assignments.append(Assignment(job.ref, candidate.machine.id))
            self._offer(job)

    def _offer(self, job: Job) -> None:
        """Stage one: the job's next task finds its best machine."""
        taken = self._feasible.taken(job)
        if taken >= job.waiting_count() or not self._feasible.team_admits(job):
            return
        if (fails_repeatedly(job) or job.gang) and taken + job.placed_count() > 0:
            return
        if job.gang and job.waiting_count() < job.spec.tasks:
            # Some of it rests after a failure: it is tried again whole.
            return
        found = self._best(job)
        if found is None:
            return
        self._entries += 1
        score, candidate = found
        age = self._now - job.submitted
        if self._must_begin(job):
            score = -math.inf
        heapq.heappush(self._heap, (score, -age, self._entries, job, candidate))

    def _must_begin(self, job: Job) -> bool:
        """Its first task goes before all others: late work is worth little, and among ever new
        work that is worth more it would never begin. And a gang soon: what is freed or comes up for
        it would be taken by others one task at a time, while it must have all at once."""
        if self._feasible.gang_goes_first(job):
            return True
        age = self._now - job.submitted
        return age > BEGIN_S and not job.begun and not self._feasible.taken(job)

    def _best(self, job: Job) -> tuple[float, FreeCapacity] | None:
        """The machine of the highest score for the job's next task; the score is negated.

        A job's tasks are alike and what others take only makes rooms smaller, so its machines are
        ranked once in a round, and those that can't have it any more are passed over for good.
        """
        ranked = self._ranked.get(job.ref)
        if ranked is None:
            ranked = self._ranked[job.ref] = self._rank(job)
        while ranked and not self._feasible.admits(job, ranked[0][1]):
            ranked.popleft()
        return ranked[0] if ranked else None

    def _rank(self, job: Job) -> deque[tuple[float, FreeCapacity]]:
        age = Seconds(self._now - job.submitted)
        scores: dict[tuple[TypeName, bool, float], float] = {}
        found = []
        candidates = self._open
        if len(candidates) > self._sample and not self._feasible.impatient(job):
            candidates = self._rng.sample(candidates, self._sample)
        for number, candidate in enumerate(candidates):
            if not self._feasible.admits(job, candidate):
                continue
            machine = candidate.machine
            fetch_s = self._feasible.fetch_s(job, candidate)
            key = (machine.type.name, machine.spot, fetch_s)
            score = scores.get(key)
            if score is None:
                # What may be late by a loss goes to ordinary machines, as if those cost the same.
                spot = machine.spot or job.at_risk
                score = self._scorer.score(job, age, machine.type, spot, fetch_s)
                # Among near equals the fuller machine: others empty and can be returned, and
                # large rooms stay whole for large tasks.
                score = scores[key] = -round(score, 2)
            found.append((score, job.at_risk and machine.spot, candidate.cpus, number, candidate))
        found.sort()
        return deque((score, candidate) for score, _, _, _, candidate in found)

    def _is_set_aside(self, job: Job) -> bool:
        """Whether it may only use what all others leave."""
        if job.backfill and not self._must_begin(job):
            return True
        return self._best_utility(job) < self._threshold

    def _best_utility(self, job: Job) -> float:
        """Paper section 3.3: what the task could earn if it started now."""
        age = self._now - job.submitted
        return self._scorer.utility(job.spec, age, age + self._scorer.remaining_s(job))

    def _max_cost(self, waiting: list[Job]) -> float:
        machines = (candidate.machine for candidate in self._feasible.candidates)
        kinds = {(machine.type.name, machine.spot): machine for machine in machines}
        costs = (
            self._scorer.cost(job, m.type, m.spot, fetch_time(job.spec, m.type))
            for job in waiting
            for m in kinds.values()
        )
        return max(max(costs, default=0.0), 1e-9)
