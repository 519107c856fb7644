"""What one planning round may still place where: room, quotas, zones and reservations.

It counts what the round itself has taken on top of what the ledger knows.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..model.deployment import TeamLimits
from ..model.ids import JobRef, MachineId, Seconds, Team, Zone
from ..model.job_spec import Priority
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from .free_capacity import FreeCapacity, Reservation, fetch_time
from .quota import within_limit

RESERVED_FROM_ALL_S = 60.0
"""Work of a higher priority may use a reserved machine until its job has waited so long."""

PATIENCE_S = 60.0
"""A job of which no task has been on a machine for so long may use whatever room there is: none
waits for 90 s while a machine has room for it."""

GANG_AFTER_S = 0.5
"""A gang that has waited so long goes before all others, and into room left to urgent work."""

LARGE_SHARE = 0.3
"""A task that takes so much of a machine finds no room where small ones take whatever is freed."""

QUOTA_SHARE = 0.05
"""At most this part of a team's limit is left to urgent work."""


class Feasibility:
    """The room of a round as it is being used up."""

    def __init__(
        self,
        cluster: ClusterState,
        teams: dict[Team, TeamLimits],
        now: Seconds,
        urgent_reserve: float,
        backfill_reserve: float = 0.0,
    ) -> None:
        self._cluster = cluster
        self._teams = teams
        self._now = now
        self._urgent_reserve = urgent_reserve
        self._backfill_reserve = backfill_reserve
        self._cpus = dict(cluster.team_cpus)
        self._gpus = dict(cluster.team_gpus)
        self._zones: dict[JobRef, dict[str, int]] = {}
        self._fetches: dict[tuple[MachineId, str], float] = {}
        self._taken: dict[JobRef, int] = {}
        self._free_cpus = 0.0
        self.candidates: list[FreeCapacity] = []

    def add_machines(self, machines: Iterable[Machine]) -> None:
        """The machines on which the round may place."""
        for machine in machines:
            candidate = FreeCapacity.of(machine)
            self._free_cpus += max(0.0, candidate.cpus)
            self.candidates.append(candidate)

    def taken(self, job: Job) -> int:
        """How many tasks of the job this round has placed."""
        return self._taken.get(job.ref, 0)

    def impatient(self, job: Job) -> bool:
        """Whether its next task is kept from no room that is left for others."""
        first = job.gang or job.ref not in self._taken
        return first and job.idle_s(self._now) > PATIENCE_S

    def gang_goes_first(self, job: Job) -> bool:
        """Whether it is a gang that has waited for so long that it goes before all others."""
        return job.gang and job.idle_s(self._now) > GANG_AFTER_S

    def admits(self, job: Job, candidate: FreeCapacity) -> bool:
        """Whether the job's next task may go there."""
        if not candidate.fits(job.spec) or not candidate.machine.allowed(job.spec):
            return False
        if self._held_back(job, candidate) and not self.impatient(job):
            return False
        return self._zone_admits(job, candidate.machine)

    def _held_back(self, job: Job, candidate: FreeCapacity) -> bool:
        """Whether the room is left to other work, or the job has failed there."""
        reservation = candidate.reservation
        if reservation is not None and not self._may_use(job, reservation):
            return True
        if candidate.kept_for_on_demand and job.spec.spot and not self._large(job, candidate):
            return True
        if not self._leaves_urgent_reserve(job, 1):
            return True
        return candidate.machine.id in job.failed_on and not self._failed_everywhere(job)

    def _may_use(self, job: Job, reservation: Reservation) -> bool:
        """Whether the job may use a machine that is being emptied for this one."""
        if reservation.job == job.ref:
            return True
        if self.gang_goes_first(job):
            # Its own turn has come; of two gangs the older has reserved what both would use.
            return not reservation.gang
        waited = self._now - reservation.submitted
        return job.spec.priority > reservation.priority and waited < RESERVED_FROM_ALL_S

    def _large(self, job: Job, candidate: FreeCapacity) -> bool:
        """Whether a task of it needs much of the machine, and so finds few others."""
        return job.spec.cpus >= LARGE_SHARE * candidate.machine.type.cpus

    def _leaves_urgent_reserve(self, job: Job, count: int) -> bool:
        if job.spec.priority >= Priority.HIGH or self.gang_goes_first(job):
            return True
        reserve = self._backfill_reserve if job.backfill else self._urgent_reserve
        return self._free_cpus - count * job.spec.cpus >= reserve

    def admits_all(self, job: Job, count: int) -> bool:
        """Whether so many tasks at once keep to the team's limit and leave room to urgent work."""
        if not self._leaves_urgent_reserve(job, count) and not self.impatient(job):
            return False
        return self.team_admits(job, count)

    def zone_left(self, job: Job, zone: Zone) -> int:
        """How many more tasks of the job may be in the zone."""
        spec = job.spec
        if not self._cluster.zone_allows(spec, zone):
            return 0
        if not spec.spread:
            return spec.tasks
        mine = self._zones.get(job.ref, {})
        return spec.per_zone() - self._cluster.in_zone(spec, zone) - mine.get(zone, 0)

    def _failed_everywhere(self, job: Job) -> bool:
        """It failed on every machine that it could be on: then any of them may try again."""
        return all(
            candidate.machine.id in job.failed_on
            for candidate in self.candidates
            if candidate.machine.allowed(job.spec)
            and candidate.machine.type.has_capacity_for(job.spec)
        )

    def _zone_admits(self, job: Job, machine: Machine) -> bool:
        spec = job.spec
        if not spec.one_zone and not spec.spread:
            return True
        mine = self._zones.get(job.ref, {})
        if not self._cluster.zone_allows(spec, machine.zone):
            return False
        if spec.one_zone and any(zone != machine.zone for zone in mine):
            return False
        if spec.spread:
            before = self._cluster.in_zone(spec, machine.zone)
            return before + mine.get(machine.zone, 0) < spec.per_zone()
        return True

    def team_admits(self, job: Job, count: int = 1) -> bool:
        """Whether so many more tasks keep the job's team within its limit."""
        limits = self._teams.get(job.spec.team)
        if limits is None:
            return False
        used = self._cpus.get(job.spec.team, 0.0) + (count - 1) * job.spec.cpus
        cpus = used + job.spec.cpus
        gpus = self._gpus.get(job.spec.team, 0.0) + count * job.spec.gpus
        most = limits.cpus_max
        saved = job.spec.priority < Priority.HIGH and not self.impatient(job)
        if saved and used > 0.5 * most > 0.0:
            # A limit is room like any other: the last of it is for urgent work.
            most -= min(2.0 * self._urgent_reserve, QUOTA_SHARE * most)
        return within_limit(cpus, most) and within_limit(gpus, limits.gpus_max)

    def take(self, job: Job, candidate: FreeCapacity) -> None:
        """Place one task of the job there."""
        spec = job.spec
        candidate.take(job.spec)
        self._free_cpus -= spec.cpus
        self._taken[job.ref] = self._taken.get(job.ref, 0) + 1
        self._cpus[spec.team] = self._cpus.get(spec.team, 0.0) + spec.cpus
        self._gpus[spec.team] = self._gpus.get(spec.team, 0.0) + spec.gpus
        if spec.one_zone or spec.spread:
            zones = self._zones.setdefault(job.ref, {})
            zones[candidate.machine.zone] = zones.get(candidate.machine.zone, 0) + 1
        key = (candidate.machine.id, spec.image)
        if key not in self._fetches:
            self._fetches[key] = self.fetch_s(job, candidate)
            candidate.fetching_s = max(candidate.fetching_s, self._fetches[key])

    def fetch_s(self, job: Job, candidate: FreeCapacity) -> float:
        """How long the machine will still need for the job's image, behind its other fetches."""
        machine = candidate.machine
        ready = machine.images.get(job.spec.image)
        if ready is not None:
            return max(0.0, ready - self._now)
        fetching = self._fetches.get((machine.id, job.spec.image))
        if fetching is not None:
            return fetching
        return candidate.fetching_s + fetch_time(job.spec, machine.type)
