"""Orders to workers, in the answers to their heartbeats and by direct commands.

An answer to a heartbeat is executed before the worker's next heartbeat, or never. A direct command
may be executed late, or twice; only a higher fencing token rules that out, so the machine keeps the
token of each direct start (`DirectChannel.pending_start_token` and `starts`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..election.term import LeadingTerm
from ..model import heartbeats
from ..model.heartbeats import Heartbeat
from ..model.ids import NO_TOKEN, AgentEpoch, Attempt, JobRef, Seconds, TaskId, Token
from ..model.job_spec import Shape
from ..model.worker_calls import (
    ClearOrder,
    DirectCommand,
    DirectReply,
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
"""Most orders in one message; the rest follows with the next."""

MAX_HEARTBEAT_REQUESTS = 30
"""Most machines that are asked for a heartbeat in one tick, a tenth of a second."""

DIRECT_PAUSE_S = 1.5
"""No direct command is sent for twice this time after one without an answer, and for twice as long
again after each further one, up to `MAX_DIRECT_PAUSE_S`."""

MAX_DIRECT_PAUSE_S = 48.0
"""The longest such pause."""


class DirectReplies(Protocol):
    """Takes the replies to direct commands (`heartbeat_processing.HeartbeatProcessing`)."""

    def reply_received(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """A direct command to the machine was answered with this heartbeat."""

    def reply_missed(self, machine: Machine) -> None:
        """A direct command to the machine was not answered."""


class Commands:
    """Sends orders and knows which of them may still be executed late."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        pending: PendingWork,
        replies: DirectReplies,
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._pending = pending
        self._replies = replies
        self._gangs_complete: dict[JobRef, bool] = {}
        """Whether the placements of all members are on record, of gangs in the present message."""

    def answer(self, request: int, machine: Machine, now: Seconds, sequence: int) -> None:
        """Answer the heartbeat with this sequence number with what the worker is to do."""
        token = self._term.election.token
        if token is not None:
            orders = self.orders(machine, now, sequence)
            self._term.outbox.add(HeartbeatResponse(request, token, tuple(orders)))

    def orders(self, machine: Machine, now: Seconds, answering: int | None) -> list[Order]:
        """What the worker is to do.

        `answering` is the sequence number of the heartbeat answered; None: a direct command.
        """
        self._gangs_complete.clear()
        return self._orders(machine, now, answering)

    def _orders(self, machine: Machine, now: Seconds, answering: int | None) -> list[Order]:
        orders: list[Order] = []
        may_start = self._term.may_start(now)
        for allocation in machine.allocations.values():
            if allocation.stopping:
                if allocation.in_last_heartbeat:
                    orders.append(
                        StopOrder(str(allocation.task), allocation.attempt, allocation.grace_s)
                    )
                elif machine.shown_token <= machine.direct.pending_start_token:
                    self._want_rotation(machine)
            elif may_start and self._is_startable(machine, allocation):
                orders.append(StartOrder(str(allocation.task), allocation.attempt))
                allocation.start_sent = True
                if answering is not None:
                    allocation.start_sent_at_sequence = answering
        for task, attempt in machine.orphans:
            orders.append(StopOrder(str(task), attempt, 0.0))
        orders.extend(
            ClearOrder(str(key[0]), key[1])
            for key in machine.exited
            if self._is_clearable(machine, key)
        )
        return orders[:MAX_ORDERS]

    def _is_startable(self, machine: Machine, allocation: Allocation) -> bool:
        """Whether the attempt is on record and the worker's agent epoch is the one it is for."""
        if (
            not allocation.recorded
            or allocation.in_last_heartbeat
            or allocation.agent_epoch != machine.heartbeat_id.agent_epoch
        ):
            return False
        if allocation.spec.shape is not Shape.GANG:
            return True
        # No member of a gang is started before the store has the placements of all.
        complete = self._gangs_complete.get(allocation.task.job)
        if complete is None:
            job = self._jobs.get(allocation.task.job)
            complete = self._gangs_complete[allocation.task.job] = (
                job is not None and job.fully_recorded
            )
        return complete

    def _is_clearable(self, machine: Machine, key: AttemptKey) -> bool:
        """Whether the worker may forget the exited attempt.

        A late start would then start it again. So no start may still arrive, and the store must
        not name the attempt any more, or the next leader would send a start.
        """
        if machine.direct.in_flight:
            return False
        # A direct start may come twice even if it was answered. A result is kept, so a task that
        # is done can be started again without harm.
        harmless = machine.exited[key] == heartbeats.DONE
        repeated = NO_TOKEN if harmless else machine.direct.starts.get(key, NO_TOKEN)
        if machine.shown_token <= max(machine.direct.pending_start_token, repeated):
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

    # Direct commands

    def send_direct(self, now: Seconds) -> None:
        """Send their orders to the machines that are marked as direct targets."""
        pending = self._pending
        targets, pending.direct_targets = pending.direct_targets, set()
        self._gangs_complete.clear()
        if self._term.election.token is None:
            return
        for machine_id in targets:
            machine = self._cluster.machines.get(machine_id)
            if machine is None or not self._takes_direct_commands(machine):
                continue
            if machine.direct.in_flight:
                pending.direct_targets.add(machine_id)
                continue
            if now < machine.direct.paused_until:
                continue
            # Clearing can wait for the next heartbeat.
            orders = tuple(
                order
                for order in self._orders(machine, now, None)
                if not isinstance(order, ClearOrder)
            )
            if orders:
                self._send(machine, machine.heartbeat_id.agent_epoch, orders)

    def _takes_direct_commands(self, machine: Machine) -> bool:
        return (
            machine.address is not None
            and machine.has_sent_heartbeat
            and not machine.decommissioning
        )

    def send_heartbeat_requests(self) -> None:
        """Ask the next of the queued machines for a heartbeat.

        A new leader asks all machines, a few at a time: hundreds of messages at once would delay
        the renewal of its own lease and the first starts.
        """
        queued = self._pending.heartbeat_requests
        requested = 0
        while queued and requested < MAX_HEARTBEAT_REQUESTS:
            machine = queued.popleft()
            if (
                not (machine.has_sent_heartbeat and machine.confirmed_in_term)
                and machine.id in self._cluster.machines
            ):
                requested += 1
                self.request_heartbeat(machine)

    def request_heartbeat(self, machine: Machine) -> None:
        """Send no orders: this shows the worker our token, and its answer shows us its status."""
        if not machine.direct.in_flight:
            self._send(machine, self._agent_epoch_of(machine), ())

    def probe(self, machine: Machine) -> None:
        """Ask a silent machine for a heartbeat, directly and through the other controllers."""
        token = self._term.election.token
        if machine.address is not None and token is not None:
            self.request_heartbeat(machine)
            self._term.outbox.add(
                IndirectProbe(machine.address, token, self._agent_epoch_of(machine))
            )

    def _agent_epoch_of(self, machine: Machine) -> AgentEpoch:
        """The highest agent epoch known of the worker: of its heartbeats or of a placement."""
        placed = (allocation.agent_epoch for allocation in machine.allocations.values())
        return max(machine.heartbeat_id.agent_epoch, AgentEpoch(1), *placed)

    def _send(self, machine: Machine, agent_epoch: AgentEpoch, orders: tuple[Order, ...]) -> None:
        token = self._term.election.token
        if token is None or machine.address is None:
            return
        machine.direct.in_flight = True
        starts = [order for order in orders if isinstance(order, StartOrder)]
        for order in starts:
            task = TaskId.parse(order.task)
            if task is not None:
                machine.direct.starts[task, Attempt(order.attempt)] = token
        # Orders other than starts do no harm when they are executed late.
        done = self._when_done(machine, token if starts else NO_TOKEN)
        self._term.outbox.add(DirectCommand(machine.address, token, agent_epoch, orders, done))

    def _when_done(self, machine: Machine, risked: Token) -> Callable[[DirectReply], None]:
        def done(reply: DirectReply) -> None:
            direct = machine.direct
            direct.in_flight = False
            if self._term.retired:
                return
            if reply.heartbeat is None:
                direct.failures += 1
                pause = min(MAX_DIRECT_PAUSE_S, DIRECT_PAUSE_S * 2.0**direct.failures)
                direct.paused_until = Seconds(self._term.now + pause)
                self._replies.reply_missed(machine)
                if reply.may_execute:
                    direct.pending_start_token = max(direct.pending_start_token, risked)
                return
            direct.failures = 0
            self._replies.reply_received(machine, reply.heartbeat)

        return done
