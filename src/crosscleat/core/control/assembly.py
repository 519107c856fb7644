"""The one module that builds a leader from its parts.

Each part receives its dependencies through its constructor, and no attribute is set afterwards, so
a part is built after the parts that it calls. Where two parts depend on each other, one of them
sets a flag in `PendingWork`, or receives the other as a narrow `Protocol` argument of the call.
"""

from __future__ import annotations

from random import Random

import msgspec

from ..capacity.decommissioning import Decommissioner
from ..capacity.deletions import Deletions
from ..capacity.fleet import Fleet
from ..capacity.interruptions import InterruptionStats
from ..capacity.machine_list import MachineList
from ..capacity.machine_watch import MachineWatch
from ..capacity.machines import Machines
from ..capacity.scaling import Autoscaler
from ..election.election import Election
from ..election.term import LeadingTerm
from ..model.cloud import MachineType
from ..model.deployment import Deployment
from ..model.effects import Outbox
from ..model.ids import JobRef, Seconds, TypeName, WallTime
from ..scheduling.scoring import RunTimes, Scorer
from ..state.cluster import ClusterState
from ..state.decommission_records import DecommissionRecords
from ..state.jobs import Job
from ..state.placement_records import PlacementRecords
from .attempts import Attempts
from .commands import Commands
from .cycle_factory import CycleFactory
from .evacuation import Evacuation
from .gang_control import GangControl
from .heartbeat_processing import HeartbeatProcessing
from .heartbeat_receiver import HeartbeatReceiver
from .job_changes import JobChanges
from .leader import Leader
from .liveness import Liveness
from .orders import OrderBuilder
from .pending_work import PendingWork
from .placer import Placer
from .progress import Progress
from .response_check import ResponseCheck
from .retries import Retries
from .scheduler import Scheduler
from .task_statuses import TaskStatuses
from .worker_contact import WorkerContact
from .write_outcomes import WriteOutcomes
from .writer import Writer


class _SharedState:
    """What several parts of a leader share: the term, the known state and the pending work."""

    def __init__(
        self, term: LeadingTerm, types: dict[TypeName, MachineType], shorten_chunks: bool
    ) -> None:
        deployment = term.deployment
        self.term = term
        self.jobs: dict[JobRef, Job] = {}
        self.cluster = ClusterState()
        self.placement_records = PlacementRecords(
            deployment.value_kb, deployment.txn_ops, shorten_chunks
        )
        self.decommission_records = DecommissionRecords(deployment.value_kb)
        self.run_times = RunTimes()
        self.scorer = Scorer(deployment, self.run_times)
        self.fleet = Fleet(deployment.tuning, types, self.scorer)
        self.interruptions = InterruptionStats()
        self.pending = PendingWork()


class _MachineParts(msgspec.Struct, frozen=True):
    attempts: Attempts
    decommissioner: Decommissioner
    contact: WorkerContact
    responses: ResponseCheck
    liveness: Liveness
    machines: Machines
    machine_list: MachineList
    machine_watch: MachineWatch
    deletions: Deletions


class _PlanningParts(msgspec.Struct, frozen=True):
    placer: Placer
    gangs: GangControl
    evacuation: Evacuation
    scheduler: Scheduler
    autoscaler: Autoscaler


class _WorkerParts(msgspec.Struct, frozen=True):
    task_statuses: TaskStatuses
    heartbeat_processing: HeartbeatProcessing
    heartbeat_receiver: HeartbeatReceiver
    commands: Commands


class _JobParts(msgspec.Struct, frozen=True):
    job_changes: JobChanges
    progress: Progress
    write_outcomes: WriteOutcomes
    writer: Writer


def build_leader(
    deployment: Deployment,
    election: Election,
    outbox: Outbox,
    rng: Random,
    types: dict[TypeName, MachineType],
    now: Seconds,
    wall_time: WallTime,
    shorten_chunks: bool = True,
) -> Leader:
    """Build a leader whose term begins now, and which knows no jobs or machines yet.

    `types` is shared with the controller, which updates it. `wall_time` is the present
    wall-clock time. `shorten_chunks`: chunks may be shortened to fit into a value of the store. It
    must be False while a controller of an older version, which can't read such chunks, may take
    over.
    """
    state = _SharedState(LeadingTerm(deployment, election, outbox, now), types, shorten_chunks)
    machines = _machine_parts(state)
    planning = _planning_parts(state, machines, rng)
    workers = _worker_parts(state, machines, planning.evacuation)
    jobs = _job_parts(state, machines.attempts, wall_time)
    return _assemble(state, machines, planning, workers, jobs)


