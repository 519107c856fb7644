"""Whether workers receive the leader's answers, judged by their next heartbeats.

A worker that sends heartbeats but does not receive the answers never starts what it is told to.
Its machine is decommissioned, unless so many do not receive them that the fault must be this
controller's or the network's.
"""

from __future__ import annotations

from ..capacity.decommissioning import Decommissioner
from ..model.deployment import Deployment
from ..model.heartbeats import Heartbeat
from ..model.ids import Seconds
from ..state.cluster import ClusterState
from ..state.machine import Machine

ANSWERED_LEASES = 0.6
"""In lease times: for so long the heartbeats of an agent epoch must have been answered if its end
is to show that the worker did not receive the answers. It is well within a lease, as a partition
may have taken the last answers."""

UNRESPONSIVE_S = 2.0
"""A worker that has not carried out a start for so long counts as unresponsive."""

UNRESPONSIVE_SHARE = 0.5
"""With a larger share of the machines unresponsive, the leader's answers reach none of them."""

LOST_LEASES_S = 20.0
"""For so long leases that expired although we had answered are counted together."""

COMMON_CAUSE_SHARE = 0.1
"""If a larger share of machines fails at once, the fault is not each one's own."""

COMMON_CAUSE_MIN = 2
"""So few at once are never taken for a common fault."""


def has_common_cause(failing: int, machines: int) -> bool:
    """Whether so many of the machines fail at once that this controller or the network does."""
    return failing > max(COMMON_CAUSE_MIN, COMMON_CAUSE_SHARE * machines)


class ResponseCheck:
    """Finds the workers that do not receive our answers."""

    def __init__(
        self, deployment: Deployment, cluster: ClusterState, decommissioner: Decommissioner
    ) -> None:
        self._deployment = deployment
        self._cluster = cluster
        self._decommissioner = decommissioner
        self._unresponsive = 0
        """Machines that have not carried out a start for a while."""
        self._lost_leases: list[Seconds] = []
        """When agent epochs ended although we had answered their heartbeats."""

    def check(self, machine: Machine, heartbeat: Heartbeat, now: Seconds) -> None:
        """Judge by a new heartbeat whether the worker receives our answers.

        A start in an answer is listed in the next heartbeat of the agent epoch, or the answer did
        not arrive; and an agent epoch ends only if no answer arrived for the time of a lease.
        """
        if heartbeat.heartbeat_id.agent_epoch > machine.heartbeat_id.agent_epoch:
            self._agent_epoch_ended(machine, now)
        else:
            self._check_starts(machine, heartbeat, now)

    def _agent_epoch_ended(self, machine: Machine, now: Seconds) -> None:
        answered_s = ANSWERED_LEASES * self._deployment.lease_s
        answered = (
            now - machine.last_response_at < answered_s < now - machine.responses_unbroken_since
        )
        if answered and machine.confirmed_in_term:
            self._lost_leases.append(now)
            if not self._has_common_cause(len(self._lost_leases)):
                self._decommissioner.decommission(
                    machine, "its lease expired although its heartbeats were answered"
                )

    def _check_starts(self, machine: Machine, heartbeat: Heartbeat, now: Seconds) -> None:
        listed = {(task.task, task.attempt) for task in heartbeat.tasks}
        start_missed = any(
            allocation.start_sent_at_sequence and not allocation.stopping and key not in listed
            for key, allocation in machine.allocations.items()
        )
        if not start_missed:
            machine.unresponsive_since = None
        elif machine.unresponsive_since is None:
            machine.unresponsive_since = now
        elif (
            now - machine.unresponsive_since > self._deployment.heartbeat_timeout_s
            and not self._has_common_cause(self._unresponsive)
        ):
            self._decommissioner.decommission(machine, "does not carry out orders")

    def _has_common_cause(self, failing: int) -> bool:
        return has_common_cause(failing, len(self._cluster.machines))

    def count_unresponsive(self, machines: list[Machine], now: Seconds) -> None:
        """Count the machines that are unresponsive by now."""
        self._lost_leases = [at for at in self._lost_leases if now - at < LOST_LEASES_S]
        self._unresponsive = sum(
            1
            for machine in machines
            if machine.has_sent_heartbeat
            and not machine.decommissioning
            and machine.unresponsive_since is not None
            and now - machine.unresponsive_since > UNRESPONSIVE_S
        )

    def no_answer_arrives(self, up: int) -> bool:
        """Whether, of `up` machines, so many are unresponsive that our answers reach none."""
        return self._unresponsive > max(COMMON_CAUSE_MIN, UNRESPONSIVE_SHARE * up)
