"""Which machines are alive and receive our answers, and whether this controller should lead.

Silence proves nothing. It only decides which workers to ask, which machines to give up, and when
another controller would lead better; that an attempt has ended needs proof (`attempts`).
"""

from __future__ import annotations

import heapq
from collections import Counter
from typing import Protocol

from ..capacity.decommissioning import Decommissioner
from ..election.election import Election
from ..model.deployment import Deployment
from ..model.heartbeats import Heartbeat
from ..model.ids import MachineId, Seconds, Zone
from ..state.cluster import ClusterState
from ..state.machine import Machine

ANSWERED_LEASES = 0.6
"""In lease times: for so long the heartbeats of an agent epoch must have been answered if its end
is to show that the worker did not receive the answers. It is well within a lease, as a partition
may have taken the last answers."""

UNRESPONSIVE_S = 2.0
"""A worker that has not carried out a start for so long counts as unresponsive."""

UNRESPONSIVE_SHARE = 0.5
"""With a larger share of the machines unresponsive, the leader resigns."""

MASS_SHARE = 0.1
"""If a larger share of machines is silent or unresponsive at once, the fault is not theirs."""

MASS_MIN = 2
"""So few at once are never taken for a common fault."""

REMEMBERED_S = 20.0
"""For so long machines that were deleted for their silence, and leases that expired although we
had answered, are counted with the others."""

MIN_ALL_SILENT_S = 1.2
MAX_ALL_SILENT_S = 5.0
"""Bounds of the silence of all machines after which the leader resigns."""

MISSING_HEARTBEATS = 25
"""Between those bounds: it resigns when so many heartbeats are missing."""

MIN_TICKS = 10
"""Ticks, a tenth of a second each, that a silence must have lasted as well: a process that was
suspended has not listened."""

REQUEST_SHARE = 0.4
"""After this share of that silence the leader asks for heartbeats."""

CUT_OFF_SHARE = 0.1
"""If direct commands miss at least this share of the machines and reach none, ..."""

