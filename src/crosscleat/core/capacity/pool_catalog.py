"""Chooses the pool to rent from by machine types, prices and the results of past rentals."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from ..model.cloud import MachineType
from ..model.ids import Seconds, TypeName, Zone
from ..model.job_spec import JobSpec
from ..scheduling.free_capacity import count_fitting, fetch_time
from ..scheduling.zone_limits import ZoneLimits
from ..state.jobs import Job
from .pools import MAX_PER_RENTAL, Pool, PoolKey, ScaleOutRequest
from .unplaced_work import UnplacedTasks
from .waiting_reasons import WaitingReason

EXPENSIVE_PRICE_RATIO = 1.6
"""A CPU is expensive if it costs more than this times the cheapest one, on-demand or spot."""

OVERDUE_WAIT_S = 90.0
"""Waiting time in seconds after which expensive machines are rented for a job's tasks even if these
will complete late."""

MAX_SIZE_RATIO = 2.0
"""Maximum CPUs of a machine for general capacity, as a multiple of the lacking CPUs."""

MIN_CPUS = 1e-9
"""Keeps the price per CPU finite for machine types without CPUs."""


class CompletionEstimates(Protocol):
    """Completion targets and run-time estimates of jobs (`scheduling.scoring.Scorer`)."""

    def completion_target_s(self, spec: JobSpec, /) -> float:
        """Seconds after submission by which the job should be done."""

    def remaining_s(self, job: Job, /) -> float:
        """Estimated run time of the job's next attempt."""


class PoolOffer(NamedTuple):
    """A pool whose machines suit a job's tasks, with the price per task."""

    pool: PoolKey
    tasks_per_machine: int
    max_tasks: int
    """Maximum number of further tasks that the job's zone constraint admits in the pool's zone."""
    price_per_task: float
    """Price per hour of the share of the machine that one task takes."""
    cpus: float
    """CPUs of one machine."""


TypeInPool = tuple[MachineType, PoolKey]
"""A machine type and one of its pools."""


def price_per_cpu(machine_type: MachineType, spot: bool) -> float:
    """Price of one CPU per hour."""
    return machine_type.price_for(spot) / max(machine_type.cpus, MIN_CPUS)


def uses_only_cheap_capacity(job: Job) -> bool:
    """Whether no expensive machine is rented for the job, as it is backfill that has been placed.

    Every backfill job is started eventually, but continues only on idle or inexpensive capacity.
    """
    return job.backfill and job.ever_placed


