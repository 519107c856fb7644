"""The leader's side of work partitioning: parts for full rounds, and what owners propose."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from ..election.term import LeadingTerm
from ..model.effects import Part
from ..model.ids import MachineId, Member, Seconds
from ..model.shards import Proposal
from ..state.cluster import Ledger
from ..state.jobs import Job
from ..state.machine import Machine
from .free_capacity import Choice, Reservation
from .sharding import is_partitioned, owner, shares_of, view_of

PROPOSAL_S = 0.4
"""How long a part waits for its owner's proposal."""


class WorkSharing:
    """Which parts are being planned elsewhere, and until when they are waited for."""

    def __init__(self, term: LeadingTerm, ledger: Ledger, rng: Random) -> None:
        self._rng = rng
        self._term = term
        self._members = term.deployment.members
        self._ledger = ledger
        self._number = 0
        self._until: dict[Member, Seconds] = {}
        """Owners that plan their part just now, and until when we wait for them."""
        self._punctual: set[Member] = set()
        """Owners whose last proposal came in time: the others are not waited for."""

    def parts(self, jobs: Iterable[Job]) -> dict[Member, list[Job]]:
        """Waiting jobs by their owner, if any is not ours."""
        found: dict[Member, list[Job]] = {}
        for job in jobs:
            if job.peek() is not None and is_partitioned(job):
                found.setdefault(owner(job.ref, self._members), []).append(job)
        return found if found.keys() - {self._term.deployment.member} else {}

    def give_out(
        self,
        parts: dict[Member, list[Job]],
        machines: list[Machine],
        reservations: dict[MachineId, Reservation],
        urgent_reserve: float,
        factors: dict[str, float],
        now: Seconds,
    ) -> None:
        """Send each other owner its part."""
        shares = shares_of(parts, self._term.deployment.teams, self._ledger)
        self._number += 1
        self._until.clear()
        for member, jobs in parts.items():
            if member == self._term.deployment.member:
                continue
            view = view_of(
                self._number,
                jobs,
                machines,
                self._ledger,
                reservations,
                shares[member],
                urgent_reserve,
                factors,
                now,
                self._rng,
            )
            self._term.out.add(Part(member, view))
            wait_s = PROPOSAL_S if member in self._punctual else 0.0
            self._until[member] = Seconds(now + wait_s)
            self._punctual.discard(member)

    def elsewhere(self, job: Job, now: Seconds) -> bool:
        """Its owner is planning it; without a proposal in time it is ours again."""
        if not self._until or not is_partitioned(job):
            return False
        return self._until.get(owner(job.ref, self._members), now) > now

    def accept(self, member: Member, proposal: Proposal) -> list[Choice] | None:
        """An owner's choices for its own jobs; None if the proposal is outdated."""
        if proposal.number != self._number or member not in self._until:
            return None
        del self._until[member]
        self._punctual.add(member)
        return [
            Choice(ref, machine)
            for ref, machine in proposal.choices
            if owner(ref, self._members) == member
        ]
