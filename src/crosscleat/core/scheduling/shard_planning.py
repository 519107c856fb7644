"""The shard owner's side of sharding: plans the jobs of a shard view and proposes assignments.

The owner runs the same scheduling cycle as the leader, on state that it builds from the view.
"""

from __future__ import annotations

from random import Random

from ..model.cloud import MachineType
from ..model.deployment import Deployment, TeamLimits
from ..model.ids import Seconds, TypeName, Version
from ..model.shards import JobView, MachineView, ShardProposal, ShardView
from ..state.cluster import ClusterState
from ..state.image_cache import ImageCache
from ..state.jobs import Job
from ..state.machine import Machine
from .assignments import Reservation
from .cycle import MAX_ASSIGNMENTS, SchedulingCycle
from .feasibility import CycleContext, CycleReserves
from .scoring import RunTimes, Scorer


def plan_shard(
    view: ShardView,
    deployment: Deployment,
    types: dict[TypeName, MachineType],
    rng: Random,
    now: Seconds,
) -> ShardProposal:
    """Plan the shard on the machines of the view whose types this controller knows."""
    cluster = ClusterState()
    jobs = []
    for job_view in view.jobs:
        job = _job(job_view, now)
        cluster.job_zones[job.ref] = dict(job_view.zones)
        jobs.append(job)
    known = [machine_view for machine_view in view.machines if machine_view.type in types]
    machines = [_machine(machine_view, types[machine_view.type], now) for machine_view in known]
    reservations = {
        machine_view.machine: reservation
        for machine_view in known
        if (reservation := _reservation(machine_view, now)) is not None
    }
    limits = {
        team: TeamLimits(team, 0.0, cpus, 0.0, gpus) for team, (cpus, gpus) in view.shares.items()
    }
    context = CycleContext(cluster, limits, now, CycleReserves(urgent_cpus=view.urgent_reserve))
    cycle = SchedulingCycle(context, Scorer(deployment, RunTimes(view.estimate_factors)), rng)
    assignments = cycle.plan(jobs, machines, MAX_ASSIGNMENTS, reservations)
    return ShardProposal(
        view.number, tuple((assignment.job, assignment.machine) for assignment in assignments)
    )


def _job(view: JobView, now: Seconds) -> Job:
    return Job(
        view.spec,
        Version(0),
        Seconds(now - view.age_s),
        first_untried=max(0, view.spec.tasks - view.waiting_tasks),
        has_completed_task=True,
        failed_on=set(view.failed_on),
        at_risk=view.at_risk,
        # Without idle time, the job does not ignore reserves here: only the leader decides which
        # jobs may use capacity that is kept for others.
        idle_since=now,
    )


def _machine(view: MachineView, machine_type: MachineType, now: Seconds) -> Machine:
    return Machine(
        view.machine,
        machine_type,
        view.zone,
        view.spot,
        used_cpus=view.used_cpus,
        used_gpus=view.used_gpus,
        used_memory=view.used_memory,
        images=ImageCache(
            {image: Seconds(now + ready_s) for image, ready_s in view.images.items()}
        ),
    )


def _reservation(view: MachineView, now: Seconds) -> Reservation | None:
    if view.reservation is None:
        return None
    job_ref, priority, age_s = view.reservation
    return Reservation(job_ref, priority, Seconds(now - age_s))
