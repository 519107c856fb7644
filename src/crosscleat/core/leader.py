"""What the leading controller knows and decides: jobs, machines, placements and their records.

Writes go out one transaction at a time, so that the versions they compare are known and a
transaction without an answer is settled before the next: it is repeated until it is
answered, and a conflict that could stem from our own earlier try ends this leadership.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby
from random import Random

from . import reports
from .batch import Batch
from .budget import Budget
from .capacity import fetch_time, troubled, within
from .effects import (
    Answer,
    ClearOrder,
    Commit,
    Committed,
    Conflict,
    DeleteMachines,
    Direct,
    Found,
    Item,
    ListMachines,
    NoSuchLease,
    Order,
    Orders,
    Outbox,
    Part,
    Probe,
    Read,
    Rent,
    StartOrder,
    StopOrder,
)
from .election import Election
from .fleet import Fleet, PoolKey, Wanted
from .gangs import OnNotice, Phase, may_replace, on_notice, phase_of
from .ids import (
    NO_TOKEN,
    Attempt,
    JobRef,
    MachineId,
    Member,
    Seconds,
    Session,
    TaskId,
    Token,
    TypeName,
    Version,
    WallTime,
    Zone,
)
from .jobs import Job, Placement, live_key, spec_of
from .liveness import UNBROKEN_LEASES, Liveness
from .losses import Losses
from .model import Deployment, MachineType, Shape
from .parting import Proposal, owner, parted, shares_of, view_of
from .placements import NOWHERE, UNKNOWN_TYPE, AttemptKey, Hold, Ledger, Machine
from .records import DropRecords, WorkRecord, WorkRecords
from .reports import ListedMachine, Report, TaskReport, unknown_words
from .rounds import MOST_CHOICES, Round
from .scoring import RunTimes, Scorer

MARGIN_S = 1.5
"""Kept free of cancel_s for messages and timers."""
DRIFT = 1.001
"""Twice the 0.05% by which two steady clocks may differ, with a little to spare."""
START_CONTACT_S = 3.0
LAZY_S = 0.8
LAZY_WRITES = 4
ENDS_WRITES = 6
LIST_S = 10.0
LIST_WAIT_S = 2.0
SOON_LIST_S = 3.0
LISTED_BY_S = 60.0
SLOW_START_S = 2.0
ROTATE_S = 3.0
MOST_DIRECT_PAUSE_S = 48.0
MOST_GREETED = 30
"""In a tenth of a second."""
MOST_ORDERS = 300
MOST_DROPS = 100
PART_S = 0.4
"""How long an owner's part waits for its proposal."""
SUSPECT_JOBS = 2
AT_ONCE = (None, reports.STOPPED, reports.MATES_GONE, reports.INCOMPLETE)
"""Ends that say nothing against the task or its machine: it may be placed again at once."""
FULL_PAUSE_S = 4.0
"""For so long nothing is placed on a machine that refused a start for lack of room."""
FIRST_ATTEMPT = Attempt(1)
MOST_UNKNOWN_WORDS = 100
"""Of reports' unknown states and causes so many are remembered and logged."""
TOMBSTONE_S = 900.0
DROP_KEPT_S = 120.0


