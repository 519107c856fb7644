"""Which machines to rent next, and which to return."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

from ..model.cloud import MachineType
from ..model.deployment import TeamLimits, TuningOptions, is_backfill
from ..model.ids import MachineId, Seconds, Team, TypeName
from ..scheduling.preemption import MIN_COUNTED_RUN_S
from ..scheduling.zone_limits import ZoneLimits
from ..state.jobs import Job
from ..state.machine import Machine
from .capacity_targets import CapacityTargets, CapacityUse
from .pool_catalog import (
    MAX_WAIT_S,
    CompletionEstimates,
    PoolCatalog,
    only_cheap_capacity,
    price_per_cpu,
)
from .pools import MAX_PER_RENTAL, PoolKey, ScaleOutRequest
from .unplaced_work import UnplacedTasks, WaitingWork, find_unplaced_work
from .waiting_reasons import HOPELESS, WaitingReason, WaitingReport

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
        self._held_for_gangs: frozenset[MachineId] = frozenset()
        """Machines with free capacity that a gang counts on until it has the rest."""

    # Scaling out

    def next_scale_out(
        self,
        jobs: Iterable[Job],
        machines: Iterable[Machine],
        teams: Mapping[Team, TeamLimits],
        use: CapacityUse,
        now: Seconds,
        report: WaitingReport | None = None,
    ) -> ScaleOutRequest | None:
        """The one rental to request now, if any; also takes a sample of the demand.

        Waiting work comes first, then the warm capacity, then the on-demand reserve. `report` is
        told for which tasks nothing is rented, and why.
        """
        report = report or WaitingReport(now, wanted=False)
        usable = [machine for machine in machines if _counts_as_capacity(machine, now)]
        work = find_unplaced_work(jobs, usable, teams, use, report)
        self.targets.sample(work.requested_cpus, use, now)
        capacity = sum(machine.type.cpus for machine in usable)
        impatient = self._impatient(work, usable, capacity, now, report)
        for_unplaced = self._for_unplaced(work, impatient, now, report)
        self._held_for_gangs = work.machines_of_gangs()
        return (
            for_unplaced
            or self._for_warm_capacity(capacity, now)
            or self._for_on_demand_reserve(on_demand_cpus(usable), now)
        )

    def _impatient(
        self,
        work: WaitingWork,
        usable: list[Machine],
        capacity: float,
        now: Seconds,
        report: WaitingReport,
    ) -> list[UnplacedTasks]:
        """The unplaced tasks that machines are rented for: those that can't wait for others' end.

        With far more work than capacity, as at the start of a day, that is all of them.
        """
        overload = work.lacking_cpus() > OVERLOAD_SHARE * capacity
        if overload:
            return work.unplaced
        kinds = {(one.type.name, one.zone, one.spot): one for one in usable}
        found = []
        for unplaced in work.unplaced:
            if self._is_impatient(unplaced.job, kinds.values(), work.zones, now):
                found.append(unplaced)
            else:
                report.add(unplaced.job, unplaced.tasks, WaitingReason.PATIENT)
        return found

    def _is_impatient(
        self, job: Job, kinds: Collection[Machine], zones: ZoneLimits, now: Seconds
    ) -> bool:
        """Whether it has waited for too long, or none of the machines can ever hold its tasks.

        A gang needs capacity for all its tasks at one time, which seldom becomes free by itself.
        `kinds` are one machine of each type, zone and market.
        """
        spec = job.spec
        if job.is_gang:
            return True
        if not any(
            one.type.has_capacity_for(spec) and one.allows(spec) and zones.admits(spec, one.zone)
            for one in kinds
        ):
            return True
        boot_s = min(
            (found.boot_s for found in self.types.values() if found.has_capacity_for(spec)),
            default=0.0,
        )
        slack_s = max(0.0, self._estimates.completion_target_s(spec) - spec.estimate_s)
        patience_s = min(PATIENCE_BOOT_SHARE * boot_s, PATIENCE_SLACK_SHARE * slack_s)
        return now - job.submitted > patience_s

    def _for_unplaced(
        self, work: WaitingWork, impatient: list[UnplacedTasks], now: Seconds, report: WaitingReport
    ) -> ScaleOutRequest | None:
        """Machines of the most urgent job's cheapest pool, for all whose cheapest it is."""
        pool: PoolKey | None = None
        machines = 0.0
        overdue = False
        for unplaced in impatient[:MAX_PRICED]:
            job, tasks = unplaced
            offer = self.catalog.cheapest_for_job(unplaced, work.zones, now)
            if isinstance(offer, WaitingReason):
                report.add(job, tasks, offer)
                if offer in HOPELESS:
                    work.gang_machines.pop(job.ref, None)
            elif pool in (None, offer.pool):
                pool = offer.pool
                machines += min(tasks, offer.max_tasks) / offer.tasks_per_machine
                overdue = overdue or (
                    now - job.submitted > MAX_WAIT_S and not only_cheap_capacity(job)
                )
            else:
                report.add(job, tasks, WaitingReason.NOT_FIRST)
        for unplaced in impatient[MAX_PRICED:]:
            report.add(unplaced.job, unplaced.tasks, WaitingReason.NOT_FIRST)
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
        """Machines that no waiting gang, warm capacity or on-demand reserve needs.

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
                if machine.id not in self._held_for_gangs
                and (machine.idle_since is not None or self._only_backfill(machine, teams, now))
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
                and now - allocation.running_since > MIN_COUNTED_RUN_S
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
