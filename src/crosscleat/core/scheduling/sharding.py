"""Work partitioning (DESIGN): owners plan full rounds for their part of the jobs and propose.

Jobs are divided by hash. The leader gives each owner its waiting jobs, the room there is and a
share of what each team may still use; the owner plans them by the same function as the leader
and proposes; the leader checks each choice against what holds by then, and commits. Whatever has
no proposal in time the leader plans itself.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from random import Random

from ..model.cloud import MachineType
from ..model.deployment import Deployment, TeamLimits
from ..model.ids import Image, JobRef, MachineId, Member, Seconds, Team, TypeName, Version
from ..model.job_spec import Priority
from ..model.shards import JobView, MachineView, ShardProposal, ShardView
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from .cycle import MAX_ASSIGNMENTS, SchedulingCycle
from .feasibility import CycleContext, CycleReserves
from .free_capacity import Reservation, fails_repeatedly
from .scoring import RunTimes, Scorer

MAX_JOBS = 60
"""Jobs that one view shows; the leader plans the others."""

MAX_ROOMS = 1_000
"""Machines that one view shows: of more, a sample, so that the message keeps to its bound."""

MAX_FAILED_SHOWN = 50
"""Machines on which a job failed that a view names; the leader's own check knows all."""


def shard_owner(job: JobRef, members: tuple[Member, ...]) -> Member:
    """The controller that plans the job."""
    return members[zlib.crc32(job.encode()) % len(members)]


def is_shardable(job: Job) -> bool:
    """Whether an owner may plan it: not what is tried with care, whole or after all others."""
    return not job.is_gang and not job.backfill and not fails_repeatedly(job)


def quota_shares(
    shards: dict[Member, list[Job]], limits: dict[Team, TeamLimits], cluster: ClusterState
) -> dict[Member, dict[Team, tuple[float, float]]]:
    """What is left of each team's limit, divided by what waits in each part."""
    asked: dict[Team, float] = {}
    mine: dict[tuple[Member, Team], float] = {}
    for member, jobs in shards.items():
        for job in jobs:
            cpus = job.waiting_count() * max(job.spec.cpus, 1e-3)
            team = job.spec.team
            asked[team] = asked.get(team, 0.0) + cpus
            mine[member, team] = mine.get((member, team), 0.0) + cpus
    shares: dict[Member, dict[Team, tuple[float, float]]] = {member: {} for member in shards}
    for (member, team), cpus in mine.items():
        limit = limits.get(team)
        if limit is None:
            continue
        fraction = cpus / asked[team]
        free = fraction * (limit.cpus_max - cluster.team_cpus.get(team, 0.0))
        gpus = fraction * (limit.gpus_max - cluster.team_gpus.get(team, 0.0))
        if limit.cpus_max <= 0 or free > 0:
            # 0 would mean that there is no limit.
            shares[member][team] = (
                free if limit.cpus_max > 0 else 0.0,
                max(gpus, 1e-9) if limit.gpus_max > 0 else 0.0,
            )
    return shares


def build_shard_view(
    number: int,
    jobs: Iterable[Job],
    machines: Iterable[Machine],
    cluster: ClusterState,
    reservations: dict[MachineId, Reservation],
    shares: dict[Team, tuple[float, float]],
    reserve: float,
    factors: dict[str, float],
    now: Seconds,
    rng: Random,
) -> ShardView:
    """An owner's part as it is sent."""
    candidates = [machine for machine in machines if machine.used_cpus < machine.type.cpus]
    if len(candidates) > MAX_ROOMS:
        candidates = rng.sample(candidates, MAX_ROOMS)
    found = sorted(jobs, key=lambda job: (-job.spec.priority, job.submitted))[:MAX_JOBS]
    return ShardView(
        number,
        tuple(
            JobView(
                job.spec,
                now - job.submitted,
                job.waiting_count(),
                tuple(sorted(job.failed_on)[:MAX_FAILED_SHOWN]),
                cluster.job_zones.get(job.ref, {}),
                job.at_risk,
            )
            for job in found
        ),
        tuple(
            MachineView(
                m.id,
                m.type.name,
                m.zone,
                m.spot,
                m.used_cpus,
                m.used_gpus,
                m.used_memory,
                {Image(i): max(0.0, ready - now) for i, ready in m.images.items()},
                _reservation_view(reservations.get(m.id), now),
            )
            for m in candidates
        ),
        shares,
        reserve,
        factors,
    )


def _reservation_view(
    reservation: Reservation | None, now: Seconds
) -> tuple[JobRef, Priority, float] | None:
    if reservation is None:
        return None
    return (reservation.job, reservation.priority, now - reservation.submitted)


def plan(
    view: ShardView,
    deployment: Deployment,
    types: dict[TypeName, MachineType],
    rng: Random,
    now: Seconds,
) -> ShardProposal:
    """The owner's side: the leader's own function, on what the leader has told."""
    cluster = ClusterState()
    jobs = []
    for given in view.jobs:
        job = Job(given.spec, Version(0), Seconds(now - given.age_s))
        job.first_untried = max(0, given.spec.tasks - given.waiting_tasks)
        job.succeeded = True
        job.failed_on = set(given.failed_on)
        job.at_risk = given.at_risk
        # Which of them may use what is kept for others, the leader decides by itself.
        job.idle_since = now
        cluster.job_zones[job.ref] = dict(given.zones)
        jobs.append(job)
    machines = []
    reservations = {}
    for candidate in view.machines:
        if candidate.type in types:
            machine = Machine(
                candidate.machine, types[candidate.type], candidate.zone, candidate.spot
            )
            machine.used_cpus = candidate.used_cpus
            machine.used_gpus = candidate.used_gpus
            machine.used_memory = candidate.used_memory
            machine.images = {i: Seconds(now + wait) for i, wait in candidate.images.items()}
            machines.append(machine)
            if candidate.reservation is not None:
                job_ref, priority, age_s = candidate.reservation
                since = Seconds(now - age_s)
                reservations[machine.id] = Reservation(job_ref, priority, since)
    teams = {
        team: TeamLimits(team, 0.0, cpus, 0.0, gpus) for team, (cpus, gpus) in view.shares.items()
    }
    run_times = RunTimes()
    run_times.factors = dict(view.estimate_factors)
    context = CycleContext(cluster, teams, now, CycleReserves(urgent_cpus=view.reserve))
    cycle = SchedulingCycle(context, Scorer(deployment, run_times), rng)
    assignments = cycle.plan(jobs, machines, MAX_ASSIGNMENTS, reservations)
    return ShardProposal(view.number, tuple((c.job, c.machine) for c in assignments))
