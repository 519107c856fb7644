"""What the leader sends a shard owner to plan, and what the owner proposes."""

from __future__ import annotations

import msgspec

from .ids import Image, JobRef, MachineId, Team, TypeName, Zone
from .job_spec import JobSpec, Priority


class JobView(msgspec.Struct, array_like=True, frozen=True):
    """What a shard owner needs to know of a waiting job."""

    spec: JobSpec
    age_s: float
    """Since the job was submitted."""
    waiting_tasks: int
    failed_on: tuple[MachineId, ...]
    zones: dict[Zone, int]
    at_risk: bool


class MachineView(msgspec.Struct, array_like=True, frozen=True):
    """What a shard owner needs to know of a machine with free capacity."""

    machine: MachineId
    type: TypeName
    zone: Zone
    spot: bool
    used_cpus: float
    used_gpus: float
    used_memory: float
    images: dict[Image, float]
    """Images that it has or fetches, with the seconds until they are present."""
    reservation: tuple[JobRef, Priority, float] | None
    """For which job it is emptied: its reference, its priority and its age in seconds."""


class ShardView(msgspec.Struct, array_like=True, frozen=True):
    """What a shard owner needs to plan its shard."""

    number: int
    jobs: tuple[JobView, ...]
    machines: tuple[MachineView, ...]
    shares: dict[Team, tuple[float, float]]
    """CPUs and GPUs that the shard may use of each team's limit; a team left out has none."""
    reserve: float
    estimate_factors: dict[str, float]
    """Measured run time as a multiple of the estimate, by job class."""


class ShardProposal(msgspec.Struct, array_like=True, frozen=True):
    """A shard owner's assignments for the view with this number."""

    number: int
    assignments: tuple[tuple[JobRef, MachineId], ...]
