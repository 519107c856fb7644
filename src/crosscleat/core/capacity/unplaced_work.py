"""Finds the waiting tasks that the free capacity of the rented machines can't hold.

This is an estimate for scaling out and places nothing: the waiting tasks are planned in the free
capacity, the most urgent first. Scheduling cycles place tasks by their own rules.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ..model.deployment import TeamLimits
from ..model.ids import JobRef, MachineId, Team, Zone
from ..model.quantities import ROUNDING_TOLERANCE
from ..scheduling.free_capacity import FreeCapacity
from ..scheduling.job_selection import fails_repeatedly
from ..scheduling.quota import tasks_within_limits
from ..scheduling.zone_limits import ZoneLimits
from ..state.job_zones import is_zone_limited
from ..state.jobs import Job
from ..state.machine import Machine
from .capacity_targets import CapacityUse
from .waiting_reasons import WaitingReason, WaitingReport


class UnplacedTasks(NamedTuple):
    """Waiting tasks of a job that are within the team's quota and have no free capacity."""

    job: Job
    tasks: int
    """Number of these tasks."""


@dataclass(slots=True)
class WaitingWork:
    """The waiting work that the teams' quotas admit."""

    requested_cpus: float
    """CPUs in use and CPUs of all waiting work, without backfill."""
    zones: ZoneLimits
    """The jobs' zone limits, with the tasks placed and those planned in free capacity counted."""
    unplaced: list[UnplacedTasks] = field(default_factory=list)
    """Sorted by priority, then by age, the most urgent and oldest jobs first."""
    gang_machines: dict[JobRef, list[MachineId]] = field(default_factory=dict)
    """The machines in whose free capacity tasks of each gang are planned."""

    def machines_of_gangs(self) -> frozenset[MachineId]:
        """All machines in whose free capacity tasks of waiting gangs are planned."""
        return frozenset(itertools.chain.from_iterable(self.gang_machines.values()))

    def lacking_cpus(self) -> float:
        """CPUs of the unplaced tasks, without backfill."""
        return sum(
            unplaced.tasks * unplaced.job.spec.cpus
            for unplaced in self.unplaced
            if not unplaced.job.backfill
        )


def find_unplaced_work(
    jobs: Iterable[Job],
    machines: Iterable[Machine],
    teams: Mapping[Team, TeamLimits],
    use: CapacityUse,
    report: WaitingReport,
) -> WaitingWork:
    """Plan the waiting tasks in the free capacity of the machines and collect those without any."""
    used_cpus = sum(use.cpus_by_team.values()) - use.backfill_cpus
    work = WaitingWork(used_cpus, ZoneLimits(use.job_zones))
    waiting = sorted(
        (job for job in jobs if job.waiting_count() > 0),
        key=lambda job: (-job.spec.priority, job.submitted),
    )
    quotas = _QuotaUse(teams, use)
    capacity = _RemainingCapacity(
        machines, min((job.spec.cpus for job in waiting), default=0.0) - ROUNDING_TOLERANCE, work
    )
    for job in waiting:
        if fails_repeatedly(job):
            report.add(job, job.waiting_count(), WaitingReason.FAILS_REPEATEDLY)
            continue
        admitted = quotas.take(job)
        report.add(job, job.waiting_count() - admitted, WaitingReason.OVER_QUOTA)
        if not job.backfill:
            work.requested_cpus += admitted * job.spec.cpus
        fitting = capacity.take(job, admitted)
        report.add(job, fitting, WaitingReason.FITS_FREE_CAPACITY)
        if admitted > fitting:
            work.unplaced.append(UnplacedTasks(job, admitted - fitting))
    return work


class _QuotaUse:
    """Counts the waiting tasks that the teams' quotas admit, in addition to those placed."""

    def __init__(self, teams: Mapping[Team, TeamLimits], use: CapacityUse) -> None:
        self._teams = teams
        self._cpus = dict(use.cpus_by_team)
        self._gpus = dict(use.gpus_by_team)

    def take(self, job: Job) -> int:
        """Count as many of the job's waiting tasks as its team's quota admits; return how many."""
        spec = job.spec
        cpus = self._cpus.get(spec.team, 0.0)
        gpus = self._gpus.get(spec.team, 0.0)
        limits = self._teams.get(spec.team)
        count = tasks_within_limits(spec, job.waiting_count(), cpus, gpus, limits)
        self._cpus[spec.team] = cpus + count * spec.cpus
        self._gpus[spec.team] = gpus + count * spec.gpus
        return count


class _RemainingCapacity:
    """Free capacity in which no waiting task is planned yet.

    Most machines are full and are left out: otherwise each job would look at all of them.
    """

    def __init__(self, machines: Iterable[Machine], min_cpus: float, work: WaitingWork) -> None:
        """Machines with fewer free CPUs than `min_cpus` count as full."""
        self._min_cpus = min_cpus
        self._work = work
        self._candidates = [
            free for machine in machines if (free := FreeCapacity.of(machine)).cpus >= min_cpus
        ]

    def take(self, job: Job, max_count: int) -> int:
        """Plan up to `max_count` of the job's tasks in the free capacity; return how many fit."""
        required_zone = self._zone_for(job, max_count) if job.spec.one_zone else None
        if max_count <= 0 or (job.spec.one_zone and required_zone is None):
            return 0
        left = max_count
        some_full = False
        for free in self._candidates:
            if left <= 0:
                break
            if required_zone in (None, free.machine.zone) and _may_use(job, free):
                left -= self._take_from(job, free, left)
                some_full = some_full or free.cpus < self._min_cpus
        if some_full:
            self._candidates = [free for free in self._candidates if free.cpus >= self._min_cpus]
        return max_count - left

    def _take_from(self, job: Job, free: FreeCapacity, max_count: int) -> int:
        zone = free.machine.zone
        if is_zone_limited(job.spec):
            max_count = min(max_count, self._work.zones.tasks_left(job.spec, zone))
        taken = free.take_up_to(job.spec, max_count)
        self._work.zones.add_planned(job.spec, zone, taken)
        if job.is_gang and taken > 0:
            self._work.gang_machines.setdefault(job.ref, []).append(free.machine.id)
        return taken

    def _zone_for(self, job: Job, count: int) -> Zone | None:
        """Choose the zone for a job whose tasks must all be in one zone.

        It is the first zone with capacity for all of them. If there is none, it is no zone for a
        gang, and the zone with the most capacity for an array.
        """
        fitting: dict[Zone, int] = {}
        for free in self._candidates:
            zone = free.machine.zone
            if _may_use(job, free) and self._work.zones.admits(job.spec, zone):
                fitting[zone] = fitting.get(zone, 0) + free.count_fitting(job.spec)
                if fitting[zone] >= count:
                    return zone
        return None if job.is_gang else max(fitting, key=fitting.__getitem__, default=None)


def _may_use(job: Job, free: FreeCapacity) -> bool:
    """Whether a task of the job may use the capacity; GPUs are only checked by `take_up_to`."""
    spec = job.spec
    return (
        spec.cpus <= free.cpus + ROUNDING_TOLERANCE
        and spec.memory_gb <= free.memory_gb + ROUNDING_TOLERANCE
        and free.machine.allows(spec)
        and free.machine.id not in job.failed_on
    )
