"""Orders to workers, in the answers to their heartbeats and by direct commands.

An answer to a heartbeat is executed before the worker's next heartbeat, or never. A direct command
may be executed late, or twice; only a higher fencing token rules that out, so the machine keeps the
token of each direct start (`DirectChannel.pending_start_token` and `starts`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..election.term import LeadingTerm
from ..model.heartbeats import Heartbeat
from ..model.ids import NO_TOKEN, AgentEpoch, Attempt, Seconds, TaskId, Token
from ..model.worker_calls import (
    ClearOrder,
    DirectCommand,
    DirectReply,
    HeartbeatResponse,
    IndirectProbe,
    Order,
    StartOrder,
)
from ..state.cluster import ClusterState
from ..state.machine import Machine
from .orders import Orders
from .pending_work import PendingWork

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
    """Sends orders, and keeps of each machine which of them may still be executed late."""

    def __init__(
        self,
        term: LeadingTerm,
        cluster: ClusterState,
        orders: Orders,
        pending: PendingWork,
        replies: DirectReplies,
    ) -> None:
        self._term = term
        self._cluster = cluster
        self._orders = orders
        self._pending = pending
        self._replies = replies

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
        self._orders.begin()
        return self._orders.make(machine, now, answering)

    # Direct commands

    def send_direct(self, now: Seconds) -> None:
        """Send their orders to the machines that are marked as direct targets."""
        pending = self._pending
        targets, pending.direct_targets = pending.direct_targets, {}
        self._orders.begin()
        if self._term.election.token is None:
            return
        for machine_id in targets:
            machine = self._cluster.machines.get(machine_id)
            if machine is None or not self._takes_direct_commands(machine):
                continue
            if machine.direct.in_flight:
                pending.direct_targets[machine_id] = None
                continue
            if now < machine.direct.paused_until:
                continue
            # Clearing can wait for the next heartbeat.
            orders = tuple(
                order
                for order in self._orders.make(machine, now, None)
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
