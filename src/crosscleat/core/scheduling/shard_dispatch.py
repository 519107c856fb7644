"""The leader's side of work partitioning: parts for full rounds, and what owners propose."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from ..election.term import LeadingTerm
from ..model.effects import ShardRequest
from ..model.ids import MachineId, Member, Seconds
from ..model.shards import ShardProposal
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from .free_capacity import Assignment, Reservation
from .sharding import build_shard_view, is_shardable, quota_shares, shard_owner

PROPOSAL_TIMEOUT_S = 0.4
"""How long a part waits for its owner's proposal."""


class ShardDispatcher:
    """Which parts are being planned elsewhere, and until when they are waited for."""

    def __init__(self, term: LeadingTerm, cluster: ClusterState, rng: Random) -> None:
        self._rng = rng
        self._term = term
        self._members = term.deployment.members
        self._cluster = cluster
        self._number = 0
        self._until: dict[Member, Seconds] = {}
        """Owners that plan their part just now, and until when we wait for them."""
        self._punctual: set[Member] = set()
        """Owners whose last proposal came in time: the others are not waited for."""

    def shards(self, jobs: Iterable[Job]) -> dict[Member, list[Job]]:
        """Waiting jobs by their owner, if any is not ours."""
        found: dict[Member, list[Job]] = {}
        for job in jobs:
            if job.next_task() is not None and is_shardable(job):
                found.setdefault(shard_owner(job.ref, self._members), []).append(job)
        return found if found.keys() - {self._term.deployment.member} else {}

    def dispatch(
        self,
        shards: dict[Member, list[Job]],
        machines: list[Machine],
        reservations: dict[MachineId, Reservation],
        urgent_reserve: float,
        factors: dict[str, float],
        now: Seconds,
    ) -> None:
        """Send each other owner its part."""
        shares = quota_shares(shards, self._term.deployment.teams, self._cluster)
        self._number += 1
        self._until.clear()
        for member, jobs in shards.items():
            if member == self._term.deployment.member:
                continue
            view = build_shard_view(
                self._number,
                jobs,
                machines,
                self._cluster,
                reservations,
                shares[member],
                urgent_reserve,
                factors,
                now,
                self._rng,
            )
            self._term.outbox.add(ShardRequest(member, view))
            wait_s = PROPOSAL_TIMEOUT_S if member in self._punctual else 0.0
            self._until[member] = Seconds(now + wait_s)
            self._punctual.discard(member)

    def is_planned_elsewhere(self, job: Job, now: Seconds) -> bool:
        """Its owner is planning it; without a proposal in time it is ours again."""
        if not self._until or not is_shardable(job):
            return False
        return self._until.get(shard_owner(job.ref, self._members), now) > now

    def accept(self, member: Member, proposal: ShardProposal) -> list[Assignment] | None:
        """An owner's choices for its own jobs; None if the proposal is outdated."""
        if proposal.number != self._number or member not in self._until:
            return None
        del self._until[member]
        self._punctual.add(member)
        return [
            Assignment(ref, machine)
            for ref, machine in proposal.assignments
            if shard_owner(ref, self._members) == member
        ]
