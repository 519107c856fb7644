"""What one scheduling cycle may still place where: capacity, quotas, zones and reservations.

It counts what the cycle itself has assigned on top of the allocations that the cluster state has.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..model.deployment import TeamLimits
from ..model.ids import JobRef, MachineId, Seconds, Team, Zone
from ..model.job_spec import Priority
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from .assignments import Reservation
from .free_capacity import FreeCapacity, fetch_time
from .quota import within_limit
from .zone_limits import ZoneLimits

RESERVED_FROM_ALL_AFTER_S = 60.0
"""Work of a higher priority may use a reserved machine until the job that it is reserved for has
waited so long."""

IGNORES_RESERVES_AFTER_S = 60.0
"""A job of which no task has been on a machine for so long may use any free capacity: none is
to wait for 90 s while a machine could have it."""

GANG_FIRST_AFTER_S = 0.5
"""A gang that has waited so long goes before all others, and may use the urgent reserve."""

LARGE_SHARE = 0.3
"""A task that takes so much of a machine finds no place where small ones take whatever is freed."""

URGENT_QUOTA_SHARE = 0.05
"""The share of a team's limit that is left to urgent work at the most."""

URGENT_QUOTA_FROM = 0.5
"""Nothing of a team's limit is left to urgent work until this share of it is in use."""

URGENT_QUOTA_RESERVES = 2.0
"""What is left of a team's limit to urgent work, as a multiple of the urgent reserve."""


@dataclass(frozen=True, slots=True)
class CycleReserves:
    """Free CPUs that a cycle leaves to other work."""

    urgent_cpus: float = 0.0
    """What work that is less than urgent leaves free."""
    on_demand_cpus: float = 0.0
    """On on-demand machines, what work that may use spot machines leaves free."""
    backfill_cpus: float = 0.0
    """What backfill leaves free."""


@dataclass(frozen=True, slots=True)
class CycleContext:
    """The state that a scheduling cycle or a preemption pass is planned on."""

    cluster: ClusterState
    teams: dict[Team, TeamLimits]
    now: Seconds
    reserves: CycleReserves = CycleReserves()


