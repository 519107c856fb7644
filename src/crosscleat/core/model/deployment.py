"""Settings of the deployment: team limits, objectives, tuning options and store limits."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from .ids import Member, Team
from .job_spec import JobSpec, Priority, Shape


class TeamLimits(msgspec.Struct, frozen=True):
    """A team's guaranteed and maximum CPUs and GPUs; a maximum of 0 means no limit."""

    name: Team
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective from the settings."""

    kind: str
    job_class: str | None
    within_s: float | None


@dataclass(frozen=True, slots=True)
class TuningOptions:
    """Options that operators may tune; docs/design.md has the measurements behind the defaults.

    Field names are the names of the flags and environment variables; `cli` describes each.
    """

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


class Deployment(msgspec.Struct, frozen=True):
    """The settings that decisions depend on."""

    member: Member
    members: tuple[Member, ...]
    """All controllers including this one, in the same order on each of them."""
    teams: dict[Team, TeamLimits]
    objectives: tuple[Objective, ...]
    heartbeat_interval_s: float
    """Time between two heartbeats of a worker."""
    lease_s: float
    """A worker that has received no response for this long ends its tasks."""
    cancel_s: float
    """Seconds within which an accepted cancellation must stop the job's tasks."""
    gang_wait_s: float
    """Maximum time in seconds that the tasks of a gang wait for the last of them."""
    gang_peer_s: float
    """Seconds within which a stop must reach all tasks of a gang so that it saves its progress."""
    value_kb: float
    """Maximum KiB per value: the lower of the store's current and upcoming limits."""
    txn_ops: int
    """Maximum writes per transaction: the lower of the current and upcoming limits.

    The upcoming limits are `state.next` in the settings.
    """
    tuning: TuningOptions = msgspec.field(default_factory=TuningOptions)

    @property
    def heartbeat_timeout_s(self) -> float:
        """Seconds without a heartbeat after which a machine is deleted."""
        return self.tuning.silence_leases * self.lease_s

    def objective_limits(self, kind: str, job_class: str) -> tuple[float, ...]:
        """Return the time limits in seconds of the objectives of this kind for a job class."""
        return tuple(
            objective.within_s
            for objective in self.objectives
            if objective.kind == kind
            and objective.job_class == job_class
            and objective.within_s is not None
        )


def team_limit_admits(job: JobSpec, limits: TeamLimits) -> bool:
    """Whether the team's limits allow the tasks that must run at once: all of a gang, else one."""
    at_once = job.tasks if job.shape is Shape.GANG else 1
    return (limits.cpus_max <= 0 or at_once * job.cpus <= limits.cpus_max) and (
        job.gpus <= 0 or limits.gpus_max <= 0 or at_once * job.gpus <= limits.gpus_max
    )


def has_guarantee(team: Team, teams: dict[Team, TeamLimits]) -> bool:
    """Whether the team has guaranteed CPUs or GPUs; a team that is not configured has none."""
    limits = teams.get(team)
    return limits is not None and (limits.cpus > 0 or limits.gpus > 0)


def is_backfill(job: JobSpec, teams: dict[Team, TeamLimits]) -> bool:
    """Whether the job only uses capacity that others leave idle: low priority and no guarantee."""
    return job.priority is Priority.LOW and not has_guarantee(job.team, teams)
