"""The machines of a term: how they are added and described, and which were deleted."""

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
"""Time in seconds that a deleted machine is remembered, to recognize its late heartbeats."""

MAX_HEARTBEAT_INTERVALS = 1.25

HEARTBEAT_SLACK_S = 1.0
"""Nothing is placed on a machine whose last heartbeat is older than `MAX_HEARTBEAT_INTERVALS`
intervals plus this time."""


class Machines:
    """Adds machines to the cluster's state, describes them, and remembers deleted ones."""

    def __init__(
        self, term: LeadingTerm, cluster: ClusterState, types: Mapping[TypeName, MachineType]
    ) -> None:
        """`types` is updated in place when prices change."""
        self._term = term
        self._cluster = cluster
        self._types = types
        self._tombstones: dict[MachineId, Seconds] = {}
        """Deleted machines with the time of deletion; their late heartbeats may still arrive."""

    # Adding machines

    def add_recorded(self, machine_id: MachineId) -> Machine:
        """Return the machine that a record names; a new one has no type or zone until described."""
        machine = self._cluster.machines.get(machine_id)
        if machine is None:
            machine = self._add(Machine(machine_id, UNKNOWN_TYPE, UNKNOWN_ZONE, False))
        return machine

    def add_rented(self, pool: PoolKey, machine_id: MachineId) -> None:
        """Add a machine that a rental of this term returned.

        A repeated request returns the same machines: known and deleted ones are left as they are.
        """
        if machine_id in self._cluster.machines or self.is_deleted(machine_id):
            return
        machine = Machine(machine_id, self._types[pool.type], pool.zone, pool.spot)
        self._add(machine)
        machine.confirmed_in_term = True

    def add_reported(self, heartbeat: Heartbeat) -> Machine:
        """Return the machine that sent the heartbeat, added if it is new."""
        machine = self._add_described(
            heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot
        )
        machine.address = heartbeat.address
        return machine

    def add_listed(self, entry: ListedMachine) -> Machine:
        """Return the machine of an entry in the cloud's list, added if it is new."""
        machine = self._add_described(entry.id, entry.type, entry.zone, entry.spot)
        machine.listed_by_cloud = True
        machine.listed_as_running |= entry.state == "running"
        machine.address = machine.address or entry.address
        machine.created_at = min(machine.created_at, Seconds(self._term.now - entry.age_s))
        return machine

    def _add_described(
        self, machine_id: MachineId, type_name: TypeName, zone: Zone, spot: bool
    ) -> Machine:
        machine = self._cluster.machines.get(machine_id)
        if machine is None:
            machine = self._add(Machine(machine_id, UNKNOWN_TYPE, zone, spot))
        self.describe(machine, type_name, zone, spot)
        return machine

    def _add(self, machine: Machine) -> Machine:
        term = self._term
        machine.created_at = machine.last_heartbeat_at = term.now
        machine.direct.pending_start_token = term.initial_token - 1
        # No earlier leader can have renewed the worker's lease later than this.
        machine.last_possible_renewal = Seconds(
            term.began_at + term.renewal_window_s() * CLOCK_DRIFT
        )
        self._cluster.machines[machine.id] = machine
        return machine

    # Machine types

    def describe(self, machine: Machine, type_name: TypeName, zone: Zone, spot: bool) -> None:
        """Set the machine's type, zone and market (spot or on-demand), unless its type is known."""
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
        """Make each machine refer to the newest description of its type, as prices changed."""
        for machine in self._cluster.machines.values():
            machine.type = self._types.get(machine.type.name, machine.type)

    def usable(self, machine: Machine, now: Seconds) -> bool:
        """Whether tasks may be placed on the machine."""
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
            < MAX_HEARTBEAT_INTERVALS * interval_s + HEARTBEAT_SLACK_S
        )

    # Deleted machines

    def is_deleted(self, machine_id: MachineId) -> bool:
        """Whether this term deleted the machine, at most `TOMBSTONE_S` seconds ago."""
        return machine_id in self._tombstones

    def remove_deleted(self, machine: Machine) -> None:
        """Remove a machine whose deletion the cloud has confirmed."""
        self._cluster.machines.pop(machine.id, None)
        self._tombstones[machine.id] = self._term.now

    def forget_old_tombstones(self, now: Seconds) -> None:
        """Forget machines deleted so long ago that no heartbeat of theirs can still arrive."""
        old = [
            machine_id
            for machine_id, deleted_at in self._tombstones.items()
            if now - deleted_at > TOMBSTONE_S
        ]
        for machine_id in old:
            del self._tombstones[machine_id]
