"""Receives heartbeats from workers, responds to them and records the lease renewal."""

from __future__ import annotations

from ..capacity.machines import Machines
from ..election.term import LeadingTerm
from ..model.effects import Response
from ..model.heartbeats import Heartbeat
from ..model.ids import Seconds, Token
from .commands import Commands
from .heartbeat_processing import HIGHER_TOKEN_SEEN, HeartbeatProcessing
from .pending_work import PendingWork
from .response_check import ANSWERED_LEASE_FRACTION, ResponseCheck
from .worker_contact import WorkerContact


class HeartbeatReceiver:
    """Receives heartbeats from workers and responds to each with orders."""

    def __init__(
        self,
        term: LeadingTerm,
        machines: Machines,
        contact: WorkerContact,
        responses: ResponseCheck,
        processing: HeartbeatProcessing,
        commands: Commands,
        pending: PendingWork,
    ) -> None:
        self._term = term
        self._machines = machines
        self._contact = contact
        self._responses = responses
        self._processing = processing
        self._commands = commands
        self._pending = pending

    def receive(self, request: int, heartbeat: Heartbeat, now: Seconds, relayed: bool) -> None:
        """Process a heartbeat and respond; `relayed`: another controller forwarded it."""
        if not relayed:
            self._contact.direct_contact_made(now)
        if not self._may_respond(heartbeat, self._term.election.token, now):
            self._refuse(request)
            return
        machine = self._machines.add_reported(heartbeat)
        if self._processing.is_outdated(machine, heartbeat):
            # Delayed or duplicate: the worker no longer waits for the response and would drop it.
            self._refuse(request)
            return
        self._responses.check(machine, heartbeat, now)
        self._processing.apply(machine, heartbeat, is_direct_reply=False)
        self._contact.heartbeat_received(now)
        if not machine.confirmed_in_term:
            self._pending.queue_heartbeat_requests([machine])
        self._commands.respond_to_heartbeat(request, machine, now, heartbeat.heartbeat_id.sequence)
        if now - machine.last_response_at > ANSWERED_LEASE_FRACTION * self._term.deployment.lease_s:
            # Heartbeats delayed by a network partition arrive all at once, long after their
            # workers stopped waiting for the responses.
            machine.responses_unbroken_since = now
        machine.last_heartbeat_at = machine.last_response_at = now
        shows_term_token = machine.reported_token >= self._term.initial_token
        machine.last_possible_renewal = (
            now if shows_term_token else max(machine.last_possible_renewal, now)
        )

    def _may_respond(self, heartbeat: Heartbeat, token: Token | None, now: Seconds) -> bool:
        """Whether our response may renew this worker's lease."""
        if token is None or now > self._term.renewal_deadline():
            return False
        if heartbeat.token > token:
            self._term.election.resign(HIGHER_TOKEN_SEEN)
            return False
        # A heartbeat of a deleted machine is an old one that the network delayed.
        return not self._machines.is_deleted(heartbeat.machine)

    def _refuse(self, request: int) -> None:
        self._term.outbox.add(Response(request, 503, retry_after_s=1))
