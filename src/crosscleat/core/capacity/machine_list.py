"""Reading the cloud's list of machines: it finds machines that nobody reported, and lost ones."""

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

INTERVAL_S = 10.0
"""How often the list is read."""

DOUBTFUL_INTERVAL_S = 3.0
"""The same while machines are silent, as the list may soon show that they have ended."""

LISTED_BY_S = 60.0
"""A younger machine that the list lacks may only be missing from an old copy of the list."""


class HeartbeatRequests(Protocol):
    """Takes requests for heartbeats (`control.pending_work.PendingWork`)."""

    def queue_heartbeat_requests(self, machines: Iterable[Machine]) -> None:
        """Ask these machines for a heartbeat, in this order."""


class HeartbeatAge(Protocol):
    """When a machine counts as silent (`control.liveness.Liveness`)."""

    @property
    def quiet_s(self) -> float:
        """A machine that was silent for so long has missed a heartbeat."""


class MachineList:
    """Reads the list at intervals and compares it with the machines that are known."""

    def __init__(
        self,
        term: LeadingTerm,
        cluster: ClusterState,
        machines: Machines,
        liveness: HeartbeatAge,
        decommissioner: Decommissioner,
        heartbeat_requests: HeartbeatRequests,
    ) -> None:
        self._term = term
        self._cluster = cluster
        self._machines = machines
        self._liveness = liveness
        self._decommissioner = decommissioner
        self._heartbeat_requests = heartbeat_requests
        self._reading = False
        self._read_at = term.now
        """When to read it next."""
        self._last_read_at = term.now

    def read_if_due(self, now: Seconds, doubtful: bool) -> None:
        """Read the list at intervals: shorter ones if it is doubtful whether machines live."""
        if doubtful:
            self._read_at = min(self._read_at, Seconds(self._last_read_at + DOUBTFUL_INTERVAL_S))
        if not self._reading and now >= self._read_at:
            self._last_read_at = now
            self._read_at = Seconds(now + INTERVAL_S)
            self._reading = True
            self._term.outbox.add(ListMachines(self.receive))

    def receive(self, entries: list[ListedMachine] | None) -> None:
        """Compare the list, which is some seconds old, with what is known; None: no answer."""
        self._reading = False
        if entries is None or self._term.retired:
            return
        self._decommission_missing({entry.id for entry in entries}, self._term.now)
        unreported: list[Machine] = []
        for entry in entries:
            if self._machines.is_deleted(entry.id):
                continue
            machine = self._machines.enter_listed(entry)
            if entry.state == "failed":
                self._decommissioner.decommission(machine, "failed")
            if machine.listed_as_running and not machine.has_sent_heartbeat:
                unreported.append(machine)
        # They may report to another controller or late: those with the most free capacity are asked
        # first, as work may wait for it.
        self._heartbeat_requests.queue_heartbeat_requests(
            sorted(unreported, key=lambda machine: machine.used_cpus)
        )

    def _decommission_missing(self, listed: set[MachineId], now: Seconds) -> None:
        """Return machines that the list named once, names no more, and that are silent.

        A machine stays listed until it is deleted; but an answer may be older than the one before.
        """
        quiet_s = self._liveness.quiet_s
        for machine in self._cluster.machines.values():
            if (
                machine.listed_by_cloud
                and machine.id not in listed
                and now - machine.created_at > LISTED_BY_S
                and now - machine.last_heartbeat_at > quiet_s
            ):
                self._decommissioner.decommission(machine, "no longer listed")
