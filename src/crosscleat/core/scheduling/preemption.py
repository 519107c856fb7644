"""Which running tasks are stopped so that others can be placed.

Work yields to work of a higher priority if its own is the lowest, or if its team has no guarantee;
and work of a team without a guarantee yields to a team that is within its own.
A stopping task keeps its allocation until its end is proven, so the capacity that is being freed is
counted before more tasks are stopped, and a later cycle places what waits.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from ..model.deployment import TeamLimits, has_guarantee
from ..model.ids import JobRef, MachineId, Team
from ..model.job_spec import Priority, Shape
from ..state.allocations import Allocation, AttemptKey
from ..state.jobs import Job
from ..state.machine import Machine
from .feasibility import CycleContext
from .free_capacity import FreeCapacity
from .job_selection import fails_repeatedly
from .quota import tasks_within_limits
from .zone_limits import ZoneLimits

PREEMPTION_INTERVAL_S = 0.5
"""Seconds between two passes."""

MAX_VICTIMS = 64
"""Tasks that one pass stops."""

MAX_MACHINES_PER_JOB = 400
"""Machines that are considered for one job; of more, a sample."""

COUNTED_START_S = 30.0
"""A start counts for its job's user only if the task is not stopped for so long."""


RunningWork = tuple[Team, Priority, Collection[MachineId]]
"""A team and priority of which there are allocations, and the machines that have them."""


class Victim(NamedTuple):
    """A task that is to be stopped, and its machine."""

    machine: Machine
    allocation: Allocation


@dataclass(slots=True, order=True)
class PreemptionOption:
    """What would have to be stopped on a machine for one more task of a job."""

    loss: float
    candidate: FreeCapacity = field(compare=False)
    victims: list[Allocation] = field(compare=False)


def choose_victims(
    context: CycleContext,
    jobs: dict[JobRef, Job],
    waiting: Iterable[Job],
    machines: Iterable[Machine],
    rng: Random,
) -> list[Victim]:
    """The tasks to stop, for the most urgent and oldest of the waiting jobs first.

    `jobs` are all jobs; `machines` are those on which tasks may be placed.
    """
    running = list(context.cluster.machines_by_team())
    if not any(_ever_yields(team, priority, context.teams) for team, priority, _ in running):
        return []
    return _Preemption(context, jobs, machines, running, rng).choose(waiting)


