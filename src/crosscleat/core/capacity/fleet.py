"""Decides which machines to rent next and which to return."""

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
    OVERDUE_WAIT_S,
    CompletionEstimates,
    PoolCatalog,
    price_per_cpu,
    uses_only_cheap_capacity,
)
from .pools import MAX_PER_RENTAL, PoolKey, ScaleOutRequest
from .unplaced_work import UnplacedTasks, WaitingWork, find_unplaced_work
from .waiting_reasons import INDEFINITE_REASONS, WaitingReason, WaitingReport

MAX_PRICED_JOBS = 100
"""Maximum number of waiting jobs, the most urgent ones, for which a rental looks up the cheapest
pool."""

OVERLOAD_SHARE = 0.5
"""Unplaced work above this share of the capacity is more than a burst that passes by itself."""

MAX_WAIT_BOOT_SHARE = 0.5
"""A job waits for free capacity for at most this share of the shortest boot time of a suitable
machine."""

MAX_WAIT_SLACK_SHARE = 0.2
"""A job waits for free capacity for at most this share of its slack, which is its completion target
less its estimated run time."""

EXPENSIVE_IDLE_S = 4.0
"""Idle time in seconds after which an expensive machine is returned."""

USUAL_BOOT_FACTOR = 1.5
"""Longest usual boot time, as a multiple of the boot time of the machine type."""

BOOT_SLACK_S = 2.0
"""Seconds added to the longest usual boot time for the rental request and the first heartbeat."""

MIN_CHARGE_S = 60.0
"""Minimum time in seconds that is charged for a machine, even if it is deleted earlier."""


def on_demand_cpus(machines: Iterable[Machine]) -> float:
    """CPUs of the on-demand machines, which the cloud does not reclaim."""
    return sum(machine.type.cpus for machine in machines if not machine.spot)


