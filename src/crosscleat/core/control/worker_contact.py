"""Tracks whether workers can reach this leader, or another controller should lead.

Workers keep their tasks only while a leader responds to them. A leader that they cannot reach
therefore resigns, even if the store still renews its lease.
"""

from __future__ import annotations

from ..model.deployment import Deployment
from ..model.ids import MachineId, Seconds
from ..state.machine import Machine

MIN_ALL_SILENT_S = 1.2
MAX_ALL_SILENT_S = 5.0
"""Bounds on how long all machines must be silent before contact counts as lost."""

MISSING_HEARTBEATS = 25
"""Number of missing heartbeats after which contact counts as lost, within those bounds."""

MIN_TICKS = 10
"""Number of ticks, of 0.1 s each, that a silence must also have lasted. While this process was
suspended it could not receive heartbeats, but the clock alone would count that time as silence."""

CUT_OFF_SHARE = 0.1
CUT_OFF_MIN = 3
"""Minimum share and number of machines that must have missed a direct command before the leader
considers itself cut off from the workers."""

CUT_OFF_S = 2.0
"""The leader considers itself cut off only if it has also had no direct contact with any worker
until this long after a heartbeat was due."""


class WorkerContact:
    """Records contacts with workers and unanswered direct commands."""

    def __init__(self, deployment: Deployment, now: Seconds) -> None:
        self._deployment = deployment
        self._unanswered_machines: set[MachineId] = set()
        """Machines that missed a direct command since the last direct contact with any worker."""
        self._last_direct_contact_at = now
        """When any worker was last in direct contact with this controller."""
        self._last_heartbeat_at = now
        self._ticks_without_heartbeat = 0
        self._ticks_without_status = 0
        """Ticks since the last status of any worker, by heartbeat or direct reply."""

    def heartbeat_received(self, now: Seconds) -> None:
        """Record a heartbeat, received directly or relayed by another controller."""
        self._last_heartbeat_at = now
        self._ticks_without_heartbeat = 0

    def status_received(self) -> None:
        """Record a newer worker status, from a heartbeat or the reply to a direct command."""
        self._ticks_without_status = 0

    def direct_contact_made(self, now: Seconds) -> None:
        """Record contact between a worker and this controller, not through another controller."""
        self._unanswered_machines.clear()
        self._last_direct_contact_at = now

    def direct_command_missed(self, machine: Machine) -> None:
        """Record a direct command without a reply."""
        self._unanswered_machines.add(machine.id)

    def tick(self) -> None:
        """Count a tenth of a second in which this process was ready to receive heartbeats."""
        self._ticks_without_status += 1
        self._ticks_without_heartbeat += 1

    def max_silence_s(self, reporting_count: int) -> float:
        """Silence of all `reporting_count` machines after which contact counts as lost."""
        expected_s = (
            MISSING_HEARTBEATS * self._deployment.heartbeat_interval_s / max(1, reporting_count)
        )
        return min(MAX_ALL_SILENT_S, max(MIN_ALL_SILENT_S, expected_s))

    def is_lost(
        self, machines: list[Machine], reporting_count: int, shortest_silence_s: float, now: Seconds
    ) -> bool:
        """Whether no worker can reach this leader.

        `reporting_count` is the number of machines that have sent heartbeats, and
        `shortest_silence_s` is how long all of them have been silent.
        """
        return (
            self._all_silent(reporting_count, shortest_silence_s)
            or self._no_heartbeats(reporting_count, now)
            or self._is_cut_off(machines, now)
        )

    def _all_silent(self, reporting_count: int, shortest_silence_s: float) -> bool:
        """Whether no worker status has arrived by any path for too long."""
        return self._ticks_without_status >= MIN_TICKS and shortest_silence_s > self.max_silence_s(
            reporting_count
        )

    def _no_heartbeats(self, reporting_count: int, now: Seconds) -> bool:
        """Whether no heartbeats arrive, even if workers still reply to direct commands."""
        return (
            self._ticks_without_heartbeat >= MIN_TICKS
            and reporting_count > 1
            and now - self._last_heartbeat_at > self._deployment.heartbeat_timeout_s
        )

    def _is_cut_off(self, machines: list[Machine], now: Seconds) -> bool:
        """Whether no worker is in direct contact, so that a follower should lead.

        Followers may still receive heartbeats and relay them to us.
        """
        reachable = sum(
            1 for machine in machines if machine.has_sent_heartbeat and not machine.decommissioning
        )
        return (
            len(self._unanswered_machines) >= max(CUT_OFF_MIN, CUT_OFF_SHARE * reachable)
            and now - self._last_direct_contact_at
            > self._deployment.heartbeat_interval_s + CUT_OFF_S
        )
