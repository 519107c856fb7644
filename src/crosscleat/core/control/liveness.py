"""Which machines still live and hear us, by their reports, their silence and what they answer.

Silence proves nothing. It only decides whom to ask, whom to give up, and when another
controller would lead better; what was placed on a machine is gone on proof alone (`placements`).
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

CUT_OFF_SHARE = 0.1

CUT_OFF_S = 2.0

UNHEARD_S = 5.0

MIN_UNHEARD_S = 1.2

UNHEARD_REPORTS = 25

UNHEARD_TICKS = 10

ASK_SHARE = 0.4

UNBROKEN_LEASES = 0.6

MAX_PROBES = 6

PROBE_S = 1.5

SILENCED_S = 20.0

UNRESPONSIVE_S = 2.0

MANY_SHARE = 0.1
"""So many that fall silent did not all end, nor are so many deaf."""

REST_S = 10.0
"""How long a leader that workers don't hear leaves the lead to others."""


class Prober(Protocol):
    """Asks workers for heartbeats (`control.commands.Commands`)."""

    def request_heartbeat(self, machine: Machine) -> None:
        """Ask the worker directly."""

    def ask(self, machine: Machine) -> None:
        """Ask the worker directly and through the other controllers."""


class Liveness:
    """Counts who is silent or deaf, and asks after them."""

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
        self.quiet_s = 1.5 * deployment.heartbeat_interval_s + 1.0
        """A machine that was not heard for so long has missed a report."""
        self._silenced: list[tuple[Seconds, Zone]] = []
        """When and where machines that were given up for their silence were deleted."""
        self._unreached: set[MachineId] = set()
        """Machines that we could not reach since we last reached or directly heard any."""
        self._reached_at = now
        self._quiet_zones: set[Zone] = set()
        """Where so many are silent that the network is at fault, or something larger."""
        self._unresponsive = 0
        """Machines that have taken up no orders for a while."""
        self._lost_leases: list[Seconds] = []
        """When sessions ended although we had answered."""
        self._silent_ticks = 0
        """Ticks since any report came; those of a process that stood still are few."""
        self._heartbeat_received_at = now
        self._lonely_ticks = 0

    # What is heard

    def heartbeat_received(self, now: Seconds) -> None:
        """A check-in came, to us or through another controller."""
        self._heartbeat_received_at = now
        self._lonely_ticks = 0

    def heard(self) -> None:
        """A newer report came, by whatever way."""
        self._silent_ticks = 0

    def reached(self, now: Seconds) -> None:
        """A worker and we have reached each other with no other controller between."""
        self._unreached.clear()
        self._reached_at = now

    def missed(self, machine: Machine) -> None:
        """A direct message of ours had no answer."""
        self._unreached.add(machine.id)

    def given_up(self, machine: Machine, now: Seconds) -> None:
        """It was deleted for its silence."""
        self._silenced.append((now, machine.zone))

    def listen(self, machine: Machine, heartbeat: Heartbeat, now: Seconds) -> None:
        """Whether the worker hears our answers, by what its new check-in shows of them.

        A start in an answer is in the next report of the session, or the answer did not arrive.
        And a session that ends although its reports were answered in time heard no answer.
        """
        # For a while, and until well within a lease: a cut may have taken the last answers.
        most_s = UNBROKEN_LEASES * self._deployment.lease_s
        answered = now - machine.answered_at < most_s < now - machine.answered_from
        if heartbeat.heartbeat_id.agent_epoch > machine.heartbeat_id.agent_epoch:
            if answered and machine.confirmed:
                self._lost_leases.append(now)
                if not self._many(len(self._lost_leases)):
                    self._decommissioner.decommission(
                        machine, "its lease ran out though we answered"
                    )
            return
        listed = {(task.task, task.attempt) for task in heartbeat.tasks}
        missed = any(
            allocation.answered_at and not allocation.stopping and key not in listed
            for key, allocation in machine.allocations.items()
        )
        if not missed:
            machine.unresponsive_since = None
        elif machine.unresponsive_since is None:
            machine.unresponsive_since = now
        elif now - machine.unresponsive_since > self.silent_s and not self._many(
            self._unresponsive
        ):
            self._decommissioner.decommission(machine, "takes up no orders")

    def _many(self, count: int) -> bool:
        """So many at once can't all be at fault: we are, or the network."""
        return count > max(2, MANY_SHARE * len(self._cluster.machines))

    # What is not

    @property
    def doubtful(self) -> bool:
        """Whether the cloud's list may soon tell of the end of machines that fell silent."""
        return bool(self._silenced) or bool(self._quiet_zones)

    def silent(self, machine: Machine, now: Seconds) -> bool:
        """Whether to give it up: for its silence, and not when many of its zone are silent."""
        silence = now - machine.last_heard
        return silence > self.silent_s and (
            machine.zone not in self._quiet_zones or silence > 2.0 * self._deployment.cancel_s
        )

    def tick(self) -> None:
        """A tenth of a second has passed in which reports were listened for."""
        self._silent_ticks += 1
        self._lonely_ticks += 1

    def watch(self, machines: list[Machine], now: Seconds, prober: Prober) -> None:
        """Count who is silent or deaf, ask after them, and resign if it is our own fault."""
        # Those given up for their silence still count: else each that is given up would make
        # the rest look like fewer, and a leader that is cut off would give up one after another.
        booted = [
            m for m in machines if m.booted and (not m.decommissioning or m.deleted_for_silence)
        ]
        up = [m for m in booted if m.up]
        heard = [now - m.last_heard for m in up]
        least = min(heard, default=0.0) if len(heard) > 1 else 0.0
        # Those that are deleted by now count too, for a while.
        self._silenced = [(at, zone) for at, zone in self._silenced if now - at < SILENCED_S]
        muted = Counter(zone for _, zone in self._silenced)
        # Also those that a new leader has not heard of yet: they may be cut off from it.
        here = Counter(m.zone for m in booted) + muted
        quiet = Counter(m.zone for m in booted if now - m.last_heard > self.quiet_s) + muted
        none_heard = least > 1.25 * self._deployment.heartbeat_interval_s + 0.5
        # By zone: one that is cut off must not hide what ends elsewhere.
        self._quiet_zones = {
            zone for zone in here if none_heard or quiet[zone] > max(2, MANY_SHARE * here[zone])
        }
        self._lost_leases = [at for at in self._lost_leases if now - at < SILENCED_S]
        deaf = (
            m
            for m in machines
            if m.up and not m.decommissioning and m.unresponsive_since is not None
        )
        self._unresponsive = sum(
            1 for m in deaf if now - (m.unresponsive_since or now) > UNRESPONSIVE_S
        )
        if self._unresponsive > max(2, 0.5 * len(heard)):
            # Slow, or heard by none: our answers come too late or not at all.
            self._election.resign("no worker hears us", rest_s=REST_S)
            return
        # Ticks are counted too: a process that stood still has not listened.
        unheard_s = self._unheard_s(len(heard))
        unheard = self._silent_ticks >= UNHEARD_TICKS and least > unheard_s
        lonely = (
            self._lonely_ticks >= UNHEARD_TICKS
            and len(heard) > 1
            and now - self._heartbeat_received_at > self.silent_s
        )
        if unheard or lonely or self._cut_off(machines, now):
            # They live or die by who answers them: let one lead whom they can reach.
            self._election.resign("no worker reaches us", rest_s=REST_S)
            return
        if least > ASK_SHARE * unheard_s:
            # All of them may have been with a controller that ended, and take some seconds to
            # find another one: if they answer us, they will.
            for machine in heapq.nlargest(MAX_PROBES, up, key=lambda m: m.last_heard):
                prober.request_heartbeat(machine)
        self._probe(machines, now, prober)

    def _unheard_s(self, up: int) -> float:
        """A silence of all machines in which so many reports are missing that we are at fault."""
        expected = UNHEARD_REPORTS * self._deployment.heartbeat_interval_s / max(1, up)
        return min(UNHEARD_S, max(MIN_UNHEARD_S, expected))

    def _cut_off(self, machines: list[Machine], now: Seconds) -> bool:
        """Followers hear the workers and we reach none: one of those would lead better."""
        up = sum(1 for m in machines if m.up and not m.decommissioning)
        return (
            len(self._unreached) >= max(3, CUT_OFF_SHARE * up)
            and now - self._reached_at > self._deployment.heartbeat_interval_s + CUT_OFF_S
        )

    def _probe(self, machines: list[Machine], now: Seconds, prober: Prober) -> None:
        """Ask after machines that went silent: they may be between two controllers, or cut off
        from us alone, and nothing but their silence speaks for their end."""
        asked = 0
        for machine in machines:
            if (
                asked < MAX_PROBES
                and machine.booted
                and not machine.decommissioning
                and now - machine.last_heard > self.quiet_s
                and machine.address is not None
                and now - machine.probed_at >= PROBE_S
            ):
                asked += 1
                machine.probed_at = now
                prober.ask(machine)