class Fleet:
    """Decides on rentals and returns by the demand and by the results of past rentals."""

    def __init__(
        self,
        tuning: TuningOptions,
        types: dict[TypeName, MachineType],
        estimates: CompletionEstimates,
    ) -> None:
        """`types` is updated in place when prices change, and may be empty at first."""
        self._tuning = tuning
        self._estimates = estimates
        self.types = types
        self.catalog = PoolCatalog(types, estimates)
        self.targets = CapacityTargets(tuning)
        self._held_for_gangs: frozenset[MachineId] = frozenset()
        """Machines with free capacity for a part of a waiting gang, kept until it has the rest."""

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
        """The rental to request now, or None; also records a sample of the demand.

        Waiting work comes first, then the warm capacity, then the on-demand reserve. `report`
        receives the tasks for which nothing is rented, with the reasons.
        """
        report = report or WaitingReport(now, wanted=False)
        usable = [machine for machine in machines if _counts_as_capacity(machine, now)]
        work = find_unplaced_work(jobs, usable, teams, use, report)
        self.targets.sample(work.requested_cpus, use, now)
        capacity = sum(machine.type.cpus for machine in usable)
        needing_machines = self._tasks_needing_machines(work, usable, capacity, now, report)
        for_unplaced = self._for_unplaced(work, needing_machines, now, report)
        self._held_for_gangs = work.machines_of_gangs()
        return (
            for_unplaced
            or self._for_warm_capacity(capacity, now)
            or self._for_on_demand_reserve(on_demand_cpus(usable), now)
        )

    def _tasks_needing_machines(
        self,
        work: WaitingWork,
        usable: list[Machine],
        capacity: float,
        now: Seconds,
        report: WaitingReport,
    ) -> list[UnplacedTasks]:
        """The unplaced tasks to rent machines for, instead of waiting for other tasks to end.

        These are all tasks if there is far more work than capacity, as at the start of a day.
        """
        overload = work.lacking_cpus() > OVERLOAD_SHARE * capacity
        if overload:
            return work.unplaced
        kinds = {(machine.type.name, machine.zone, machine.spot): machine for machine in usable}
        needing_machines = []
        for unplaced in work.unplaced:
            if self._needs_machines(unplaced.job, kinds.values(), work.zones, now):
                needing_machines.append(unplaced)
            else:
                report.add(unplaced.job, unplaced.tasks, WaitingReason.AWAITS_OTHER_TASKS)
        return needing_machines

    def _needs_machines(
        self, job: Job, kinds: Collection[Machine], zones: ZoneLimits, now: Seconds
    ) -> bool:
        """Whether the job has waited for too long, or no rented machine can ever run its tasks.

        Always true for a gang: it needs capacity for all its tasks at the same time, which seldom
        becomes free by itself. `kinds` has one machine of each type, zone and market (spot or
        on-demand).
        """
        spec = job.spec
        if job.is_gang:
            return True
        if not any(
            machine.type.has_capacity_for(spec)
            and machine.allows(spec)
            and zones.admits(spec, machine.zone)
            for machine in kinds
        ):
            return True
        boot_s = min(
            (
                machine_type.boot_s
                for machine_type in self.types.values()
                if machine_type.has_capacity_for(spec)
            ),
            default=0.0,
        )
        slack_s = max(0.0, self._estimates.completion_target_s(spec) - spec.estimate_s)
        max_wait_s = min(MAX_WAIT_BOOT_SHARE * boot_s, MAX_WAIT_SLACK_SHARE * slack_s)
        return now - job.submitted > max_wait_s

    def _for_unplaced(
        self,
        work: WaitingWork,
        needing_machines: list[UnplacedTasks],
        now: Seconds,
        report: WaitingReport,
    ) -> ScaleOutRequest | None:
        """A rental from the cheapest pool of the most urgent job.

        It has machines for the tasks of all jobs with the same cheapest pool.
        """
        pool: PoolKey | None = None
        machine_count = 0.0
        overdue = False
        for unplaced in needing_machines[:MAX_PRICED_JOBS]:
            job, tasks = unplaced
            offer = self.catalog.cheapest_for_job(unplaced, work.zones, now)
            if isinstance(offer, WaitingReason):
                report.add(job, tasks, offer)
                if offer in INDEFINITE_REASONS:
                    work.gang_machines.pop(job.ref, None)
            elif pool in (None, offer.pool):
                pool = offer.pool
                machine_count += min(tasks, offer.max_tasks) / offer.tasks_per_machine
                overdue = overdue or (
                    now - job.submitted > OVERDUE_WAIT_S and not uses_only_cheap_capacity(job)
                )
            else:
                report.add(job, tasks, WaitingReason.OTHER_RENTAL_FIRST)
        for unplaced in needing_machines[MAX_PRICED_JOBS:]:
            report.add(unplaced.job, unplaced.tasks, WaitingReason.OTHER_RENTAL_FIRST)
        if pool is None:
            return None
        return ScaleOutRequest(pool, min(MAX_PER_RENTAL, math.ceil(machine_count)), overdue)

    def _for_warm_capacity(self, capacity: float, now: Seconds) -> ScaleOutRequest | None:
        """A rental that keeps capacity ready for the usual demand, on inexpensive machines.

        If no inexpensive machine can be rented, expensive ones are, but only for the sustained
        demand.
        """
        request = self.catalog.cheapest_capacity(
            self.targets.warm_cpus() - capacity,
            now,
            lambda machine_type, key: not self.catalog.is_expensive(machine_type, key.spot),
        )
        return request or self.catalog.cheapest_capacity(
            self.targets.demand.sustained(now) - capacity,
            now,
            lambda machine_type, key: self.catalog.is_expensive(machine_type, key.spot),
        )

    def _for_on_demand_reserve(self, present_cpus: float, now: Seconds) -> ScaleOutRequest | None:
        """A rental of on-demand machines for the usual demand of work that needs them.

        `present_cpus` are the CPUs of the on-demand machines that are rented now.
        """
        lacking = self.targets.on_demand_cpus(now) - present_cpus
        return self.catalog.cheapest_capacity(lacking, now, lambda _, key: not key.spot)

    # Scaling in

    def scale_in_candidates(
        self, machines: Iterable[Machine], teams: dict[Team, TeamLimits], now: Seconds
    ) -> list[Machine]:
        """Machines to return, the most expensive first.

        They are idle, or expensive and in use by backfill alone, and neither a waiting gang nor
        the warm capacity nor the on-demand reserve needs them.
        """
        usable = [
            machine
            for machine in machines
            if machine.has_sent_heartbeat and not machine.decommissioning and not machine.surplus
        ]
        capacity = sum(machine.type.cpus for machine in usable)
        unneeded = sorted(
            (
                machine
                for machine in usable
                if machine.id not in self._held_for_gangs
                and (
                    machine.idle_since is not None
                    or self._is_returnable_while_busy(machine, teams, now)
                )
            ),
            key=lambda machine: -price_per_cpu(machine.type, machine.spot),
        )
        candidates = []
        sustained = self.targets.demand.sustained(now)
        warm = self.targets.warm_cpus()
        reserve_excess = on_demand_cpus(usable) - self.targets.on_demand_cpus(now)
        for machine in unneeded:
            cpus = machine.type.cpus
            target = sustained if self._is_expensive(machine) else warm
            min_charge_used = now - machine.created_at >= MIN_CHARGE_S
            if not machine.spot and reserve_excess < cpus:
                continue
            if (
                min_charge_used
                and self._idle_long_enough(machine, now)
                and capacity - cpus >= target
            ):
                capacity -= cpus
                reserve_excess -= 0.0 if machine.spot else cpus
                candidates.append(machine)
        return candidates

    def _idle_long_enough(self, machine: Machine, now: Seconds) -> bool:
        """Whether the machine is busy, or has been idle for long enough to be returned."""
        min_idle_s = EXPENSIVE_IDLE_S if self._is_expensive(machine) else self._tuning.idle_return_s
        return machine.idle_since is None or now - machine.idle_since >= min_idle_s

    def _is_returnable_while_busy(
        self, machine: Machine, teams: dict[Team, TeamLimits], now: Seconds
    ) -> bool:
        """Whether the machine is expensive and runs only backfill that may be stopped.

        Each task must have run for longer than `MIN_COUNTED_RUN_S`, so that its start counts for
        its user.
        """
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
    """Whether waiting work may count on the machine: it is up, or still within the usual boot time.

    A boot that takes longer than usual may take several times as long.
    """
    if machine.decommissioning or machine.draining:
        return False
    if machine.booted:
        return True
    max_boot_s = USUAL_BOOT_FACTOR * machine.type.boot_s + BOOT_SLACK_S
    return now - machine.created_at <= max_boot_s
