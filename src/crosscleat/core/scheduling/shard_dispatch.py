"""The leader's side of sharding: views for shard owners at full cycles, and their proposals."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from ..election.term import LeadingTerm
from ..model.effects import ShardRequest
from ..model.ids import Member, Seconds
from ..model.shards import ShardProposal
from ..state.cluster import ClusterState
from ..state.jobs import Job
from .assignments import Assignment
from .sharding import ShardInputs, build_shard_view, is_shardable, quota_shares, shard_owner

PROPOSAL_TIMEOUT_S = 0.4
"""How long the jobs of a shard wait for its owner's proposal."""


class ShardDispatcher:
    """Which shards are planned by their owners, and until when their proposals are awaited."""

    def __init__(self, term: LeadingTerm, cluster: ClusterState, rng: Random) -> None:
        self._rng = rng
        self._term = term
        self._members = term.deployment.members
        self._cluster = cluster
        self._number = 0
        """Of the newest full cycle; proposals carry it."""
        self._wait_until: dict[Member, Seconds] = {}
        """Shard owners that have not proposed yet, and until when their proposals are awaited."""
        self._punctual: set[Member] = set()
        """Shard owners whose last proposal came in time: the others are not waited for."""

    def shards(self, jobs: Iterable[Job]) -> dict[Member, list[Job]]:
        """Waiting jobs by shard owner; empty if the leader owns all of them."""
        shards: dict[Member, list[Job]] = {}
        for job in jobs:
            if job.next_task() is not None and is_shardable(job):
                shards.setdefault(shard_owner(job.ref, self._members), []).append(job)
        return shards if shards.keys() - {self._term.deployment.member} else {}

    def dispatch(self, shards: dict[Member, list[Job]], inputs: ShardInputs) -> None:
        """Send each other controller the view of its shard."""
        shares = quota_shares(shards, self._term.deployment.teams, self._cluster)
        self._number += 1
        self._wait_until.clear()
        for member, jobs in shards.items():
            if member == self._term.deployment.member:
                continue
            view = build_shard_view(
                self._number, jobs, shares[member], inputs, self._cluster, self._rng
            )
            self._term.outbox.add(ShardRequest(member, view))
            wait_s = PROPOSAL_TIMEOUT_S if member in self._punctual else 0.0
            self._wait_until[member] = Seconds(inputs.now + wait_s)
            self._punctual.discard(member)

    def is_planned_elsewhere(self, job: Job, now: Seconds) -> bool:
        """Whether its shard owner's proposal is still awaited; after that the leader plans it."""
        if not self._wait_until or not is_shardable(job):
            return False
        return self._wait_until.get(shard_owner(job.ref, self._members), now) > now

    def expects(self, member: Member, proposal: ShardProposal) -> bool:
        """Whether it is this member's first proposal for the newest full cycle, late or not."""
        return proposal.number == self._number and member in self._wait_until

    def accept(self, member: Member, proposal: ShardProposal) -> list[Assignment]:
        """The assignments of an expected proposal, as far as they are for the member's own jobs."""
        del self._wait_until[member]
        self._punctual.add(member)
        return [
            Assignment(ref, machine)
            for ref, machine in proposal.assignments
            if shard_owner(ref, self._members) == member
        ]
