"""Applies heartbeats to the cluster state, whether unsolicited or replies to direct commands.

A heartbeat is applied only if it is newer than all earlier ones. It may still be a delayed copy
from before the machine lost power, so only a heartbeat that shows a fencing token of this term
proves that the attempts of earlier agent epochs have ended.
"""

from __future__ import annotations

from ..capacity.decommissioning import Decommissioner
from ..capacity.machines import Machines
from ..election.term import LeadingTerm
from ..model.heartbeats import Heartbeat, unknown_states_and_causes
from ..state.cluster import ClusterState
from ..state.machine import Machine
from .attempts import Attempts
from .evacuation import Evacuation
from .pending_work import PendingWork
from .task_statuses import TaskStatuses
from .worker_contact import WorkerContact

MAX_UNKNOWN_STATES_AND_CAUSES = 100
"""Number of distinct unknown states and causes after which no more are logged and remembered."""

HIGHER_TOKEN_SEEN = "a worker has seen a higher fencing token"
"""Reason for resigning of a leader that has been replaced without knowing it."""


class HeartbeatProcessing:
    """Applies heartbeats to machines and allocations, and handles replies to direct commands."""

    def __init__(
        self,
        term: LeadingTerm,
        cluster: ClusterState,
        machines: Machines,
        contact: WorkerContact,
        decommissioner: Decommissioner,
        task_statuses: TaskStatuses,
        attempts: Attempts,
        evacuation: Evacuation,
        pending: PendingWork,
    ) -> None:
        self._term = term
        self._cluster = cluster
        self._machines = machines
        self._contact = contact
        self._decommissioner = decommissioner
        self._task_statuses = task_statuses
        self._attempts = attempts
        self._evacuation = evacuation
        self._pending = pending
        self._unknown_states_and_causes: set[str] = set()
        """Unknown states and causes that have already been logged."""

    # Replies to direct commands

    def reply_received(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Handle a machine's reply to a direct command of this leader."""
        self._contact.direct_contact_made(self._term.now)
        if heartbeat.machine == machine.id:
            self.receive_direct_reply(heartbeat)

    def reply_missed(self, machine: Machine) -> None:
        """Handle a direct command of this leader that the machine did not answer."""
        self._contact.direct_command_missed(machine)

    def receive_direct_reply(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat sent in reply to a direct command of any controller."""
        machine = self._cluster.machines.get(heartbeat.machine)
        if heartbeat.token > (self._term.election.token or 0):
            self._term.election.resign(HIGHER_TOKEN_SEEN)
        elif machine is not None and not self.is_outdated(machine, heartbeat):
            self._machines.describe(machine, heartbeat.type, heartbeat.zone, heartbeat.spot)
            self.apply(machine, heartbeat, is_direct_reply=True)
            machine.last_heartbeat_at = self._term.now

    # All heartbeats

    def is_outdated(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether the heartbeat is no newer than what is known of the machine.

        The highest token that a worker has seen never decreases while its agent epoch and
        sequence increase. A heartbeat with a newer epoch and sequence but a lower token than we
        have seen means that the worker lost its state: the heartbeat is a copy from before the
        loss, or the epochs have restarted after it.
        """
        return (
            heartbeat.heartbeat_id <= machine.heartbeat_id
            or heartbeat.token < machine.reported_token
        )

    def apply(self, machine: Machine, heartbeat: Heartbeat, is_direct_reply: bool) -> None:
        """Apply a heartbeat that is newer than all earlier ones.

        `is_direct_reply`: the heartbeat is a reply to a direct command.
        """
        self._log_unknown_states_and_causes(heartbeat)
        self._update_machine(machine, heartbeat, is_direct_reply)
        agent_epoch = heartbeat.heartbeat_id.agent_epoch
        if heartbeat.token >= self._term.initial_token:
            # A heartbeat without our token may be a copy from before the machine lost power and
            # its epochs restarted. Attempts placed since that restart have an earlier epoch, but
            # still run.
            for allocation in self._cluster.allocations_before_epoch(machine, agent_epoch):
                self._attempts.handle_end(machine, allocation)
        listed_tasks = {(task.task, task.attempt): task for task in heartbeat.tasks}
        machine.update_task_list(listed_tasks)
        for key, allocation in list(machine.allocations.items()):
            self._task_statuses.reconcile(machine, allocation, listed_tasks.get(key))
        if (
            not is_direct_reply
            and machine.confirmed_in_term
            and self._epochs_restarted(machine, heartbeat)
        ):
            self._decommissioner.decommission(machine, "its agent epochs restarted")
        # This comes last: an attempt that is stopped and not listed counts as ended, so this
        # heartbeat's task list must be applied before the notice stops attempts.
        if heartbeat.notice_s is not None and machine.reclaim_at is None:
            self._evacuation.notice_received(machine, heartbeat.notice_s)

    def _update_machine(
        self, machine: Machine, heartbeat: Heartbeat, is_direct_reply: bool
    ) -> None:
        """Update the machine from the heartbeat's agent epoch, sequence and token."""
        new_epoch = heartbeat.heartbeat_id.agent_epoch > machine.heartbeat_id.agent_epoch
        machine.heartbeat_id = heartbeat.heartbeat_id
        self._contact.status_received()
        if not is_direct_reply:
            machine.heartbeat_sequence = heartbeat.heartbeat_id.sequence
        elif new_epoch:
            machine.heartbeat_sequence = 0
        machine.reported_token = max(machine.reported_token, heartbeat.token)
        if heartbeat.token >= self._term.initial_token:
            # The worker has received a message of this term, so this is no copy from before it.
            machine.confirmed_in_term = True
        if not machine.has_sent_heartbeat:
            machine.has_sent_heartbeat = True
            self._pending.cycle_wanted = True
        if new_epoch:
            # A new agent epoch begins with a full worker lease, even before any response to it.
            machine.last_possible_renewal = max(machine.last_possible_renewal, self._term.now)
            machine.begin_agent_epoch()

    def _epochs_restarted(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether an allocation belongs to a later agent epoch than the heartbeat's.

        The machine then counts its epochs from 1 again, so they no longer prove that earlier
        attempts have ended.
        """
        return any(
            allocation.agent_epoch > heartbeat.heartbeat_id.agent_epoch
            for allocation in machine.allocations.values()
        )

    def _log_unknown_states_and_causes(self, heartbeat: Heartbeat) -> None:
        """Log each unknown state or cause once; newer workers may send further ones."""
        unknown = unknown_states_and_causes(heartbeat) - self._unknown_states_and_causes
        if unknown and len(self._unknown_states_and_causes) < MAX_UNKNOWN_STATES_AND_CAUSES:
            self._unknown_states_and_causes |= unknown
            examples = ", ".join(repr(value[:40]) for value in sorted(unknown)[:5])
            log = f"machine {heartbeat.machine} reports unknown task states or causes: {examples}"
            self._term.outbox.log("info", log)
