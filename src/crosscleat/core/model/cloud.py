"""Machine types and machines as the cloud API describes them."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from .ids import MachineId, TypeName, Zone
from .job_spec import JobSpec

HOUR_S = 3600.0
"""Seconds in an hour, the unit of time of prices."""

MIN_DIVISOR = 1e-6
"""Lower bound of amounts by which others are divided, unless they are 0."""

MAX_AMOUNT = 1e9
"""Upper bound of all amounts of a machine type."""


@dataclass(frozen=True, slots=True)
class MachineType:
    """A machine type as the cloud describes it."""

    name: TypeName
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[Zone, ...]

    def has_valid_amounts(self) -> bool:
        """Whether no amount is negative, infinite, no number, or so small that quotients overflow.

        Amounts of 0 are valid; nothing is divided by them.
        """
        divisors = (self.cpus, self.gpus, self.memory_gb, self.fetch_gb_per_s)
        others = (self.cache_gb, self.price, self.spot_price, self.boot_s)
        return all(
            divisor == 0.0 or MIN_DIVISOR <= divisor <= MAX_AMOUNT for divisor in divisors
        ) and all(0.0 <= amount <= MAX_AMOUNT for amount in others)

    def price_for(self, spot: bool) -> float:
        """Return the price per hour of a spot machine or an on-demand machine."""
        return self.spot_price if spot else self.price

    def has_capacity_for(self, job: JobSpec) -> bool:
        """Whether one task of the job fits on an empty machine of this type."""
        return (
            job.cpus <= self.cpus
            and job.gpus <= self.gpus
            and job.memory_gb <= self.memory_gb
            and (job.types is None or self.name in job.types)
            and (job.zone is None or job.zone in self.zones)
        )


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine in the cloud's machine list, which lags by some seconds."""

    id: MachineId
    address: str
    type: TypeName
    zone: Zone
    spot: bool
    state: str
    age_s: float
