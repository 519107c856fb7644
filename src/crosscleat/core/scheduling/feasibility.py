"""Checks which placements are still possible in a scheduling cycle.

The checks cover free capacity, team quotas, zone limits, reservations and reserves. They count the
assignments of the cycle itself in addition to the allocations in the cluster state.
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

RESERVATION_EXCLUSIVE_AFTER_S = 60.0
"""Jobs of a higher priority may use a reserved machine until the job that holds the reservation has
waited this many seconds."""

IGNORES_RESERVES_AFTER_S = 60.0
"""A job that has had no task on a machine for this many seconds may use any free capacity. No job
should wait 90 s while a machine has capacity for it."""

GANG_FIRST_AFTER_S = 0.5
"""A gang that has waited this many seconds goes before all other jobs and may use the urgent
reserve."""

LARGE_TASK_SHARE = 0.3
"""A task that needs at least this share of a machine counts as large. It finds no place by itself
while small tasks take all capacity that is freed."""

URGENT_QUOTA_SHARE = 0.05
"""Maximum share of a team's CPU limit that is kept for urgent work."""

URGENT_QUOTA_MIN_USE = 0.5
"""While at most this share of a team's CPU limit is in use, nothing is kept for urgent work."""

URGENT_QUOTA_PER_RESERVE = 2.0
"""CPUs of a team's limit that are kept for urgent work, as a multiple of the urgent reserve."""


@dataclass(frozen=True, slots=True)
class CycleReserves:
    """Free CPUs that a cycle keeps for certain kinds of work."""

    urgent_cpus: float = 0.0
    """Kept free by jobs below `Priority.HIGH`."""
    on_demand_cpus: float = 0.0
    """Kept free on on-demand machines by jobs that may use spot machines."""
    backfill_cpus: float = 0.0
    """Kept free by backfill jobs."""


@dataclass(frozen=True, slots=True)
class CycleContext:
    """The state from which a scheduling cycle or a preemption pass plans."""

    cluster: ClusterState
    teams: dict[Team, TeamLimits]
    now: Seconds
    reserves: CycleReserves = CycleReserves()


