"""The decision to return a machine to the cloud; `deletions` deletes it once that is on record."""

from __future__ import annotations

from typing import Protocol

from ..election.term import LeadingTerm
from ..state.machine import Machine


class WriteRequests(Protocol):
    """Is told that something has to be written (`control.pending_work.PendingWork`)."""

    def write_soon(self) -> None:
        """Something is to be written with the next transaction."""


class Decommissioner:
    """Decides decommissions: a machine is never taken back into use after one."""

    def __init__(self, term: LeadingTerm, writes: WriteRequests) -> None:
        self._term = term
        self._writes = writes

    def decommission(self, machine: Machine, reason: str) -> None:
        """Decide to delete the machine: the decision is recorded first, and then final."""
        if not machine.decommissioning:
            machine.decommissioning = True
            self._writes.write_soon()
            self._term.outbox.log("info", f"machine {machine.id}: decommissioned ({reason})")
