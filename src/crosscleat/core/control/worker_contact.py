"""Whether this leader is in contact with the workers, or another controller should lead.

Workers keep their tasks only while a leader answers them. So a leader that they can't reach
resigns, even if the store still renews its lease.
"""

from __future__ import annotations

from ..model.deployment import Deployment
from ..model.ids import MachineId, Seconds
from ..state.machine import Machine

MIN_ALL_SILENT_S = 1.2
MAX_ALL_SILENT_S = 5.0
"""Bounds of the silence of all machines after which contact counts as lost."""

MISSING_HEARTBEATS = 25
"""Between those bounds, contact counts as lost when so many heartbeats are missing."""

MIN_TICKS = 10
"""Ticks, a tenth of a second each, that a silence must have lasted as well: a process that was
suspended has not listened."""

CUT_OFF_SHARE = 0.1
CUT_OFF_MIN = 3
"""So many of the machines, as a share and as a number, must have missed a direct command before
the leader takes itself to be cut off from the workers."""

CUT_OFF_S = 2.0
"""For so long after a heartbeat was expected no worker must have been in direct contact either."""


class WorkerContact:
    """Takes note of every contact with workers, and of direct commands without an answer."""

    def __init__(self, deployment: Deployment, now: Seconds) -> None:
        self._deployment = deployment
        self._unreached: set[MachineId] = set()
        """Machines that a direct command missed since any worker was last in direct contact."""
        self._reached_at = now
        """When a worker was last in direct contact."""
        self._heartbeat_received_at = now
        self._ticks_without_heartbeat = 0
        self._ticks_without_status = 0
        """Ticks since a worker's status came by any way."""

    def heartbeat_received(self, now: Seconds) -> None:
        """A heartbeat came, directly or relayed by another controller."""
        self._heartbeat_received_at = now
        self._ticks_without_heartbeat = 0

    def status_received(self) -> None:
        """A worker's newer status came, in a heartbeat or in the answer to a direct command."""
        self._ticks_without_status = 0

    def reached(self, now: Seconds) -> None:
        """A worker was in contact with this controller, with no other controller between."""
        self._unreached.clear()
        self._reached_at = now

    def missed(self, machine: Machine) -> None:
        """A direct command had no answer."""
        self._unreached.add(machine.id)

    def tick(self) -> None:
        """Count a tenth of a second in which this process was ready to receive heartbeats."""
        self._ticks_without_status += 1
        self._ticks_without_heartbeat += 1

    def max_silence_s(self, up: int) -> float:
        """After how long a silence of all machines, `up` in number, contact counts as lost."""
        expected_s = MISSING_HEARTBEATS * self._deployment.heartbeat_interval_s / max(1, up)
        return min(MAX_ALL_SILENT_S, max(MIN_ALL_SILENT_S, expected_s))

    def is_lost(
        self, machines: list[Machine], up: int, shortest_silence_s: float, now: Seconds
    ) -> bool:
        """Whether no worker can reach this leader.

        `up` is the number of machines that send heartbeats, `shortest_silence_s` for how long all
        of them have been silent.
        """
        return (
            self._all_silent(up, shortest_silence_s)
            or self._no_heartbeats(up, now)
            or self._is_cut_off(machines, now)
        )

    def _all_silent(self, up: int, shortest_silence_s: float) -> bool:
        """Whether no worker's status came by any way for too long."""
        return self._ticks_without_status >= MIN_TICKS and shortest_silence_s > self.max_silence_s(
            up
        )

    def _no_heartbeats(self, up: int, now: Seconds) -> bool:
        """Whether workers answer direct commands at best, and none sends us heartbeats."""
        return (
            self._ticks_without_heartbeat >= MIN_TICKS
            and up > 1
            and now - self._heartbeat_received_at > self._deployment.heartbeat_timeout_s
        )

    def _is_cut_off(self, machines: list[Machine], now: Seconds) -> bool:
        """Whether followers receive heartbeats and we reach no worker: one would lead better."""
        reachable = sum(
            1 for machine in machines if machine.has_sent_heartbeat and not machine.decommissioning
        )
        return (
            len(self._unreached) >= max(CUT_OFF_MIN, CUT_OFF_SHARE * reachable)
            and now - self._reached_at > self._deployment.heartbeat_interval_s + CUT_OFF_S
        )
