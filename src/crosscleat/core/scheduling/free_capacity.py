"""What machines have left in one planning round, and small questions about tasks and room."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from ..model.cloud import MachineType
from ..model.ids import JobRef, MachineId, Seconds
from ..model.job_spec import JobSpec, Priority
from ..state.jobs import Job
from ..state.machine import Machine

ROUNDING = 1e-9
"""Sums of decimal amounts may be off by so much."""

TROUBLED_MACHINES = 2
"""A job that failed on so many machines and succeeded on none is tried one task at a time."""


class Assignment(msgspec.Struct, frozen=True):
    """One task of the job is to be placed on the machine."""

    job: JobRef
    machine: MachineId


class Reservation(NamedTuple):
    """The job for whose tasks a machine is being emptied."""

    job: JobRef
    priority: Priority
    submitted: Seconds
    gang: bool = False


@dataclass(slots=True)
class FreeCapacity:
    """What a machine still has in this round."""

    machine: Machine
    cpus: float
    gpus: float
    memory: float
    fetching_s: float = 0.0
    """Until its image fetches are over; set for machines with room only."""
    reservation: Reservation | None = None
    ordinary_only: bool = False
    """Left to work that may not use spot machines."""

    @classmethod
    def of(cls, machine: Machine) -> FreeCapacity:
        """The room that the placements known so far leave on the machine."""
        kind = machine.type
        return cls(
            machine,
            kind.cpus - machine.used_cpus,
            kind.gpus - machine.used_gpus,
            kind.memory_gb - machine.used_memory,
        )

    def fits(self, job: Job) -> bool:
        """Whether one more task of the job fits."""
        spec = job.spec
        return (
            spec.cpus <= self.cpus + ROUNDING
            and spec.memory_gb <= self.memory + ROUNDING
            and spec.gpus <= self.gpus + ROUNDING
        )

    def take(self, job: Job) -> None:
        """Use the room for one task."""
        self.cpus -= job.spec.cpus
        self.gpus -= job.spec.gpus
        self.memory -= job.spec.memory_gb

    def give_back(self, spec: JobSpec) -> None:
        """The room of one task is free again."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory += spec.memory_gb


@dataclass(slots=True)
class MachineGroup:
    """The rooms on machines of one type, zone and kind of rental: alike to every job."""

    machine: Machine
    """Any of them."""
    candidates: list[FreeCapacity] = field(default_factory=list)
    reserved: int = 0


def within(amount: float, limit: float) -> bool:
    """Whether the amount keeps to the limit; a limit of 0 means none."""
    return limit <= 0 or amount <= limit + ROUNDING


def troubled(job: Job) -> bool:
    """Whether the job fails wherever it is tried."""
    return not job.succeeded and len(job.failed_on) >= TROUBLED_MACHINES


def fetch_time(spec: JobSpec, kind: MachineType) -> float:
    """Seconds that a machine of this type takes to fetch the job's image."""
    return spec.image_gb / kind.fetch_gb_per_s if kind.fetch_gb_per_s > 0 else 0.0


def fitting(spec: JobSpec, cpus: float, memory_gb: float, gpus: float) -> int:
    """How many of the job's tasks fit in so much room."""
    ratios = ((spec.cpus, cpus), (spec.memory_gb, memory_gb), (spec.gpus, gpus))
    return int(
        min((available / need for need, available in ratios if need > 0), default=1e6) + ROUNDING
    )
