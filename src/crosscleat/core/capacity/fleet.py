"""Which machines to rent and which to return."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..model.cloud import MachineType
from ..model.deployment import TeamLimits, TuningOptions, is_backfill
from ..model.ids import Seconds, Team, TypeName, Zone
from ..model.job_spec import JobSpec, Priority
from ..scheduling.free_capacity import count_fitting, fails_repeatedly, fetch_time
from ..scheduling.preemption import COUNTED_START_S
from ..state.jobs import Job
from ..state.machine import Machine
from .demand import Demand
from .pools import Pool, PoolKey

MAX_PER_RENTAL = 50
"""Machines of one request, by the protocol."""

MAX_PRICED = 100
"""Waiting jobs, the most urgent first, for which one rental looks for the cheapest machines."""

FLOODED = 0.5

PRESSING_BOOTS = 0.5

PRESSING_SLACK = 0.2

EXPENSIVE_PRICE_RATIO = 1.6

EXPENSIVE_IDLE_S = 4.0

SERVED_S = 90.0
"""Tasks without a home for so long have machines rented for them even if dear and late."""

SLOWEST_BOOT = 1.5
"""The longest usual boot, as a multiple of what the machine type says."""

BOOT_SLACK_S = 2.0
"""For the rental request itself and the first report."""

MIN_CHARGE_S = 60.0
"""A machine that is deleted costs at least so long."""


@dataclass(frozen=True, slots=True)
class ScaleOutRequest:
    """A batch to rent from one pool."""

    pool: PoolKey
    count: int
    overdue: bool = False
    """For work that has waited so long that no budget may hold it back: all is served."""


@dataclass(slots=True)
class Space:
    """What a machine has left while waiting tasks are counted into it."""

    machine: Machine
    cpus: float
    memory_gb: float
    gpus: float

    @classmethod
    def of(cls, machine: Machine) -> Space:
        """The room that its tasks leave on the machine."""
        kind = machine.type
        return cls(
            machine,
            kind.cpus - machine.used_cpus,
            kind.memory_gb - machine.used_memory,
            kind.gpus - machine.used_gpus,
        )

    def house(self, spec: JobSpec, most: int) -> int:
        """Take as many tasks as fit, up to `most`."""
        count = min(most, count_fitting(spec, self.cpus, self.memory_gb, self.gpus))
        if count > 0:
            self.cpus -= count * spec.cpus
            self.memory_gb -= count * spec.memory_gb
            self.gpus -= count * spec.gpus
        return count


def _suits(job: Job, space: Space) -> bool:
    spec = job.spec
    return (
        spec.cpus <= space.cpus + 1e-9
        and spec.memory_gb <= space.memory_gb + 1e-9
        and space.machine.allowed(spec)
        and space.machine.id not in job.failed_on
    )


def _only_idle_room(job: Job) -> bool:
    """Backfill that has begun waits for room that is idle or cheap; all of it begins."""
    return job.backfill and job.begun


def _within_a_zone(job: Job, spaces: list[Space], count: int) -> list[Space]:
    """Where a gang whose tasks must be in one zone finds room for all; nowhere, if in none."""
    if not job.spec.one_zone:
        return spaces
    zones: dict[Zone, list[Space]] = {}
    for space in spaces:
        if _suits(job, space):
            zones.setdefault(space.machine.zone, []).append(space)
    for found in zones.values():
        if sum(count_fitting(job.spec, s.cpus, s.memory_gb, s.gpus) for s in found) >= count:
            return found
    return []


def ordinary(machines: Iterable[Machine]) -> float:
    """CPUs of those that are not taken back."""
    return sum(m.type.cpus for m in machines if not m.spot)


class Fleet:
    """Rents and returns; holds what is known of pools, whose capacity nobody publishes."""

    def __init__(
        self,
        tuning: TuningOptions,
        completion_target_s: Callable[[JobSpec], float],
        remaining_s: Callable[[Job], float],
    ) -> None:
        self._tuning = tuning
        self._completion_target_s = completion_target_s
        self._remaining_s = remaining_s
        self._pools: dict[PoolKey, Pool] = {}
        self.types: dict[TypeName, MachineType] = {}
        self.demand = Demand()
        self.risky = Demand()
        """Of jobs that a loss may make late: ordinary machines are kept for it."""
        self.firm = Demand()
        """Of jobs that may be on ordinary machines only."""

    def pool(self, key: PoolKey) -> Pool:
        """The pool with this key."""
        return self._pools.setdefault(key, Pool())

    def target_cpus(self) -> float:
        """Room to keep: the usual demand and its usual swings, and an urgent job's room.

        Not the present demand: a machine rented for a burst is up when most of it has passed,
        and is charged for a minute.
        """
        return self._target(self.demand, self.demand.mean())

    def spare_cpus(self) -> float:
        """Room beside the usual demand, for its usual swings."""
        return self._spare(self.demand, self.demand.mean())

    def _target(self, demand: Demand, usual: float) -> float:
        return usual + self._spare(demand, usual)

    def _spare(self, demand: Demand, usual: float) -> float:
        swings = self._tuning.swings * demand.spread()
        return max(swings, self._tuning.headroom * usual, demand.one_job())

    def ordinary_cpus(self, now: Seconds) -> float:
        """Of ordinary machines, the room to keep: for what is nearly always at risk, and, as the
        whole warm room is kept, for what may not use others."""
        usual = max(self.firm.mean(), self.firm.lately(now))
        return self.risky.steady(now) + self._target(self.firm, usual)

    def arrived(self, job: Job, now: Seconds) -> None:
        """Count a job that came in the demand that room is kept for."""
        if job.spec.priority >= Priority.HIGH:
            self.demand.arrived(job, now)
        if not job.spec.spot:
            self.firm.arrived(job, now)

    def is_expensive(self, kind: MachineType, spot: bool) -> bool:
        """Whether a machine's CPUs cost well over the cheapest there are."""
        cheapest = min(
            (min(t.spot_price, t.price) / t.cpus for t in self.types.values() if t.cpus > 0),
            default=0.0,
        )
        return kind.price_for(spot) / max(kind.cpus, 1e-9) > EXPENSIVE_PRICE_RATIO * cheapest

    def wanted(
        self,
        jobs: Iterable[Job],
        teams: dict[Team, TeamLimits],
        team_cpus: dict[str, float],
        machines: Iterable[Machine],
        now: Seconds,
        risky_cpus: float = 0.0,
        firm_cpus: float = 0.0,
        backfill_cpus: float = 0.0,
    ) -> ScaleOutRequest | None:
        """The one batch to rent now, if any.

        No room is kept for backfill; `backfill_cpus` is what it uses of the team's CPUs.
        """
        waiting = sorted(
            (job for job in jobs if job.waiting_count() > 0 and not fails_repeatedly(job)),
            key=lambda job: (-job.spec.priority, job.submitted),
        )
        usable = [m for m in machines if self._counts(m, now)]
        used = dict(team_cpus)
        current = sum(team_cpus.values()) - backfill_cpus
        homeless: list[tuple[Job, int]] = []
        # Most machines are full, and stay out of it: else each job would look at all of them.
        least = min((job.spec.cpus for job in waiting), default=0.0) - 1e-9
        spaces = [space for machine in usable if (space := Space.of(machine)).cpus >= least]
        for job in waiting:
            spec = job.spec
            limit = teams[spec.team].cpus_max if spec.team in teams else 0.0
            count = job.waiting_count()
            if limit > 0 and spec.cpus > 0:
                room = limit - used.get(spec.team, 0.0)
                count = max(0, min(count, int(room / spec.cpus + 1e-9)))
            used[spec.team] = used.get(spec.team, 0.0) + count * spec.cpus
            if not job.backfill:
                current += count * spec.cpus
            filled = False
            for space in _within_a_zone(job, spaces, count) if job.gang else spaces:
                if count <= 0:
                    break
                if _suits(job, space):
                    count -= space.house(spec, count)
                    filled = filled or space.cpus < least
            if filled:
                spaces = [space for space in spaces if space.cpus >= least]
            if count > 0:
                homeless.append((job, count))
        self.demand.sample(current, now)
        self.risky.sample(risky_cpus, now)
        self.firm.sample(firm_cpus, now)
        capacity = sum(m.type.cpus for m in usable)
        lacking = sum(count * job.spec.cpus for job, count in homeless if not job.backfill)
        # Far more than there is room for, as at the start of a day: no burst passes so quickly.
        flooded = lacking > FLOODED * capacity
        pressing = [
            (job, count) for job, count in homeless if flooded or self._pressing(job, usable, now)
        ]
        return (
            self._for_tasks(pressing, now)
            or self._warm_room(capacity, now)
            or self._safe_room(self.ordinary_cpus(now) - ordinary(usable), now)
        )

    def _counts(self, machine: Machine, now: Seconds) -> bool:
        """Whether it is reckoned as room: up, or to come up in the usual time.

        One that takes longer may take several times as long, and work would wait for it.
        """
        if machine.decommissioning or machine.draining:
            return False
        if machine.booted:
            return True
        return now - machine.created_at <= SLOWEST_BOOT * machine.type.boot_s + BOOT_SLACK_S

    def _for_tasks(self, homeless: list[tuple[Job, int]], now: Seconds) -> ScaleOutRequest | None:
        """Machines of one pool for all the tasks that are best housed there."""
        wanted: PoolKey | None = None
        machines = 0.0
        overdue = False
        for job, count in homeless[:MAX_PRICED]:
            age = Seconds(now - job.submitted)
            found = self._pick(job, age, now)
            if found is not None and wanted in (None, found[0]):
                wanted = found[0]
                machines += count / found[1]
                overdue = overdue or (age > SERVED_S and not _only_idle_room(job))
        if wanted is None:
            return None
        return ScaleOutRequest(wanted, min(MAX_PER_RENTAL, math.ceil(machines)), overdue)

    def _warm_room(self, capacity: float, now: Seconds) -> ScaleOutRequest | None:
        """Room for what is usually asked for, kept ready on cheap machines.

        Dear ones only make up for what cheap ones can't hold of the mean, without its swings.
        """
        found = self._cheapest(
            self.target_cpus() - capacity,
            now,
            lambda kind, key: not self.is_expensive(kind, key.spot),
        )
        return found or self._cheapest(
            self.demand.usual(now) - capacity,
            now,
            lambda kind, key: self.is_expensive(kind, key.spot),
        )

    def _safe_room(self, cpus: float, now: Seconds) -> ScaleOutRequest | None:
        """Ordinary machines for what usually waits or runs of work that needs them."""
        return self._cheapest(cpus, now, lambda _, key: not key.spot)

    def _pressing(self, job: Job, usable: list[Machine], now: Seconds) -> bool:
        """Whether it has waited too long for room, or none of the machines can ever have it.

        A gang needs all its room at one time, which seldom frees by itself.
        """
        if job.gang:
            return True
        if not any(m.type.has_capacity_for(job.spec) and m.allowed(job.spec) for m in usable):
            return True
        boot_s = min(
            (k.boot_s for k in self.types.values() if k.has_capacity_for(job.spec)), default=0.0
        )
        slack = max(0.0, self._completion_target_s(job.spec) - job.spec.estimate_s)
        return now - job.submitted > min(PRESSING_BOOTS * boot_s, PRESSING_SLACK * slack)

    def _pick(self, job: Job, age: Seconds, now: Seconds) -> tuple[PoolKey, int] | None:
        """The cheapest pool for tasks that no rented machine can start, and how many fit on one.

        A dear machine is for work that it can still bring in on time, or that has waited so long
        that it must be served at any price.
        """
        spec = job.spec
        suited = [
            (kind, key)
            for kind in self.types.values()
            if kind.has_capacity_for(spec)
            for key in self._pools_of(kind)
            if (spec.spot or not key.spot) and spec.zone in (None, key.zone)
        ]
        # What may go nowhere but to dear machines has nothing to wait for.
        choosy = any(not self.is_expensive(kind, key.spot) for kind, key in suited)
        options = []
        for kind, key in suited:
            late = self._late(job, kind) < age < SERVED_S
            if not self.pool(key).open(now):
                continue
            if choosy and (late or _only_idle_room(job)) and self.is_expensive(kind, key.spot):
                continue
            per = max(1, count_fitting(spec, kind.cpus, kind.memory_gb, kind.gpus))
            options.append((kind.price_for(key.spot) / per, kind.cpus, key, per))
        if not options:
            return None
        _, _, pool, per = min(options, key=lambda option: option[:2])
        return pool, per

    def _late(self, job: Job, kind: MachineType) -> float:
        """The age from which renting such a machine can't complete the job's tasks on time."""
        spec = job.spec
        start_s = kind.boot_s + fetch_time(spec, kind)
        return self._completion_target_s(spec) - self._remaining_s(job) - start_s

    def _cheapest(
        self, cpus: float, now: Seconds, suits: Callable[[MachineType, PoolKey], bool]
    ) -> ScaleOutRequest | None:
        options = [
            (kind.price_for(key.spot) / max(kind.cpus, 1e-9), kind.cpus, key)
            for kind in self.types.values()
            if 0.0 < kind.cpus <= 2.0 * cpus
            for key in self._pools_of(kind)
            if self.pool(key).open(now) and suits(kind, key)
        ]
        if not options:
            return None
        _, size, key = min(options, key=lambda option: option[:2])
        return ScaleOutRequest(key, min(MAX_PER_RENTAL, max(1, int(cpus / size))))

    def _pools_of(self, kind: MachineType) -> list[PoolKey]:
        return [PoolKey(kind.name, zone, spot) for zone in kind.zones for spot in (True, False)]

    def scale_in_candidates(
        self, machines: Iterable[Machine], teams: dict[Team, TeamLimits], now: Seconds
    ) -> list[Machine]:
        """Machines that the warm room does not need, the dearest first: those that are idle, and
        dear ones that backfill alone keeps in use."""
        usable = [m for m in machines if m.up and not m.decommissioning and not m.surplus]
        capacity = sum(m.type.cpus for m in usable)
        unneeded = sorted(
            (m for m in usable if m.idle_since is not None or self._only_backfill(m, teams, now)),
            key=lambda m: -m.type.price_for(m.spot) / max(m.type.cpus, 1e-9),
        )
        found = []
        usual = self.demand.usual(now)
        warm = self.target_cpus()
        safe = ordinary(usable) - self.ordinary_cpus(now)
        for machine in unneeded:
            target = usual if self.is_expensive(machine.type, machine.spot) else warm
            paid = now - machine.created_at >= MIN_CHARGE_S
            if not machine.spot and safe < machine.type.cpus:
                continue
            if paid and self._rested(machine, now) and capacity - machine.type.cpus >= target:
                capacity -= machine.type.cpus
                safe -= 0.0 if machine.spot else machine.type.cpus
                found.append(machine)
        return found

    def _rested(self, machine: Machine, now: Seconds) -> bool:
        """Whether it has been idle for long enough, if it is idle."""
        is_expensive = self.is_expensive(machine.type, machine.spot)
        patience_s = EXPENSIVE_IDLE_S if is_expensive else self._tuning.idle_return_s
        return machine.idle_since is None or now - machine.idle_since >= patience_s

    def _only_backfill(self, machine: Machine, teams: dict[Team, TeamLimits], now: Seconds) -> bool:
        """Whether it is dear, and all that runs on it is backfill whose start counts by now."""
        return (
            bool(machine.allocations)
            and self.is_expensive(machine.type, machine.spot)
            and all(
                is_backfill(allocation.spec, teams)
                and allocation.running_since is not None
                and now - allocation.running_since > COUNTED_START_S
                for allocation in machine.allocations.values()
            )
        )