class Feasibility:
    """Tracks the free capacity and quota that remain during a cycle.

    `candidates` are the free capacities of all machines of the cycle.
    """

    def __init__(self, context: CycleContext, machines: Iterable[Machine]) -> None:
        """`machines` are those on which the cycle may place tasks."""
        self._teams = context.teams
        self.now = context.now
        """The time for which the cycle plans."""
        self._urgent_reserve = context.reserves.urgent_cpus
        self._backfill_reserve = context.reserves.backfill_cpus
        self._team_cpus = dict(context.cluster.team_cpus)
        self._team_gpus = dict(context.cluster.team_gpus)
        self._zones = ZoneLimits(context.cluster.job_zones)
        self._planned_fetches_s: dict[tuple[MachineId, str], float] = {}
        """Seconds until a machine has fetched an image for a task that this cycle assigned."""
        self._assigned: dict[JobRef, int] = {}
        """Number of tasks that the cycle has assigned, by job."""
        self.candidates = [FreeCapacity.of(machine) for machine in machines]
        self._free_cpus = 0.0
        for candidate in self.candidates:
            self._free_cpus += max(0.0, candidate.cpus)

    def assigned_count(self, job: Job) -> int:
        """How many tasks of the job this cycle has assigned."""
        return self._assigned.get(job.ref, 0)

    def ignores_reserves(self, job: Job) -> bool:
        """Whether the job's next task may use free capacity that is kept for other work.

        This holds for a job that has had no task on a machine for too long, and in each cycle only
        for its first task, or for all tasks of a gang.
        """
        is_first_task = job.is_gang or job.ref not in self._assigned
        return is_first_task and job.idle_duration_s(self.now) > IGNORES_RESERVES_AFTER_S

    def gang_goes_first(self, job: Job) -> bool:
        """Whether the job is a gang that has waited long enough to go before all other jobs."""
        return job.is_gang and job.idle_duration_s(self.now) > GANG_FIRST_AFTER_S

    def admits(self, job: Job, candidate: FreeCapacity) -> bool:
        """Whether the job's next task may be placed on the candidate."""
        if not candidate.fits(job.spec) or not candidate.machine.allows(job.spec):
            return False
        if self._is_excluded(job, candidate) and not self.ignores_reserves(job):
            return False
        return self._zones.admits(job.spec, candidate.machine.zone)

    def _is_excluded(self, job: Job, candidate: FreeCapacity) -> bool:
        """Whether the capacity is kept for other work, or the job has failed on the machine."""
        reservation = candidate.reservation
        if reservation is not None and not self._may_use_reserved(job, reservation):
            return True
        if (
            candidate.kept_for_on_demand
            and job.spec.spot
            and not self._takes_large_share(job, candidate)
        ):
            return True
        if not self._leaves_reserve(job, 1):
            return True
        return candidate.machine.id in job.failed_on and not self._failed_everywhere(job)

    def _may_use_reserved(self, job: Job, reservation: Reservation) -> bool:
        """Whether the job may use a machine with this reservation."""
        if reservation.job == job.ref:
            return True
        if self.gang_goes_first(job):
            # Machines reserved for a gang stay reserved: of two gangs that need the same machines,
            # the older one holds the reservation.
            return not reservation.gang
        waited = self.now - reservation.submitted
        return job.spec.priority > reservation.priority and waited < RESERVATION_EXCLUSIVE_AFTER_S

    def _takes_large_share(self, job: Job, candidate: FreeCapacity) -> bool:
        """Whether a task of the job needs so many CPUs that few other machines can hold it."""
        return job.spec.cpus >= LARGE_TASK_SHARE * candidate.machine.type.cpus

    def _leaves_reserve(self, job: Job, count: int) -> bool:
        """Whether `count` more tasks of the job leave the reserve free that applies to the job."""
        if job.spec.priority >= Priority.HIGH or self.gang_goes_first(job):
            return True
        reserve = self._backfill_reserve if job.backfill else self._urgent_reserve
        return self._free_cpus - count * job.spec.cpus >= reserve

    def admits_all(self, job: Job, count: int) -> bool:
        """Whether `count` tasks at once respect the team's limits and the reserves."""
        if not self._leaves_reserve(job, count) and not self.ignores_reserves(job):
            return False
        return self.quota_admits(job, count)

    def tasks_left_in_zone(self, job: Job, zone: Zone) -> int:
        """How many more tasks of the job may be in the zone."""
        return self._zones.tasks_left(job.spec, zone)

    def _failed_everywhere(self, job: Job) -> bool:
        """Whether the job has failed on every machine that suits it; then it may retry on any."""
        return all(
            candidate.machine.id in job.failed_on
            for candidate in self.candidates
            if candidate.machine.allows(job.spec)
            and candidate.machine.type.has_capacity_for(job.spec)
        )

    def quota_admits(self, job: Job, count: int = 1) -> bool:
        """Whether `count` more tasks of the job keep its team within its limits."""
        limits = self._teams.get(job.spec.team)
        if limits is None:
            return False
        used = self._team_cpus.get(job.spec.team, 0.0) + (count - 1) * job.spec.cpus
        cpus = used + job.spec.cpus
        gpus = self._team_gpus.get(job.spec.team, 0.0) + count * job.spec.gpus
        cpu_limit = limits.cpus_max
        leaves_urgent_quota = job.spec.priority < Priority.HIGH and not self.ignores_reserves(job)
        if leaves_urgent_quota and used > URGENT_QUOTA_MIN_USE * cpu_limit > 0.0:
            # Keep the last part of the CPU limit for urgent work, as is done for free capacity.
            urgent_cpus = URGENT_QUOTA_PER_RESERVE * self._urgent_reserve
            cpu_limit -= min(urgent_cpus, URGENT_QUOTA_SHARE * cpu_limit)
        return within_limit(cpus, cpu_limit) and within_limit(gpus, limits.gpus_max)

    def take(self, job: Job, candidate: FreeCapacity) -> None:
        """Assign one task of the job to the candidate and use up its capacity and quota."""
        spec = job.spec
        candidate.take(job.spec)
        self._free_cpus -= spec.cpus
        self._assigned[job.ref] = self._assigned.get(job.ref, 0) + 1
        self._team_cpus[spec.team] = self._team_cpus.get(spec.team, 0.0) + spec.cpus
        self._team_gpus[spec.team] = self._team_gpus.get(spec.team, 0.0) + spec.gpus
        self._zones.add_planned(spec, candidate.machine.zone)
        key = (candidate.machine.id, spec.image)
        if key not in self._planned_fetches_s:
            self._planned_fetches_s[key] = self.fetch_s(job, candidate)
            candidate.fetching_s = max(candidate.fetching_s, self._planned_fetches_s[key])

    def fetch_s(self, job: Job, candidate: FreeCapacity) -> float:
        """Seconds until the machine has the job's image, after the fetches that come before it."""
        machine = candidate.machine
        ready = machine.images.ready_at.get(job.spec.image)
        if ready is not None:
            return max(0.0, ready - self.now)
        fetching = self._planned_fetches_s.get((machine.id, job.spec.image))
        if fetching is not None:
            return fetching
        return candidate.fetching_s + fetch_time(job.spec, machine.type)
