"""What a heartbeat proves, whether it came by itself or as the reply to a direct command.

A heartbeat is applied only if it is newer than all before it. It may be a late copy from before the
machine lost power: only one that shows this term's fencing token proves anything of the attempts of
earlier agent epochs.
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

MAX_UNKNOWN_WORDS = 100
"""Unknown states and causes in heartbeats are logged and remembered up to this number."""

HIGHER_TOKEN_SEEN = "a worker has seen a higher token"
"""Why a leader resigns that has been replaced without knowing it."""


class HeartbeatProcessing:
    """Applies heartbeats to the machines and allocations, and takes the replies to commands."""

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
        self._unknown_words: set[str] = set()
        """States and causes in heartbeats that were logged as unknown."""

    # Replies to direct commands

    def reply_received(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """A direct command of ours to the machine was answered with a heartbeat."""
        self._contact.reached(self._term.now)
        if heartbeat.machine == machine.id:
            self.receive_direct_reply(heartbeat)

    def reply_missed(self, machine: Machine) -> None:
        """A direct command of ours to the machine was not answered."""
        self._contact.missed(machine)

    def receive_direct_reply(self, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat that answers a direct command, ours or another controller's."""
        machine = self._cluster.machines.get(heartbeat.machine)
        if heartbeat.token > (self._term.election.token or 0):
            self._term.election.resign(HIGHER_TOKEN_SEEN)
        elif machine is not None and not self.is_outdated(machine, heartbeat):
            self._machines.describe(machine, heartbeat.type, heartbeat.zone, heartbeat.spot)
            self.apply(machine, heartbeat, is_reply=True)
            machine.last_heartbeat_at = self._term.now

    # Any heartbeat

    def is_outdated(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether the heartbeat is not newer than what is known of the machine.

        The highest token that a worker has seen never falls while its agent epoch and sequence
        rise. A heartbeat that is newer by those and shows a lower token than we saw comes from
        before or after a loss of the worker's state: an old copy, or epochs that start again.
        """
        return (
            heartbeat.heartbeat_id <= machine.heartbeat_id
            or heartbeat.token < machine.reported_token
        )

    def apply(self, machine: Machine, heartbeat: Heartbeat, is_reply: bool) -> None:
        """Take in a heartbeat newer than all before it; `is_reply`: to a direct command."""
        self._log_unknown_words(heartbeat)
        self._update_machine(machine, heartbeat, is_reply)
        agent_epoch = heartbeat.heartbeat_id.agent_epoch
        if heartbeat.token >= self._term.began_token:
            # Without our token it may be a copy from before the machine lost power and its epochs
            # started again: what was placed there since belongs to an earlier epoch, and runs.
            for allocation in self._cluster.allocations_before_epoch(machine, agent_epoch):
                self._attempts.ended(machine, allocation)
        listed = {(task.task, task.attempt): task for task in heartbeat.tasks}
        machine.update_task_list(listed)
        for key, allocation in list(machine.allocations.items()):
            self._task_statuses.reconcile(machine, allocation, listed.get(key))
        if (
            not is_reply
            and machine.confirmed_in_term
            and self._epochs_restarted(machine, heartbeat)
        ):
            self._decommissioner.decommission(machine, "its agent epochs start again")
        # Last: an attempt that is stopped and not listed has ended, so this heartbeat's list must
        # be in force when the notice stops attempts.
        if heartbeat.notice_s is not None and machine.reclaim_at is None:
            self._evacuation.notice_received(machine, heartbeat.notice_s)

    def _update_machine(self, machine: Machine, heartbeat: Heartbeat, is_reply: bool) -> None:
        """Take in the heartbeat's agent epoch, sequence and token."""
        new_epoch = heartbeat.heartbeat_id.agent_epoch > machine.heartbeat_id.agent_epoch
        machine.heartbeat_id = heartbeat.heartbeat_id
        self._contact.status_received()
        if not is_reply:
            machine.heartbeat_sequence = heartbeat.heartbeat_id.sequence
        elif new_epoch:
            machine.heartbeat_sequence = 0
        machine.reported_token = max(machine.reported_token, heartbeat.token)
        if heartbeat.token >= self._term.began_token:
            # The worker has received something of this term: this is no copy from before it.
            machine.confirmed_in_term = True
        if not machine.has_sent_heartbeat:
            machine.has_sent_heartbeat = True
            self._pending.cycle_wanted = True
        if new_epoch:
            # The worker lease of an agent epoch also runs from its beginning, answered or not.
            machine.last_possible_renewal = max(machine.last_possible_renewal, self._term.now)
            machine.begin_agent_epoch()

    def _epochs_restarted(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether an allocation belongs to a later agent epoch than the heartbeat's.

        The machine then counts its epochs from 1 again, and they prove nothing of what was placed
        there.
        """
        return any(
            allocation.agent_epoch > heartbeat.heartbeat_id.agent_epoch
            for allocation in machine.allocations.values()
        )

    def _log_unknown_words(self, heartbeat: Heartbeat) -> None:
        """Log each word once: a later version of the workers may use more of them."""
        unknown = unknown_states_and_causes(heartbeat) - self._unknown_words
        if unknown and len(self._unknown_words) < MAX_UNKNOWN_WORDS:
            self._unknown_words |= unknown
            words = ", ".join(repr(word[:40]) for word in sorted(unknown)[:5])
            log = f"machine {heartbeat.machine} reports unknown words: {words}"
            self._term.outbox.log("info", log)
