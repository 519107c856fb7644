"""Watching each machine: lease expiry, idleness, and the reasons to return it."""

from __future__ import annotations

from typing import Protocol

from ..election.term import CLOCK_DRIFT, LeadingTerm
from ..model.ids import Seconds
from ..state.allocations import Allocation
from ..state.machine import UNKNOWN_TYPE, Machine
from .decommissioning import Decommissioner

LEASE_SLACK_S = 0.2
"""Added to a worker's lease before it counts as expired."""

MAX_BOOT_FACTOR = 4.0

MAX_BOOT_SLACK_S = 20.0
"""A machine that is not up after four times its usual boot and this time never boots."""

UNLISTED_S = 2.0
"""A machine that only a record names is deleted so long after the silence for which others are: by
then the list has been read."""


class SilenceJudge(Protocol):
    """Says which machines have been silent for too long (`control.liveness.Liveness`)."""

    @property
    def silent_s(self) -> float:
        """Silence after which a machine is deleted."""

    def silent(self, machine: Machine, now: Seconds) -> bool:
        """Whether to delete the machine for its silence."""


class AttemptEnds(Protocol):
    """Carries out what the end of an attempt means (`control.attempts.Attempts`)."""

    def ended(self, machine: Machine, allocation: Allocation) -> None:
        """The attempt is proven to have ended without a result."""


class MachineWatch:
    """Looks at one machine after the other."""

    def __init__(
        self,
        term: LeadingTerm,
        attempts: AttemptEnds,
        liveness: SilenceJudge,
        decommissioner: Decommissioner,
    ) -> None:
        self._term = term
        self._attempts = attempts
        self._liveness = liveness
        self._decommissioner = decommissioner

    def watch(self, machine: Machine, now: Seconds) -> None:
        """End its attempts if its lease has expired; return it if it is silent, drained or late."""
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
        """Why to return a machine that is not silent for too long; None: it stays."""
        if machine.has_sent_heartbeat:
            return "drained" if machine.draining and not machine.allocations else None
        if machine.booted:
            # It runs and has not reported in this term: perhaps it can't reach a controller.
            return None
        if machine.type is UNKNOWN_TYPE:
            known_by = machine.created_at + self._liveness.silent_s + UNLISTED_S
            return "only on record, neither listed nor reporting" if now > known_by else None
        return "did not boot in time" if now > self._boot_deadline(machine) else None

    def _boot_deadline(self, machine: Machine) -> float:
        max_boot_s = MAX_BOOT_FACTOR * machine.type.boot_s + MAX_BOOT_SLACK_S
        # In a new term a machine may be up and not have reported yet.
        return max(machine.created_at + max_boot_s, self._term.began_at + self._liveness.silent_s)

    def _end_expired_lease(self, machine: Machine, now: Seconds) -> None:
        lease_s = self._term.deployment.lease_s * CLOCK_DRIFT + LEASE_SLACK_S
        if machine.allocations and now > machine.last_possible_renewal + lease_s:
            for allocation in list(machine.allocations.values()):
                self._attempts.ended(machine, allocation)