def _assemble(
    state: _SharedState,
    machines: _MachineParts,
    planning: _PlanningParts,
    workers: _WorkerParts,
    jobs: _JobParts,
) -> Leader:
    return Leader(
        term=state.term,
        jobs=state.jobs,
        cluster=state.cluster,
        placement_records=state.placement_records,
        decommission_records=state.decommission_records,
        run_times=state.run_times,
        fleet=state.fleet,
        pending=state.pending,
        attempts=machines.attempts,
        gangs=planning.gangs,
        decommissioner=machines.decommissioner,
        contact=machines.contact,
        liveness=machines.liveness,
        machines=machines.machines,
        machine_list=machines.machine_list,
        machine_watch=machines.machine_watch,
        deletions=machines.deletions,
        job_changes=jobs.job_changes,
        task_statuses=workers.task_statuses,
        heartbeat_processing=workers.heartbeat_processing,
        heartbeat_receiver=workers.heartbeat_receiver,
        commands=workers.commands,
        write_outcomes=jobs.write_outcomes,
        writer=jobs.writer,
        placer=planning.placer,
        scheduler=planning.scheduler,
        autoscaler=planning.autoscaler,
        progress=jobs.progress,
    )


def _machine_parts(state: _SharedState) -> _MachineParts:
    term = state.term
    attempts = Attempts(
        term,
        state.jobs,
        state.cluster,
        state.placement_records,
        Retries(term, state.jobs),
        state.pending,
    )
    decommissioner = Decommissioner(term, state.pending)
    contact = WorkerContact(term.deployment, term.now)
    responses = ResponseCheck(term.deployment, state.cluster, decommissioner)
    liveness = Liveness(term.deployment, term.election, contact, responses)
    machines = Machines(term, state.cluster, state.fleet.types)
    machine_list = MachineList(
        term, state.cluster, machines, liveness, decommissioner, state.pending
    )
    machine_watch = MachineWatch(term, attempts, liveness, decommissioner)
    deletions = Deletions(
        term,
        state.cluster,
        machines,
        state.decommission_records,
        attempts,
        liveness,
        state.interruptions,
    )
    return _MachineParts(
        attempts,
        decommissioner,
        contact,
        responses,
        liveness,
        machines,
        machine_list,
        machine_watch,
        deletions,
    )


def _planning_parts(state: _SharedState, parts: _MachineParts, rng: Random) -> _PlanningParts:
    term, jobs, cluster, attempts = state.term, state.jobs, state.cluster, parts.attempts
    cycles = CycleFactory(term, jobs, cluster, state.fleet, state.scorer, parts.machines, rng)
    placer = Placer(term, cluster, parts.machines, state.placement_records, attempts, state.pending)
    gangs = GangControl(term, jobs, cluster, state.scorer, cycles, placer, attempts, state.pending)
    evacuation = Evacuation(term, state.run_times, state.interruptions, gangs, attempts)
    scheduler = Scheduler(
        term,
        jobs,
        cluster,
        state.run_times,
        cycles,
        placer,
        gangs,
        attempts,
        state.pending,
        rng,
    )
    autoscaler = Autoscaler(
        term,
        jobs,
        cluster,
        state.fleet,
        state.scorer,
        state.interruptions,
        parts.machines,
        parts.decommissioner,
        evacuation,
    )
    return _PlanningParts(placer, gangs, evacuation, scheduler, autoscaler)


def _worker_parts(
    state: _SharedState, parts: _MachineParts, evacuation: Evacuation
) -> _WorkerParts:
    task_statuses = TaskStatuses(state.term, state.jobs, state.run_times, parts.attempts)
    processing = HeartbeatProcessing(
        state.term,
        state.cluster,
        parts.machines,
        parts.contact,
        parts.decommissioner,
        task_statuses,
        parts.attempts,
        evacuation,
        state.pending,
    )
    order_builder = OrderBuilder(state.term, state.jobs, state.pending)
    commands = Commands(state.term, state.cluster, order_builder, state.pending, processing)
    receiver = HeartbeatReceiver(
        state.term,
        parts.machines,
        parts.contact,
        parts.responses,
        processing,
        commands,
        state.pending,
    )
    return _WorkerParts(task_statuses, processing, receiver, commands)


def _job_parts(state: _SharedState, attempts: Attempts, wall_time: WallTime) -> _JobParts:
    job_changes = JobChanges(
        state.term,
        state.jobs,
        state.cluster,
        state.placement_records,
        state.fleet,
        state.scorer,
        state.interruptions,
        attempts,
        state.pending,
        wall_time,
    )
    progress = Progress(state.jobs, state.cluster)
    write_outcomes = WriteOutcomes(
        state.term,
        state.jobs,
        state.cluster,
        attempts,
        job_changes,
        progress,
        state.pending,
    )
    writer = Writer(
        state.term,
        state.jobs,
        state.cluster,
        state.placement_records,
        state.decommission_records,
        state.pending,
        write_outcomes,
    )
    return _JobParts(job_changes, progress, write_outcomes, writer)
