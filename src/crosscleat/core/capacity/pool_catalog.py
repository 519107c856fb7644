"""Which pool to rent from: machine types, their prices, and the pools that may have capacity."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from ..model.cloud import MachineType
from ..model.ids import Seconds, TypeName
from ..model.job_spec import JobSpec
from ..scheduling.free_capacity import count_fitting, fetch_time
from ..state.jobs import Job
from .pools import MAX_PER_RENTAL, Pool, PoolKey, ScaleOutRequest

EXPENSIVE_PRICE_RATIO = 1.6
"""A CPU that costs more than this times the cheapest one, on demand or spot, is expensive."""

MAX_WAIT_S = 90.0
"""Tasks that wait for longer have expensive machines rented for them even if these come late."""

MAX_SIZE_RATIO = 2.0
"""A machine for general capacity has at most so many times the CPUs that are lacking."""

MIN_CPUS = 1e-9
"""The price of a CPU stays finite for machine types without CPUs."""


class CompletionEstimates(Protocol):
    """When jobs are to be done, and how long they still run (`scheduling.scoring.Scorer`)."""

    def completion_target_s(self, spec: JobSpec, /) -> float:
        """Seconds after submission by which the job is to be done."""

    def remaining_s(self, job: Job, /) -> float:
        """Estimated run time of the job's next attempt."""


class PoolOffer(NamedTuple):
    """A pool whose machines suit a job's tasks."""

    pool: PoolKey
    tasks_per_machine: int
    price_per_task: float
    """Per hour, of the share of the machine that one task takes."""
    cpus: float
    """Of one machine."""


def price_per_cpu(machine_type: MachineType, spot: bool) -> float:
    """Price of one CPU per hour."""
    return machine_type.price_for(spot) / max(machine_type.cpus, MIN_CPUS)


def only_cheap_capacity(job: Job) -> bool:
    """Whether no expensive machine is rented for the job: backfill of which a task has started.

    Every backfill job starts in the end, but goes on only on capacity that is idle or inexpensive.
    """
    return job.backfill and job.ever_placed


class PoolCatalog:
    """The machine types, their pools, and what rentals have shown of the pools."""

    def __init__(self, types: dict[TypeName, MachineType], estimates: CompletionEstimates) -> None:
        """`types` may change later, as prices do; it may be empty at first."""
        self.types = types
        self._estimates = estimates
        self._pools: dict[PoolKey, Pool] = {}

    def pool(self, key: PoolKey) -> Pool:
        """The pool with this key."""
        return self._pools.setdefault(key, Pool())

    def is_expensive(self, machine_type: MachineType, spot: bool) -> bool:
        """Whether a machine's CPUs cost well over the cheapest there are."""
        cheapest = min(
            (min(t.spot_price, t.price) / t.cpus for t in self.types.values() if t.cpus > 0),
            default=0.0,
        )
        return price_per_cpu(machine_type, spot) > EXPENSIVE_PRICE_RATIO * cheapest

    def cheapest_for_job(self, job: Job, age_s: float, now: Seconds) -> PoolOffer | None:
        """The cheapest open pool for tasks that no rented machine can start; None if there is none.

        An expensive machine is only for work that it can still complete on time, or that has waited
        for so long that it must start at any price.
        """
        suitable = self._suitable(job.spec)
        # What only expensive machines suit has nothing cheaper to wait for.
        has_cheaper = any(not self.is_expensive(found, key.spot) for found, key in suitable)
        offers = [
            self._offer(job.spec, machine_type, key)
            for machine_type, key in suitable
            if self.pool(key).open(now)
            and not (
                has_cheaper
                and self._avoids_expensive(job, age_s, machine_type)
                and self.is_expensive(machine_type, key.spot)
            )
        ]
        return min(offers, key=lambda offer: (offer.price_per_task, offer.cpus), default=None)

    def cheapest_capacity(
        self, cpus: float, now: Seconds, suits: Callable[[MachineType, PoolKey], bool]
    ) -> ScaleOutRequest | None:
        """As many machines of the cheapest open pool that suits as the lacking CPUs fill."""
        options = [
            (price_per_cpu(machine_type, key.spot), machine_type.cpus, key)
            for machine_type in self.types.values()
            if 0.0 < machine_type.cpus <= MAX_SIZE_RATIO * cpus
            for key in _pools_of(machine_type)
            if self.pool(key).open(now) and suits(machine_type, key)
        ]
        if not options:
            return None
        _, size, key = min(options, key=lambda option: option[:2])
        return ScaleOutRequest(key, min(MAX_PER_RENTAL, max(1, int(cpus / size))))

    def _suitable(self, spec: JobSpec) -> list[tuple[MachineType, PoolKey]]:
        """The pools on whose machines a task of the job fits and may be, open or not."""
        return [
            (machine_type, key)
            for machine_type in self.types.values()
            if machine_type.has_capacity_for(spec)
            for key in _pools_of(machine_type)
            if (spec.spot or not key.spot) and spec.zone in (None, key.zone)
        ]

    def _offer(self, spec: JobSpec, machine_type: MachineType, key: PoolKey) -> PoolOffer:
        fitting = count_fitting(spec, machine_type.cpus, machine_type.memory_gb, machine_type.gpus)
        count = max(1, fitting)
        price_per_task = machine_type.price_for(key.spot) / count
        return PoolOffer(key, count, price_per_task, machine_type.cpus)

    def _avoids_expensive(self, job: Job, age_s: float, machine_type: MachineType) -> bool:
        """Whether the job rather waits than have such a machine rented at a high price."""
        return self._latest_age_s(job, machine_type) < age_s < MAX_WAIT_S or only_cheap_capacity(
            job
        )

    def _latest_age_s(self, job: Job, machine_type: MachineType) -> float:
        """The age from which renting such a machine can't complete the job's tasks on time."""
        start_s = machine_type.boot_s + fetch_time(job.spec, machine_type)
        target_s = self._estimates.completion_target_s(job.spec)
        return target_s - self._estimates.remaining_s(job) - start_s


def _pools_of(machine_type: MachineType) -> list[PoolKey]:
    return [
        PoolKey(machine_type.name, zone, spot)
        for zone in machine_type.zones
        for spot in (True, False)
    ]
