"""The leader of one term: calls its parts in order.

Heartbeats go to `heartbeat_receiver`, job changes to `job_changes`. `tick` runs the periodic work.
`finish_step` runs at the end of every controller step: it schedules, writes changes to the store
and sends direct commands, which start only attempts that have been recorded in the store.
`assembly.build_leader` builds a leader from its parts, and `takeover.load_records` loads the
records of earlier leaders into it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..capacity.decommissioning import Decommissioner
from ..capacity.deletions import Deletions
from ..capacity.fleet import Fleet
from ..capacity.machine_list import MachineList
from ..capacity.machine_watch import MachineWatch
from ..capacity.machines import Machines
from ..capacity.scaling import Autoscaler
from ..election.term import LeadingTerm
from ..model.heartbeats import Heartbeat
from ..model.ids import JobRef, Seconds
from ..model.store_calls import Item
from ..scheduling.scoring import RunTimes
from ..state.cluster import ClusterState
from ..state.decommission_records import DecommissionRecords
from ..state.jobs import Job
from ..state.placement_records import PlacementRecords
from .attempts import Attempts
from .commands import Commands
from .gang_control import GangControl
from .heartbeat_processing import HeartbeatProcessing
from .heartbeat_receiver import HeartbeatReceiver
from .job_changes import JobChanges
from .liveness import Liveness
from .pending_work import PendingWork
from .placer import Placer
from .progress import Progress
from .scheduler import Scheduler
from .task_statuses import TaskStatuses
from .worker_contact import WorkerContact
from .write_outcomes import WriteOutcomes
from .writer import Writer

MACHINE_CHECKS_PER_S = 10_000
"""Machines checked per second for silence, lease expiry and idleness. Up to a thousand machines are
checked at every tick; with more machines, each is checked less often."""

TICK_JITTER_S = 0.05
"""Tolerance for the interval between ticks, which is nominally 0.1 s."""


@dataclass(eq=False)
class Leader:
    """The leader of one term; coordinates its parts."""

    term: LeadingTerm
    jobs: dict[JobRef, Job]
    """All live jobs."""
    cluster: ClusterState
    placement_records: PlacementRecords
    decommission_records: DecommissionRecords
    run_times: RunTimes
    fleet: Fleet
    pending: PendingWork
    attempts: Attempts
    gangs: GangControl
    decommissioner: Decommissioner
    contact: WorkerContact
    liveness: Liveness
    machines: Machines
    machine_list: MachineList
    machine_watch: MachineWatch
    deletions: Deletions
    job_changes: JobChanges
    task_statuses: TaskStatuses
    heartbeat_processing: HeartbeatProcessing
    heartbeat_receiver: HeartbeatReceiver
    commands: Commands
    write_outcomes: WriteOutcomes
    writer: Writer
    placer: Placer
    scheduler: Scheduler
    autoscaler: Autoscaler
    progress: Progress
    _next_full_cycle_at: Seconds = field(init=False)
    _next_watch_at: Seconds = field(init=False)

    def __post_init__(self) -> None:
        self._next_full_cycle_at = self._next_watch_at = self.term.now

    def receive_heartbeat(
        self, request: int, heartbeat: Heartbeat, now: Seconds, relayed: bool
    ) -> None:
        """Process a worker's heartbeat and respond to it."""
        self.heartbeat_receiver.receive(request, heartbeat, now, relayed)

    def receive_direct_reply(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat that a worker sent in reply to another controller's probe."""
        self.heartbeat_processing.receive_direct_reply(heartbeat)

    def apply_job_changes(self, changes: Iterable[Item], now: Seconds) -> None:
        """Apply submissions and cancellations."""
        self.job_changes.apply(changes, now)

    def tick(self, now: Seconds) -> None:
        """Run the periodic work that is due; called ten times a second."""
        for job in self.jobs.values():
            if job.delayed:
                job.resume_delayed(now)
        if self.pending.incomplete_gangs:
            self.pending.cycle_wanted = True
        self.contact.tick()
        if now >= self._next_watch_at:
            machines = len(self.cluster.machines)
            self._next_watch_at = Seconds(now + machines / MACHINE_CHECKS_PER_S - TICK_JITTER_S)
            self.watch_machines(now)
        if self.term.retired:
            return
        self.commands.send_heartbeat_requests()
        if now >= self._next_full_cycle_at:
            self._begin_full_cycle(now)
        self.autoscaler.adjust(now)
        self.machine_list.read_if_due(now, self.liveness.has_recent_silence)
        self.deletions.delete_recorded(now)

    def _begin_full_cycle(self, now: Seconds) -> None:
        """Have all waiting work scheduled, by this leader and by the shard owners."""
        self._next_full_cycle_at = Seconds(now + self.term.deployment.tuning.round_s)
        self.pending.cycle_wanted = True
        self.writer.remove(self.deletions.forget_old(now, self.writer.writing))
        self.scheduler.dispatch_shards(now)

    def watch_machines(self, now: Seconds) -> None:
        """Decide which machines to probe, evacuate and return to the cloud."""
        machines = list(self.cluster.machines.values())
        self.liveness.watch(machines, now, self.commands)
        if self.term.retired:
            return
        for machine in machines:
            if (
                machine.reclaim_at is not None
                and machine.allocations
                and not machine.decommissioning
            ):
                self.gangs.evacuate(machine, now)
            self.machine_watch.watch(machine, now)

    def finish_step(self, now: Seconds) -> None:
        """Schedule, write changes and send direct commands; called at the end of every step."""
        if self.term.retired:
            return
        self.scheduler.run_if_due(now)
        self.writer.flush(now)
        self.commands.send_direct(now)
