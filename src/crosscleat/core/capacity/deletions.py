"""Deleting decommissioned machines, and forgetting them in time."""

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
from .machine_watch import AttemptEnds
from .machines import Machines

DECOMMISSION_RECORD_S = 120.0
"""For so long the store names a deleted machine, so that a successor knows of the decision."""

MAX_DELETED = 100
"""Machines of one deletion call."""

REPEAT_S = 4.0
"""A deletion without an answer is repeated after this time."""

REPEAT_FAILED_S = 1.0
"""The same if the cloud refused it or could not be reached."""


class SilenceRecord(Protocol):
    """Remembers which machines were deleted for their silence (`control.liveness.Liveness`)."""

    def given_up(self, machine: Machine, now: Seconds) -> None:
        """The machine was deleted for its silence."""


class Deletions:
    """Has machines deleted whose decommission is on record, and cleans up after them."""

    def __init__(
        self,
        term: LeadingTerm,
        cluster: ClusterState,
        machines: Machines,
        records: DecommissionRecords,
        attempts: AttemptEnds,
        liveness: SilenceRecord,
        interruptions: InterruptionStats,
    ) -> None:
        self._term = term
        self._cluster = cluster
        self._machines = machines
        self._records = records
        self._attempts = attempts
        self._liveness = liveness
        self._interruptions = interruptions
        self._recorded: deque[tuple[Seconds, MachineId]] = deque()
        """When machines were deleted that the store still names; the oldest first."""

    def delete_recorded(self, now: Seconds) -> None:
        """Have machines deleted whose decommission is on record."""
        ready = [
            machine
            for machine in self._cluster.machines.values()
            if machine.decommission_recorded
            and (machine.deletion_sent_at is None or now - machine.deletion_sent_at > REPEAT_S)
        ][:MAX_DELETED]
        if not ready:
            return
        for machine in ready:
            machine.deletion_sent_at = now
        names = tuple(machine.id for machine in ready)
        self._term.outbox.add(DeleteMachines(names, lambda done: self._receive(ready, done)))

    def _receive(self, machines: list[Machine], done: bool) -> None:
        """The cloud confirmed that the machines are deleted, or not."""
        if self._term.retired:
            return
        now = self._term.now
        for machine in machines:
            if done:
                self._confirmed(machine, now)
            else:
                machine.deletion_sent_at = Seconds(now - (REPEAT_S - REPEAT_FAILED_S))

    def _confirmed(self, machine: Machine, now: Seconds) -> None:
        for allocation in list(machine.allocations.values()):
            self._attempts.ended(machine, allocation)
        if machine.deleted_for_silence:
            self._liveness.given_up(machine, now)
            if machine.spot:
                self._interruptions.record_interruption()
        self._machines.remove_deleted(machine)
        self._recorded.append((now, machine.id))

    def forget_old(self, now: Seconds, writing: bool) -> list[tuple[str, Version]]:
        """Forget what was deleted long ago; the keys and versions of records to be removed.

        Nothing is removed from records while a transaction is being written: it may change them.
        """
        self._machines.forget_old_tombstones(now)
        obsolete: list[tuple[str, Version]] = []
        while not writing and self._recorded:
            deleted_at, machine_id = self._recorded[0]
            if now - deleted_at <= DECOMMISSION_RECORD_S:
                break
            self._recorded.popleft()
            empty = self._records.remove_machine_id(machine_id)
            if empty is not None and empty.version:
                obsolete.append((empty.key, empty.version))
        return obsolete
