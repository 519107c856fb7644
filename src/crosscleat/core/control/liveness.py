"""Detects machines that send no heartbeats, and decides how the leader reacts.

Silence does not prove that a machine is dead. It only decides which workers to probe, which
machines to delete, and when to let another controller lead. Ending an attempt needs proof
(`attempts`).

A quiet machine has missed a heartbeat (`missed_heartbeat_s`); a silent one may be deleted
(`heartbeat_timeout_s`).
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

SILENT_DELETION_WINDOW_S = 20.0
"""How long machines deleted for silence are still counted among the silent ones."""

HEARTBEAT_REQUEST_SHARE = 0.4
"""Heartbeats are requested after this share of the silence at which contact counts as lost."""

MAX_PROBES_PER_CHECK = 6
"""Maximum number of machines asked for a heartbeat in one check."""

MIN_PROBE_INTERVAL_S = 1.5
"""Minimum time between two probes of a machine."""

RESIGN_BACKOFF_S = 10.0
"""How long a leader that resigned for lost worker contact lets other controllers campaign first."""


class Prober(Protocol):
    """Requests heartbeats from workers (`control.commands.Commands`)."""

    def request_heartbeat(self, machine: Machine) -> None:
        """Request a heartbeat from the worker directly."""

    def probe(self, machine: Machine) -> None:
        """Request a heartbeat directly and through the other controllers."""


class Liveness:
    """Counts silent machines, probes them, and resigns if this controller is at fault."""

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
        self.heartbeat_timeout_s = deployment.heartbeat_timeout_s
        """Time without a heartbeat after which a machine is deleted."""
        self.missed_heartbeat_s = 1.5 * deployment.heartbeat_interval_s + 1.0
        """Time without a heartbeat after which a machine has missed one."""
        self._silent_deletions: list[tuple[Seconds, Zone]] = []
        """Time and zone of each recent deletion of a machine for silence."""
        self._quiet_zones: set[Zone] = set()
        """Zones with so many quiet machines that the network, or more, must be at fault."""

    def record_silence_deletion(self, machine: Machine, now: Seconds) -> None:
        """Record that the machine was deleted for silence."""
        self._silent_deletions.append((now, machine.zone))

    @property
    def has_recent_silence(self) -> bool:
        """Whether machines fell silent recently.

        The cloud's list may soon show what became of them.
        """
        return bool(self._silent_deletions) or bool(self._quiet_zones)

    def silent(self, machine: Machine, now: Seconds) -> bool:
        """Whether the machine has been silent long enough to be deleted.

        If many machines of its zone are quiet, a much longer silence is required.
        """
        silence_s = now - machine.last_heartbeat_at
        return silence_s > self.heartbeat_timeout_s and (
            machine.zone not in self._quiet_zones or silence_s > 2.0 * self._deployment.cancel_s
        )

    def watch(self, machines: list[Machine], now: Seconds, prober: Prober) -> None:
        """Count silent machines; resign if this controller is at fault, otherwise probe them."""
        # Machines deleted for silence still count: otherwise each deletion would make the failure
        # look smaller, and a leader that is cut off would delete one machine after another.
        booted = [
            machine
            for machine in machines
            if machine.booted and (not machine.decommissioning or machine.deleted_for_silence)
        ]
        reporting = [machine for machine in booted if machine.has_sent_heartbeat]
        shortest_silence_s = self._shortest_silence_s(reporting, now)
        self._find_quiet_zones(booted, shortest_silence_s, now)
        self._responses.count_unresponsive(machines, now)
        if self._responses.no_response_arrives(len(reporting)):
            # This controller is slow or cut off: its responses arrive too late or not at all.
            self._election.resign("no worker receives our responses", backoff_s=RESIGN_BACKOFF_S)
            return
        if self._contact.is_lost(machines, len(reporting), shortest_silence_s, now):
            self._election.resign("no worker can reach this controller", backoff_s=RESIGN_BACKOFF_S)
            return
        if shortest_silence_s > HEARTBEAT_REQUEST_SHARE * self._contact.max_silence_s(
            len(reporting)
        ):
            # All of them may have used a controller that ended, and take some seconds to find
            # another one. A reply to our request shows that a worker is alive.
            for machine in heapq.nlargest(
                MAX_PROBES_PER_CHECK, reporting, key=lambda machine: machine.last_heartbeat_at
            ):
                prober.request_heartbeat(machine)
        self._probe(machines, now, prober)

    def _shortest_silence_s(self, reporting: list[Machine], now: Seconds) -> float:
        """How long all machines have been silent; 0 if there are fewer than two.

        If there is only one machine, its silence does not show whether the contact is at fault.
        """
        if len(reporting) <= 1:
            return 0.0
        return min(now - machine.last_heartbeat_at for machine in reporting)

    def _find_quiet_zones(
        self, booted: list[Machine], shortest_silence_s: float, now: Seconds
    ) -> None:
        """Find the zones in which too many machines are quiet to have failed independently.

        Zones are judged separately, so that a cut-off zone does not hide dead machines in another
        one. Machines without a heartbeat in this term count too: they may be cut off from a new
        leader.
        """
        self._silent_deletions = [
            (deleted_at, zone)
            for deleted_at, zone in self._silent_deletions
            if now - deleted_at < SILENT_DELETION_WINDOW_S
        ]
        deleted_by_zone = Counter(zone for _, zone in self._silent_deletions)
        total_by_zone = Counter(machine.zone for machine in booted) + deleted_by_zone
        quiet_by_zone = (
            Counter(
                machine.zone
                for machine in booted
                if now - machine.last_heartbeat_at > self.missed_heartbeat_s
            )
            + deleted_by_zone
        )
        all_quiet = shortest_silence_s > 1.25 * self._deployment.heartbeat_interval_s + 0.5
        self._quiet_zones = {
            zone
            for zone in total_by_zone
            if all_quiet or has_common_cause(quiet_by_zone[zone], total_by_zone[zone])
        }

    def _probe(self, machines: list[Machine], now: Seconds, prober: Prober) -> None:
        """Request heartbeats from quiet machines, a few at a time.

        Their workers may be switching controllers, or be cut off from this controller only.
        """
        probed = 0
        for machine in machines:
            if (
                probed < MAX_PROBES_PER_CHECK
                and machine.booted
                and not machine.decommissioning
                and now - machine.last_heartbeat_at > self.missed_heartbeat_s
                and machine.address is not None
                and now - machine.probed_at >= MIN_PROBE_INTERVAL_S
            ):
                probed += 1
                machine.probed_at = now
                prober.probe(machine)
