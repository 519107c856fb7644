"""Checks in the workers' next heartbeats whether they receive the leader's responses.

A worker that sends heartbeats but does not receive the responses never executes its orders. Its
machine is decommissioned, unless so many machines are affected that this controller or the network
must be at fault.
"""

from __future__ import annotations

from ..capacity.decommissioning import Decommissioner
from ..model.deployment import Deployment
from ..model.heartbeats import Heartbeat
from ..model.ids import Seconds
from ..state.cluster import ClusterState
from ..state.machine import Machine

ANSWERED_LEASE_FRACTION = 0.6
"""If an agent epoch ends although its heartbeats were answered for more than this fraction of a
worker lease, the worker did not receive the responses. The fraction is well below 1, as a partition
may have dropped the last responses."""

UNRESPONSIVE_S = 2.0
"""Time without executing a start order after which a worker counts as unresponsive."""

UNRESPONSIVE_SHARE = 0.5
"""Share of unresponsive machines above which the leader's responses are taken to reach none."""

LOST_LEASE_WINDOW_S = 20.0
"""Window in which leases that expired although we had responded are counted together."""

COMMON_CAUSE_SHARE = 0.1
"""Share of machines above which simultaneous failures are taken to have a common cause."""

COMMON_CAUSE_MIN = 2
"""Number of simultaneous failures up to which no common cause is assumed."""


def has_common_cause(failing: int, machines: int) -> bool:
    """Whether so many machines fail at once that this controller or the network is at fault."""
    return failing > max(COMMON_CAUSE_MIN, COMMON_CAUSE_SHARE * machines)


class ResponseCheck:
    """Detects workers that do not receive our responses."""

    def __init__(
        self, deployment: Deployment, cluster: ClusterState, decommissioner: Decommissioner
    ) -> None:
        self._deployment = deployment
        self._cluster = cluster
        self._decommissioner = decommissioner
        self._unresponsive = 0
        """Number of machines that have not executed a start order for `UNRESPONSIVE_S`."""
        self._lost_leases: list[Seconds] = []
        """Times at which agent epochs ended although we had responded to their heartbeats."""

    def check(self, machine: Machine, heartbeat: Heartbeat, now: Seconds) -> None:
        """Check with a new heartbeat whether the worker receives our responses.

        If a response with a start order arrives, the next heartbeat of the agent epoch lists the
        attempt. An agent epoch ends only if no response has arrived for a whole lease.
        """
        if heartbeat.heartbeat_id.agent_epoch > machine.heartbeat_id.agent_epoch:
            self._agent_epoch_ended(machine, now)
        else:
            self._check_starts(machine, heartbeat, now)

    def _agent_epoch_ended(self, machine: Machine, now: Seconds) -> None:
        answered_s = ANSWERED_LEASE_FRACTION * self._deployment.lease_s
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
            self._decommissioner.decommission(machine, "it does not execute orders")

    def _has_common_cause(self, failing: int) -> bool:
        return has_common_cause(failing, len(self._cluster.machines))

    def count_unresponsive(self, machines: list[Machine], now: Seconds) -> None:
        """Update the number of unresponsive machines and the recently lost leases."""
        self._lost_leases = [
            lost_at for lost_at in self._lost_leases if now - lost_at < LOST_LEASE_WINDOW_S
        ]
        self._unresponsive = sum(
            1
            for machine in machines
            if machine.has_sent_heartbeat
            and not machine.decommissioning
            and machine.unresponsive_since is not None
            and now - machine.unresponsive_since > UNRESPONSIVE_S
        )

    def no_response_arrives(self, reporting_count: int) -> bool:
        """Whether so many machines are unresponsive that our responses reach none of them."""
        return self._unresponsive > max(COMMON_CAUSE_MIN, UNRESPONSIVE_SHARE * reporting_count)
