"""Which machines have fallen silent, and what the leader does about it.

Silence proves nothing. It only decides which workers to ask, which machines to give up, and when
another controller would lead better; that an attempt has ended needs proof (`attempts`).
"""

from __future__ import annotations

import heapq
from collections import Counter
from typing import Protocol

from ..election.election import Election
from ..model.deployment import Deployment
from ..model.ids import Seconds, Zone
from ..state.machine import Machine
from .response_check import ResponseCheck, has_common_cause
from .worker_contact import WorkerContact

SILENCED_S = 20.0
"""For so long machines that were deleted for their silence are counted with the silent ones."""

REQUEST_SHARE = 0.4
"""After this share of the silence at which contact counts as lost, heartbeats are asked for."""

MAX_PROBES = 6
"""Machines that are asked for a heartbeat in one look."""

PROBE_INTERVAL_S = 1.5
"""Least time between two probes of a machine."""

RESIGNED_S = 10.0
"""For so long a leader that workers can't reach leaves the leadership to others."""


class Prober(Protocol):
    """Asks workers for heartbeats (`control.commands.Commands`)."""

    def request_heartbeat(self, machine: Machine) -> None:
        """Ask the worker directly."""

    def probe(self, machine: Machine) -> None:
        """Ask the worker directly and through the other controllers."""


class Liveness:
    """Counts silent machines, asks them for heartbeats, and resigns if the fault is ours."""

    def __init__(
        self,
        deployment: Deployment,
        election: Election,
        contact: WorkerContact,
        responses: ResponseCheck,
    ) -> None:
        self._deployment = deployment
        self._election = election
        self._contact = contact
        self._responses = responses
        self.silent_s = deployment.silent_s
        """After so long without a heartbeat a machine is given up."""
        self.quiet_s = 1.5 * deployment.heartbeat_interval_s + 1.0
        """After so long without a heartbeat a machine has missed one."""
        self._silenced: list[tuple[Seconds, Zone]] = []
        """When and in which zone machines were deleted for their silence."""
        self._quiet_zones: set[Zone] = set()
        """Zones where so many machines are silent that the network, or more, must be at fault."""

    def record_silence_deletion(self, machine: Machine, now: Seconds) -> None:
        """The machine was deleted for its silence."""
        self._silenced.append((now, machine.zone))

    @property
    def doubtful(self) -> bool:
        """Whether the cloud's list may soon show what became of machines that fell silent."""
        return bool(self._silenced) or bool(self._quiet_zones)

    def silent(self, machine: Machine, now: Seconds) -> bool:
        """Whether to give the machine up for its silence.

        Where many of its zone are silent, only a much longer silence counts.
        """
        silence_s = now - machine.last_heartbeat_at
        return silence_s > self.silent_s and (
            machine.zone not in self._quiet_zones or silence_s > 2.0 * self._deployment.cancel_s
        )

    def watch(self, machines: list[Machine], now: Seconds, prober: Prober) -> None:
        """Count silent machines; resign if this controller is at fault, otherwise probe them."""
        # Machines given up for their silence still count: otherwise each one given up would make
        # the rest look fewer, and a leader that is cut off would give up one after another.
        booted = [
            machine
            for machine in machines
            if machine.booted and (not machine.decommissioning or machine.deleted_for_silence)
        ]
        up = [machine for machine in booted if machine.has_sent_heartbeat]
        shortest_s = self._shortest_silence_s(up, now)
        self._find_quiet_zones(booted, shortest_s, now)
        self._responses.count_unresponsive(machines, now)
        if self._responses.no_answer_arrives(len(up)):
            # This controller is slow or cut off: its answers come too late or not at all.
            self._election.resign("no worker receives our answers", rest_s=RESIGNED_S)
            return
        if self._contact.is_lost(machines, len(up), shortest_s, now):
            self._election.resign("no worker reaches us", rest_s=RESIGNED_S)
            return
        if shortest_s > REQUEST_SHARE * self._contact.max_silence_s(len(up)):
            # All of them may have reported to a controller that ended, and take some seconds to
            # find another one. One that answers us will then be known to live.
            for machine in heapq.nlargest(
                MAX_PROBES, up, key=lambda machine: machine.last_heartbeat_at
            ):
                prober.request_heartbeat(machine)
        self._probe(machines, now, prober)

    def _shortest_silence_s(self, up: list[Machine], now: Seconds) -> float:
        """How long all machines have been silent; of a single one it says nothing."""
        if len(up) <= 1:
            return 0.0
        return min(now - machine.last_heartbeat_at for machine in up)

    def _find_quiet_zones(self, booted: list[Machine], shortest_s: float, now: Seconds) -> None:
        """Find the zones in which too many machines are silent to blame each of them.

        By zone, so that one that is cut off does not hide what ends elsewhere. Machines that a
        new leader has not received a heartbeat of count too: they may be cut off from it.
        """
        self._silenced = [(at, zone) for at, zone in self._silenced if now - at < SILENCED_S]
        silenced = Counter(zone for _, zone in self._silenced)
        present = Counter(machine.zone for machine in booted) + silenced
        quiet = (
            Counter(
                machine.zone for machine in booted if now - machine.last_heartbeat_at > self.quiet_s
            )
            + silenced
        )
        all_quiet = shortest_s > 1.25 * self._deployment.heartbeat_interval_s + 0.5
        self._quiet_zones = {
            zone for zone in present if all_quiet or has_common_cause(quiet[zone], present[zone])
        }

    def _probe(self, machines: list[Machine], now: Seconds, prober: Prober) -> None:
        """Ask silent machines for a heartbeat, a few at a time.

        They may be between two controllers, or cut off from this one alone.
        """
        probed = 0
        for machine in machines:
            if (
                probed < MAX_PROBES
                and machine.booted
                and not machine.decommissioning
                and now - machine.last_heartbeat_at > self.quiet_s
                and machine.address is not None
                and now - machine.probed_at >= PROBE_INTERVAL_S
            ):
                probed += 1
                machine.probed_at = now
                prober.probe(machine)
