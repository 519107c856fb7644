"""The machines of a term: how they become known, when they are returned, and what was deleted."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Protocol

from ..election.term import CLOCK_DRIFT, LeadingTerm
from ..model.cloud import ListedMachine
from ..model.cloud_calls import DeleteMachines, ListMachines
from ..model.heartbeats import Heartbeat
from ..model.ids import MachineId, Seconds, TypeName, Version, Zone
from ..state.allocations import Allocation
from ..state.cluster import ClusterState
from ..state.decommission_records import DecommissionRecords
from ..state.machine import NOWHERE, UNKNOWN_TYPE, Machine
from .decommissioning import Decommissioner
from .fleet import Fleet
from .interruptions import InterruptionStats
from .pools import PoolKey

LIST_S = 10.0
"""How often the cloud's list is read."""

LIST_WAIT_S = 2.0

SOON_LIST_S = 3.0
"""The same while it may soon tell of the end of machines that fell silent."""

LISTED_BY_S = 60.0
"""A machine that is missing from the list is gone only when it is older than that."""

TOMBSTONE_S = 900.0
"""For so long a deleted machine's old reports are known for what they are."""

DECOMMISSION_RECORD_S = 120.0
"""For so long the store names a deleted machine, so that a successor knows them too."""

MAX_DELETED = 100
"""Names in one deletion."""

DELETE_AGAIN_S = 4.0

DELETE_FAILED_AGAIN_S = 1.0

LEASE_SLACK_S = 0.2

BOOT_TIMES = 4.0

BOOT_EXTRA_S = 20.0
"""A machine that is not up after four times its usual boot, and so much more, never comes up."""


class SilenceJudge(Protocol):
    """Says which machines have been silent for too long (`control.liveness.Liveness`)."""

    @property
    def silent_s(self) -> float:
        """Silence after which a machine is given up."""

    @property
    def quiet_s(self) -> float:
        """Silence after which a machine counts as silent."""

    def silent(self, machine: Machine, now: Seconds) -> bool:
        """Whether to give the machine up for its silence."""

    def given_up(self, machine: Machine, now: Seconds) -> None:
        """The machine was deleted for its silence."""


class AttemptEnds(Protocol):
    """Carries out what the end of an attempt means (`control.attempts.Attempts`)."""

    def ended(self, machine: Machine, allocation: Allocation) -> None:
        """The attempt is proven to have ended without a result."""


class HeartbeatRequests(Protocol):
    """Takes requests for heartbeats (`control.pending_work.PendingWork`)."""

    def queue_heartbeat_requests(self, machines: Iterable[Machine]) -> None:
        """Ask these machines for a heartbeat, in this order."""


