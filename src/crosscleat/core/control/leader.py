"""What the leading controller knows and decides: it joins the parts that plan, write and command.

`check_in` and its kin take in what is reported, `live_news` what users change, `tick` what time
brings; `settle` plans, writes and sends at the end of every step.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from random import Random

from ..capacity.decommissioning import Decommissioner
from ..capacity.fleet import Fleet
from ..capacity.interruptions import InterruptionStats
from ..capacity.machines import Machines
from ..capacity.scaling import Autoscaler
from ..election.election import Election
from ..election.term import LeadingTerm
from ..model import heartbeats
from ..model.cloud import MachineType
from ..model.deployment import Deployment, is_backfill
from ..model.effects import Outbox, Response
from ..model.heartbeats import Heartbeat, TaskStatus, unknown_words
from ..model.ids import Attempt, JobRef, Seconds, TaskId, Token, TypeName, WallTime
from ..model.store_calls import Item
from ..scheduling.scoring import RunTimes, Scorer
from ..state.allocations import Allocation
from ..state.cluster import ClusterState
from ..state.decommission_records import DecommissionRecords
from ..state.job_records import spec_of
from ..state.jobs import Job
from ..state.machine import Machine
from ..state.placement_records import PlacementRecords
from .attempts import Attempts
from .commands import Commands
from .evacuation import Evacuation
from .gang_control import GangControl
from .liveness import ANSWERED_LEASES, Liveness
from .pending_work import PendingWork
from .retries import Retries
from .scheduler import Scheduler
from .writer import Writer

SLOW_START_S = 2.0
"""Starts later than that are logged."""

FIRST_ATTEMPT = Attempt(1)

MAX_UNKNOWN_WORDS = 100
"""Of reports' unknown states and causes so many are remembered and logged."""

MAX_COUNTS = 5_000
"""Jobs whose counts one message shows; others follow with the next."""

WATCHED_PER_S = 10_000
"""Looks at machines' silence, leases and idleness in a second: up to a thousand machines at every
tick, more of them less often."""

TICK_SLACK_S = 0.05
"""Ticks are a tenth of a second apart, give or take."""


