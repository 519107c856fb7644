"""The decision to return a machine to the cloud.

`deletions` deletes the machine once the store has a record of the decision.
"""

from __future__ import annotations

from typing import Protocol

from ..election.term import LeadingTerm
from ..state.machine import Machine


class WriteRequests(Protocol):
    """Accepts requests to write to the store (`control.pending_work.PendingWork`)."""

    def write_soon(self) -> None:
        """Have pending changes written with the next transaction."""


class Decommissioner:
    """Marks machines for deletion; a decommissioned machine is never put back into use."""

    def __init__(self, term: LeadingTerm, writes: WriteRequests) -> None:
        self._term = term
        self._writes = writes

    def decommission(self, machine: Machine, reason: str) -> None:
        """Decide to delete the machine; once the store has a record of the decision it is final."""
        if not machine.decommissioning:
            machine.decommissioning = True
            self._writes.write_soon()
            self._term.outbox.log("info", f"machine {machine.id}: decommissioned ({reason})")