class Leader:
    def __init__(
        self,
        deployment: Deployment,
        election: Election,
        out: Outbox,
        rng: Random,
        types: dict[TypeName, MachineType],
        now: Seconds,
        wall: WallTime,
        cut: bool = True,
    ) -> None:
        self.deployment = deployment
        self.knobs = deployment.knobs
        self.election = election
        self.out = out
        self.rng = rng
        self.now = now
        self.began = now
        self.began_token = election.token or 0
        self._wall_offset = wall - now
        self.jobs: dict[JobRef, Job] = {}
        self.ledger = Ledger()
        self.work = WorkRecords(deployment.value_kb, deployment.txn_ops, cut)
        self.drops = DropRecords(deployment.value_kb)
        self.run_times = RunTimes()
        self.scorer = Scorer(deployment, self.run_times)
        self.fleet = Fleet(deployment.knobs, self.scorer.due, self.scorer.remaining_s)
        self.fleet.types = types
        self.losses = Losses()
        self.watched = now
        """When the watch that last answered was opened, or the live jobs were asked for: no
        cancellation before it is unknown."""
        self.tombstones: dict[MachineId, Seconds] = {}
        """Machines that are gone, and since when: old reports of them may still arrive."""
        self._garbage: deque[tuple[str, Version]] = deque()
        self._unwritten = True
        """Starts, ends or deletions may wait to be written; progress waits for its own time."""
        self._ending: dict[JobRef, Job] = {}
        """Jobs that are over, but for the transaction that says so."""
        self._drops_done: deque[tuple[Seconds, MachineId]] = deque()
        self._writing = False
        self.retired = False
        """Another term has begun or none: late answers must not act for this one."""
        self._lazy_flush = now
        self._kick: set[MachineId] = set()
        self._to_greet: deque[Machine] = deque()
        self._changed = True
        self._round_at = now
        self._full_round_at = now
        self._first = False
        self._renting = False
        self._rent_number = 0
        self._judged_at = now
        self._rent_at = now
        self._listing = False
        self._list_at = now
        self._listed_at = now
        self._rotate_wanted = False
        self._rotated_at = now
        self._part_number = 0
        self._parts: dict[Member, Seconds] = {}
        """Owners that plan their part just now, and until when we wait for them."""
        self._punctual: set[Member] = set()
        """Owners whose last proposal came in time: the others are not waited for."""
        self._incomplete: dict[JobRef, Job] = {}
        """Gangs that may still wait for a task that was lost."""
        self._unknown_words: set[str] = set()
        """States and causes in reports that were logged as unknown."""
        self._progress_sent: dict[JobRef, tuple[int, int]] = {}
        self.budget: Budget | None = None
        self.liveness = Liveness(
            deployment, self.ledger, election, self.drop, self._greet, self._ask, now
        )

    # Taking over

    def load(self, live: list[Item], work: list[Item], drops: list[Item], now: Seconds) -> None:
        for item in live:
            job = self._read_job(item, now)
            self.jobs[job.ref] = job
        self._first = not (work or drops)
        self.work.load(work, self.jobs)
        self._garbage.extend(self.work.superseded())
        for item, job in zip(live, list(self.jobs.values()), strict=True):
            job.loaded()
            if job.begun:
                job.idle_since = now
            self._load_holds(job, now)
            if item.value["aborted"]:
                self._abort(job)
            elif job.gang:
                self._resume(job)
            self._see_end(job)
        for machine_id in self.drops.load(drops):
            machine = self.ledger.machines.get(machine_id) or self._shell(machine_id, now)
            machine.dropping = machine.drop_recorded = True

    def _read_job(self, item: Item, now: Seconds) -> Job:
        wall = WallTime(item.value["at"])
        submitted = Seconds(min(now, wall - self._wall_offset))
        return Job(spec_of(item.value), item.version, submitted, self.work.span)

    def _resume(self, job: Job) -> None:
        """A gang as an earlier leader left it: whole, it goes on; else it is completed or ended.

        Of one that is not whole on record no start was sent, or a part of it is gone.
        """
        if job.done_count:
            job.finish_unplaced()
        elif job.partly_placed:
            # Its tasks may wait yet: decided once all its machines are heard of.
            self._incomplete[job.ref] = job

    def _load_holds(self, job: Job, now: Seconds) -> None:
        for stretch in job.stretches.values():
            for index, placed in stretch.placed.items():
                machine = self.ledger.machines.get(placed.machine) or self._shell(
                    placed.machine, now
                )
                hold = Hold(
                    TaskId(job.ref, index),
                    placed.attempt,
                    job.spec,
                    machine.id,
                    machine.zone,
                    placed.session,
                    recorded=True,
                    sent=True,
                    placed_at=now,
                )
                self.ledger.add(machine, hold)

    def _shell(self, machine_id: MachineId, now: Seconds) -> Machine:
        """A machine that a record names and that nobody has described yet."""
        machine = Machine(machine_id, UNKNOWN_TYPE, NOWHERE, False)
        self._enter(machine, now)
        return machine

    def _enter(self, machine: Machine, now: Seconds) -> None:
        machine.born = machine.last_heard = now
        machine.risk_token = self.began_token - 1
        # An earlier leader's last contact was before our election.
        machine.last_answer = Seconds(self.began + self._renew_s() * DRIFT)
        self.ledger.machines[machine.id] = machine

    def _renew_s(self) -> float:
        """For how long after its last contact with the store a leader renews leases."""
        d = self.deployment
        return max(0.0, d.cancel_s - d.lease_s - MARGIN_S)

    def _contact(self) -> Seconds:
        """When the store last confirmed that we lead and told us of all cancellations."""
        return min(self.election.contact, self.watched)

    def renew_until(self) -> Seconds:
        """No lease is renewed later: a cancellation accepted elsewhere must still hold."""
        return Seconds(self._contact() + self._renew_s() / DRIFT)

    def may_start(self, now: Seconds) -> bool:
        return self.election.leading and now - self._contact() <= START_CONTACT_S

    # Jobs as users change them

    def live_news(self, changes: Iterable[Item], now: Seconds) -> None:
        for change in changes:
            ref = JobRef(change.key.partition("/")[2])
            job = self.jobs.get(ref)
            if change.version == 0:
                continue
            if job is None:
                job = self.jobs[ref] = self._read_job(change, now)
                self.fleet.arrived(job, now)
                job.at_risk = self.losses.at_risk(job, self.scorer, now)
                self._changed = True
                if change.value["aborted"]:
                    self._abort(job)
            elif change.version > job.version:
                job.version = change.version
                job.settling = False
                self._unwritten = True
                if change.value["aborted"]:
                    self._abort(job)

    def _abort(self, job: Job) -> None:
        if job.aborted:
            return
        job.aborted = self._unwritten = True
        for machine, hold in list(self._holds_of(job)):
            self._withdraw(machine, hold, 0.0)
        self._see_end(job)

    def _see_end(self, job: Job) -> None:
        if job.over():
            self._ending[job.ref] = job

    def _withdraw(self, machine: Machine, hold: Hold, grace_s: float) -> None:
        """Stop the attempt; its hold stays until it is proven gone."""
        hold.withdrawn = True
        hold.grace_s = grace_s
        self._kick.add(machine.id)
        if not hold.listed and not machine.may_still_start(hold):
            self._gone(machine, hold, self.now, None)

    # Workers

    def check_in(self, request: int, report: Report, now: Seconds, relayed: bool) -> None:
        if not relayed:
            self.liveness.reached(now)
        token = self.election.token
        if token is None or now > self.renew_until():
            self.out.add(Answer(request, 503, retry_after_s=1))
            return
        if report.token > token:
            self.out.add(Answer(request, 503, retry_after_s=1))
            self.election.resign("a worker has seen a higher token")
            return
        if report.machine in self.tombstones:
            # Deleted, so this is an old report held up on its way.
            self.out.add(Answer(request, 503, retry_after_s=1))
            return
        machine = self._machine_of(report, now)
        if self._outdated(machine, report):
            # Late, or repeated: the worker has given this one up and drops any answer.
            self.out.add(Answer(request, 503, retry_after_s=1))
            return
        self.liveness.listen(machine, report, now)
        self._apply(machine, report, now, check_in=True)
        self.liveness.checked_in(now)
        if not machine.known:
            self._to_greet.append(machine)
        orders = self._orders(machine, now, report.seen.tally)
        if now - machine.answered_at > UNBROKEN_LEASES * self.deployment.lease_s:
            # Reports held up in a cut come all at once, long after their workers gave them up.
            machine.answered_from = now
        machine.last_heard = machine.answered_at = now
        machine.last_answer = (
            now if machine.shown_token >= self.began_token else max(machine.last_answer, now)
        )
        self.out.add(Orders(request, token, tuple(orders)))

    def _outdated(self, machine: Machine, report: Report) -> bool:
        """Not newer than what we know of the machine.

        A worker's highest token never falls while its sessions and tallies rise. A report that is
        newer by those and shows a lower token than we saw is of another life of that machine:
        an old copy from before it lost power, or one that has begun anew.
        """
        return report.seen <= machine.seen or report.token < machine.shown_token

    def _machine_of(self, report: Report, now: Seconds) -> Machine:
        machine = self.ledger.machines.get(report.machine)
        if machine is None:
            machine = Machine(report.machine, UNKNOWN_TYPE, report.zone, report.spot)
            self._enter(machine, now)
        self._describe(machine, report.type, report.zone, report.spot)
        machine.address = report.address
        return machine

    def _describe(self, machine: Machine, kind: TypeName, zone: Zone, spot: bool) -> None:
        if machine.type is not UNKNOWN_TYPE:
            return
        machine.type = self.fleet.types.get(kind, UNKNOWN_TYPE)
        machine.spot = spot
        if machine.zone != zone:
            holds = list(machine.holds.values())
            for hold in holds:
                self.ledger.remove(machine, hold)
            machine.zone = zone
            for hold in holds:
                hold.zone = zone
                self.ledger.add(machine, hold)

    def _apply(self, machine: Machine, report: Report, now: Seconds, check_in: bool) -> None:
        """Take in a report newer than all before it."""
        later_session = report.seen.session > machine.seen.session
        machine.seen = report.seen
        self.liveness.heard()
        if check_in:
            machine.checked = report.seen.tally
        elif later_session:
            machine.checked = 0
        machine.shown_token = max(machine.shown_token, report.token)
        if report.token >= self.began_token:
            # It has heard us: this is no copy from before our term.
            machine.known = True
        if not machine.up:
            machine.up = True
            self._changed = True
        if later_session:
            # A session's lease also runs from its beginning, answered or not.
            machine.last_answer = max(machine.last_answer, now)
            machine.exited.clear()
            machine.strays.clear()
            machine.direct_starts.clear()
        if report.token >= self.began_token:
            # Without our token it may be a copy from before the machine lost power and began to
            # count anew: what was placed there since is in an earlier session, and runs.
            for hold in self.ledger.before_session(machine, report.seen.session):
                self._gone(machine, hold, now, None)
        self._log_unknown_words(report)
        listed = {(task.task, task.attempt): task for task in report.tasks}
        machine.exited = {
            key: task.cause or "" for key, task in listed.items() if task.state == reports.EXITED
        }
        if len(machine.direct_starts) > 2 * len(listed) + 20:
            machine.direct_starts = {
                key: token
                for key, token in machine.direct_starts.items()
                if key in listed or key in machine.holds
            }
        machine.strays = {
            key
            for key, task in listed.items()
            if task.state != reports.EXITED and key not in machine.holds
        }
        for key, hold in list(machine.holds.items()):
            self._compare(machine, hold, listed.get(key), now)
        if check_in and machine.known and self._restarted(machine, report):
            self.drop(machine, "it has begun anew")
        # Last: what is withdrawn and not listed counts as gone, so the list must be this report's.
        if report.notice_s is not None and machine.recall_at is None:
            machine.recall_at = Seconds(now + report.notice_s)
            self.losses.taken()
            self._evacuate(machine, report.notice_s, now)

    def _log_unknown_words(self, report: Report) -> None:
        """Once for each word: a later version of the workers may use more of them."""
        unknown = unknown_words(report) - self._unknown_words
        if unknown and len(self._unknown_words) < MOST_UNKNOWN_WORDS:
            self._unknown_words |= unknown
            words = ", ".join(repr(word[:40]) for word in sorted(unknown)[:5])
            self.out.note("info", f"machine {report.machine} reports unknown words: {words}")

    def _restarted(self, machine: Machine, report: Report) -> bool:
        """It counts its sessions from 1 again: they prove nothing of what was placed there."""
        return any(hold.session > report.seen.session for hold in machine.holds.values())

    def _compare(self, machine: Machine, hold: Hold, task: TaskReport | None, now: Seconds) -> None:
        if task is None:
            hold.listed = False
            if hold.withdrawn and not machine.may_still_start(hold):
                self._gone(machine, hold, now, None)
            return
        hold.listed = hold.sent = True
        if task.state == reports.EXITED:
            self._exited(machine, hold, task, now)
            return
        hold.state = task.state
        job = self.jobs.get(hold.task.job)
        if job is not None and job.gang and task.state == reports.WAITING:
            job.progress.waits(now)
        if task.state == reports.RUNNING and hold.running_since is None:
            hold.running_since = now
            if job is not None and job.gang:
                job.progress.runs(now)
            waited = now - self._submitted(hold, now)
            if waited > SLOW_START_S and hold.placed_at > self.began:
                self.out.note(
                    "debug",
                    f"task {hold.task} ({hold.spec.job_class}) runs {waited:.1f} s after it was "
                    f"submitted, {now - hold.placed_at:.1f} s after attempt {hold.attempt} was "
                    f"placed on {machine.id}",
                )
            machine.use_image(hold.spec.image, hold.spec.image_gb, now)
            machine.images[hold.spec.image] = min(now, machine.images[hold.spec.image])

    def _submitted(self, hold: Hold, now: Seconds) -> Seconds:
        job = self.jobs.get(hold.task.job)
        return now if job is None else job.submitted

    def _exited(self, machine: Machine, hold: Hold, task: TaskReport, now: Seconds) -> None:
        cause = task.cause or ""
        if cause == reports.DONE:
            self._learn_run_time(hold, now)
            machine.errors.clear()
        job = self.jobs.get(hold.task.job)
        if job is not None and job.gang and task.saved:
            job.progress.end_attempt(job.spec, now, saved=True)
        self._gone(machine, hold, now, cause)

    def _learn_run_time(self, hold: Hold, now: Seconds) -> None:
        """Compare a completed run with its estimate, if it was a whole run that we saw begin.

        A gang runs as its slowest machine does and counts once, not once for each task.
        """
        whole = hold.attempt == FIRST_ATTEMPT or hold.spec.checkpoint_s <= 0
        if hold.running_since is None or hold.placed_at <= self.began or not whole:
            return
        job = self.jobs.get(hold.task.job)
        if job is not None and job.gang and job.done_count:
            return
        self.run_times.learn(hold.spec, now - hold.running_since)

    def _gone(self, machine: Machine, hold: Hold, now: Seconds, cause: str | None) -> None:
        """The attempt is proven gone, by its exit's cause or, with None, without a result."""
        self.ledger.remove(machine, hold)
        self._changed = self._unwritten = True
        job = self.jobs.get(hold.task.job)
        if job is None or not job.is_current(hold.task.number, hold.attempt, machine.id):
            return
        index = hold.task.number
        job.idle_since = now
        self.work.of(job, job.stretch_of(index)).want(None, now)
        if cause == reports.DONE or (job.gang and job.done_count):
            # A gang's tasks complete together: of one of which a task is done, the others have
            # ended with that result too, or after it with their machine.
            job.finish(index)
            if job.gang:
                job.finish_unplaced()
            self._see_end(job)
            return
        if job.aborted:
            job.requeue(index, None)
            self._see_end(job)
            return
        if job.gang:
            replaceable = may_replace(cause, self._holds_of(job, but=index))
            if replaceable:
                job.progress.lost_on.add(machine.id)
                self._incomplete[job.ref] = job
            elif job.progress.stopped_at is None:
                self._end_attempt(job)
        if cause in AT_ONCE or (job.gang and cause == reports.NO_ROOM):
            if cause == reports.NO_ROOM:
                machine.full_until = Seconds(now + FULL_PAUSE_S)
            job.requeue(index, None)
            return
        pause = 2.0
        if cause == reports.ERROR:
            failures = job.failures.get(index, 0) + 1
            job.failures[index] = failures
            job.failed_on.add(machine.id)
            machine.errors.add(job.ref)
            pause = min(60.0, 0.5 * 2.0**failures) if failures > 1 or not job.succeeded else 0.0
            if not machine.suspect and self._blamed(machine):
                machine.suspect = True
                self.out.note("info", f"machine {machine.id}: several jobs fail on it, draining")
        elif cause == reports.NO_ROOM:
            machine.full_until = Seconds(now + FULL_PAUSE_S)
            pause = 0.3
        job.requeue(index, Seconds(now + pause))

    def _end_attempt(self, job: Job) -> None:
        """A task of the gang is gone: the others are stopped.

        With no grace: their progress since the last checkpoint is lost, or saved already.
        """
        self._stop_gang(job, 0.0)

    def _stop_gang(self, job: Job, grace_s: float) -> None:
        """All that is left of it is stopped at once, and placed anew together when the last is
        proven gone."""
        self._incomplete.pop(job.ref, None)
        job.progress.stops(self.now)
        going_on = [(m, hold) for m, hold in self._holds_of(job) if not hold.withdrawn]
        for _, hold in going_on:
            # All before any is found gone: the end of one must not end the attempt once more.
            hold.withdrawn = True
        for machine, hold in going_on:
            self._withdraw(machine, hold, grace_s)

    def _complete_gangs(self, now: Seconds) -> None:
        """Replace lost tasks of gangs that still wait, under the number of their attempt."""
        for job in list(self._incomplete.values()):
            if job.aborted or not job.partly_placed:
                self._incomplete.pop(job.ref, None)
                continue
            phase = phase_of(self._holds_of(job))
            if phase is Phase.UNHEARD or job.settling:
                continue
            self._incomplete.pop(job.ref, None)
            if phase is not Phase.WAITING or not self._complete_gang(job, now):
                self._end_attempt(job)

    def _complete_gang(self, job: Job, now: Seconds) -> bool:
        """Place the missing tasks where they can start while the others still wait."""
        missing = job.spec.tasks - job.placed_count()
        if missing != job.waiting_count():
            return False
        waiting_since = job.progress.waiting_since
        waited_s = 0.0 if waiting_since is None else now - waiting_since
        machines = [
            machine
            for machine in self.ledger.machines.values()
            if machine.id not in job.progress.lost_on and self.usable(machine, now)
        ]
        left_s = self.deployment.gang_wait_s - waited_s
        choices = self._new_round(now).complete_gang(job, machines, left_s)
        for choice in choices:
            self._place(job, self.ledger.machines[choice.machine], now)
        if job.placed_count() < job.spec.tasks:
            return False
        self.out.note("info", f"job {job.ref}: {missing} lost tasks of a waiting gang replaced")
        return True

    def _holds_of(self, job: Job, but: int | None = None) -> Iterator[tuple[Machine, Hold]]:
        """Where the job's tasks may be, leaving out the one with the index `but`."""
        for stretch in job.stretches.values():
            for index, placed in list(stretch.placed.items()):
                found = self._hold_of(job, index, placed) if index != but else None
                if found is not None:
                    yield found

    def _hold_of(self, job: Job, index: int, placed: Placement) -> tuple[Machine, Hold] | None:
        machine = self.ledger.machines.get(placed.machine)
        hold = machine and machine.holds.get((TaskId(job.ref, index), placed.attempt))
        return (machine, hold) if machine and hold else None

    def _blamed(self, machine: Machine) -> bool:
        """Whether several jobs failed on it, leaving out those that fail wherever they are."""
        jobs = (self.jobs.get(JobRef(ref)) for ref in machine.errors)
        return sum(1 for job in jobs if job and not troubled(job)) >= SUSPECT_JOBS

    def _orders(self, machine: Machine, now: Seconds, answering: int | None) -> list[Order]:
        """What the worker is to do; `answering` is the tally of the check-in answered."""
        orders: list[Order] = []
        may_start = self.may_start(now)
        for hold in machine.holds.values():
            if hold.withdrawn:
                if hold.listed:
                    orders.append(StopOrder(str(hold.task), hold.attempt, hold.grace_s))
                elif machine.shown_token <= machine.risk_token:
                    self._want_rotation(machine)
            elif hold.recorded and not hold.listed and may_start:
                if hold.session != machine.seen.session or not self._startable(hold):
                    continue
                orders.append(StartOrder(str(hold.task), hold.attempt))
                hold.sent = True
                if answering is not None:
                    hold.answered_at = answering
        for task, attempt in machine.strays:
            orders.append(StopOrder(str(task), attempt, 0.0))
        orders.extend(
            ClearOrder(str(key[0]), key[1])
            for key in machine.exited
            if self._clearable(machine, key)
        )
        return orders[:MOST_ORDERS]

    def _startable(self, hold: Hold) -> bool:
        """No task of a gang is started before the store has the places of all."""
        if hold.spec.shape is not Shape.GANG:
            return True
        job = self.jobs.get(hold.task.job)
        return job is not None and job.whole

    def _clearable(self, machine: Machine, key: AttemptKey) -> bool:
        """Once cleared, the attempt is unknown to the worker and a late start would start it again.

        So no start may be on its way any more, and the store must not name it any more, or
        the next leader would send one.
        """
        if machine.direct_in_flight:
            return False
        # A direct start may come twice even if it was answered. A result is kept, so a task that
        # is done can be started again without harm.
        repeated = (
            NO_TOKEN if machine.exited[key] == reports.DONE else machine.direct_starts.get(key)
        )
        if machine.shown_token <= max(machine.risk_token, repeated or NO_TOKEN):
            self._want_rotation(machine)
            return False
        task, attempt = key
        job = self.jobs.get(task.job)
        if job is None:
            return True
        stretch = job.stretches.get(task.number // job.span)
        return stretch is None or (task.number, attempt, machine.id) not in stretch.recorded

    def _want_rotation(self, machine: Machine) -> None:
        """Only a higher token rules out that a lost direct message is executed after all."""
        if machine.shown_token >= self.began_token:
            self._rotate_wanted = True

    def _send_direct(self, now: Seconds) -> None:
        token = self.election.token
        kick, self._kick = self._kick, set()
        if token is None:
            return
        for machine_id in kick:
            machine = self.ledger.machines.get(machine_id)
            if machine is None or machine.address is None or not machine.up or machine.dropping:
                continue
            if machine.direct_in_flight:
                self._kick.add(machine_id)
                continue
            if now < machine.direct_after:
                continue
            orders = [o for o in self._orders(machine, now, None) if not isinstance(o, ClearOrder)]
            if not orders:
                continue
            self._direct(machine, machine.seen.session, tuple(orders))

    def _greet_some(self) -> None:
        """A new leader greets all machines, a few at a time: hundreds of messages at once would
        keep its own renewal and the first starts waiting."""
        greeted = 0
        while self._to_greet and greeted < MOST_GREETED:
            machine = self._to_greet.popleft()
            if not (machine.up and machine.known) and machine.id in self.ledger.machines:
                greeted += 1
                self._greet(machine)

    def _greet(self, machine: Machine) -> None:
        """No orders: the answer brings the worker's report, and shows it our token."""
        if machine.direct_in_flight:
            return
        self._direct(machine, self._session_of(machine), ())

    def _session_of(self, machine: Machine) -> Session:
        placed = (hold.session for hold in machine.holds.values())
        return max(machine.seen.session, Session(1), *placed)

    def _direct(self, machine: Machine, session: Session, orders: tuple[Order, ...]) -> None:
        token = self.election.token
        if token is None or machine.address is None:
            return
        # Lost orders other than starts can do no harm later, so they put no token at risk.
        machine.direct_in_flight = True
        starts = [order for order in orders if isinstance(order, StartOrder)]
        for order in starts:
            task = TaskId.parse(order.task)
            if task is not None:
                machine.direct_starts[task, Attempt(order.attempt)] = token
        done = self._direct_done(machine, token if starts else NO_TOKEN)
        self.out.add(Direct(machine.address, token, session, orders, done))

    def _direct_done(
        self, machine: Machine, risked: Token
    ) -> Callable[[Report | None, bool], None]:
        def done(report: Report | None, perhaps: bool) -> None:
            machine.direct_in_flight = False
            if self.retired:
                return
            if report is None:
                machine.direct_misses += 1
                pause = min(MOST_DIRECT_PAUSE_S, 1.5 * 2.0**machine.direct_misses)
                machine.direct_after = Seconds(self.now + pause)
                self.liveness.missed(machine)
                if perhaps:
                    machine.risk_token = max(machine.risk_token, risked)
                return
            machine.direct_misses = 0
            self.liveness.reached(self.now)
            if report.machine == machine.id:
                self.hear_directly(report)

        return done

    def hear_directly(self, report: Report) -> None:
        """A report that answers a direct message, ours or another controller's."""
        machine = self.ledger.machines.get(report.machine)
        if report.token > (self.election.token or 0):
            self.election.resign("a worker has seen a higher token")
        elif machine is not None and not self._outdated(machine, report):
            self._describe(machine, report.type, report.zone, report.spot)
            self._apply(machine, report, self.now, check_in=False)
            machine.last_heard = self.now

    def _ask(self, machine: Machine) -> None:
        """Ask after a silent machine, through the other controllers too."""
        token = self.election.token
        if machine.address is not None and token is not None:
            self._greet(machine)
            self.out.add(Probe(machine.address, token, self._session_of(machine)))

    # Machines

    def _evacuate(self, machine: Machine, notice_s: float, now: Seconds) -> None:
        """Stop what the notice leaves no time for, so that it starts elsewhere sooner."""
        self.out.note("info", f"machine {machine.id}: to be taken back in {notice_s:.0f} s")
        self._evacuate_gangs(machine, now)
        for hold in list(machine.holds.values()):
            spec = hold.spec
            if spec.shape is Shape.GANG:
                continue
            ran = now - (hold.running_since if hold.running_since is not None else now)
            if self.run_times.estimate(spec) - ran < 0.7 * notice_s:
                continue
            saves = spec.checkpoint_s > 0 and spec.save_s < 0.5 * notice_s
            grace_s = spec.save_s if saves else 0.0
            self._withdraw(machine, hold, grace_s)

    def _evacuate_gangs(self, machine: Machine, now: Seconds) -> None:
        """Decide what becomes of the gangs on a machine that is to be taken back."""
        if machine.recall_at is None:
            return
        for hold in list(machine.holds.values()):
            job = self.jobs.get(hold.task.job)
            if job is None or not job.gang or job.aborted or hold.replaced:
                continue
            left_to_run_s = self.scorer.remaining_s(job) - job.progress.ran_s(now)
            decision = on_notice(
                job.spec,
                list(self._holds_of(job)),
                left_to_run_s,
                machine.recall_at - now,
                self.deployment,
                now,
            )
            if decision is OnNotice.REPLACE:
                hold.replaced = True
                self._withdraw(machine, hold, 0.0)
            elif decision is OnNotice.STOP_AND_SAVE:
                self._stop_gang(job, job.spec.save_s)
            elif decision is OnNotice.STOP:
                self._stop_gang(job, 0.0)

    def drop(self, machine: Machine, why: str) -> None:
        """Decide to delete it: recorded first, then final."""
        if not machine.dropping:
            machine.dropping = self._unwritten = True
            self.out.note("info", f"machine {machine.id}: returned ({why})")

    def _delete_recorded(self, now: Seconds) -> None:
        ready = [
            m
            for m in self.ledger.machines.values()
            if m.drop_recorded and (m.delete_sent is None or now - m.delete_sent > 4.0)
        ][:100]
        if not ready:
            return
        for machine in ready:
            machine.delete_sent = now
        self.out.add(
            DeleteMachines(tuple(m.id for m in ready), lambda ok: self._deleted(ready, ok))
        )

    def _deleted(self, machines: list[Machine], ok: bool) -> None:
        now = self.now
        if self.retired:
            return
        for machine in machines:
            if not ok:
                machine.delete_sent = Seconds(now - 3.0)
                continue
            for hold in list(machine.holds.values()):
                self._gone(machine, hold, now, None)
            if machine.mute:
                self.liveness.given_up(machine, now)
                if machine.spot:
                    self.losses.taken()
            self.ledger.machines.pop(machine.id, None)
            self.tombstones[machine.id] = now
            self._drops_done.append((now, machine.id))

    def _watch_machines(self, now: Seconds) -> None:
        machines = list(self.ledger.machines.values())
        self.liveness.watch(machines, now)
        if self.retired:
            return
        silent_s = self.liveness.silent_s
        for machine in machines:
            self._lease_run_out(machine, now)
            busy = bool(machine.holds or machine.exited or machine.strays)
            if busy or not machine.up:
                machine.idle_since = None
            elif machine.idle_since is None:
                machine.idle_since = now
            if machine.dropping:
                continue
            if machine.recall_at is not None and machine.holds:
                self._evacuate_gangs(machine, now)
            if machine.up:
                if self.liveness.silent(machine, now):
                    machine.mute = True
                    self.drop(machine, f"silent for {now - machine.last_heard:.0f} s")
                elif (machine.suspect or machine.recall_at is not None) and not machine.holds:
                    self.drop(machine, "drained")
            elif machine.type is UNKNOWN_TYPE and now - machine.born > silent_s + LIST_WAIT_S:
                self.drop(machine, "only on record, neither listed nor heard")
            elif now > max(machine.born + 4.0 * machine.type.boot_s + 20.0, self.began + silent_s):
                self.drop(machine, "never came up")

    def _lease_run_out(self, machine: Machine, now: Seconds) -> None:
        lease_s = self.deployment.lease_s * DRIFT + 0.2
        if machine.holds and now > machine.last_answer + lease_s:
            for hold in list(machine.holds.values()):
                self._gone(machine, hold, now, None)

    def usable(self, machine: Machine, now: Seconds) -> bool:
        return (
            machine.up
            and not machine.dropping
            and not machine.suspect
            and not machine.strays
            and machine.recall_at is None
            and machine.full_until <= now
            and machine.type is not UNKNOWN_TYPE
            and machine.known
            and machine.deaf_since is None
            and now - machine.last_heard < 1.25 * self.deployment.report_s + 1.0
        )

    def listed(self, machines: list[ListedMachine] | None) -> None:
        self._listing = False
        if machines is None or self.retired:
            return
        now = self.now
        self._miss({entry.id for entry in machines}, now)
        unheard = []
        for entry in machines:
            if entry.id in self.tombstones:
                continue
            machine = self.ledger.machines.get(entry.id)
            if machine is None:
                machine = Machine(entry.id, UNKNOWN_TYPE, entry.zone, entry.spot)
                self._enter(machine, now)
            self._describe(machine, entry.type, entry.zone, entry.spot)
            machine.listed = True
            machine.listed_running = entry.state == "running"
            machine.address = machine.address or entry.address
            machine.born = min(machine.born, Seconds(now - entry.age_s))
            if not machine.up and entry.state == "running":
                # Not heard of in this term: ask, rather than wait for its next check-in.
                unheard.append(machine)
            if entry.state == "failed":
                self.drop(machine, "failed")
        # First those with the most room: work may wait for it.
        self._to_greet.extend(sorted(unheard, key=lambda m: m.used_cpus))

    def _miss(self, named: set[MachineId], now: Seconds) -> None:
        """What was listed stays listed until it is gone; a list may only be older than another."""
        quiet_s = self.liveness.quiet_s
        for machine in self.ledger.machines.values():
            if (
                machine.listed
                and machine.id not in named
                and now - machine.born > LISTED_BY_S
                and now - machine.last_heard > quiet_s
            ):
                self.drop(machine, "no longer listed")

    def types_changed(self) -> None:
        """Prices moved: machines refer to their type as it was described last."""
        for machine in self.ledger.machines.values():
            machine.type = self.fleet.types.get(machine.type.name, machine.type)

    # Rounds

    def tick(self, now: Seconds) -> None:
        for job in self.jobs.values():
            if job.resting:
                job.wake(now)
        if self._incomplete:
            self._changed = True
        self._watch_machines(now)
        if self.retired:
            return
        self._greet_some()
        if now >= self._full_round_at:
            self._full_round_at = Seconds(now + self.knobs.round_s)
            self._changed = True
            self._purge(now)
            self._part_out(now)
        self._adjust_fleet(now)
        if self.liveness.doubtful:
            self._list_at = min(self._list_at, Seconds(self._listed_at + SOON_LIST_S))
        if not self._listing and now >= self._list_at:
            self._listed_at = now
            self._list_at = Seconds(now + LIST_S)
            self._listing = True
            self.out.add(ListMachines(self.listed))
        self._delete_recorded(now)

    def settle(self, now: Seconds) -> None:
        """At the end of every step: plan, write what changed and send what was written."""
        if self.retired:
            return
        if self._changed and now >= self._round_at:
            self._round_at = Seconds(now + self.knobs.prompt_round_s)
            self._changed = False
            self._round(now)
        self._flush(now)
        if self._kick:
            self._send_direct(now)

    def _purge(self, now: Seconds) -> None:
        old = [m for m, at in self.tombstones.items() if now - at > TOMBSTONE_S]
        for machine_id in old:
            del self.tombstones[machine_id]
        # Kept for a while, so that a successor too knows old reports for what they are.
        # Not under a write, which may be changing the very record.
        while not self._writing and self._drops_done and now - self._drops_done[0][0] > DROP_KEPT_S:
            empty = self.drops.forget(self._drops_done.popleft()[1])
            if empty is not None and empty.version:
                self._garbage.append((empty.key, empty.version))

    def _round(self, now: Seconds) -> None:
        if not self.may_start(now) or not self.fleet.types:
            return
        if self._incomplete:
            self._complete_gangs(now)
        jobs = list(self._plannable())
        machines = [m for m in self.ledger.machines.values() if self.usable(m, now)]
        mine = [job for job in jobs if not self._elsewhere(job, now)]
        reservations = None
        if len(mine) < len(jobs):
            reservations = self._new_round(now).reservations(jobs, machines)
        planned = self._new_round(now).plan(mine, machines, MOST_CHOICES, reservations)
        for ref, choices in groupby(planned, key=lambda choice: choice.job):
            machines_chosen = [self.ledger.machines[choice.machine] for choice in choices]
            if self.jobs[ref].gang:
                self._place_gang(self.jobs[ref], machines_chosen, now)
                continue
            for machine in machines_chosen:
                self._place(self.jobs[ref], machine, now)
        if len(planned) >= MOST_CHOICES:
            self._changed = True

    def _new_round(self, now: Seconds) -> Round:
        return Round(
            self.ledger,
            self.scorer,
            self.deployment.teams,
            self.rng,
            now,
            self.knobs.drop_threshold,
            self.reserve(),
            self.fleet.firm.one_job(),
        )

    def _plannable(self) -> Iterator[Job]:
        return (job for job in self.jobs.values() if not job.aborted and not job.settling)

    # Parting

    def _part_out(self, now: Seconds) -> None:
        """At a full round, give the other owners their part of what waits."""
        if not self.may_start(now) or not self.fleet.types:
            return
        parts: dict[Member, list[Job]] = {}
        for job in self._plannable():
            if job.peek() is not None and parted(job):
                parts.setdefault(owner(job.ref, self.deployment.members), []).append(job)
        if not parts.keys() - {self.deployment.member}:
            return
        machines = [m for m in self.ledger.machines.values() if self.usable(m, now)]
        left = self._new_round(now).left_to_ordinary_work(machines)
        machines = [machine for machine in machines if machine.id not in left]
        reservations = self._new_round(now).reservations(self._plannable(), machines)
        shares = shares_of(parts, self.deployment.teams, self.ledger)
        self._part_number += 1
        self._parts.clear()
        for member, jobs in parts.items():
            if member == self.deployment.member:
                continue
            view = view_of(
                self._part_number,
                jobs,
                machines,
                self.ledger,
                reservations,
                shares[member],
                self.reserve(),
                self.run_times.factors,
                now,
            )
            self.out.add(Part(member, view))
            self._parts[member] = Seconds(now + (PART_S if member in self._punctual else 0.0))
            self._punctual.discard(member)

    def _elsewhere(self, job: Job, now: Seconds) -> bool:
        """Its owner is planning it; without a proposal in time it is ours again."""
        if not self._parts or not parted(job):
            return False
        return self._parts.get(owner(job.ref, self.deployment.members), now) > now

    def proposed(self, member: Member, proposal: Proposal, now: Seconds) -> None:
        """Commit what still holds of an owner's choices; an outdated proposal is worth nothing."""
        if proposal.number != self._part_number or member not in self._parts:
            return
        del self._parts[member]
        self._punctual.add(member)
        self._changed = True
        if not self.may_start(now):
            return
        for ref, machine_id in proposal.choices:
            job = self.jobs.get(ref)
            machine = self.ledger.machines.get(machine_id)
            if (
                job is not None
                and machine is not None
                and not job.aborted
                and not job.settling
                and owner(ref, self.deployment.members) == member
            ):
                self._place(job, machine, now)

    def reserve(self) -> float:
        """Room that work below urgent leaves free for urgent work to come."""
        return 0.5 * self.fleet.demand.one_job()

    def _admits(self, job: Job, machine: Machine, now: Seconds) -> bool:
        spec = job.spec
        limits = self.deployment.teams.get(spec.team)
        return (
            limits is not None
            and job.peek() is not None
            and self.usable(machine, now)
            and machine.fits(spec)
            and machine.allowed(spec)
            and self.ledger.zone_allows(spec, machine.zone)
            and within(self.ledger.team_cpus.get(spec.team, 0.0) + spec.cpus, limits.cpus_max)
            and within(self.ledger.team_gpus.get(spec.team, 0.0) + spec.gpus, limits.gpus_max)
        )

    def _place_gang(self, job: Job, machines: list[Machine], now: Seconds) -> None:
        """All tasks of a gang, or none."""
        if job.placed_count() or len(machines) != job.spec.tasks:
            return
        for machine in machines:
            self._place(job, machine, now)
        if job.placed_count() < job.spec.tasks:
            # Nothing of it was sent or written: it is as if it had not been placed.
            for machine, hold in list(self._holds_of(job)):
                self._gone(machine, hold, now, None)

    def _place(self, job: Job, machine: Machine, now: Seconds) -> None:
        """Commit a choice, ours or proposed, if everything that may be there still admits it."""
        if not self._admits(job, machine, now):
            return
        spec = job.spec
        task, attempt = job.place(machine.id, machine.seen.session)
        self.work.of(job, job.stretch_of(task.number)).want(spec.priority, now)
        self._unwritten = True
        hold = Hold(
            task, attempt, spec, machine.id, machine.zone, machine.seen.session, placed_at=now
        )
        self.ledger.add(machine, hold)
        last = max(machine.images.values(), default=now)
        ready = Seconds(max(now, last) + fetch_time(spec, machine.type))
        machine.use_image(spec.image, spec.image_gb, ready)

    # Renting

    def _adjust_fleet(self, now: Seconds) -> None:
        if now < self._rent_at or not self.fleet.types or not self.may_start(now):
            return
        self._judge_risks(now)
        self._rent_at = Seconds(now + 1.0)
        machines = list(self.ledger.machines.values())
        rate = sum(m.type.price_for(m.spot) for m in machines) / 3600.0
        if self.budget is None:
            self.budget = Budget(self.knobs.period_s, self._allowance(), now)
        self.budget.charge(rate, now)
        jobs = [j for j in self.jobs.values() if not j.aborted]
        wanted = self.fleet.wanted(
            jobs,
            self.deployment.teams,
            self.ledger.team_cpus,
            machines,
            now,
            self._cpus_of(lambda job: job.at_risk),
            self._cpus_of(lambda job: not job.spec.spot and not job.aborted),
        )
        if wanted is not None and not self._renting and self._heard_of_fleet(now):
            more = self._rate(wanted)
            waiting = self._waiting_cost(jobs)
            if wanted.overdue or self.budget.admits(rate, more, waiting, now):
                self._rent(wanted)
        for machine in self.fleet.returnable(machines, now):
            self.drop(machine, "idle")

    def _judge_risks(self, now: Seconds) -> None:
        """Once a second, whose tasks had better not be lost; which may change with their age."""
        cheap = sum(1 for m in self.ledger.machines.values() if m.up and m.spot)
        self.losses.passed(min(1.0, now - self._judged_at), cheap)
        self._judged_at = now
        for job in self.jobs.values():
            job.at_risk = not job.aborted and self.losses.at_risk(job, self.scorer, now)

    def _cpus_of(self, those: Callable[[Job], bool]) -> float:
        return sum(
            job.spec.cpus * (job.waiting_count() + job.placed_count())
            for job in self.jobs.values()
            if those(job)
        )

    def _heard_of_fleet(self, now: Seconds) -> bool:
        """A new leader first hears of the machines there are, or it would rent them twice.

        Unless nothing is on record: then no work has begun, and hardly a machine is rented.
        """
        return self._first or now - self.began > min(3.0, self.deployment.report_s * 1.3)

    def _rate(self, wanted: Wanted) -> float:
        kind = self.fleet.types[wanted.pool.type]
        return kind.price_for(wanted.pool.spot) * wanted.count / 3600.0

    def _allowance(self) -> float:
        """The starting budget: every team's guarantee on ordinary machines for a period."""
        per_cpu = min(
            (t.price / t.cpus for t in self.fleet.types.values() if t.cpus > 0), default=0.0
        )
        cpus = sum(limits.cpus for limits in self.deployment.teams.values())
        return self.knobs.budget_factor * cpus * per_cpu * self.knobs.period_s / 3600.0

    def _waiting_cost(self, jobs: list[Job]) -> float:
        dear = max(self.fleet.types.values(), key=lambda t: t.price / max(t.cpus, 1e-9))
        return sum(job.waiting_count() * self.scorer.cost(job, dear, False, 0.0) for job in jobs)

    def _rent(self, wanted: Wanted) -> None:
        self._renting = True
        self._rent_number += 1
        # The token is ours alone, so no controller, nor an earlier life of it, uses this name.
        name = f"r-{self.began_token}-{self._rent_number}"
        self._request(name, wanted, 1)

    def _request(self, name: str, wanted: Wanted, tries: int) -> None:
        pool = wanted.pool
        self.out.add(
            Rent(
                name,
                pool.type,
                pool.zone,
                pool.spot,
                wanted.count,
                lambda result: self._rented(name, wanted, tries, result),
            )
        )

    def _rented(
        self, name: str, wanted: Wanted, tries: int, result: list[str] | bool | None
    ) -> None:
        now = self.now
        pool = self.fleet.pool(wanted.pool)
        if self.retired:
            return
        if result is None and tries < 4:
            self._request(name, wanted, tries + 1)
            return
        self._renting = False
        if not isinstance(result, list):
            pool.refuse(now)
            return
        self._add_rented(wanted.pool, result, now)
        if len(result) < wanted.count:
            pool.refuse(now)
        else:
            pool.granted()
        self._rent_at = now

    def _add_rented(self, pool: PoolKey, names: list[str], now: Seconds) -> None:
        for name in names:
            machine_id = MachineId(name)
            if machine_id in self.ledger.machines or machine_id in self.tombstones:
                continue
            machine = Machine(machine_id, self.fleet.types[pool.type], pool.zone, pool.spot)
            self._enter(machine, now)
            machine.known = True
        self.out.note("info", f"rented {len(names)} of {pool.type} in {pool.zone}")

    # Records

    def _flush(self, now: Seconds) -> None:
        token = self.election.token
        if self._writing or self.retired or token is None:
            return
        if self._rotate_wanted and now - self._rotated_at > ROTATE_S:
            self._rotate(now)
            return
        lazy = now - self._lazy_flush >= LAZY_S
        if not lazy and not self._unwritten:
            return
        self._unwritten = False
        batch = Batch(token, self.deployment.txn_ops)
        # The region's few writes a second go to starts first, then to deletions and to ends, which
        # users poll for; what only spares a successor some work gets a little at a time.
        for record in self.work.urgent(now):
            batch.record(record)
        self._record_drops(batch)
        batch.limit(ENDS_WRITES)
        for job in self._ending.values():
            if not job.settling and batch.room(2, 1):
                batch.end(job)
        if lazy:
            self._lazy_flush = now
            batch.limit(LAZY_WRITES)
            for record in self.work.lazy():
                self._record_lazily(batch, record)
            while self._garbage and batch.room(1, 1):
                batch.remove(*self._garbage.popleft())
        if batch.writes:
            self._write(batch)

    def _record_drops(self, batch: Batch) -> None:
        found = [m for m in self.ledger.machines.values() if m.dropping and not m.drop_recorded]
        if found and batch.room(1, 1):
            batch.drop_record, room = self.drops.open()
            batch.drops = found[: min(room, MOST_DROPS)]
            batch.put(batch.drop_record.put(m.id for m in batch.drops), batch.drop_record.version)

    def _record_lazily(self, batch: Batch, record: WorkRecord) -> None:
        if record.members:
            batch.record(record)
        elif not record.version:
            self.work.removed(record)
        elif batch.room(1, 1):
            record.closing = True
            batch.closing.append(record)
            batch.remove(record.key, record.version)

    def _write(self, batch: Batch) -> None:
        self._writing = True
        self.out.add(
            Commit(
                tuple(batch.conditions.items()),
                tuple(batch.writes),
                lambda result: self._written(batch, result),
            )
        )

    def _written(self, batch: Batch, result: Committed | Conflict | NoSuchLease | None) -> None:
        if self.retired:
            return
        if result is None:
            # Perhaps carried out, perhaps later: nothing else is written until that is known.
            self._write(batch)
            return
        self._writing = False
        self._unwritten = True
        if isinstance(result, Committed):
            self._recorded(batch, result.revision)
        elif isinstance(result, Conflict) and self._only_live(batch, result):
            self._put_back(batch, result.failed)
        else:
            self.election.resign("a write of ours met other versions than we know")

    def _only_live(self, batch: Batch, conflict: Conflict) -> bool:
        lives = {live_key(job.ref) for job in batch.jobs}
        return not conflict.repeated and bool(conflict.failed) and conflict.failed <= lives

    def _recorded(self, batch: Batch, revision: Version) -> None:
        for machine in batch.drops:
            machine.drop_recorded = True
        if batch.drop_record is not None:
            batch.drop_record.version = revision
            batch.drop_record.names.update((m.id, None) for m in batch.drops)
        for record in batch.records:
            record.version = revision
        for record in batch.closing:
            self.work.removed(record)
        for job, stretch, recorded in batch.stretches:
            fresh = recorded - stretch.recorded
            stretch.recorded = recorded
            for index, attempt, machine_id in fresh:
                placed = stretch.placed.get(index)
                found = placed and self._hold_of(job, index, placed)
                if not found or placed is None:
                    continue
                if placed.attempt != attempt or placed.machine != machine_id:
                    continue
                machine, hold = found
                hold.recorded = True
                if not hold.withdrawn:
                    self._kick.add(machine.id)
                if job.gang:
                    self._kick.update(machine.id for machine, _ in self._holds_of(job))
        self.work.written((job, stretch) for job, stretch, _ in batch.stretches)
        for job in batch.ended:
            del self.jobs[job.ref]
            del self._ending[job.ref]
            self.work.forget(job)
            self._progress_sent.pop(job.ref, None)
            self.out.note("debug", f"job {job.ref} over")
        self._garbage.extend(self.work.superseded())

    def _put_back(self, batch: Batch, failed: frozenset[str]) -> None:
        """A user cancelled meanwhile: that job's placements were never sent, so they are void."""
        for record in batch.closing:
            record.closing = False
        for job in batch.jobs:
            if live_key(job.ref) not in failed:
                continue
            for machine, hold in list(self._holds_of(job)):
                if not hold.recorded:
                    self._gone(machine, hold, self.now, None)
            if batch.conditions[live_key(job.ref)] == job.version:
                job.settling = True
                self._reread(job)
        for record in batch.records:
            urgent = [
                job.spec.priority
                for job, stretch in record.members.values()
                if stretch.unrecorded()
            ]
            record.want(max(urgent, default=None), self.now)

    def _reread(self, job: Job) -> None:
        def read(found: Found | None) -> None:
            if found is None or found.item is None:
                if not self.retired and self.jobs.get(job.ref) is job and job.settling:
                    self._reread(job)
                return
            self.live_news([found.item], self.now)

        self.out.add(Read(live_key(job.ref), read))

    def _rotate(self, now: Seconds) -> None:
        rotation = self.election.rotation()
        if rotation is None:
            return
        self._writing = True
        self._rotate_wanted = False
        self._rotated_at = now

        def rotated(result: Committed | Conflict | NoSuchLease | None) -> None:
            rotation.then(result)
            self._writing = False

        self.out.add(Commit(rotation.conditions, rotation.writes, rotated))

    def progress(self) -> dict[str, tuple[int, int]]:
        """Done and running tasks of the jobs for which they changed: for display only."""
        running = Counter(
            hold.task.job
            for machine in self.ledger.machines.values()
            for hold in machine.holds.values()
            if hold.state == reports.RUNNING
        )
        changed: dict[str, tuple[int, int]] = {}
        for job in self.jobs.values():
            now = (job.done_count, running[job.ref])
            if self._progress_sent.get(job.ref) != now:
                self._progress_sent[job.ref] = changed[job.ref] = now
        return changed
