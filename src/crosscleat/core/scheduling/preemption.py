"""Which running tasks are stopped to make room for others.

Work yields to work of a higher priority if its own is the lowest, or if its team has no guarantee;
and work of a team without a guarantee yields to a team that is within its own.
A task that was told to stop keeps its room until it is proven gone, so the room that is being
freed is reckoned with before more tasks are stopped, and a later round places what waits.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from ..model.deployment import TeamLimits, has_guarantee
from ..model.ids import JobRef, MachineId, Seconds, Team
from ..model.job_spec import Priority, Shape
from ..state.allocations import Allocation, AttemptKey
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from .free_capacity import FreeCapacity, fails_repeatedly
from .quota import tasks_within_limit

INTERVAL_S = 0.5
"""How often tasks are chosen to be stopped."""

MAX_STOPPED = 64
"""Tasks that are told to stop at a time."""

MAX_MACHINES = 400
"""Machines that are looked at for one job; beyond it a sample of them."""

COUNTED_START_S = 30.0
"""A start counts for its job's user only if the task is not stopped for so long."""


class Victim(NamedTuple):
    """A task that is to be stopped, and its machine."""

    machine: Machine
    allocation: Allocation


@dataclass(slots=True, order=True)
class Option:
    """What would have to be stopped on a machine for one more task of a job."""

    loss: float
    candidate: FreeCapacity = field(compare=False)
    victims: list[Allocation] = field(compare=False)