class Machines:
    """Enters, describes, lists, returns and deletes the machines in the ledger."""

    def __init__(
        self,
        term: LeadingTerm,
        cluster: ClusterState,
        fleet: Fleet,
        interruptions: InterruptionStats,
        decommission_records: DecommissionRecords,
        attempts: AttemptEnds,
        liveness: SilenceJudge,
        decommissioner: Decommissioner,
        heartbeat_requests: HeartbeatRequests,
    ) -> None:
        self._term = term
        self._cluster = cluster
        self._fleet = fleet
        self._interruptions = interruptions
        self._decommission_records = decommission_records
        self._attempts = attempts
        self._liveness = liveness
        self._decommissioner = decommissioner
        self._heartbeat_requests = heartbeat_requests
        self._deleted_names: deque[tuple[Seconds, MachineId]] = deque()
        """Machines that are deleted but still named in the store, and since when."""
        self._listing = False
        self._list_at = term.now
        self._listed_at = term.now
        self.tombstones: dict[MachineId, Seconds] = {}
        """Machines that are gone, and since when: old reports of them may still arrive."""

    # Becoming known

    def enter(self, machine: Machine) -> None:
        """A machine that this term did not know of."""
        term = self._term
        machine.created_at = machine.last_heard = term.now
        machine.pending_start_token = term.began_token - 1
        # An earlier leader's last contact was before our election.
        machine.last_answer = Seconds(term.began + term.renewal_window_s() * CLOCK_DRIFT)
        self._cluster.machines[machine.id] = machine

    def enter_recorded(self, machine_id: MachineId) -> Machine:
        """The machine that a record names, which perhaps nobody has described yet."""
        machine = self._cluster.machines.get(machine_id)
        if machine is None:
            machine = Machine(machine_id, UNKNOWN_TYPE, NOWHERE, False)
            self.enter(machine)
        return machine

    def enter_rented(self, pool: PoolKey, machine_id: MachineId) -> None:
        """A machine that a rental request of this term was answered with."""
        if machine_id in self._cluster.machines or machine_id in self.tombstones:
            return
        machine = Machine(machine_id, self._fleet.types[pool.type], pool.zone, pool.spot)
        self.enter(machine)
        machine.confirmed = True

    def enter_reported(self, heartbeat: Heartbeat) -> Machine:
        """The machine that sent the report."""
        machine = self._cluster.machines.get(heartbeat.machine)
        if machine is None:
            machine = Machine(heartbeat.machine, UNKNOWN_TYPE, heartbeat.zone, heartbeat.spot)
            self.enter(machine)
        self.describe(machine, heartbeat.type, heartbeat.zone, heartbeat.spot)
        machine.address = heartbeat.address
        return machine

    def describe(self, machine: Machine, kind: TypeName, zone: Zone, spot: bool) -> None:
        """Take in what it is, unless that is known."""
        if machine.type is not UNKNOWN_TYPE:
            return
        machine.type = self._fleet.types.get(kind, UNKNOWN_TYPE)
        machine.spot = spot
        if machine.zone != zone:
            allocations = list(machine.allocations.values())
            for allocation in allocations:
                self._cluster.remove(machine, allocation)
            machine.zone = zone
            for allocation in allocations:
                allocation.zone = zone
                self._cluster.add(machine, allocation)

    def types_changed(self) -> None:
        """Prices moved: machines refer to their type as it was described last."""
        for machine in self._cluster.machines.values():
            machine.type = self._fleet.types.get(machine.type.name, machine.type)

    # The cloud's list

    def list_if_due(self, now: Seconds, doubtful: bool) -> None:
        """Read the list; sooner if it may tell of the end of machines that fell silent."""
        if doubtful:
            self._list_at = min(self._list_at, Seconds(self._listed_at + SOON_LIST_S))
        if not self._listing and now >= self._list_at:
            self._listed_at = now
            self._list_at = Seconds(now + LIST_S)
            self._listing = True
            self._term.outbox.add(ListMachines(self.listed))

    def listed(self, entries: list[ListedMachine] | None) -> None:
        """Take in the list, some seconds old; None: there was no answer."""
        self._listing = False
        if entries is None or self._term.retired:
            return
        now = self._term.now
        self._decommission_missing({entry.id for entry in entries}, now)
        known = (entry for entry in entries if entry.id not in self.tombstones)
        unheard = [machine for entry in known if (machine := self._take_in(entry, now))]
        # First those with the most room: work may wait for it.
        self._heartbeat_requests.queue_heartbeat_requests(
            sorted(unheard, key=lambda machine: machine.used_cpus)
        )

    def _take_in(self, entry: ListedMachine, now: Seconds) -> Machine | None:
        """The machine, if it runs and was not heard of in this term: ask, rather than wait for its
        next check-in."""
        machine = self._cluster.machines.get(entry.id)
        if machine is None:
            machine = Machine(entry.id, UNKNOWN_TYPE, entry.zone, entry.spot)
            self.enter(machine)
        self.describe(machine, entry.type, entry.zone, entry.spot)
        machine.listed = True
        machine.listed_running |= entry.state == "running"
        machine.address = machine.address or entry.address
        machine.created_at = min(machine.created_at, Seconds(now - entry.age_s))
        if entry.state == "failed":
            self._decommissioner.decommission(machine, "failed")
        return machine if machine.listed_running and not machine.up else None

    def _decommission_missing(self, named: set[MachineId], now: Seconds) -> None:
        """What was listed stays listed until it is gone; a list may only be older than another."""
        quiet_s = self._liveness.quiet_s
        for machine in self._cluster.machines.values():
            if (
                machine.listed
                and machine.id not in named
                and now - machine.created_at > LISTED_BY_S
                and now - machine.last_heard > quiet_s
            ):
                self._decommissioner.decommission(machine, "no longer listed")

    # Watching them

    def usable(self, machine: Machine, now: Seconds) -> bool:
        """Whether tasks may be placed on it."""
        return (
            machine.up
            and not machine.decommissioning
            and not machine.draining
            and not machine.orphans
            and machine.full_until <= now
            and machine.type is not UNKNOWN_TYPE
            and machine.confirmed
            and machine.unresponsive_since is None
            and now - machine.last_heard < 1.25 * self._term.deployment.heartbeat_interval_s + 1.0
        )

    def watch(self, machine: Machine, now: Seconds) -> None:
        """Free what its lease no longer holds, and return it if it is gone, drained or late."""
        self._end_lease(machine, now)
        busy = bool(machine.allocations or machine.exited or machine.orphans)
        if busy or not machine.up:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now
        reason = None if machine.decommissioning else self._why_return(machine, now)
        if reason is not None:
            self._decommissioner.decommission(machine, reason)

    def _why_return(self, machine: Machine, now: Seconds) -> str | None:
        if machine.booted and self._liveness.silent(machine, now):
            machine.deleted_for_silence = True
            return f"silent for {now - machine.last_heard:.0f} s"
        if machine.up:
            return "drained" if machine.draining and not machine.allocations else None
        if machine.booted:
            # Running, and not heard of in this term: it may be cut off from us.
            return None
        if machine.type is UNKNOWN_TYPE:
            known_by = machine.created_at + self._liveness.silent_s + LIST_WAIT_S
            return "only on record, neither listed nor heard" if now > known_by else None
        return "never came up" if now > self._up_by(machine) else None

    def _up_by(self, machine: Machine) -> float:
        booted = machine.created_at + BOOT_TIMES * machine.type.boot_s + BOOT_EXTRA_S
        return max(booted, self._term.began + self._liveness.silent_s)

    def _end_lease(self, machine: Machine, now: Seconds) -> None:
        lease_s = self._term.deployment.lease_s * CLOCK_DRIFT + LEASE_SLACK_S
        if machine.allocations and now > machine.last_answer + lease_s:
            for allocation in list(machine.allocations.values()):
                self._attempts.ended(machine, allocation)

    # Returning them

    def delete_recorded(self, now: Seconds) -> None:
        """Delete those whose deletion is on record."""
        ready = [
            machine
            for machine in self._cluster.machines.values()
            if machine.decommission_recorded
            and (machine.delete_sent is None or now - machine.delete_sent > DELETE_AGAIN_S)
        ][:MAX_DELETED]
        if not ready:
            return
        for machine in ready:
            machine.delete_sent = now
        names = tuple(machine.id for machine in ready)
        self._term.outbox.add(DeleteMachines(names, lambda ok: self._deleted(ready, ok)))

    def _deleted(self, machines: list[Machine], ok: bool) -> None:
        now = self._term.now
        if self._term.retired:
            return
        for machine in machines:
            if not ok:
                again_s = DELETE_AGAIN_S - DELETE_FAILED_AGAIN_S
                machine.delete_sent = Seconds(now - again_s)
                continue
            for allocation in list(machine.allocations.values()):
                self._attempts.ended(machine, allocation)
            if machine.deleted_for_silence:
                self._liveness.given_up(machine, now)
                if machine.spot:
                    self._interruptions.record_interruption()
            self._cluster.machines.pop(machine.id, None)
            self.tombstones[machine.id] = now
            self._deleted_names.append((now, machine.id))

    def forget_old(self, now: Seconds, writing: bool) -> list[tuple[str, Version]]:
        """Forget what was deleted long ago; the records that name nothing more."""
        old = [m for m, at in self.tombstones.items() if now - at > TOMBSTONE_S]
        for machine_id in old:
            del self.tombstones[machine_id]
        obsolete = []
        # Not under a write, which may be changing the very record.
        while not writing and self._deleted_names:
            deleted_at, machine_id = self._deleted_names[0]
            if now - deleted_at <= DECOMMISSION_RECORD_S:
                break
            self._deleted_names.popleft()
            empty = self._decommission_records.forget(machine_id)
            if empty is not None and empty.version:
                obsolete.append((empty.key, empty.version))
        return obsolete
