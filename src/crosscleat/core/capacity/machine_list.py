"""Reads the cloud's machine list to find machines that sent no heartbeat, and lost machines."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from ..election.term import LeadingTerm
from ..model.cloud import ListedMachine
from ..model.cloud_calls import ListMachines
from ..model.ids import MachineId, Seconds
from ..state.cluster import ClusterState
from ..state.machine import Machine
from .decommissioning import Decommissioner
from .machines import Machines

READ_INTERVAL_S = 10.0
"""Seconds between two reads of the list."""

SILENCE_INTERVAL_S = 3.0
"""Seconds between two reads if machines fell silent recently: the list may soon show that they have
ended."""

MIN_MISSING_AGE_S = 60.0
"""Minimum age in seconds of a machine that counts as missing from the list: a younger one may only
be missing because the list is an old copy."""


class HeartbeatRequests(Protocol):
    """Queues requests for heartbeats (`control.pending_work.PendingWork`)."""

    def queue_heartbeat_requests(self, machines: Iterable[Machine]) -> None:
        """Ask these machines for a heartbeat, in this order."""


class QuietLimit(Protocol):
    """Says when a machine counts as quiet (`control.liveness.Liveness`)."""

    @property
    def missed_heartbeat_s(self) -> float:
        """Silence in seconds after which a machine has missed a heartbeat."""


class MachineList:
    """Reads the list at intervals and compares it with the machines that are known."""

    def __init__(
        self,
        term: LeadingTerm,
        cluster: ClusterState,
        machines: Machines,
        liveness: QuietLimit,
        decommissioner: Decommissioner,
        heartbeat_requests: HeartbeatRequests,
    ) -> None:
        self._term = term
        self._cluster = cluster
        self._machines = machines
        self._liveness = liveness
        self._decommissioner = decommissioner
        self._heartbeat_requests = heartbeat_requests
        self._read_pending = False
        self._next_read_at = term.now
        """When to read the list next."""
        self._last_read_at = term.now

    def read_if_due(self, now: Seconds, recent_silence: bool) -> None:
        """Request the list if it is due, sooner if machines fell silent recently."""
        if recent_silence:
            self._next_read_at = min(
                self._next_read_at, Seconds(self._last_read_at + SILENCE_INTERVAL_S)
            )
        if not self._read_pending and now >= self._next_read_at:
            self._last_read_at = now
            self._next_read_at = Seconds(now + READ_INTERVAL_S)
            self._read_pending = True
            self._term.outbox.add(ListMachines(self.receive))

    def receive(self, entries: list[ListedMachine] | None) -> None:
        """Compare the list, which is some seconds old, with the known machines; None: no answer."""
        self._read_pending = False
        if entries is None or self._term.retired:
            return
        self._decommission_missing({entry.id for entry in entries}, self._term.now)
        without_heartbeat: list[Machine] = []
        for entry in entries:
            if self._machines.is_deleted(entry.id):
                continue
            machine = self._machines.add_listed(entry)
            if entry.state == "failed":
                self._decommissioner.decommission(machine, "listed as failed")
            if machine.listed_as_running and not machine.has_sent_heartbeat:
                without_heartbeat.append(machine)
        # They may send heartbeats to another controller, or late. Those with the most free capacity
        # are asked first, as work may wait for it.
        self._heartbeat_requests.queue_heartbeat_requests(
            sorted(without_heartbeat, key=lambda machine: machine.used_cpus)
        )

    def _decommission_missing(self, listed: set[MachineId], now: Seconds) -> None:
        """Decommission quiet machines that an earlier list named and this one does not.

        A machine stays listed until it is deleted, but an answer may be older than the one before.
        """
        missed_heartbeat_s = self._liveness.missed_heartbeat_s
        for machine in self._cluster.machines.values():
            if (
                machine.listed_by_cloud
                and machine.id not in listed
                and now - machine.created_at > MIN_MISSING_AGE_S
                and now - machine.last_heartbeat_at > missed_heartbeat_s
            ):
                self._decommissioner.decommission(machine, "no longer listed by the cloud")