class PoolCatalog:
    """The machine types and their pools, with the results of past rentals from each pool."""

    def __init__(self, types: dict[TypeName, MachineType], estimates: CompletionEstimates) -> None:
        """`types` is updated in place when prices change, and may be empty at first."""
        self.types = types
        self._estimates = estimates
        self._pools: dict[PoolKey, Pool] = {}

    def pool(self, key: PoolKey) -> Pool:
        """The pool with this key."""
        return self._pools.setdefault(key, Pool())

    def is_expensive(self, machine_type: MachineType, spot: bool) -> bool:
        """Whether a machine's CPUs cost well over the cheapest CPU on offer."""
        cheapest = min(
            (min(t.spot_price, t.price) / t.cpus for t in self.types.values() if t.cpus > 0),
            default=0.0,
        )
        return price_per_cpu(machine_type, spot) > EXPENSIVE_PRICE_RATIO * cheapest

    def cheapest_for_job(
        self, unplaced: UnplacedTasks, zones: ZoneLimits, now: Seconds
    ) -> PoolOffer | WaitingReason:
        """The cheapest open pool for tasks without free capacity, or the reason why there is none.

        Expensive machines are only rented for work that they can still complete on time, or that
        has waited for so long that it must start at any price. `zones` does not count these tasks.
        """
        job = unplaced.job
        suitable = self._suitable(job.spec)
        if not suitable:
            return WaitingReason.NO_TYPE
        admitted = [option for option in suitable if zones.admits(job.spec, option[1].zone)]
        if not admitted:
            return WaitingReason.NO_ZONE
        affordable = self._affordable(job, admitted, now)
        refusing: frozenset[Zone] = frozenset()
        if job.is_gang and job.spec.spread:
            pools = self._pools_by_zone(affordable)
            if not _zones_may_hold(unplaced, pools, zones, now):
                return WaitingReason.TOO_FEW_ZONES
            refusing = frozenset(zone for zone in pools if _all_refusing(pools[zone]))
        offer = self._cheapest_open(job.spec, affordable, refusing, zones, now)
        if offer is not None:
            return offer
        some_open = any(self.pool(key).is_open(now) for _, key in admitted)
        return WaitingReason.TOO_EXPENSIVE if some_open else WaitingReason.POOLS_CLOSED

    def _cheapest_open(
        self,
        spec: JobSpec,
        options: list[TypeInPool],
        refusing: frozenset[Zone],
        zones: ZoneLimits,
        now: Seconds,
    ) -> PoolOffer | None:
        """The cheapest of the open pools; those in `refusing` zones come first.

        For a gang in several zones, the zone that has refused is asked first: machines in the other
        zones would be paid for, returned and rented again while that zone has no capacity.
        """
        offers = (
            self._offer(spec, machine_type, key, zones)
            for machine_type, key in options
            if self.pool(key).is_open(now)
        )
        return min(
            offers,
            key=lambda offer: (
                offer.pool.zone not in refusing,
                offer.price_per_task,
                offer.cpus,
            ),
            default=None,
        )

    def _affordable(self, job: Job, options: list[TypeInPool], now: Seconds) -> list[TypeInPool]:
        """The options that are not too expensive for the job at its age."""
        # If only expensive machines suit the job, there is nothing cheaper to wait for.
        if all(self.is_expensive(machine_type, key.spot) for machine_type, key in options):
            return options
        age_s = now - job.submitted
        return [
            (machine_type, key)
            for machine_type, key in options
            if not (
                self._avoids_expensive(job, age_s, machine_type)
                and self.is_expensive(machine_type, key.spot)
            )
        ]

    def _pools_by_zone(self, options: list[TypeInPool]) -> dict[Zone, list[Pool]]:
        pools: dict[Zone, list[Pool]] = {}
        for _, key in options:
            pools.setdefault(key.zone, []).append(self.pool(key))
        return pools

    def cheapest_capacity(
        self, cpus: float, now: Seconds, suits: Callable[[MachineType, PoolKey], bool]
    ) -> ScaleOutRequest | None:
        """A rental from the cheapest open pool that `suits` accepts.

        It has as many machines as the lacking `cpus` fill, and at least one.
        """
        options = [
            (price_per_cpu(machine_type, key.spot), machine_type.cpus, key)
            for machine_type in self.types.values()
            if 0.0 < machine_type.cpus <= MAX_SIZE_RATIO * cpus
            for key in _pools_of(machine_type)
            if self.pool(key).is_open(now) and suits(machine_type, key)
        ]
        if not options:
            return None
        _, size, key = min(options, key=lambda option: option[:2])
        return ScaleOutRequest(key, min(MAX_PER_RENTAL, max(1, int(cpus / size))))

    def _suitable(self, spec: JobSpec) -> list[TypeInPool]:
        """The pools, open or not, on whose machines a task of the job fits and may run."""
        return [
            (machine_type, key)
            for machine_type in self.types.values()
            if machine_type.has_capacity_for(spec)
            for key in _pools_of(machine_type)
            if (spec.spot or not key.spot) and spec.zone in (None, key.zone)
        ]

    def _offer(
        self, spec: JobSpec, machine_type: MachineType, key: PoolKey, zones: ZoneLimits
    ) -> PoolOffer:
        fitting = count_fitting(spec, machine_type.cpus, machine_type.memory_gb, machine_type.gpus)
        count = max(1, fitting)
        price_per_task = machine_type.price_for(key.spot) / count
        max_tasks = zones.tasks_left(spec, key.zone)
        return PoolOffer(key, count, max_tasks, price_per_task, machine_type.cpus)

    def _avoids_expensive(self, job: Job, age_s: float, machine_type: MachineType) -> bool:
        """Whether the job should wait instead of having such a machine rented at a high price."""
        return self._latest_age_s(
            job, machine_type
        ) < age_s < OVERDUE_WAIT_S or uses_only_cheap_capacity(job)

    def _latest_age_s(self, job: Job, machine_type: MachineType) -> float:
        """The job's age from which a new machine of this type can't complete its tasks on time."""
        start_s = machine_type.boot_s + fetch_time(job.spec, machine_type)
        target_s = self._estimates.completion_target_s(job.spec)
        return target_s - self._estimates.remaining_s(job) - start_s


def _all_refusing(pools: list[Pool]) -> bool:
    """Whether each of a zone's pools has refused several times in a row."""
    return all(pool.refuses_repeatedly for pool in pools)


def _zones_may_hold(
    unplaced: UnplacedTasks, pools: dict[Zone, list[Pool]], zones: ZoneLimits, now: Seconds
) -> bool:
    """Whether the zones whose pools may have machines can hold all tasks that a gang lacks."""
    spec = unplaced.job.spec
    admitted = [
        zones.tasks_left(spec, zone)
        for zone, zone_pools in pools.items()
        if not _all_refusing(zone_pools) or any(pool.is_open(now) for pool in zone_pools)
    ]
    # A spread gang that must also be in one zone can never start.
    max_tasks = max(admitted, default=0) if spec.one_zone else sum(admitted)
    return max_tasks >= unplaced.tasks


def _pools_of(machine_type: MachineType) -> list[PoolKey]:
    return [
        PoolKey(machine_type.name, zone, spot)
        for zone in machine_type.zones
        for spot in (True, False)
    ]
