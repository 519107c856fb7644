"""What the service reasons about: jobs as submitted, machine types, the deployment."""

from __future__ import annotations

from dataclasses import dataclass, field

from .ids import Member, Team
from .job_spec import JobSpec, Priority, Shape


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
class TuningOptions:
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
    heartbeat_interval_s: float
    lease_s: float
    cancel_s: float
    gang_wait_s: float
    gang_peer_s: float
    value_kb: float
    txn_ops: int
    """What the state service allows, now and later (`state.next`)."""
    tuning: TuningOptions = field(default_factory=TuningOptions)

    @property
    def silent_s(self) -> float:
        """After so long without a heartbeat a machine is given up."""
        return self.tuning.silence_leases * self.lease_s

    def class_limits(self, kind: str, job_class: str) -> tuple[float, ...]:
        """The times that the aims of this kind give a class."""
        return tuple(
            o.within_s
            for o in self.objectives
            if o.kind == kind and o.job_class == job_class and o.within_s is not None
        )


def team_limit_admits(job: JobSpec, limits: TeamLimits) -> bool:
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