class Preemption:
    """One pass over what waits: whom to stop so that it can be placed."""

    def __init__(
        self,
        cluster: ClusterState,
        teams: dict[Team, TeamLimits],
        jobs: dict[JobRef, Job],
        machines: Iterable[Machine],
        rng: Random,
        now: Seconds,
    ) -> None:
        """`machines` are those on which tasks may be placed."""
        self._cluster = cluster
        self._teams = teams
        self._jobs = jobs
        self._usable = {machine.id: machine for machine in machines}
        self._rng = rng
        self._now = now
        self._rooms: dict[MachineId, FreeCapacity] = {}
        """Room that is left once all that was told to stop is gone."""
        self._running = list(cluster.running())
        self._cpus = dict(cluster.team_cpus)
        self._chosen: list[Victim] = []
        self._stopped: set[tuple[MachineId, AttemptKey]] = set()
        """What this pass has chosen."""

    def choose(self, waiting: Iterable[Job]) -> list[Victim]:
        """The tasks to stop, for the most urgent and oldest of the waiting jobs first."""
        if not any(self._ever_yields(team, priority) for team, priority, _ in self._running):
            return []
        found = [job for job in waiting if self._may_preempt(job)]
        for job in sorted(found, key=lambda job: (-job.spec.priority, job.submitted)):
            if len(self._chosen) >= MAX_STOPPED:
                break
            self._make_room(job)
        return self._chosen

    def _may_preempt(self, job: Job) -> bool:
        """Gangs are left out: they need all their room at one time."""
        return job.waiting_count() > 0 and not job.gang and not fails_repeatedly(job)

    def _ever_yields(self, team: Team, priority: Priority) -> bool:
        return priority is Priority.LOW or not has_guarantee(team, self._teams)

    def _yields(self, team: Team, priority: Priority, job: Job) -> bool:
        """Whether work of that team and priority makes room for the job."""
        if priority < job.spec.priority and self._ever_yields(team, priority):
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

    def _make_room(self, job: Job) -> None:
        wanted = self._within_limit(job)
        candidates = self._rooms_with_yielding_work(job)
        wanted -= self._count_freed_room(job, candidates, wanted)
        if wanted <= 0:
            return
        options = [
            option
            for candidate in candidates
            if (option := self._option(job, candidate)) is not None
        ]
        heapq.heapify(options)
        while options and wanted > 0 and len(self._chosen) < MAX_STOPPED:
            option = heapq.heappop(options)
            self._stop(option)
            wanted -= self._count_freed_room(job, [option.candidate], wanted)
            another = self._option(job, option.candidate)
            if another is not None:
                heapq.heappush(options, another)

    def _within_limit(self, job: Job) -> int:
        """How many waiting tasks the team's limit admits; those that this pass counted use it."""
        limits = self._teams.get(job.spec.team)
        if limits is None:
            return 0
        used = self._cpus.get(job.spec.team, 0.0)
        return tasks_within_limit(job.spec, job.waiting_count(), used, limits.cpus_max)

    def _rooms_with_yielding_work(self, job: Job) -> list[FreeCapacity]:
        """Machines that the job may use and on which work runs that makes room for it."""
        found: dict[MachineId, None] = {}
        for team, priority, machines in self._running:
            if self._yields(team, priority, job):
                found.update(dict.fromkeys(machines))
        names = list(found)
        if len(names) > MAX_MACHINES:
            names = self._rng.sample(names, MAX_MACHINES)
        return [candidate for name in names if (candidate := self._room(job, name)) is not None]

    def _room(self, job: Job, name: MachineId) -> FreeCapacity | None:
        machine = self._usable.get(name)
        if machine is None or not machine.allowed(job.spec) or name in job.failed_on:
            return None
        if not machine.type.has_capacity_for(job.spec):
            return None
        if not self._cluster.zone_allows(job.spec, machine.zone):
            return None
        candidate = self._rooms.get(name)
        if candidate is None:
            candidate = self._rooms[name] = FreeCapacity.of(machine)
            for allocation in machine.allocations.values():
                if allocation.stopping:
                    candidate.give_back(allocation.spec)
        return candidate

    def _count_freed_room(self, job: Job, candidates: Iterable[FreeCapacity], wanted: int) -> int:
        """How many of the job's tasks go into room that is free or being freed."""
        counted = 0
        for candidate in candidates:
            count = candidate.count_fitting(job.spec)
            count = max(0, min(count, wanted - counted))
            for _ in range(count):
                candidate.take(job.spec)
            counted += count
            if counted >= wanted:
                break
        team = job.spec.team
        self._cpus[team] = self._cpus.get(team, 0.0) + counted * job.spec.cpus
        return counted

    def _option(self, job: Job, candidate: FreeCapacity) -> Option | None:
        """The cheapest tasks to stop there so that one task of the job fits."""
        freed = candidate.amounts()
        victims: list[Allocation] = []
        loss = 0.0
        for hold_loss, allocation in sorted(
            self._stoppable(job, candidate.machine), key=lambda found: found[0]
        ):
            if freed.fits(job.spec):
                break
            freed.give_back(allocation.spec)
            victims.append(allocation)
            loss += hold_loss
        return Option(loss, candidate, victims) if victims and freed.fits(job.spec) else None

    def _stoppable(self, job: Job, machine: Machine) -> Iterator[tuple[float, Allocation]]:
        for allocation in machine.allocations.values():
            if (
                self._yields(allocation.spec.team, allocation.spec.priority, job)
                and not allocation.stopping
                and not _start_under_way(allocation)
                and (machine.id, allocation.key) not in self._stopped
                and allocation.spec.shape is not Shape.GANG
                and not self._only_counted_start(allocation)
            ):
                yield self._loss(allocation), allocation

    def _only_counted_start(self, allocation: Allocation) -> bool:
        """Whether its job would not have begun for its user if this task were stopped now."""
        ran_s = 0.0 if allocation.running_since is None else self._now - allocation.running_since
        job = self._jobs.get(allocation.task.job)
        return job is not None and ran_s <= COUNTED_START_S and job.placed_count() <= 1

    def _loss(self, allocation: Allocation) -> float:
        """Processor time that is lost if the task is stopped now."""
        if allocation.running_since is None:
            return 0.0
        ran_s = self._now - allocation.running_since
        saved = allocation.spec.checkpoint_s > 0
        return allocation.spec.cpus * (min(ran_s, allocation.spec.save_s) if saved else ran_s)

    def _stop(self, option: Option) -> None:
        for allocation in option.victims:
            self._stopped.add((allocation.machine, allocation.key))
            option.candidate.give_back(allocation.spec)
            self._chosen.append(Victim(option.candidate.machine, allocation))


def _start_under_way(allocation: Allocation) -> bool:
    """Whether its start was sent and is not seen yet: to be sure of its end takes a new token."""
    return allocation.sent and not allocation.listed
