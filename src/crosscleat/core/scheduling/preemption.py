"""Selects running tasks to stop so that waiting tasks can be placed.

A task may be stopped for a job of a higher priority if its own priority is the lowest or its team
has no guarantee. A task of a team without a guarantee may also be stopped for a job of another
team that is within its guarantee.
A stopping task keeps its allocation until its end is proven. Capacity that is being freed is
therefore counted before more tasks are stopped, and a later cycle places the waiting tasks.
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
"""Seconds between two preemption passes."""

MAX_VICTIMS = 64
"""Maximum number of tasks that one pass stops."""

MAX_MACHINES_PER_JOB = 400
"""Maximum number of machines considered for one job; of more, a random sample is considered."""

MIN_COUNTED_RUN_S = 30.0
"""A start counts for the job's user only if the task then runs longer than this many seconds."""

RunningWork = tuple[Team, Priority, Collection[MachineId]]
"""A team and priority that have allocations, and the machines that hold them."""


class Victim(NamedTuple):
    """A task that is to be stopped, and its machine."""

    machine: Machine
    allocation: Allocation


@dataclass(slots=True, order=True)
class PreemptionOption:
    """The tasks to stop on a machine so that one more task of a job fits."""

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
    """Choose the tasks to stop, for the most urgent waiting jobs first and the oldest among them.

    `jobs` are all jobs; `machines` are those on which tasks may be placed.
    """
    running = list(context.cluster.machines_by_team())
    if not any(_is_preemptible(team, priority, context.teams) for team, priority, _ in running):
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
        """Capacity that is free once all stopping tasks have ended, less what this pass claimed."""
        self._team_cpus = dict(context.cluster.team_cpus)
        self._team_gpus = dict(context.cluster.team_gpus)
        self._zones = ZoneLimits(context.cluster.job_zones)
        self._victims: list[Victim] = []
        self._stopped: set[tuple[MachineId, AttemptKey]] = set()
        """Keys of the attempts that this pass has chosen to stop."""

    def choose(self, waiting: Iterable[Job]) -> list[Victim]:
        """See `choose_victims`."""
        eligible = [job for job in waiting if self._may_preempt(job)]
        for job in sorted(eligible, key=lambda job: (-job.spec.priority, job.submitted)):
            if len(self._victims) >= MAX_VICTIMS:
                break
            self._choose_for(job)
        return self._victims

    def _may_preempt(self, job: Job) -> bool:
        """Whether tasks may be stopped for the job; not for gangs: they need all places at once."""
        return job.waiting_count() > 0 and not job.is_gang and not fails_repeatedly(job)

    def _may_be_preempted_by(self, team: Team, priority: Priority, job: Job) -> bool:
        """Whether tasks of that team and priority may be stopped for the job."""
        if priority < job.spec.priority and _is_preemptible(team, priority, self._teams):
            return True
        return (
            not has_guarantee(team, self._teams)
            and team != job.spec.team
            and self._within_guarantee(job)
        )

    def _within_guarantee(self, job: Job) -> bool:
        limits = self._teams.get(job.spec.team)
        used = self._team_cpus.get(job.spec.team, 0.0)
        return limits is not None and used + job.spec.cpus <= limits.cpus

    def _choose_for(self, job: Job) -> None:
        wanted = self._admitted_tasks(job)
        candidates = self._candidates_with_preemptible_work(job)
        wanted -= self._claim_free_capacity(job, candidates, wanted)
        if wanted <= 0:
            return
        options = [
            option
            for candidate in candidates
            if (option := self._option(job, candidate)) is not None
        ]
        heapq.heapify(options)
        while options and wanted > 0 and len(self._victims) < MAX_VICTIMS:
            option = heapq.heappop(options)
            if not self._zones.admits(job.spec, option.candidate.machine.zone):
                continue
            self._stop(option)
            wanted -= self._claim_free_capacity(job, [option.candidate], wanted)
            next_option = self._option(job, option.candidate)
            if next_option is not None:
                heapq.heappush(options, next_option)

    def _admitted_tasks(self, job: Job) -> int:
        """How many of the job's waiting tasks the team's limits admit.

        Tasks for which this pass has claimed capacity count as usage of their team.
        """
        team = job.spec.team
        return tasks_within_limits(
            job.spec,
            job.waiting_count(),
            self._team_cpus.get(team, 0.0),
            self._team_gpus.get(team, 0.0),
            self._teams.get(team),
        )

    def _candidates_with_preemptible_work(self, job: Job) -> list[FreeCapacity]:
        """Machines that the job may use and that run tasks which may be stopped for it."""
        machine_ids: dict[MachineId, None] = {}
        for team, priority, machines in self._running:
            if self._may_be_preempted_by(team, priority, job):
                machine_ids.update(dict.fromkeys(machines))
        ids = list(machine_ids)
        if len(ids) > MAX_MACHINES_PER_JOB:
            ids = self._rng.sample(ids, MAX_MACHINES_PER_JOB)
        candidates = (self._candidate(job, machine_id) for machine_id in ids)
        return [candidate for candidate in candidates if candidate is not None]

    def _candidate(self, job: Job, machine_id: MachineId) -> FreeCapacity | None:
        """The machine's capacity, or None if the job may not use the machine."""
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

    def _claim_free_capacity(
        self, job: Job, candidates: Iterable[FreeCapacity], wanted: int
    ) -> int:
        """Claim capacity that is free or being freed for up to `wanted` tasks; return how many."""
        claimed = 0
        for candidate in candidates:
            zone = candidate.machine.zone
            admitted = min(wanted - claimed, self._zones.tasks_left(job.spec, zone))
            count = max(0, min(candidate.count_fitting(job.spec), admitted))
            for _ in range(count):
                candidate.take(job.spec)
            self._zones.add_planned(job.spec, zone, count)
            claimed += count
            if claimed >= wanted:
                break
        team = job.spec.team
        self._team_cpus[team] = self._team_cpus.get(team, 0.0) + claimed * job.spec.cpus
        self._team_gpus[team] = self._team_gpus.get(team, 0.0) + claimed * job.spec.gpus
        return claimed

    def _option(self, job: Job, candidate: FreeCapacity) -> PreemptionOption | None:
        """The tasks with the least loss to stop on the candidate for one more task of the job."""
        freed = candidate.copy_amounts()
        victims: list[Allocation] = []
        loss = 0.0
        for allocation_loss, allocation in sorted(
            self._stoppable(job, candidate.machine), key=lambda entry: entry[0]
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
                self._may_be_preempted_by(allocation.spec.team, allocation.spec.priority, job)
                and not allocation.stopping
                and not _start_unconfirmed(allocation)
                and (machine.id, allocation.key) not in self._stopped
                and allocation.spec.shape is not Shape.GANG
                and not self._would_void_start(allocation)
            ):
                yield self._loss(allocation), allocation

    def _would_void_start(self, allocation: Allocation) -> bool:
        """Whether the job would count as not started for its user if this task were stopped now."""
        run_time_s = (
            0.0 if allocation.running_since is None else self._now - allocation.running_since
        )
        job = self._jobs.get(allocation.task.job)
        return job is not None and run_time_s <= MIN_COUNTED_RUN_S and job.placed_count() <= 1

    def _loss(self, allocation: Allocation) -> float:
        """CPU seconds that are lost if the task is stopped now."""
        if allocation.running_since is None:
            return 0.0
        lost_s = self._now - allocation.running_since
        if allocation.spec.checkpoint_s > 0:
            lost_s = min(lost_s, allocation.spec.save_s)
        return allocation.spec.cpus * lost_s

    def _stop(self, option: PreemptionOption) -> None:
        for allocation in option.victims:
            self._stopped.add((allocation.machine, allocation.key))
            option.candidate.give_back(allocation.spec)
            self._victims.append(Victim(option.candidate.machine, allocation))


def _is_preemptible(team: Team, priority: Priority, teams: dict[Team, TeamLimits]) -> bool:
    """Whether tasks of that team and priority may be stopped for any other job."""
    return priority is Priority.LOW or not has_guarantee(team, teams)


def _start_unconfirmed(allocation: Allocation) -> bool:
    """Whether the attempt's start was sent and no heartbeat has listed the attempt yet.

    Such an attempt is not stopped: only a new fencing token would prove that it can no longer
    start.
    """
    return allocation.start_sent and not allocation.in_last_heartbeat
