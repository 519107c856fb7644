"""Which machines to rent next, and which to return."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from ..model.cloud import MachineType
from ..model.deployment import TeamLimits, TuningOptions, is_backfill
from ..model.ids import Seconds, Team, TypeName
from ..scheduling.preemption import COUNTED_START_S
from ..state.jobs import Job
from ..state.machine import Machine
from .capacity_targets import CapacityTargets, CpuUse
from .pool_catalog import (
    MAX_WAIT_S,
    CompletionEstimates,
    PoolCatalog,
    only_cheap_capacity,
    price_per_cpu,
)
from .pools import MAX_PER_RENTAL, PoolKey, ScaleOutRequest
from .unplaced_work import UnplacedTasks, WaitingWork, find_unplaced_work

MAX_PRICED = 100
"""Waiting jobs, the most urgent first, for which one rental looks for the cheapest machines."""

OVERLOAD_SHARE = 0.5
"""Unplaced work over this share of the capacity is more than a burst that passes by itself."""

PATIENCE_BOOT_SHARE = 0.5
"""A job waits for free capacity for this share of the shortest boot of a suitable machine, ..."""

PATIENCE_SLACK_SHARE = 0.2
"""... or for this share of the time that its completion target leaves beside its run."""

EXPENSIVE_IDLE_S = 4.0
"""An expensive machine that is idle for so long is returned."""

USUAL_BOOT_FACTOR = 1.5
"""The longest usual boot, as a multiple of what the machine type says."""

BOOT_SLACK_S = 2.0
"""For the rental request itself and the first heartbeat."""

MIN_CHARGE_S = 60.0
"""A machine that is deleted costs at least as much as for this time."""


def on_demand_cpus(machines: Iterable[Machine]) -> float:
    """CPUs of the machines that the cloud does not reclaim."""
    return sum(machine.type.cpus for machine in machines if not machine.spot)


class Fleet:
    """Decides on rentals and returns, by the demand and by what the pools have shown."""

    def __init__(
        self,
        tuning: TuningOptions,
        types: dict[TypeName, MachineType],
        estimates: CompletionEstimates,
    ) -> None:
        """`types` may change later, as prices do; it may be empty at first."""
        self._tuning = tuning
        self._estimates = estimates
        self.types = types
        self.catalog = PoolCatalog(types, estimates)
        self.targets = CapacityTargets(tuning)

    # Scaling out

    def next_scale_out(
        self,
        jobs: Iterable[Job],
        machines: Iterable[Machine],
        teams: Mapping[Team, TeamLimits],
        use: CpuUse,
        now: Seconds,
    ) -> ScaleOutRequest | None:
        """The one rental to request now, if any; also takes a sample of the demand.

        Waiting work comes first, then the warm capacity, then the on-demand reserve.
        """
        usable = [machine for machine in machines if _counts_as_capacity(machine, now)]
        used_cpus = sum(use.by_team.values()) - use.backfill
        work = find_unplaced_work(jobs, usable, teams, use.by_team, used_cpus)
        self.targets.sample(work.requested_cpus, use, now)
        capacity = sum(machine.type.cpus for machine in usable)
        return (
            self._for_unplaced(self._impatient(work, usable, capacity, now), now)
            or self._for_warm_capacity(capacity, now)
            or self._for_on_demand_reserve(on_demand_cpus(usable), now)
        )

    def _impatient(
        self, work: WaitingWork, usable: list[Machine], capacity: float, now: Seconds
    ) -> list[UnplacedTasks]:
        """The unplaced tasks that machines are rented for: those that can't wait for others' end.

        With far more work than capacity, as at the start of a day, that is all of them.
        """
        overload = work.lacking_cpus() > OVERLOAD_SHARE * capacity
        return [
            unplaced
            for unplaced in work.unplaced
            if overload or self._is_impatient(unplaced.job, usable, now)
        ]

    def _is_impatient(self, job: Job, usable: list[Machine], now: Seconds) -> bool:
        """Whether it has waited for too long, or none of the machines can ever hold its tasks.

        A gang needs capacity for all its tasks at one time, which seldom becomes free by itself.
        """
        spec = job.spec
        if job.is_gang:
            return True
        if not any(one.type.has_capacity_for(spec) and one.allows(spec) for one in usable):
            return True
        boot_s = min(
            (found.boot_s for found in self.types.values() if found.has_capacity_for(spec)),
            default=0.0,
        )
        slack_s = max(0.0, self._estimates.completion_target_s(spec) - spec.estimate_s)
        patience_s = min(PATIENCE_BOOT_SHARE * boot_s, PATIENCE_SLACK_SHARE * slack_s)
        return now - job.submitted > patience_s

    def _for_unplaced(self, unplaced: list[UnplacedTasks], now: Seconds) -> ScaleOutRequest | None:
        """Machines of the most urgent job's cheapest pool, for all whose cheapest it is."""
        pool: PoolKey | None = None
        machines = 0.0
        overdue = False
        for job, tasks in unplaced[:MAX_PRICED]:
            age_s = now - job.submitted
            offer = self.catalog.cheapest_for_job(job, age_s, now)
            if offer is not None and pool in (None, offer.pool):
                pool = offer.pool
                machines += tasks / offer.tasks_per_machine
                overdue = overdue or (age_s > MAX_WAIT_S and not only_cheap_capacity(job))
        if pool is None:
            return None
        return ScaleOutRequest(pool, min(MAX_PER_RENTAL, math.ceil(machines)), overdue)

    def _for_warm_capacity(self, capacity: float, now: Seconds) -> ScaleOutRequest | None:
        """Capacity for the usual demand, kept ready on inexpensive machines.

        Expensive ones only make up for what those can't hold of the sustained demand.
        """
        found = self.catalog.cheapest_capacity(
            self.targets.warm_cpus() - capacity,
            now,
            lambda machine_type, key: not self.catalog.is_expensive(machine_type, key.spot),
        )
        return found or self.catalog.cheapest_capacity(
            self.targets.demand.sustained(now) - capacity,
            now,
            lambda machine_type, key: self.catalog.is_expensive(machine_type, key.spot),
        )

    def _for_on_demand_reserve(self, reserve: float, now: Seconds) -> ScaleOutRequest | None:
        """On-demand machines for the usual demand of work that needs them."""
        lacking = self.targets.on_demand_cpus(now) - reserve
        return self.catalog.cheapest_capacity(lacking, now, lambda _, key: not key.spot)

    # Scaling in

    def scale_in_candidates(
        self, machines: Iterable[Machine], teams: dict[Team, TeamLimits], now: Seconds
    ) -> list[Machine]:
        """Machines that neither the warm capacity nor the on-demand reserve needs.

        The most expensive come first. They are idle, or expensive and kept in use by backfill
        alone.
        """
        usable = [
            one
            for one in machines
            if one.has_sent_heartbeat and not one.decommissioning and not one.surplus
        ]
        capacity = sum(machine.type.cpus for machine in usable)
        unneeded = sorted(
            (
                machine
                for machine in usable
                if machine.idle_since is not None or self._only_backfill(machine, teams, now)
            ),
            key=lambda machine: -price_per_cpu(machine.type, machine.spot),
        )
        found = []
        sustained = self.targets.demand.sustained(now)
        warm = self.targets.warm_cpus()
        reserve_excess = on_demand_cpus(usable) - self.targets.on_demand_cpus(now)
        for machine in unneeded:
            cpus = machine.type.cpus
            target = sustained if self._is_expensive(machine) else warm
            paid = now - machine.created_at >= MIN_CHARGE_S
            if not machine.spot and reserve_excess < cpus:
                continue
            if paid and self._idle_long_enough(machine, now) and capacity - cpus >= target:
                capacity -= cpus
                reserve_excess -= 0.0 if machine.spot else cpus
                found.append(machine)
        return found

    def _idle_long_enough(self, machine: Machine, now: Seconds) -> bool:
        """Whether it has been idle for long enough, if it is idle."""
        patience_s = EXPENSIVE_IDLE_S if self._is_expensive(machine) else self._tuning.idle_return_s
        return machine.idle_since is None or now - machine.idle_since >= patience_s

    def _only_backfill(self, machine: Machine, teams: dict[Team, TeamLimits], now: Seconds) -> bool:
        """Whether it is expensive, and runs only backfill whose start counts for its user."""
        return (
            bool(machine.allocations)
            and self._is_expensive(machine)
            and all(
                is_backfill(allocation.spec, teams)
                and allocation.running_since is not None
                and now - allocation.running_since > COUNTED_START_S
                for allocation in machine.allocations.values()
            )
        )

    def _is_expensive(self, machine: Machine) -> bool:
        return self.catalog.is_expensive(machine.type, machine.spot)


def _counts_as_capacity(machine: Machine, now: Seconds) -> bool:
    """Whether work may wait for it: it is up, or is to come up within the usual time.

    A boot that takes longer may take several times as long.
    """
    if machine.decommissioning or machine.draining:
        return False
    if machine.booted:
        return True
    max_boot_s = USUAL_BOOT_FACTOR * machine.type.boot_s + BOOT_SLACK_S
    return now - machine.created_at <= max_boot_s