class Leader:
    """The leader of one term."""

    def __init__(
        self,
        deployment: Deployment,
        election: Election,
        outbox: Outbox,
        rng: Random,
        types: dict[TypeName, MachineType],
        now: Seconds,
        wall: WallTime,
        cut: bool = True,
    ) -> None:
        self.deployment = deployment
        self.tuning = deployment.tuning
        self.election = election
        self.outbox = outbox
        self.rng = rng
        self.term = LeadingTerm(deployment, election, outbox, now)
        self._wall_offset = wall - now
        self.jobs: dict[JobRef, Job] = {}
        self.cluster = ClusterState()
        self.placement_records = PlacementRecords(deployment.value_kb, deployment.txn_ops, cut)
        self.decommission_records = DecommissionRecords(deployment.value_kb)
        self.run_times = RunTimes()
        self.scorer = Scorer(deployment, self.run_times)
        self.fleet = Fleet(
            deployment.tuning, self.scorer.completion_target_s, self.scorer.remaining_s
        )
        self.fleet.types = types
        self.interruptions = InterruptionStats()
        self.pending = PendingWork()
        self.attempts = Attempts(
            self.term,
            self.jobs,
            self.cluster,
            self.placement_records,
            Retries(self.term, self.jobs),
            self.pending,
        )
        self.commands = Commands(
            self.term,
            self.jobs,
            self.cluster,
            self.pending,
            self._direct_reply_received,
            self._direct_reply_missed,
        )
        self.writer = Writer(
            self.term,
            self.jobs,
            self.cluster,
            self.placement_records,
            self.decommission_records,
            self.pending,
            self._on_record,
            self._void_unrecorded,
            self._live_reread,
            self._end_recorded,
        )
        self.decommissioner = Decommissioner(self.term, self.pending)
        self.liveness = Liveness(deployment, self.cluster, election, self.decommissioner, now)
        self.machines = Machines(
            self.term,
            self.cluster,
            self.fleet,
            self.interruptions,
            self.decommission_records,
            self.attempts,
            self.liveness,
            self.decommissioner,
            self.pending,
        )
        self.gangs = GangControl(
            self.term,
            self.jobs,
            self.cluster,
            self.scorer,
            self.attempts,
            self.pending,
        )
        self.evacuation = Evacuation(
            self.term, self.run_times, self.interruptions, self.gangs, self.attempts
        )
        self.scheduler = Scheduler(
            self.term,
            self.jobs,
            self.cluster,
            self.fleet,
            self.scorer,
            self.run_times,
            self.machines,
            self.gangs,
            self.placement_records,
            self.pending,
            self.attempts,
            rng,
        )
        self.autoscaler = Autoscaler(
            self.term,
            self.jobs,
            self.cluster,
            self.fleet,
            self.scorer,
            self.interruptions,
            self.machines,
            self.decommissioner,
            self.evacuation,
        )
        self._full_cycle_at = now
        self._watch_at = now
        self._unknown_words: set[str] = set()
        """States and causes in reports that were logged as unknown."""
        self._progress_sent: dict[JobRef, tuple[int, int]] = {}

    # Taking over

    def load(
        self,
        live: list[Item],
        placement_records: list[Item],
        decommission_records: list[Item],
        now: Seconds,
    ) -> None:
        """Go on from what an earlier leader left in the store."""
        for item in live:
            job = self._read_job(item, now)
            self.jobs[job.ref] = job
        self.autoscaler.first_term = not (placement_records or decommission_records)
        self.placement_records.load(placement_records, self.jobs)
        self.writer.remove(self.placement_records.superseded())
        for item, job in zip(live, list(self.jobs.values()), strict=True):
            job.loaded()
            if job.begun:
                job.idle_since = now
            self._load_allocations(job, now)
            if item.value["aborted"]:
                self._cancel(job)
            elif job.gang:
                self.gangs.resume(job)
            self.pending.record_end_if_over(job)
        for machine_id in self.decommission_records.load(decommission_records):
            machine = self.machines.enter_recorded(machine_id)
            machine.decommissioning = machine.decommission_recorded = True

    def _read_job(self, item: Item, now: Seconds) -> Job:
        wall = WallTime(item.value["at"])
        submitted = Seconds(min(now, wall - self._wall_offset))
        job = Job(spec_of(item.value), item.version, submitted, self.placement_records.chunk_length)
        job.backfill = is_backfill(job.spec, self.deployment.teams)
        return job

    def _load_allocations(self, job: Job, now: Seconds) -> None:
        for chunk in job.chunks.values():
            for number, placed in chunk.placed.items():
                machine = self.machines.enter_recorded(placed.machine)
                allocation = Allocation(
                    TaskId(job.ref, number),
                    placed.attempt,
                    job.spec,
                    machine.id,
                    machine.zone,
                    placed.agent_epoch,
                    recorded=True,
                    sent=True,
                    placed_at=now,
                )
                self.cluster.add(machine, allocation)

    # Jobs as users change them

    def apply_job_changes(self, changes: Iterable[Item], now: Seconds) -> None:
        """Take in what users submitted or cancelled."""
        for change in changes:
            ref = JobRef(change.key.partition("/")[2])
            job = self.jobs.get(ref)
            if change.version == 0:
                continue
            if job is None:
                job = self.jobs[ref] = self._read_job(change, now)
                self.fleet.arrived(job, now)
                job.at_risk = self.interruptions.at_risk(job, self.scorer, now)
                self.pending.cycle_wanted = True
                if change.value["aborted"]:
                    self._cancel(job)
            elif change.version > job.version:
                job.version = change.version
                job.needs_reread = False
                self.pending.write_soon()
                if change.value["aborted"]:
                    self._cancel(job)

    def _cancel(self, job: Job) -> None:
        if job.cancelled:
            return
        job.cancelled = True
        self.pending.write_soon()
        for machine, allocation in list(self.cluster.allocations_of(job)):
            self.attempts.stop(machine, allocation, 0.0)
        self.pending.record_end_if_over(job)

    # Workers

    def receive_heartbeat(
        self, request: int, heartbeat: Heartbeat, now: Seconds, relayed: bool
    ) -> None:
        """Take in a worker's report and answer it."""
        if not relayed:
            self.liveness.reached(now)
        token = self.election.token
        if not self._may_answer(heartbeat, token, now):
            self.outbox.add(Response(request, 503, retry_after_s=1))
            return
        machine = self.machines.enter_reported(heartbeat)
        if self._outdated(machine, heartbeat):
            # Late, or repeated: the worker has given this one up and drops any answer.
            self.outbox.add(Response(request, 503, retry_after_s=1))
            return
        self.liveness.check_answers_arrive(machine, heartbeat, now)
        self._apply(machine, heartbeat, now, receive_heartbeat=True)
        self.liveness.heartbeat_received(now)
        if not machine.confirmed:
            self.pending.queue_heartbeat_requests([machine])
        self.commands.answer(request, machine, now, heartbeat.heartbeat_id.sequence)
        if now - machine.answered_at > ANSWERED_LEASES * self.deployment.lease_s:
            # Reports held up in a cut come all at once, long after their workers gave them up.
            machine.answered_from = now
        machine.last_heard = machine.answered_at = now
        shows_term = machine.shown_token >= self.term.began_token
        machine.last_answer = now if shows_term else max(machine.last_answer, now)

    def _may_answer(self, heartbeat: Heartbeat, token: Token | None, now: Seconds) -> bool:
        """Whether an answer of ours may renew this worker's lease."""
        if token is None or now > self.term.renew_until():
            return False
        if heartbeat.token > token:
            self.election.resign("a worker has seen a higher token")
            return False
        # A deleted machine's report is an old one that was held up on its way.
        return heartbeat.machine not in self.machines.tombstones

    def _outdated(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Not newer than what we know of the machine.

        A worker's highest token never falls while its sessions and tallies rise. A report that is
        newer by those and shows a lower token than we saw is of another life of that machine:
        an old copy from before it lost power, or one that has begun anew.
        """
        return (
            heartbeat.heartbeat_id <= machine.heartbeat_id or heartbeat.token < machine.shown_token
        )

    def _direct_reply_received(self, machine: Machine, heartbeat: Heartbeat) -> None:
        self.liveness.reached(self.term.now)
        if heartbeat.machine == machine.id:
            self.receive_direct_reply(heartbeat)

    def _direct_reply_missed(self, machine: Machine) -> None:
        self.liveness.missed(machine)

    def receive_direct_reply(self, heartbeat: Heartbeat) -> None:
        """A report that answers a direct message, ours or another controller's."""
        machine = self.cluster.machines.get(heartbeat.machine)
        if heartbeat.token > (self.election.token or 0):
            self.election.resign("a worker has seen a higher token")
        elif machine is not None and not self._outdated(machine, heartbeat):
            self.machines.describe(machine, heartbeat.type, heartbeat.zone, heartbeat.spot)
            self._apply(machine, heartbeat, self.term.now, receive_heartbeat=False)
            machine.last_heard = self.term.now

    def _apply(
        self, machine: Machine, heartbeat: Heartbeat, now: Seconds, receive_heartbeat: bool
    ) -> None:
        """Take in a report newer than all before it."""
        self._log_unknown_words(heartbeat)
        self._note_age(machine, heartbeat, now, receive_heartbeat)
        shows_term = heartbeat.token >= self.term.began_token
        if shows_term:
            # Without our token it may be a copy from before the machine lost power and began to
            # count anew: what was placed there since is in an earlier session, and runs.
            for allocation in self.cluster.allocations_before_epoch(
                machine, heartbeat.heartbeat_id.agent_epoch
            ):
                self.attempts.ended(machine, allocation)
        listed = {(task.task, task.attempt): task for task in heartbeat.tasks}
        machine.update_task_list(listed)
        for key, allocation in list(machine.allocations.items()):
            self._compare(machine, allocation, listed.get(key), now)
        if receive_heartbeat and machine.confirmed and self._restarted(machine, heartbeat):
            self.decommissioner.decommission(machine, "its agent epochs start again")
        # Last: what is withdrawn and not listed counts as gone, so the list must be this report's.
        if heartbeat.notice_s is not None and machine.reclaim_at is None:
            self.evacuation.notice_received(machine, heartbeat.notice_s)

    def _note_age(
        self, machine: Machine, heartbeat: Heartbeat, now: Seconds, receive_heartbeat: bool
    ) -> None:
        """What the report's session, tally and token say of the machine."""
        later_session = heartbeat.heartbeat_id.agent_epoch > machine.heartbeat_id.agent_epoch
        machine.heartbeat_id = heartbeat.heartbeat_id
        self.liveness.status_received()
        if receive_heartbeat:
            machine.heartbeat_sequence = heartbeat.heartbeat_id.sequence
        elif later_session:
            machine.heartbeat_sequence = 0
        machine.shown_token = max(machine.shown_token, heartbeat.token)
        if heartbeat.token >= self.term.began_token:
            # It has heard us: this is no copy from before our term.
            machine.confirmed = True
        if not machine.up:
            machine.up = True
            self.pending.cycle_wanted = True
        if later_session:
            # A session's lease also runs from its beginning, answered or not.
            machine.last_answer = max(machine.last_answer, now)
            machine.begin_agent_epoch()

    def _log_unknown_words(self, heartbeat: Heartbeat) -> None:
        """Once for each word: a later version of the workers may use more of them."""
        unknown = unknown_words(heartbeat) - self._unknown_words
        if unknown and len(self._unknown_words) < MAX_UNKNOWN_WORDS:
            self._unknown_words |= unknown
            words = ", ".join(repr(word[:40]) for word in sorted(unknown)[:5])
            self.outbox.log("info", f"machine {heartbeat.machine} reports unknown words: {words}")

    def _restarted(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """It counts its sessions from 1 again: they prove nothing of what was placed there."""
        return any(
            allocation.agent_epoch > heartbeat.heartbeat_id.agent_epoch
            for allocation in machine.allocations.values()
        )

    def _compare(
        self, machine: Machine, allocation: Allocation, task: TaskStatus | None, now: Seconds
    ) -> None:
        """What the newest report says of this attempt."""
        if task is None:
            allocation.listed = False
            if allocation.stopping and not machine.may_still_start(allocation):
                self.attempts.ended(machine, allocation)
            return
        allocation.listed = allocation.sent = True
        if task.state == heartbeats.EXITED:
            self._exited(machine, allocation, task, now)
            return
        allocation.state = task.state
        job = self.jobs.get(allocation.task.job)
        if job is not None and job.gang and task.state == heartbeats.WAITING:
            job.progress.waits(now)
        if task.state == heartbeats.RUNNING and allocation.running_since is None:
            self._runs(machine, allocation, job, now)

    def _runs(
        self, machine: Machine, allocation: Allocation, job: Job | None, now: Seconds
    ) -> None:
        """The attempt was seen to run for the first time."""
        allocation.running_since = now
        machine.use_image(allocation.spec.image, allocation.spec.image_gb, now)
        machine.images[allocation.spec.image] = min(now, machine.images[allocation.spec.image])
        if job is None:
            return
        if job.gang:
            job.progress.runs(now)
        waited_s = now - job.submitted
        if waited_s > SLOW_START_S and allocation.placed_at > self.term.began:
            self.outbox.log(
                "debug",
                f"task {allocation.task} ({allocation.spec.job_class}) runs {waited_s:.1f} s "
                f"after it was submitted, {now - allocation.placed_at:.1f} s after attempt "
                f"{allocation.attempt} was placed on {machine.id}",
            )

    def _exited(
        self, machine: Machine, allocation: Allocation, task: TaskStatus, now: Seconds
    ) -> None:
        cause = task.cause or ""
        if cause == heartbeats.DONE:
            self._learn_run_time(allocation, now)
            machine.errors.clear()
        job = self.jobs.get(allocation.task.job)
        if job is not None and job.gang and task.saved:
            job.progress.end_attempt(job.spec, now, saved=True)
        self.attempts.ended(machine, allocation, cause)

    def _learn_run_time(self, allocation: Allocation, now: Seconds) -> None:
        """Compare a completed run with its estimate, if it was a whole run that we saw begin.

        A gang runs as its slowest machine does and counts once, not once for each task.
        """
        whole = allocation.attempt == FIRST_ATTEMPT or allocation.spec.checkpoint_s <= 0
        if allocation.running_since is None or allocation.placed_at <= self.term.began or not whole:
            return
        job = self.jobs.get(allocation.task.job)
        if job is not None and job.gang and job.done_count:
            return
        self.run_times.learn(allocation.spec, now - allocation.running_since)

    # What the writer tells

    def _on_record(self, job: Job, numbers: list[int]) -> None:
        """The places of these tasks are on record: their starts may be sent."""
        for number in numbers:
            placed = job.chunk_of(number).placed[number]
            found = self.cluster.find(job.ref, number, placed.attempt, placed.machine)
            if found is None:
                continue
            machine, allocation = found
            allocation.recorded = True
            if not allocation.stopping:
                self.pending.send_soon(machine.id)
        if job.gang and numbers and job.whole:
            # Those recorded before waited for the last.
            for machine, _ in self.cluster.allocations_of(job):
                self.pending.send_soon(machine.id)

    def _void_unrecorded(self, job: Job) -> None:
        """The user cancelled the job: what was not on record was never sent, and is void."""
        for machine, allocation in list(self.cluster.allocations_of(job)):
            if not allocation.recorded:
                self.attempts.ended(machine, allocation)

    def _live_reread(self, item: Item) -> None:
        self.apply_job_changes([item], self.term.now)

    def _end_recorded(self, job: Job) -> None:
        """The job's end is on record: nothing needs to be known of it any more."""
        del self.jobs[job.ref]
        self._progress_sent.pop(job.ref, None)
        self.outbox.log("debug", f"job {job.ref} over")

    # Time

    def tick(self, now: Seconds) -> None:
        """What is due by now, ten times a second."""
        for job in self.jobs.values():
            if job.resting:
                job.wake(now)
        if self.pending.incomplete_gangs:
            self.pending.cycle_wanted = True
        self.liveness.tick()
        machines = len(self.cluster.machines)
        if now >= self._watch_at:
            self._watch_at = Seconds(now + machines / WATCHED_PER_S - TICK_SLACK_S)
            self.watch_machines(now)
        if self.term.retired:
            return
        self.commands.send_heartbeat_requests()
        if now >= self._full_cycle_at:
            self._full_cycle_at = Seconds(now + self.tuning.round_s)
            self.pending.cycle_wanted = True
            self.writer.remove(self.machines.forget_old(now, self.writer.writing))
            self.scheduler.dispatch_shards(now)
        self.autoscaler.adjust(now)
        self.machines.list_if_due(now, self.liveness.doubtful)
        self.machines.delete_recorded(now)

    def watch_machines(self, now: Seconds) -> None:
        """Whom to ask after, to free or to return."""
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
            self.machines.watch(machine, now)

    def finish_step(self, now: Seconds) -> None:
        """At the end of every step: plan, write what changed and send what was written."""
        if self.term.retired:
            return
        self.scheduler.run_if_due(now)
        self.writer.flush(now)
        self.commands.send_direct(now)

    # For display

    def progress(self) -> dict[str, tuple[int, int]]:
        """Done and running tasks of the jobs for which they changed: for display only."""
        running = Counter(
            allocation.task.job
            for machine in self.cluster.machines.values()
            for allocation in machine.allocations.values()
            if allocation.state == heartbeats.RUNNING
        )
        changed: dict[str, tuple[int, int]] = {}
        for job in self.jobs.values():
            if len(changed) >= MAX_COUNTS:
                break
            now = (job.done_count, running[job.ref])
            if self._progress_sent.get(job.ref) != now:
                self._progress_sent[job.ref] = changed[job.ref] = now
        return changed