CUT_OFF_S = 2.0
"""... for so long after a heartbeat was expected, the leader is cut off from the workers."""

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
    """Counts silent and unresponsive machines, and asks them for heartbeats."""

    def __init__(
        self,
        deployment: Deployment,
        cluster: ClusterState,
        election: Election,
        decommissioner: Decommissioner,
        now: Seconds,
    ) -> None:
        self._deployment = deployment
        self._cluster = cluster
        self._election = election
        self._decommissioner = decommissioner
        self.silent_s = deployment.tuning.silence_leases * deployment.lease_s
        """After so long without a heartbeat a machine is given up."""
        self.quiet_s = 1.5 * deployment.heartbeat_interval_s + 1.0
        """After so long without a heartbeat a machine has missed one."""
        self._silenced: list[tuple[Seconds, Zone]] = []
        """When and in which zone machines were deleted for their silence."""
        self._unreached: set[MachineId] = set()
        """Machines that a direct command missed since any worker was last in direct contact."""
        self._reached_at = now
        """When a worker was last in direct contact."""
        self._quiet_zones: set[Zone] = set()
        """Zones where so many machines are silent that the network, or more, must be at fault."""
        self._unresponsive = 0
        """Machines that have not carried out a start for a while."""
        self._lost_leases: list[Seconds] = []
        """When agent epochs ended although we had answered their heartbeats."""
        self._ticks_without_status = 0
        """Ticks since a worker's status came by any way."""
        self._heartbeat_received_at = now
        self._ticks_without_heartbeat = 0

    # What is received

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

    def given_up(self, machine: Machine, now: Seconds) -> None:
        """The machine was deleted for its silence."""
        self._silenced.append((now, machine.zone))

    def check_answers_arrive(self, machine: Machine, heartbeat: Heartbeat, now: Seconds) -> None:
        """Judge by a new heartbeat whether the worker receives our answers.

        A start in an answer is listed in the next heartbeat of the agent epoch, or the answer did
        not arrive; and an agent epoch ends only if no answer arrived for the time of a lease.
        """
        if heartbeat.heartbeat_id.agent_epoch > machine.heartbeat_id.agent_epoch:
            self._agent_epoch_ended(machine, now)
        else:
            self._check_starts(machine, heartbeat, now)

    def _agent_epoch_ended(self, machine: Machine, now: Seconds) -> None:
        answered_s = ANSWERED_LEASES * self._deployment.lease_s
        answered = (
            now - machine.last_response_at < answered_s < now - machine.responses_unbroken_since
        )
        if answered and machine.confirmed_in_term:
            self._lost_leases.append(now)
            if not self._is_mass(len(self._lost_leases)):
                self._decommissioner.decommission(
                    machine, "its lease expired although its heartbeats were answered"
                )

    def _check_starts(self, machine: Machine, heartbeat: Heartbeat, now: Seconds) -> None:
        listed = {(task.task, task.attempt) for task in heartbeat.tasks}
        start_missed = any(
            allocation.start_sent_at_sequence and not allocation.stopping and key not in listed
            for key, allocation in machine.allocations.items()
        )
        if not start_missed:
            machine.unresponsive_since = None
        elif machine.unresponsive_since is None:
            machine.unresponsive_since = now
        elif now - machine.unresponsive_since > self.silent_s and not self._is_mass(
            self._unresponsive
        ):
            self._decommissioner.decommission(machine, "does not carry out orders")

    def _is_mass(self, count: int) -> bool:
        """Whether so many machines at once have a common cause: this controller or the network."""
        return count > max(MASS_MIN, MASS_SHARE * len(self._cluster.machines))

    # What is missing

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

    def tick(self) -> None:
        """Count a tenth of a second in which this process was ready to receive heartbeats."""
        self._ticks_without_status += 1
        self._ticks_without_heartbeat += 1

    def watch(self, machines: list[Machine], now: Seconds, prober: Prober) -> None:
        """Count silent and unresponsive machines; resign if the fault is ours, else ask them."""
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
        self._count_unresponsive(machines, now)
        if self._unresponsive > max(MASS_MIN, UNRESPONSIVE_SHARE * len(up)):
            # This controller is slow or cut off: its answers come too late or not at all.
            self._election.resign("no worker receives our answers", rest_s=RESIGNED_S)
            return
        limit_s = self._all_silent_s(len(up))
        if (
            self._all_silent(shortest_s, limit_s)
            or self._no_heartbeats(len(up), now)
            or self._cut_off(machines, now)
        ):
            # Workers keep their tasks only if a leader answers them: leave it to one they reach.
            self._election.resign("no worker reaches us", rest_s=RESIGNED_S)
            return
        if shortest_s > REQUEST_SHARE * limit_s:
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
        self._silenced = [(at, zone) for at, zone in self._silenced if now - at < REMEMBERED_S]
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
            zone
            for zone in present
            if all_quiet or quiet[zone] > max(MASS_MIN, MASS_SHARE * present[zone])
        }

    def _count_unresponsive(self, machines: list[Machine], now: Seconds) -> None:
        self._lost_leases = [at for at in self._lost_leases if now - at < REMEMBERED_S]
        self._unresponsive = sum(
            1
            for machine in machines
            if machine.has_sent_heartbeat
            and not machine.decommissioning
            and machine.unresponsive_since is not None
            and now - machine.unresponsive_since > UNRESPONSIVE_S
        )

    def _all_silent_s(self, up: int) -> float:
        """After how long a silence of all machines the fault must be this controller's."""
        expected_s = MISSING_HEARTBEATS * self._deployment.heartbeat_interval_s / max(1, up)
        return min(MAX_ALL_SILENT_S, max(MIN_ALL_SILENT_S, expected_s))

    def _all_silent(self, shortest_s: float, limit_s: float) -> bool:
        """Whether no worker's status came by any way for longer than the limit."""
        return self._ticks_without_status >= MIN_TICKS and shortest_s > limit_s

    def _no_heartbeats(self, up: int, now: Seconds) -> bool:
        """Whether workers answer direct commands only, and none sends us heartbeats."""
        return (
            self._ticks_without_heartbeat >= MIN_TICKS
            and up > 1
            and now - self._heartbeat_received_at > self.silent_s
        )

    def _cut_off(self, machines: list[Machine], now: Seconds) -> bool:
        """Whether followers receive heartbeats and we reach no worker: one would lead better."""
        up = sum(
            1 for machine in machines if machine.has_sent_heartbeat and not machine.decommissioning
        )
        return (
            len(self._unreached) >= max(3, CUT_OFF_SHARE * up)
            and now - self._reached_at > self._deployment.heartbeat_interval_s + CUT_OFF_S
        )

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
