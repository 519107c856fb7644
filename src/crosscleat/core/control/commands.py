"""Orders to workers: what each is to do, in the answers to check-ins and by direct messages."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from ..election.term import LeadingTerm
from ..model import heartbeats
from ..model.heartbeats import Report
from ..model.ids import NO_TOKEN, Attempt, JobRef, MachineId, Seconds, Session, TaskId, Token
from ..model.job_spec import Shape
from ..model.worker_calls import ClearOrder, Direct, Order, Orders, Probe, StartOrder, StopOrder
from ..state.allocations import AttemptKey, Hold
from ..state.cluster import Ledger
from ..state.jobs import Job
from ..state.machine import Machine

MOST_ORDERS = 300
"""In one message; the rest follows with the next."""

MOST_GREETED = 30
"""Machines that a new leader sends a first message, in a tenth of a second."""

DIRECT_PAUSE_S = 1.5
"""After a direct message without an answer, doubled with each more, up to the next."""

MOST_DIRECT_PAUSE_S = 48.0


class Commands:
    """Sends orders and knows which of them may still be executed late."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        ledger: Ledger,
        answered: Callable[[Machine, Report], None],
        missed: Callable[[Machine], None],
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._ledger = ledger
        self._answered = answered
        self._missed = missed
        self._kicked: set[MachineId] = set()
        """Machines that have orders waiting which are worth a direct message."""
        self._whole: dict[JobRef, bool] = {}
        """Whether the gangs met so far may start, while orders are made out."""
        self._to_greet: deque[Machine] = deque()
        self.rotation_wanted = False
        """Only a higher token rules out that a lost direct message is executed after all."""

    def kick(self, machine: MachineId) -> None:
        """Send what the machine is to do at the end of this step, not with its next check-in."""
        self._kicked.add(machine)

    def answer(self, request: int, machine: Machine, now: Seconds, tally: int) -> None:
        """Answer a check-in, whose tally this is, with what the worker is to do."""
        token = self._term.election.token
        if token is not None:
            orders = self.orders(machine, now, tally)
            self._term.out.add(Orders(request, token, tuple(orders)))

    def orders(self, machine: Machine, now: Seconds, answering: int | None) -> list[Order]:
        """What the worker is to do; `answering` is the tally of the check-in answered."""
        self._whole.clear()
        return self._orders(machine, now, answering)

    def _orders(self, machine: Machine, now: Seconds, answering: int | None) -> list[Order]:
        orders: list[Order] = []
        may_start = self._term.may_start(now)
        for hold in machine.holds.values():
            if hold.withdrawn:
                if hold.listed:
                    orders.append(StopOrder(str(hold.task), hold.attempt, hold.grace_s))
                elif machine.shown_token <= machine.risk_token:
                    self._want_rotation(machine)
            elif may_start and self._to_start(machine, hold):
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

    def _to_start(self, machine: Machine, hold: Hold) -> bool:
        if not hold.recorded or hold.listed or hold.session != machine.seen.session:
            return False
        if hold.spec.shape is not Shape.GANG:
            return True
        # No task of a gang is started before the store has the places of all.
        whole = self._whole.get(hold.task.job)
        if whole is None:
            job = self._jobs.get(hold.task.job)
            whole = self._whole[hold.task.job] = job is not None and job.whole
        return whole

    def _clearable(self, machine: Machine, key: AttemptKey) -> bool:
        """Once cleared, the attempt is unknown to the worker and a late start would start it again.

        So no start may be on its way any more, and the store must not name it any more, or
        the next leader would send one.
        """
        if machine.direct_in_flight:
            return False
        # A direct start may come twice even if it was answered. A result is kept, so a task that
        # is done can be started again without harm.
        harmless = machine.exited[key] == heartbeats.DONE
        repeated = NO_TOKEN if harmless else machine.direct_starts.get(key, NO_TOKEN)
        if machine.shown_token <= max(machine.risk_token, repeated):
            self._want_rotation(machine)
            return False
        task, attempt = key
        job = self._jobs.get(task.job)
        if job is None:
            return True
        chunk = job.chunks.get(task.number // job.span)
        return chunk is None or (task.number, attempt, machine.id) not in chunk.recorded

    def _want_rotation(self, machine: Machine) -> None:
        if machine.shown_token >= self._term.began_token:
            self.rotation_wanted = True

    # Direct messages

    def send_direct(self, now: Seconds) -> None:
        """Send the machines that were kicked what they are to do."""
        kicked, self._kicked = self._kicked, set()
        self._whole.clear()
        if self._term.election.token is None:
            return
        for machine_id in kicked:
            machine = self._ledger.machines.get(machine_id)
            if machine is None or machine.address is None or not machine.up or machine.dropping:
                continue
            if machine.direct_in_flight:
                self._kicked.add(machine_id)
                continue
            if now < machine.direct_after:
                continue
            orders = [o for o in self._orders(machine, now, None) if not isinstance(o, ClearOrder)]
            if orders:
                self._send(machine, machine.seen.session, tuple(orders))

    def greet_later(self, machines: Iterable[Machine]) -> None:
        """Send them a first message in turn."""
        self._to_greet.extend(machines)

    def greet_some(self) -> None:
        """A new leader greets all machines, a few at a time: hundreds of messages at once would
        keep its own renewal and the first starts waiting."""
        greeted = 0
        while self._to_greet and greeted < MOST_GREETED:
            machine = self._to_greet.popleft()
            if not (machine.up and machine.known) and machine.id in self._ledger.machines:
                greeted += 1
                self.greet(machine)

    def greet(self, machine: Machine) -> None:
        """No orders: the answer brings the worker's report, and shows it our token."""
        if not machine.direct_in_flight:
            self._send(machine, self._session_of(machine), ())

    def ask(self, machine: Machine) -> None:
        """Ask after a silent machine, through the other controllers too."""
        token = self._term.election.token
        if machine.address is not None and token is not None:
            self.greet(machine)
            self._term.out.add(Probe(machine.address, token, self._session_of(machine)))

    def _session_of(self, machine: Machine) -> Session:
        placed = (hold.session for hold in machine.holds.values())
        return max(machine.seen.session, Session(1), *placed)

    def _send(self, machine: Machine, session: Session, orders: tuple[Order, ...]) -> None:
        token = self._term.election.token
        if token is None or machine.address is None:
            return
        # Lost orders other than starts can do no harm later, so they put no token at risk.
        machine.direct_in_flight = True
        starts = [order for order in orders if isinstance(order, StartOrder)]
        for order in starts:
            task = TaskId.parse(order.task)
            if task is not None:
                machine.direct_starts[task, Attempt(order.attempt)] = token
        done = self._when_done(machine, token if starts else NO_TOKEN)
        self._term.out.add(Direct(machine.address, token, session, orders, done))

    def _when_done(self, machine: Machine, risked: Token) -> Callable[[Report | None, bool], None]:
        def done(report: Report | None, perhaps: bool) -> None:
            machine.direct_in_flight = False
            if self._term.retired:
                return
            if report is None:
                machine.direct_misses += 1
                pause = DIRECT_PAUSE_S * 2.0**machine.direct_misses
                pause = min(MOST_DIRECT_PAUSE_S, pause)
                machine.direct_after = Seconds(self._term.now + pause)
                self._missed(machine)
                if perhaps:
                    machine.risk_token = max(machine.risk_token, risked)
                return
            machine.direct_misses = 0
            self._answered(machine, report)

        return done
