"""Checks each machine for an expired lease, idleness, and reasons to return it."""

from __future__ import annotations

from typing import Protocol

from ..election.term import CLOCK_DRIFT, LeadingTerm
from ..model.ids import Seconds
from ..state.allocations import Allocation
from ..state.machine import UNKNOWN_TYPE, Machine
from .decommissioning import Decommissioner

LEASE_SLACK_S = 0.2
"""Seconds added to a worker's lease before it counts as expired."""

MAX_BOOT_FACTOR = 4.0

MAX_BOOT_SLACK_S = 20.0
"""A machine is assumed never to boot if it is not up after `MAX_BOOT_FACTOR` times the boot time of
its type plus this time."""

RECORD_ONLY_SLACK_S = 2.0
"""Seconds added to the silence limit for a machine that only a record names: by then the machine
list has been read."""


class SilenceLimits(Protocol):
    """Says which machines have been silent for too long (`control.liveness.Liveness`)."""

    @property
    def heartbeat_timeout_s(self) -> float:
        """Silence in seconds after which a machine is deleted."""

    def silent(self, machine: Machine, now: Seconds) -> bool:
        """Whether the machine has been silent for so long that it is to be deleted."""


class AttemptEndHandler(Protocol):
    """Handles attempts that have ended (`control.attempts.Attempts`)."""

    def handle_end(self, machine: Machine, allocation: Allocation) -> None:
        """Handle an attempt that is proven to have ended without a result."""


class MachineWatch:
    """Checks one machine at a time and decommissions it if there is a reason."""

    def __init__(
        self,
        term: LeadingTerm,
        attempts: AttemptEndHandler,
        liveness: SilenceLimits,
        decommissioner: Decommissioner,
    ) -> None:
        self._term = term
        self._attempts = attempts
        self._liveness = liveness
        self._decommissioner = decommissioner

    def watch(self, machine: Machine, now: Seconds) -> None:
        """Check one machine.

        Ends its attempts if its lease has expired, updates `idle_since`, and decommissions it if it
        is silent, drained or late to boot.
        """
        self._end_expired_lease(machine, now)
        busy = bool(machine.allocations or machine.exited or machine.orphans)
        if busy or not machine.has_sent_heartbeat:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now
        if machine.decommissioning:
            return
        if machine.booted and self._liveness.silent(machine, now):
            machine.deleted_for_silence = True
            silent_s = now - machine.last_heartbeat_at
            self._decommissioner.decommission(machine, f"silent for {silent_s:.0f} s")
        elif (reason := self._reason_to_return(machine, now)) is not None:
            self._decommissioner.decommission(machine, reason)

    def _reason_to_return(self, machine: Machine, now: Seconds) -> str | None:
        """The reason to return a machine that is not silent for too long; None to keep it."""
        if machine.has_sent_heartbeat:
            return "drained" if machine.draining and not machine.allocations else None
        if machine.booted:
            # It runs but has sent no heartbeat in this term: perhaps it can't reach a controller.
            return None
        if machine.type is UNKNOWN_TYPE:
            deadline = machine.created_at + self._liveness.heartbeat_timeout_s + RECORD_ONLY_SLACK_S
            return "in a record only, not listed, no heartbeat" if now > deadline else None
        return "did not boot in time" if now > self._boot_deadline(machine) else None

    def _boot_deadline(self, machine: Machine) -> float:
        max_boot_s = MAX_BOOT_FACTOR * machine.type.boot_s + MAX_BOOT_SLACK_S
        # In a new term a machine may be up and have sent no heartbeat to this leader yet.
        return max(
            machine.created_at + max_boot_s,
            self._term.began_at + self._liveness.heartbeat_timeout_s,
        )

    def _end_expired_lease(self, machine: Machine, now: Seconds) -> None:
        lease_s = self._term.deployment.lease_s * CLOCK_DRIFT + LEASE_SLACK_S
        if machine.allocations and now > machine.last_possible_renewal + lease_s:
            for allocation in list(machine.allocations.values()):
                self._attempts.handle_end(machine, allocation)
