"""Which waiting tasks the free capacity of the rented machines does not hold.

This is an estimate for scaling out, made without placing anything: tasks are counted into free
capacity, the most urgent first. Scheduling cycles place them by their own rules.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ..model.deployment import TeamLimits
from ..model.ids import Team
from ..model.quantities import ROUNDING
from ..scheduling.free_capacity import FreeCapacity, by_zone
from ..scheduling.job_selection import fails_repeatedly
from ..scheduling.quota import tasks_within_limit
from ..state.jobs import Job
from ..state.machine import Machine


class UnplacedTasks(NamedTuple):
    """Tasks of a job that wait, are within the team's quota, and find no free capacity."""

    job: Job
    tasks: int
    """How many."""


@dataclass(frozen=True, slots=True)
class WaitingWork:
    """What waits, as far as the teams' quotas admit it."""

    requested_cpus: float
    """CPUs in use and of all that waits; backfill is left out."""
    unplaced: list[UnplacedTasks]
    """The most urgent and oldest jobs first."""

    def lacking_cpus(self) -> float:
        """CPUs of the unplaced tasks; backfill is left out."""
        return sum(
            unplaced.tasks * unplaced.job.spec.cpus
            for unplaced in self.unplaced
            if not unplaced.job.backfill
        )


def find_unplaced_work(
    jobs: Iterable[Job],
    machines: Iterable[Machine],
    teams: Mapping[Team, TeamLimits],
    team_cpus: Mapping[str, float],
    used_cpus: float,
) -> WaitingWork:
    """Count the waiting tasks into the free capacity of the machines.

    `team_cpus` are the CPUs that each team uses, `used_cpus` those of all work but backfill.
    """
    waiting = sorted(
        (job for job in jobs if job.waiting_count() > 0 and not fails_repeatedly(job)),
        key=lambda job: (-job.spec.priority, job.submitted),
    )
    capacity = _CapacityLeft(
        machines, min((job.spec.cpus for job in waiting), default=0.0) - ROUNDING
    )
    team_used = dict(team_cpus)
    requested_cpus = used_cpus
    unplaced: list[UnplacedTasks] = []
    for job in waiting:
        spec = job.spec
        limit = teams[spec.team].cpus_max if spec.team in teams else 0.0
        used = team_used.get(spec.team, 0.0)
        count = tasks_within_limit(spec, job.waiting_count(), used, limit)
        team_used[spec.team] = used + count * spec.cpus
        if not job.backfill:
            requested_cpus += count * spec.cpus
        count -= capacity.take(job, count)
        if count > 0:
            unplaced.append(UnplacedTasks(job, count))
    return WaitingWork(requested_cpus, unplaced)


class _CapacityLeft:
    """Free capacity that no waiting task was counted into yet.

    Most machines are full and are left out: otherwise each job would look at all of them.
    """

    def __init__(self, machines: Iterable[Machine], min_cpus: float) -> None:
        """Machines with fewer free CPUs than `min_cpus` are full."""
        self._min_cpus = min_cpus
        self._candidates = [
            free for machine in machines if (free := FreeCapacity.of(machine)).cpus >= min_cpus
        ]

    def take(self, job: Job, max_count: int) -> int:
        """Count up to `max_count` of the job's tasks in; how many fitted."""
        left = max_count
        filled = False
        for free in self._candidates_for(job, max_count):
            if left <= 0:
                break
            if _may_use(job, free):
                left -= free.take_up_to(job.spec, left)
                filled = filled or free.cpus < self._min_cpus
        if filled:
            self._candidates = [free for free in self._candidates if free.cpus >= self._min_cpus]
        return max_count - left

    def _candidates_for(self, job: Job, count: int) -> list[FreeCapacity]:
        """For a gang that must be in one zone: a zone that has capacity for all, if any has."""
        if not (job.is_gang and job.spec.one_zone):
            return self._candidates
        for found in by_zone(free for free in self._candidates if _may_use(job, free)):
            if sum(free.count_fitting(job.spec) for free in found) >= count:
                return found
        return []


def _may_use(job: Job, free: FreeCapacity) -> bool:
    """Whether a task of the job may be there, GPUs aside: those are counted when it is taken."""
    spec = job.spec
    return (
        spec.cpus <= free.cpus + ROUNDING
        and spec.memory_gb <= free.memory_gb + ROUNDING
        and free.machine.allows(spec)
        and free.machine.id not in job.failed_on
    )