class _Preemption:
    """One pass over the waiting jobs."""

    def __init__(
        self,
        context: CycleContext,
        jobs: dict[JobRef, Job],
        machines: Iterable[Machine],
        running: list[RunningWork],
        rng: Random,
    ) -> None:
        self._teams = context.teams
        self._now = context.now
        self._jobs = jobs
        self._machines = {machine.id: machine for machine in machines}
        self._running = running
        self._rng = rng
        self._candidates: dict[MachineId, FreeCapacity] = {}
        """What is free once all stopping tasks have ended, less what this pass counts in."""
        self._cpus = dict(context.cluster.team_cpus)
        self._gpus = dict(context.cluster.team_gpus)
        self._zones = ZoneLimits(context.cluster.job_zones)
        self._chosen: list[Victim] = []
        self._stopped: set[tuple[MachineId, AttemptKey]] = set()
        """What this pass has chosen."""

    def choose(self, waiting: Iterable[Job]) -> list[Victim]:
        """See `choose_victims`."""
        found = [job for job in waiting if self._may_preempt(job)]
        for job in sorted(found, key=lambda job: (-job.spec.priority, job.submitted)):
            if len(self._chosen) >= MAX_VICTIMS:
                break
            self._choose_for(job)
        return self._chosen

    def _may_preempt(self, job: Job) -> bool:
        """Gangs are left out: they need all their places at one time."""
        return job.waiting_count() > 0 and not job.is_gang and not fails_repeatedly(job)

    def _yields(self, team: Team, priority: Priority, job: Job) -> bool:
        """Whether work of that team and priority is stopped for the job."""
        if priority < job.spec.priority and _ever_yields(team, priority, self._teams):
            return True
        return (
            not has_guarantee(team, self._teams)
            and team != job.spec.team
            and self._within_guarantee(job)
        )

    def _within_guarantee(self, job: Job) -> bool:
        limits = self._teams.get(job.spec.team)
        used = self._cpus.get(job.spec.team, 0.0)
        return limits is not None and used + job.spec.cpus <= limits.cpus

    def _choose_for(self, job: Job) -> None:
        wanted = self._within_limit(job)
        candidates = self._candidates_with_yielding_work(job)
        wanted -= self._count_in(job, candidates, wanted)
        if wanted <= 0:
            return
        options = [
            option
            for candidate in candidates
            if (option := self._option(job, candidate)) is not None
        ]
        heapq.heapify(options)
        while options and wanted > 0 and len(self._chosen) < MAX_VICTIMS:
            option = heapq.heappop(options)
            if not self._zones.admits(job.spec, option.candidate.machine.zone):
                continue
            self._stop(option)
            wanted -= self._count_in(job, [option.candidate], wanted)
            another = self._option(job, option.candidate)
            if another is not None:
                heapq.heappush(options, another)

    def _within_limit(self, job: Job) -> int:
        """How many waiting tasks the team's limit admits; those that this pass counted use it."""
        team = job.spec.team
        return tasks_within_limits(
            job.spec,
            job.waiting_count(),
            self._cpus.get(team, 0.0),
            self._gpus.get(team, 0.0),
            self._teams.get(team),
        )

    def _candidates_with_yielding_work(self, job: Job) -> list[FreeCapacity]:
        """Machines that the job may use and on which work runs that yields to it."""
        found: dict[MachineId, None] = {}
        for team, priority, machines in self._running:
            if self._yields(team, priority, job):
                found.update(dict.fromkeys(machines))
        ids = list(found)
        if len(ids) > MAX_MACHINES_PER_JOB:
            ids = self._rng.sample(ids, MAX_MACHINES_PER_JOB)
        candidates = (self._candidate(job, machine_id) for machine_id in ids)
        return [candidate for candidate in candidates if candidate is not None]

    def _candidate(self, job: Job, machine_id: MachineId) -> FreeCapacity | None:
        """The machine's capacity, if the job may use the machine."""
        machine = self._machines.get(machine_id)
        if machine is None or not machine.allows(job.spec) or machine_id in job.failed_on:
            return None
        if not machine.type.has_capacity_for(job.spec):
            return None
        if not self._zones.admits(job.spec, machine.zone):
            return None
        candidate = self._candidates.get(machine_id)
        if candidate is None:
            candidate = self._candidates[machine_id] = FreeCapacity.of(machine)
            for allocation in machine.allocations.values():
                if allocation.stopping:
                    candidate.give_back(allocation.spec)
        return candidate

    def _count_in(self, job: Job, candidates: Iterable[FreeCapacity], wanted: int) -> int:
        """Count in, and return, the job's tasks that fit what is free or being freed."""
        counted = 0
        for candidate in candidates:
            zone = candidate.machine.zone
            admitted = min(wanted - counted, self._zones.tasks_left(job.spec, zone))
            count = max(0, min(candidate.count_fitting(job.spec), admitted))
            for _ in range(count):
                candidate.take(job.spec)
            self._zones.count_in(job.spec, zone, count)
            counted += count
            if counted >= wanted:
                break
        team = job.spec.team
        self._cpus[team] = self._cpus.get(team, 0.0) + counted * job.spec.cpus
        self._gpus[team] = self._gpus.get(team, 0.0) + counted * job.spec.gpus
        return counted

    def _option(self, job: Job, candidate: FreeCapacity) -> PreemptionOption | None:
        """The cheapest tasks to stop there so that one task of the job fits."""
        freed = candidate.amounts()
        victims: list[Allocation] = []
        loss = 0.0
        for allocation_loss, allocation in sorted(
            self._stoppable(job, candidate.machine), key=lambda found: found[0]
        ):
            if freed.fits(job.spec):
                break
            freed.give_back(allocation.spec)
            victims.append(allocation)
            loss += allocation_loss
        return (
            PreemptionOption(loss, candidate, victims) if victims and freed.fits(job.spec) else None
        )

    def _stoppable(self, job: Job, machine: Machine) -> Iterator[tuple[float, Allocation]]:
        for allocation in machine.allocations.values():
            if (
                self._yields(allocation.spec.team, allocation.spec.priority, job)
                and not allocation.stopping
                and not _start_unconfirmed(allocation)
                and (machine.id, allocation.key) not in self._stopped
                and allocation.spec.shape is not Shape.GANG
                and not self._only_counted_start(allocation)
            ):
                yield self._loss(allocation), allocation

    def _only_counted_start(self, allocation: Allocation) -> bool:
        """Whether for its user the job would not have started if this task were stopped now."""
        ran_s = 0.0 if allocation.running_since is None else self._now - allocation.running_since
        job = self._jobs.get(allocation.task.job)
        return job is not None and ran_s <= COUNTED_START_S and job.placed_count() <= 1

    def _loss(self, allocation: Allocation) -> float:
        """CPU seconds that are lost if the task is stopped now."""
        if allocation.running_since is None:
            return 0.0
        ran_s = self._now - allocation.running_since
        if allocation.spec.checkpoint_s > 0:
            ran_s = min(ran_s, allocation.spec.save_s)
        return allocation.spec.cpus * ran_s

    def _stop(self, option: PreemptionOption) -> None:
        for allocation in option.victims:
            self._stopped.add((allocation.machine, allocation.key))
            option.candidate.give_back(allocation.spec)
            self._chosen.append(Victim(option.candidate.machine, allocation))


def _ever_yields(team: Team, priority: Priority, teams: dict[Team, TeamLimits]) -> bool:
    """Whether work of that team and priority yields to any other."""
    return priority is Priority.LOW or not has_guarantee(team, teams)


def _start_unconfirmed(allocation: Allocation) -> bool:
    """Whether its start was sent and no heartbeat lists it yet.

    Only a new fencing token would prove that it does not start after all.
    """
    return allocation.start_sent and not allocation.in_last_heartbeat
