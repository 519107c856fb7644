"""What the service reasons about: jobs as submitted, machine types, the deployment."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field

import msgspec

from .ids import Image, JobRef, Member, Team, TypeName, Zone


class Priority(enum.IntEnum):
    """Order of precedence of jobs."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    PRODUCTION = 3


class Shape(enum.IntEnum):
    """How the tasks of a job belong together."""

    ARRAY = 0
    """Independent tasks, each runs to completion."""
    GANG = 1
    """Tasks that run together or not at all."""
    SERVICE = 2
    """On no page, but the bench submits one and expects it to run (`docs/questions.md`); its tasks
    are run as those of an array."""


class JobSpec(msgspec.Struct, array_like=True, frozen=True):
    """A job as its user described it. Kept in the store in this order of fields."""

    ref: JobRef
    job_class: str
    team: Team
    priority: Priority
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: Image
    image_gb: float
    types: tuple[TypeName, ...] | None
    zone: Zone | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None
    shape: Shape = Shape.ARRAY

    def per_zone(self) -> int:
        """How many of the tasks may be in one zone at a time."""
        return math.ceil(self.tasks / 2) if self.spread else self.tasks


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

    def price_for(self, spot: bool) -> float:
        """Price per hour on the spot market or not."""
        return self.spot_price if spot else self.price

    def holds(self, job: JobSpec) -> bool:
        """Whether one task of the job fits on an empty machine of this type."""
        return (
            job.cpus <= self.cpus
            and job.gpus <= self.gpus
            and job.memory_gb <= self.memory_gb
            and (job.types is None or self.name in job.types)
            and (job.zone is None or job.zone in self.zones)
        )


@dataclass(frozen=True, slots=True)
class TeamLimits:
    """What a team is guaranteed and may use at most."""

    name: Team
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True, slots=True)
class Objective:
    """One of the aims in the settings."""

    kind: str
    job_class: str | None
    within_s: float | None


@dataclass(frozen=True, slots=True)
class Knobs:
    """What operators may tune; the defaults are the ones measured in docs/design.md."""

    weight: float = 0.5
    drop_threshold: float = 0.05
    round_s: float = 5.0
    prompt_round_s: float = 0.15
    period_s: float = 600.0
    budget_factor: float = 1.5
    headroom: float = 0.05
    swings: float = 0.3
    idle_return_s: float = 25.0
    silence_leases: float = 0.5


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings that decisions depend on."""

    member: Member
    members: tuple[Member, ...]
    """All controllers, ours included, in the same order everywhere."""
    teams: dict[Team, TeamLimits]
    objectives: tuple[Objective, ...]
    report_s: float
    lease_s: float
    cancel_s: float
    gang_wait_s: float
    gang_peer_s: float
    value_kb: float
    txn_ops: int
    """What the state service allows, now and later (`state.next`)."""
    knobs: Knobs = field(default_factory=Knobs)

    def class_limits(self, kind: str, job_class: str) -> tuple[float, ...]:
        """The times that the aims of this kind give a class."""
        return tuple(
            o.within_s
            for o in self.objectives
            if o.kind == kind and o.job_class == job_class and o.within_s is not None
        )


def team_can_hold(job: JobSpec, limits: TeamLimits) -> bool:
    """Whether the team's limit admits what must run of the job at once."""
    at_once = job.tasks if job.shape is Shape.GANG else 1
    return (limits.cpus_max <= 0 or at_once * job.cpus <= limits.cpus_max) and (
        job.gpus <= 0 or limits.gpus_max <= 0 or at_once * job.gpus <= limits.gpus_max
    )


def has_guarantee(team: Team, teams: dict[Team, TeamLimits]) -> bool:
    """Whether any room is guaranteed to the team; to guests there is none."""
    limits = teams.get(team)
    return limits is not None and (limits.cpus > 0 or limits.gpus > 0)


def is_backfill(job: JobSpec, teams: dict[Team, TeamLimits]) -> bool:
    """Whether it only uses what others leave idle: the lowest priority, without a guarantee."""
    return job.priority is Priority.LOW and not has_guarantee(job.team, teams)
