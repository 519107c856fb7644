"""Orders to workers: what each is to do, in the answers to check-ins and by direct messages."""

from __future__ import annotations

from collections.abc import Callable

from ..election.term import LeadingTerm
from ..model import heartbeats
from ..model.heartbeats import Heartbeat
from ..model.ids import NO_TOKEN, AgentEpoch, Attempt, JobRef, Seconds, TaskId, Token
from ..model.job_spec import Shape
from ..model.worker_calls import (
    ClearOrder,
    DirectCommand,
    HeartbeatResponse,
    IndirectProbe,
    Order,
    StartOrder,
    StopOrder,
)
from ..state.allocations import Allocation, AttemptKey
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from .pending_work import PendingWork

MAX_ORDERS = 300
"""In one message; the rest follows with the next."""

MAX_HEARTBEAT_REQUESTS = 30
"""Machines that a new leader sends a first message, in a tenth of a second."""

DIRECT_PAUSE_S = 1.5
"""After a direct message without an answer, doubled with each more, up to the next."""

MAX_DIRECT_PAUSE_S = 48.0


class Commands:
    """Sends orders and knows which of them may still be executed late."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        pending: PendingWork,
        answered: Callable[[Machine, Heartbeat], None],
        missed: Callable[[Machine], None],
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._pending = pending
        self._answered = answered
        self._missed = missed
        self._whole: dict[JobRef, bool] = {}
        """Whether the gangs met so far may start, while orders are made out."""

    def answer(self, request: int, machine: Machine, now: Seconds, sequence: int) -> None:
        """Answer a check-in, whose tally this is, with what the worker is to do."""
        token = self._term.election.token
        if token is not None:
            orders = self.orders(machine, now, sequence)
            self._term.outbox.add(HeartbeatResponse(request, token, tuple(orders)))

    def orders(self, machine: Machine, now: Seconds, answering: int | None) -> list[Order]:
        """What the worker is to do; `answering` is the tally of the check-in answered."""
        self._whole.clear()
        return self._orders(machine, now, answering)

    def _orders(self, machine: Machine, now: Seconds, answering: int | None) -> list[Order]:
        orders: list[Order] = []
        may_start = self._term.may_start(now)
        for allocation in machine.allocations.values():
            if allocation.stopping:
                if allocation.listed:
                    orders.append(
                        StopOrder(str(allocation.task), allocation.attempt, allocation.grace_s)
                    )
                elif machine.shown_token <= machine.pending_start_token:
                    self._want_rotation(machine)
            elif may_start and self._to_start(machine, allocation):
                orders.append(StartOrder(str(allocation.task), allocation.attempt))
                allocation.sent = True
                if answering is not None:
                    allocation.answered_at = answering
        for task, attempt in machine.orphans:
            orders.append(StopOrder(str(task), attempt, 0.0))
        orders.extend(
            ClearOrder(str(key[0]), key[1])
            for key in machine.exited
            if self._clearable(machine, key)
        )
        return orders[:MAX_ORDERS]

    def _to_start(self, machine: Machine, allocation: Allocation) -> bool:
        if (
            not allocation.recorded
            or allocation.listed
            or allocation.agent_epoch != machine.heartbeat_id.agent_epoch
        ):
            return False
        if allocation.spec.shape is not Shape.GANG:
            return True
        # No task of a gang is started before the store has the places of all.
        whole = self._whole.get(allocation.task.job)
        if whole is None:
            job = self._jobs.get(allocation.task.job)
            whole = self._whole[allocation.task.job] = job is not None and job.whole
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
        if machine.shown_token <= max(machine.pending_start_token, repeated):
            self._want_rotation(machine)
            return False
        task, attempt = key
        job = self._jobs.get(task.job)
        if job is None:
            return True
        chunk = job.chunks.get(task.number // job.chunk_length)
        return chunk is None or (task.number, attempt, machine.id) not in chunk.recorded

    def _want_rotation(self, machine: Machine) -> None:
        if machine.shown_token >= self._term.began_token:
            self._pending.rotation_wanted = True

    # Direct messages

    def send_direct(self, now: Seconds) -> None:
        """Send the machines that were kicked what they are to do."""
        pending = self._pending
        targets, pending.direct_targets = pending.direct_targets, set()
        self._whole.clear()
        if self._term.election.token is None:
            return
        for machine_id in targets:
            machine = self._cluster.machines.get(machine_id)
            if (
                machine is None
                or machine.address is None
                or not machine.up
                or machine.decommissioning
            ):
                continue
            if machine.direct_in_flight:
                pending.direct_targets.add(machine_id)
                continue
            if now < machine.direct_after:
                continue
            orders = [o for o in self._orders(machine, now, None) if not isinstance(o, ClearOrder)]
            if orders:
                self._send(machine, machine.heartbeat_id.agent_epoch, tuple(orders))

    def send_heartbeat_requests(self) -> None:
        """A new leader greets all machines, a few at a time: hundreds of messages at once would
        keep its own renewal and the first starts waiting."""
        queued = self._pending.heartbeat_requests
        greeted = 0
        while queued and greeted < MAX_HEARTBEAT_REQUESTS:
            machine = queued.popleft()
            if not (machine.up and machine.confirmed) and machine.id in self._cluster.machines:
                greeted += 1
                self.request_heartbeat(machine)

    def request_heartbeat(self, machine: Machine) -> None:
        """No orders: the answer brings the worker's report, and shows it our token."""
        if not machine.direct_in_flight:
            self._send(machine, self._session_of(machine), ())

    def ask(self, machine: Machine) -> None:
        """Ask after a silent machine, through the other controllers too."""
        token = self._term.election.token
        if machine.address is not None and token is not None:
            self.request_heartbeat(machine)
            self._term.outbox.add(IndirectProbe(machine.address, token, self._session_of(machine)))

    def _session_of(self, machine: Machine) -> AgentEpoch:
        placed = (allocation.agent_epoch for allocation in machine.allocations.values())
        return max(machine.heartbeat_id.agent_epoch, AgentEpoch(1), *placed)

    def _send(self, machine: Machine, agent_epoch: AgentEpoch, orders: tuple[Order, ...]) -> None:
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
        self._term.outbox.add(DirectCommand(machine.address, token, agent_epoch, orders, done))

    def _when_done(
        self, machine: Machine, risked: Token
    ) -> Callable[[Heartbeat | None, bool], None]:
        def done(heartbeat: Heartbeat | None, perhaps: bool) -> None:
            machine.direct_in_flight = False
            if self._term.retired:
                return
            if heartbeat is None:
                machine.direct_misses += 1
                pause = DIRECT_PAUSE_S * 2.0**machine.direct_misses
                pause = min(MAX_DIRECT_PAUSE_S, pause)
                machine.direct_after = Seconds(self._term.now + pause)
                self._missed(machine)
                if perhaps:
                    machine.pending_start_token = max(machine.pending_start_token, risked)
                return
            machine.direct_misses = 0
            self._answered(machine, heartbeat)

        return done
