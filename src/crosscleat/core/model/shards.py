"""The data that the leader sends to a shard owner for planning, and the owner's proposal."""

from __future__ import annotations

import msgspec

from .ids import Image, JobRef, MachineId, Team, TypeName, Zone
from .job_spec import JobSpec, Priority


class JobView(msgspec.Struct, array_like=True, frozen=True):
    """The state of a waiting job, as far as a shard owner needs it."""

    spec: JobSpec
    age_s: float
    """Seconds since the job was submitted."""
    waiting_tasks: int
    failed_on: tuple[MachineId, ...]
    zones: dict[Zone, int]
    at_risk: bool


class MachineView(msgspec.Struct, array_like=True, frozen=True):
    """The state of a machine with free capacity, as far as a shard owner needs it."""

    machine: MachineId
    type: TypeName
    zone: Zone
    spot: bool
    used_cpus: float
    used_gpus: float
    used_memory: float
    images: dict[Image, float]
    """Images that it has or is fetching, with the seconds until each is present."""
    reservation: tuple[JobRef, Priority, float] | None
    """The job for which it is being emptied: its id, its priority and its age in seconds."""


class ShardView(msgspec.Struct, array_like=True, frozen=True):
    """The data that a shard owner needs to plan its shard."""

    number: int
    jobs: tuple[JobView, ...]
    machines: tuple[MachineView, ...]
    shares: dict[Team, tuple[float, float]]
    """CPUs and GPUs of each team's limit that the shard may use; a missing team has none."""
    urgent_reserve: float
    """CPUs kept free by jobs below `Priority.HIGH`."""
    estimate_factors: dict[str, float]
    """Measured run time as a multiple of the estimate, by job class."""


class ShardProposal(msgspec.Struct, array_like=True, frozen=True):
    """A shard owner's assignments for the view with this number."""

    number: int
    assignments: tuple[tuple[JobRef, MachineId], ...]