class Feasibility:
    """The free capacity and quota of a cycle as they are being used up.

    `candidates` are the free capacities of all its machines.
    """

    def __init__(self, context: CycleContext, machines: Iterable[Machine]) -> None:
        """`machines` are those on which the cycle may place."""
        self._teams = context.teams
        self.now = context.now
        """The moment that the cycle plans for."""
        self._urgent_reserve = context.reserves.urgent_cpus
        self._backfill_reserve = context.reserves.backfill_cpus
        self._cpus = dict(context.cluster.team_cpus)
        self._gpus = dict(context.cluster.team_gpus)
        self._zones = ZoneLimits(context.cluster.job_zones)
        self._fetches: dict[tuple[MachineId, str], float] = {}
        """Seconds until an image is on a machine, where a task of the cycle makes it fetch it."""
        self._taken: dict[JobRef, int] = {}
        """Tasks that the cycle has placed, by job."""
        self.candidates = [FreeCapacity.of(machine) for machine in machines]
        self._free_cpus = 0.0
        for candidate in self.candidates:
            self._free_cpus += max(0.0, candidate.cpus)

    def taken(self, job: Job) -> int:
        """How many tasks of the job this cycle has placed."""
        return self._taken.get(job.ref, 0)

    def ignores_reserves(self, job: Job) -> bool:
        """Whether its next task may use free capacity that is left to other work.

        Only the first task of a job that has waited for too long without any may.
        """
        is_first_task = job.is_gang or job.ref not in self._taken
        return is_first_task and job.idle_duration_s(self.now) > IGNORES_RESERVES_AFTER_S

    def gang_goes_first(self, job: Job) -> bool:
        """Whether it is a gang that has waited for so long that it goes before all others."""
        return job.is_gang and job.idle_duration_s(self.now) > GANG_FIRST_AFTER_S

    def admits(self, job: Job, candidate: FreeCapacity) -> bool:
        """Whether the job's next task may go there."""
        if not candidate.fits(job.spec) or not candidate.machine.allows(job.spec):
            return False
        if self._is_kept_from(job, candidate) and not self.ignores_reserves(job):
            return False
        return self._zones.admits(job.spec, candidate.machine.zone)

    def _is_kept_from(self, job: Job, candidate: FreeCapacity) -> bool:
        """Whether the capacity is left to other work, or the job has failed there."""
        reservation = candidate.reservation
        if reservation is not None and not self._may_use(job, reservation):
            return True
        if (
            candidate.kept_for_on_demand
            and job.spec.spot
            and not self._takes_large_share(job, candidate)
        ):
            return True
        if not self._leaves_urgent_reserve(job, 1):
            return True
        return candidate.machine.id in job.failed_on and not self._failed_everywhere(job)

    def _may_use(self, job: Job, reservation: Reservation) -> bool:
        """Whether the job may use a machine that is being emptied for this one."""
        if reservation.job == job.ref:
            return True
        if self.gang_goes_first(job):
            # Of two gangs the older has reserved what both would use.
            return not reservation.gang
        waited = self.now - reservation.submitted
        return job.spec.priority > reservation.priority and waited < RESERVED_FROM_ALL_AFTER_S

    def _takes_large_share(self, job: Job, candidate: FreeCapacity) -> bool:
        """Whether a task of it needs much of the machine, and so finds few others."""
        return job.spec.cpus >= LARGE_SHARE * candidate.machine.type.cpus

    def _leaves_urgent_reserve(self, job: Job, count: int) -> bool:
        if job.spec.priority >= Priority.HIGH or self.gang_goes_first(job):
            return True
        reserve = self._backfill_reserve if job.backfill else self._urgent_reserve
        return self._free_cpus - count * job.spec.cpus >= reserve

    def admits_all(self, job: Job, count: int) -> bool:
        """Whether so many tasks at once keep to the team's limit and to the reserves."""
        if not self._leaves_urgent_reserve(job, count) and not self.ignores_reserves(job):
            return False
        return self.team_admits(job, count)

    def tasks_left_in_zone(self, job: Job, zone: Zone) -> int:
        """How many more tasks of the job may be in the zone."""
        return self._zones.tasks_left(job.spec, zone)

    def _failed_everywhere(self, job: Job) -> bool:
        """Whether it failed on each machine that it could be on: then any of them may try again."""
        return all(
            candidate.machine.id in job.failed_on
            for candidate in self.candidates
            if candidate.machine.allows(job.spec)
            and candidate.machine.type.has_capacity_for(job.spec)
        )

    def team_admits(self, job: Job, count: int = 1) -> bool:
        """Whether so many more tasks keep the job's team within its limit."""
        limits = self._teams.get(job.spec.team)
        if limits is None:
            return False
        used = self._cpus.get(job.spec.team, 0.0) + (count - 1) * job.spec.cpus
        cpus = used + job.spec.cpus
        gpus = self._gpus.get(job.spec.team, 0.0) + count * job.spec.gpus
        cpu_limit = limits.cpus_max
        leaves_some = job.spec.priority < Priority.HIGH and not self.ignores_reserves(job)
        if leaves_some and used > URGENT_QUOTA_FROM * cpu_limit > 0.0:
            # The last of a limit is left to urgent work, as the last of the free capacity is.
            urgent_cpus = URGENT_QUOTA_RESERVES * self._urgent_reserve
            cpu_limit -= min(urgent_cpus, URGENT_QUOTA_SHARE * cpu_limit)
        return within_limit(cpus, cpu_limit) and within_limit(gpus, limits.gpus_max)

    def take(self, job: Job, candidate: FreeCapacity) -> None:
        """Place one task of the job there."""
        spec = job.spec
        candidate.take(job.spec)
        self._free_cpus -= spec.cpus
        self._taken[job.ref] = self._taken.get(job.ref, 0) + 1
        self._cpus[spec.team] = self._cpus.get(spec.team, 0.0) + spec.cpus
        self._gpus[spec.team] = self._gpus.get(spec.team, 0.0) + spec.gpus
        self._zones.count_in(spec, candidate.machine.zone)
        key = (candidate.machine.id, spec.image)
        if key not in self._fetches:
            self._fetches[key] = self.fetch_s(job, candidate)
            candidate.fetching_s = max(candidate.fetching_s, self._fetches[key])

    def fetch_s(self, job: Job, candidate: FreeCapacity) -> float:
        """Seconds until the machine has the job's image, behind its other fetches."""
        machine = candidate.machine
        ready = machine.images.ready_at.get(job.spec.image)
        if ready is not None:
            return max(0.0, ready - self.now)
        fetching = self._fetches.get((machine.id, job.spec.image))
        if fetching is not None:
            return fetching
        return candidate.fetching_s + fetch_time(job.spec, machine.type)
