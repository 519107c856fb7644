"""Deletes decommissioned machines, and later removes what is kept about them."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from ..election.term import LeadingTerm
from ..model.cloud_calls import DeleteMachines
from ..model.ids import MachineId, Seconds, Version
from ..state.cluster import ClusterState
from ..state.decommission_records import DecommissionRecords
from ..state.machine import Machine
from .interruptions import InterruptionStats
from .machine_watch import AttemptEndHandler
from .machines import Machines

DECOMMISSION_RECORD_S = 120.0
"""Time in seconds that the store still names a deleted machine, so that a new leader knows of the
decision to delete it."""

MAX_PER_DELETION = 100
"""Maximum number of machines in one deletion call."""

RETRY_S = 4.0
"""Seconds after which a deletion without an answer is sent again."""

RETRY_FAILED_S = 1.0
"""Seconds after which a deletion is sent again if the cloud refused it or could not be reached."""


class SilenceDeletions(Protocol):
    """Records machines that were deleted for their silence (`control.liveness.Liveness`)."""

    def record_silence_deletion(self, machine: Machine, now: Seconds) -> None:
        """Record that the machine was deleted for its silence."""


class Deletions:
    """Deletes machines whose decommission is recorded, and cleans up after their deletion."""

    def __init__(
        self,
        term: LeadingTerm,
        cluster: ClusterState,
        machines: Machines,
        records: DecommissionRecords,
        attempts: AttemptEndHandler,
        liveness: SilenceDeletions,
        interruptions: InterruptionStats,
    ) -> None:
        self._term = term
        self._cluster = cluster
        self._machines = machines
        self._records = records
        self._attempts = attempts
        self._liveness = liveness
        self._interruptions = interruptions
        self._recorded_deletions: deque[tuple[Seconds, MachineId]] = deque()
        """Deletion times of machines that the store still names, oldest first."""

    def delete_recorded(self, now: Seconds) -> None:
        """Request the deletion of machines whose decommission the store has recorded."""
        ready = [
            machine
            for machine in self._cluster.machines.values()
            if machine.decommission_recorded
            and (machine.deletion_sent_at is None or now - machine.deletion_sent_at > RETRY_S)
        ][:MAX_PER_DELETION]
        if not ready:
            return
        for machine in ready:
            machine.deletion_sent_at = now
        ids = tuple(machine.id for machine in ready)
        self._term.outbox.add(
            DeleteMachines(ids, lambda confirmed: self._receive_answer(ready, confirmed))
        )

    def _receive_answer(self, machines: list[Machine], confirmed: bool) -> None:
        """Handle the cloud's answer: whether it confirmed the deletion of the machines."""
        if self._term.retired:
            return
        now = self._term.now
        for machine in machines:
            if confirmed:
                self._clean_up(machine, now)
            else:
                machine.deletion_sent_at = Seconds(now - (RETRY_S - RETRY_FAILED_S))

    def _clean_up(self, machine: Machine, now: Seconds) -> None:
        """End the attempts of a machine that is deleted, and remove it from the cluster."""
        for allocation in list(machine.allocations.values()):
            self._attempts.handle_end(machine, allocation)
        if machine.deleted_for_silence:
            self._liveness.record_silence_deletion(machine, now)
            if machine.spot:
                self._interruptions.record_interruption()
        self._machines.remove_deleted(machine)
        self._recorded_deletions.append((now, machine.id))

    def forget_old(self, now: Seconds, writing: bool) -> list[tuple[str, Version]]:
        """Forget machines that were deleted long ago.

        Returns the keys and versions of the records that are empty now, to be removed from the
        store. While a transaction is being written (`writing`) the records are left as they are,
        as the transaction may change them.
        """
        self._machines.forget_old_tombstones(now)
        empty_records: list[tuple[str, Version]] = []
        while not writing and self._recorded_deletions:
            deleted_at, machine_id = self._recorded_deletions[0]
            if now - deleted_at <= DECOMMISSION_RECORD_S:
                break
            self._recorded_deletions.popleft()
            empty = self._records.remove_machine_id(machine_id)
            if empty is not None and empty.version:
                empty_records.append((empty.key, empty.version))
        return empty_records
