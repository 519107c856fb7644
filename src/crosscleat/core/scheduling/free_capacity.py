"""The free capacity of machines, and how many tasks of a job fit into it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from ..model.cloud import MachineType
from ..model.ids import Zone
from ..model.job_spec import JobSpec
from ..model.quantities import MAX_COUNT, ROUNDING_TOLERANCE, whole_count
from ..state.machine import Machine
from .assignments import Reservation


@dataclass(slots=True)
class FreeCapacity:
    """The capacity of a machine that is not allocated, less what the current plan has taken.

    Scheduling cycles, preemption and scale-out each create their own instances from the machine's
    allocations. Amounts may be below zero due to rounding, or while a machine's type is unknown.
    """

    machine: Machine
    cpus: float
    gpus: float
    memory_gb: float
    fetching_s: float = 0.0
    """Seconds until the machine's image fetches end; a cycle sets it for machines that it ranks."""
    reservation: Reservation | None = None
    kept_for_on_demand: bool = False
    """Kept for jobs that may not use spot machines."""

    @classmethod
    def of(cls, machine: Machine) -> FreeCapacity:
        """The capacity of the machine that its known allocations leave free."""
        machine_type = machine.type
        return cls(
            machine,
            machine_type.cpus - machine.used_cpus,
            machine_type.gpus - machine.used_gpus,
            machine_type.memory_gb - machine.used_memory,
        )

    def copy_amounts(self) -> FreeCapacity:
        """Copy the amounts for a trial plan, without reservations and fetches."""
        return FreeCapacity(self.machine, self.cpus, self.gpus, self.memory_gb)

    def fits(self, spec: JobSpec) -> bool:
        """Whether one more task of the job fits."""
        return (
            spec.cpus <= self.cpus + ROUNDING_TOLERANCE
            and spec.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
            and spec.gpus <= self.gpus + ROUNDING_TOLERANCE
        )

    def count_fitting(self, spec: JobSpec) -> int:
        """How many more tasks of the job fit; may be negative if an amount is."""
        return count_fitting(spec, self.cpus, self.memory_gb, self.gpus)

    def take(self, spec: JobSpec) -> None:
        """Take the capacity of one task of the job."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb

    def take_up_to(self, spec: JobSpec, max_count: int) -> int:
        """Take the capacity of as many tasks as fit, up to `max_count`; return their number.

        The capacity of all these tasks is subtracted at once. Calling `take` for each task may
        give a different result due to rounding.
        """
        count = max(0, min(max_count, self.count_fitting(spec)))
        if count > 0:
            self.cpus -= count * spec.cpus
            self.memory_gb -= count * spec.memory_gb
            self.gpus -= count * spec.gpus
        return count

    def give_back(self, spec: JobSpec) -> None:
        """Return the capacity of one task of the job."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb


class HasMachine(Protocol):
    """An item that refers to one machine, or to several machines of one zone."""

    @property
    def machine(self) -> Machine:
        """A machine in the zone of the item."""


MachineItem = TypeVar("MachineItem", bound=HasMachine)


def group_by_zone(items: Iterable[MachineItem]) -> list[list[MachineItem]]:
    """Group the items by zone, with the zones and the items of each in order of appearance."""
    zones: dict[Zone, list[MachineItem]] = {}
    for item in items:
        zones.setdefault(item.machine.zone, []).append(item)
    return list(zones.values())


def count_fitting(spec: JobSpec, cpus: float, memory_gb: float, gpus: float) -> int:
    """How many of the job's tasks fit in this amount of free capacity, up to `MAX_COUNT`."""
    ratios = ((spec.cpus, cpus), (spec.memory_gb, memory_gb), (spec.gpus, gpus))
    smallest = min((available / need for need, available in ratios if need > 0), default=MAX_COUNT)
    return whole_count(smallest)


def fetch_time(spec: JobSpec, machine_type: MachineType) -> float:
    """Seconds that a machine of this type takes to fetch the job's image."""
    rate = machine_type.fetch_gb_per_s
    return spec.image_gb / rate if rate > 0 else 0.0
