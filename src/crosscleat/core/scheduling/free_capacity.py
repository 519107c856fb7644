"""The free capacity of machines, and how many tasks of a job it holds."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from ..model.cloud import MachineType
from ..model.ids import Zone
from ..model.job_spec import JobSpec
from ..model.quantities import ROUNDING_TOLERANCE
from ..state.machine import Machine
from .assignments import Reservation

UNBOUNDED_TASKS = 1e6
"""How many tasks fit anywhere if one of them needs nothing."""


@dataclass(slots=True)
class FreeCapacity:
    """What of a machine no allocation takes, less what its user has counted into it since.

    Scheduling cycles, preemption and scale-out each make their own from the machine's allocations
    and use it up. Amounts may be below zero by rounding, or while a machine's type is unknown.
    """

    machine: Machine
    cpus: float
    gpus: float
    memory_gb: float
    fetching_s: float = 0.0
    """Seconds until its image fetches are over; a cycle sets it for machines that it ranks."""
    reservation: Reservation | None = None
    kept_for_on_demand: bool = False
    """Left to work that may not use spot machines."""

    @classmethod
    def of(cls, machine: Machine) -> FreeCapacity:
        """What the allocations known so far leave of the machine."""
        machine_type = machine.type
        return cls(
            machine,
            machine_type.cpus - machine.used_cpus,
            machine_type.gpus - machine.used_gpus,
            machine_type.memory_gb - machine.used_memory,
        )

    def amounts(self) -> FreeCapacity:
        """The same amounts to try something with; reservations and fetches are left out."""
        return FreeCapacity(self.machine, self.cpus, self.gpus, self.memory_gb)

    def fits(self, spec: JobSpec) -> bool:
        """Whether one more task of the job fits."""
        return (
            spec.cpus <= self.cpus + ROUNDING_TOLERANCE
            and spec.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
            and spec.gpus <= self.gpus + ROUNDING_TOLERANCE
        )

    def count_fitting(self, spec: JobSpec) -> int:
        """How many more tasks of the job fit; below zero if less than nothing is left."""
        return count_fitting(spec, self.cpus, self.memory_gb, self.gpus)

    def take(self, spec: JobSpec) -> None:
        """Use the capacity of one task."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb

    def take_up_to(self, spec: JobSpec, max_count: int) -> int:
        """Use the capacity of as many tasks as fit, up to `max_count`, and say of how many.

        It subtracts their sum. `take` for each of them may differ from that by rounding.
        """
        count = max(0, min(max_count, self.count_fitting(spec)))
        if count > 0:
            self.cpus -= count * spec.cpus
            self.memory_gb -= count * spec.memory_gb
            self.gpus -= count * spec.gpus
        return count

    def give_back(self, spec: JobSpec) -> None:
        """The capacity of one task is free again."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb


class HasMachine(Protocol):
    """Something that belongs to one machine, or to machines of one zone."""

    @property
    def machine(self) -> Machine:
        """The machine that tells the zone."""


OfMachine = TypeVar("OfMachine", bound=HasMachine)


def by_zone(items: Iterable[OfMachine]) -> list[list[OfMachine]]:
    """The items of each zone, in their order."""
    zones: dict[Zone, list[OfMachine]] = {}
    for item in items:
        zones.setdefault(item.machine.zone, []).append(item)
    return list(zones.values())


def count_fitting(spec: JobSpec, cpus: float, memory_gb: float, gpus: float) -> int:
    """How many of the job's tasks fit in so much free capacity."""
    ratios = ((spec.cpus, cpus), (spec.memory_gb, memory_gb), (spec.gpus, gpus))
    smallest = min(
        (available / need for need, available in ratios if need > 0), default=UNBOUNDED_TASKS
    )
    return int(smallest + ROUNDING_TOLERANCE)


def fetch_time(spec: JobSpec, machine_type: MachineType) -> float:
    """Seconds that a machine of this type takes to fetch the job's image."""
    rate = machine_type.fetch_gb_per_s
    return spec.image_gb / rate if rate > 0 else 0.0
