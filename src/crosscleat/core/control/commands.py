"""Sends orders to workers, in the responses to their heartbeats and as direct commands.

A worker executes the response to a heartbeat before it sends its next heartbeat, or never. It may
execute a direct command late, or twice, until it has seen a higher fencing token. For each machine
the tokens of direct starts are therefore kept (`DirectChannel.pending_start_token` and `starts`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..election.term import LeadingTerm
from ..model.backoff import doubled_pause_s
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
from .orders import OrderBuilder
from .pending_work import PendingWork

MAX_HEARTBEAT_REQUESTS = 30
"""Maximum number of machines that are asked for a heartbeat in one tick of 0.1 s."""

DIRECT_PAUSE_BASE_S = 1.5
"""Base of the backoff after unanswered direct commands, in seconds. The first pause is twice this
value, and each further unanswered command doubles it, up to `MAX_DIRECT_PAUSE_S`."""

MAX_DIRECT_PAUSE_S = 48.0
"""Maximum pause in seconds between direct commands to a machine that does not answer them."""


class DirectReplyHandler(Protocol):
    """Handles the replies to direct commands (`heartbeat_processing.HeartbeatProcessing`)."""

    def reply_received(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Handle the heartbeat with which the machine answered a direct command."""

    def reply_missed(self, machine: Machine) -> None:
        """Handle a direct command that the machine did not answer."""


class Commands:
    """Sends orders, and keeps track of the direct starts that a worker may still execute late."""

    def __init__(
        self,
        term: LeadingTerm,
        cluster: ClusterState,
        order_builder: OrderBuilder,
        pending: PendingWork,
        reply_handler: DirectReplyHandler,
    ) -> None:
        self._term = term
        self._cluster = cluster
        self._order_builder = order_builder
        self._pending = pending
        self._reply_handler = reply_handler

    def respond_to_heartbeat(
        self, request: int, machine: Machine, now: Seconds, sequence: int
    ) -> None:
        """Respond to the machine's heartbeat of this sequence number with orders."""
        token = self._term.election.token
        if token is not None:
            orders = self.build_orders(machine, now, sequence)
            self._term.outbox.add(HeartbeatResponse(request, token, tuple(orders)))

    def build_orders(
        self, machine: Machine, now: Seconds, answered_sequence: int | None
    ) -> list[Order]:
        """Build the orders for the worker, and mark all its due starts as sent.

        `answered_sequence` is the sequence number of the heartbeat that the orders respond to, or
        None if they are sent as a direct command.
        """
        self._order_builder.clear_gang_cache()
        return self._order_builder.build(machine, now, answered_sequence)

    # Direct commands

    def send_direct(self, now: Seconds) -> None:
        """Send direct commands to the machines in `PendingWork.direct_targets`."""
        pending = self._pending
        targets, pending.direct_targets = pending.direct_targets, {}
        self._order_builder.clear_gang_cache()
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
            # Clear orders are not urgent: they are sent with the response to the next heartbeat.
            orders = tuple(
                order
                for order in self._order_builder.build(machine, now, None)
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
        """Ask the next machines in the queue for a heartbeat.

        A new leader asks all machines, a few in each tick: hundreds of messages at once would delay
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
        """Send a direct command without orders.

        The worker learns this leader's fencing token from it, and replies with its status.
        """
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
        """The highest agent epoch known for the worker, from its heartbeats or its allocations."""
        placement_epochs = (allocation.agent_epoch for allocation in machine.allocations.values())
        return max(machine.heartbeat_id.agent_epoch, AgentEpoch(1), *placement_epochs)

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
        # Orders other than starts are harmless when they are executed late.
        handle_reply = self._make_reply_handler(machine, token if starts else NO_TOKEN)
        self._term.outbox.add(
            DirectCommand(machine.address, token, agent_epoch, orders, handle_reply)
        )

    def _make_reply_handler(
        self, machine: Machine, start_token: Token
    ) -> Callable[[DirectReply], None]:
        """Build the continuation of a direct command.

        `start_token` is the command's token if it contains starts, otherwise `NO_TOKEN`.
        """

        def handle_reply(reply: DirectReply) -> None:
            direct = machine.direct
            direct.in_flight = False
            if self._term.retired:
                return
            if reply.heartbeat is None:
                direct.failures += 1
                pause_s = doubled_pause_s(DIRECT_PAUSE_BASE_S, direct.failures, MAX_DIRECT_PAUSE_S)
                direct.paused_until = Seconds(self._term.now + pause_s)
                self._reply_handler.reply_missed(machine)
                if reply.may_execute:
                    direct.pending_start_token = max(direct.pending_start_token, start_token)
                return
            direct.failures = 0
            self._reply_handler.reply_received(machine, reply.heartbeat)

        return handle_reply
