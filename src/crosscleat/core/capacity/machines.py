"""The machines that a term knows: how they become known, and which were deleted."""

from __future__ import annotations

from collections.abc import Mapping

from ..election.term import CLOCK_DRIFT, LeadingTerm
from ..model.cloud import ListedMachine, MachineType
from ..model.heartbeats import Heartbeat
from ..model.ids import MachineId, Seconds, TypeName, Zone
from ..state.cluster import ClusterState
from ..state.machine import UNKNOWN_TYPE, UNKNOWN_ZONE, Machine
from .pools import PoolKey

TOMBSTONE_S = 900.0
"""For so long a deleted machine's late heartbeats are recognized."""

HEARTBEAT_INTERVALS = 1.25

HEARTBEAT_SLACK_S = 1.0
"""Nothing is placed on a machine whose heartbeat is late by more than a quarter of the interval
and this time."""


class Machines:
    """Enters machines in the cluster's state, describes them, and remembers deleted ones."""

    def __init__(
        self, term: LeadingTerm, cluster: ClusterState, types: Mapping[TypeName, MachineType]
    ) -> None:
        """`types` may change later, as prices do."""
        self._term = term
        self._cluster = cluster
        self._types = types
        self._tombstones: dict[MachineId, Seconds] = {}
        """Deleted machines, and since when: late heartbeats of them may still arrive."""

    # Becoming known

    def enter_recorded(self, machine_id: MachineId) -> Machine:
        """The machine that a record names; a new one has no type and zone before it reports."""
        machine = self._cluster.machines.get(machine_id)
        if machine is None:
            machine = self._enter(Machine(machine_id, UNKNOWN_TYPE, UNKNOWN_ZONE, False))
        return machine

    def enter_rented(self, pool: PoolKey, machine_id: MachineId) -> None:
        """Enter a machine that a rental of this term returned.

        Repeated requests return the same machines: those known or deleted stay as they are.
        """
        if machine_id in self._cluster.machines or self.is_deleted(machine_id):
            return
        machine = Machine(machine_id, self._types[pool.type], pool.zone, pool.spot)
        self._enter(machine)
        machine.confirmed_in_term = True

    def enter_reported(self, heartbeat: Heartbeat) -> Machine:
        """The machine that sent the heartbeat."""
        machine = self._enter_described(
            heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot
        )
        machine.address = heartbeat.address
        return machine

    def enter_listed(self, entry: ListedMachine) -> Machine:
        """The machine that the cloud's list names."""
        machine = self._enter_described(entry.id, entry.type, entry.zone, entry.spot)
        machine.listed_by_cloud = True
        machine.listed_as_running |= entry.state == "running"
        machine.address = machine.address or entry.address
        machine.created_at = min(machine.created_at, Seconds(self._term.now - entry.age_s))
        return machine

    def _enter_described(
        self, machine_id: MachineId, type_name: TypeName, zone: Zone, spot: bool
    ) -> Machine:
        machine = self._cluster.machines.get(machine_id)
        if machine is None:
            machine = self._enter(Machine(machine_id, UNKNOWN_TYPE, zone, spot))
        self.describe(machine, type_name, zone, spot)
        return machine

    def _enter(self, machine: Machine) -> Machine:
        term = self._term
        machine.created_at = machine.last_heartbeat_at = term.now
        machine.direct.pending_start_token = term.began_token - 1
        # An earlier leader renewed no lease later than this after our election.
        machine.last_possible_renewal = Seconds(term.began + term.renewal_window_s() * CLOCK_DRIFT)
        self._cluster.machines[machine.id] = machine
        return machine

    # What they are

    def describe(self, machine: Machine, type_name: TypeName, zone: Zone, spot: bool) -> None:
        """Set the machine's type, zone and market, unless its type is known."""
        if machine.type is not UNKNOWN_TYPE:
            return
        machine.type = self._types.get(type_name, UNKNOWN_TYPE)
        machine.spot = spot
        if machine.zone != zone:
            # The cluster counts allocations by zone.
            allocations = list(machine.allocations.values())
            for allocation in allocations:
                self._cluster.remove(machine, allocation)
            machine.zone = zone
            for allocation in allocations:
                allocation.zone = zone
                self._cluster.add(machine, allocation)

    def types_changed(self) -> None:
        """Let each machine refer to the newest description of its type, as prices changed."""
        for machine in self._cluster.machines.values():
            machine.type = self._types.get(machine.type.name, machine.type)

    def usable(self, machine: Machine, now: Seconds) -> bool:
        """Whether tasks may be placed on it."""
        interval_s = self._term.deployment.heartbeat_interval_s
        return (
            machine.has_sent_heartbeat
            and not machine.decommissioning
            and not machine.draining
            and not machine.orphans
            and machine.placement_paused_until <= now
            and machine.type is not UNKNOWN_TYPE
            and machine.confirmed_in_term
            and machine.unresponsive_since is None
            and now - machine.last_heartbeat_at
            < HEARTBEAT_INTERVALS * interval_s + HEARTBEAT_SLACK_S
        )

    # Deleted ones

    def is_deleted(self, machine_id: MachineId) -> bool:
        """Whether this term had the machine deleted, not too long ago."""
        return machine_id in self._tombstones

    def remove_deleted(self, machine: Machine) -> None:
        """The cloud has confirmed the machine's deletion."""
        self._cluster.machines.pop(machine.id, None)
        self._tombstones[machine.id] = self._term.now

    def forget_old_tombstones(self, now: Seconds) -> None:
        """Forget machines that were deleted too long ago for a heartbeat to arrive still."""
        old = [
            machine_id
            for machine_id, deleted_at in self._tombstones.items()
            if now - deleted_at > TOMBSTONE_S
        ]
        for machine_id in old:
            del self._tombstones[machine_id]
