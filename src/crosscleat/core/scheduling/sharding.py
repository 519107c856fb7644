"""Divides waiting jobs into shards (DESIGN: work partitioning) and builds the views of shards.

Jobs are assigned to shard owners by a hash. At a full cycle the leader sends each shard owner its
waiting jobs, the machines with free capacity and a share of each team's remaining quota. The owner
plans the jobs with the same code as the leader and proposes assignments (`shard_planning`). The
leader checks each assignment against its current state and commits it. If no proposal arrives in
time, the leader plans the jobs of the shard itself.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from ..model.deployment import TeamLimits
from ..model.ids import Image, JobRef, MachineId, Member, Seconds, Team
from ..model.job_spec import Priority
from ..model.shards import JobView, MachineView, ShardView
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from .assignments import Reservation
from .job_selection import fails_repeatedly

MAX_VIEW_JOBS = 60
"""Maximum number of jobs in a view; the leader plans the others."""

MAX_VIEW_MACHINES = 1_000
"""Maximum number of machines in a view. Of more, a sample is sent, to bound the message size."""

MAX_VIEW_FAILED_ON = 50
"""Maximum number of machines on which a job failed that a view lists for the job; the leader checks
proposals against all of them."""

MIN_WEIGHT_CPUS = 1e-3
"""Minimum weight of a task, in CPUs, when a team's remaining quota is divided among shards."""

MIN_SHARE_GPUS = 1e-9
"""A share that admits no GPUs; 0 would mean no limit."""

QuotaShares = dict[Team, tuple[float, float]]
"""CPUs and GPUs of each team's quota that a shard may use; 0 means no limit. A team that is missing
may use nothing."""


@dataclass(frozen=True, slots=True)
class ShardInputs:
    """Inputs that are the same for all shards of one full cycle."""

    machines: list[Machine]
    """The machines on which tasks may be placed."""
    reservations: dict[MachineId, Reservation]
    urgent_reserve: float
    """Free CPUs that jobs below `Priority.HIGH` leave to urgent work."""
    factors: dict[str, float]
    """Measured run time as a multiple of the estimate, by job class."""
    now: Seconds


def shard_owner(job: JobRef, members: tuple[Member, ...]) -> Member:
    """The controller that plans the job."""
    return members[zlib.crc32(job.encode()) % len(members)]


def is_shardable(job: Job) -> bool:
    """Whether a shard owner may plan the job.

    The leader itself plans gangs, backfill and jobs that get one task at a time because they fail
    repeatedly.
    """
    return not job.is_gang and not job.backfill and not fails_repeatedly(job)


def quota_shares(
    shards: dict[Member, list[Job]], limits: dict[Team, TeamLimits], cluster: ClusterState
) -> dict[Member, QuotaShares]:
    """Divide each team's remaining quota among the shards, in proportion to their waiting CPUs."""
    waiting_cpus: dict[Team, float] = {}
    shard_cpus: dict[tuple[Member, Team], float] = {}
    for member, jobs in shards.items():
        for job in jobs:
            cpus = job.waiting_count() * max(job.spec.cpus, MIN_WEIGHT_CPUS)
            team = job.spec.team
            waiting_cpus[team] = waiting_cpus.get(team, 0.0) + cpus
            shard_cpus[member, team] = shard_cpus.get((member, team), 0.0) + cpus
    shares: dict[Member, QuotaShares] = {member: {} for member in shards}
    for (member, team), cpus in shard_cpus.items():
        limit = limits.get(team)
        if limit is None:
            continue
        fraction = cpus / waiting_cpus[team]
        free_cpus = fraction * (limit.cpus_max - cluster.team_cpus.get(team, 0.0))
        free_gpus = fraction * (limit.gpus_max - cluster.team_gpus.get(team, 0.0))
        if limit.cpus_max <= 0 or free_cpus > 0:
            shares[member][team] = (
                free_cpus if limit.cpus_max > 0 else 0.0,
                max(free_gpus, MIN_SHARE_GPUS) if limit.gpus_max > 0 else 0.0,
            )
    return shares


def build_shard_view(
    number: int,
    jobs: Iterable[Job],
    shares: QuotaShares,
    inputs: ShardInputs,
    cluster: ClusterState,
    rng: Random,
) -> ShardView:
    """Build the view that the owner of these jobs receives in the full cycle of this number."""
    machines = [machine for machine in inputs.machines if machine.used_cpus < machine.type.cpus]
    if len(machines) > MAX_VIEW_MACHINES:
        machines = rng.sample(machines, MAX_VIEW_MACHINES)
    selected = sorted(jobs, key=lambda job: (-job.spec.priority, job.submitted))[:MAX_VIEW_JOBS]
    return ShardView(
        number,
        tuple(_job_view(job, cluster, inputs.now) for job in selected),
        tuple(
            _machine_view(machine, inputs.reservations.get(machine.id), inputs.now)
            for machine in machines
        ),
        shares,
        inputs.urgent_reserve,
        inputs.factors,
    )


def _job_view(job: Job, cluster: ClusterState, now: Seconds) -> JobView:
    return JobView(
        job.spec,
        now - job.submitted,
        job.waiting_count(),
        tuple(sorted(job.failed_on)[:MAX_VIEW_FAILED_ON]),
        cluster.job_zones.get(job.ref, {}),
        job.at_risk,
    )


def _machine_view(machine: Machine, reservation: Reservation | None, now: Seconds) -> MachineView:
    return MachineView(
        machine.id,
        machine.type.name,
        machine.zone,
        machine.spot,
        machine.used_cpus,
        machine.used_gpus,
        machine.used_memory,
        {Image(image): max(0.0, ready - now) for image, ready in machine.images.ready_at.items()},
        _reservation_view(reservation, now),
    )


def _reservation_view(
    reservation: Reservation | None, now: Seconds
) -> tuple[JobRef, Priority, float] | None:
    if reservation is None:
        return None
    return (reservation.job, reservation.priority, now - reservation.submitted)
