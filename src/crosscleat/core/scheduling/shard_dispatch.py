"""The leader's side of sharding: sends views to shard owners and accepts their proposals."""

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
"""Seconds that the jobs of a shard wait for the shard owner's proposal."""


class ShardDispatcher:
    """Sends shard views at full cycles and tracks which proposals are still awaited."""

    def __init__(self, term: LeadingTerm, cluster: ClusterState, rng: Random) -> None:
        self._rng = rng
        self._term = term
        self._members = term.deployment.members
        self._cluster = cluster
        self._cycle_number = 0
        """The number of the newest full cycle; views and proposals carry it."""
        self._wait_until: dict[Member, Seconds] = {}
        """Shard owners without a proposal for the newest full cycle yet, and until when the jobs of
        their shards wait for it."""
        self._punctual: set[Member] = set()
        """Shard owners that answered their last view before the next full cycle. Jobs wait only for
        the proposals of these."""

    def shards(self, jobs: Iterable[Job]) -> dict[Member, list[Job]]:
        """The shardable waiting jobs by shard owner; empty if the leader owns all of them."""
        shards: dict[Member, list[Job]] = {}
        for job in jobs:
            if job.next_task() is not None and is_shardable(job):
                shards.setdefault(shard_owner(job.ref, self._members), []).append(job)
        return shards if shards.keys() - {self._term.deployment.member} else {}

    def dispatch(self, shards: dict[Member, list[Job]], inputs: ShardInputs) -> None:
        """Send the view of its shard to each shard owner other than this controller."""
        shares = quota_shares(shards, self._term.deployment.teams, self._cluster)
        self._cycle_number += 1
        self._wait_until.clear()
        for member, jobs in shards.items():
            if member == self._term.deployment.member:
                continue
            view = build_shard_view(
                self._cycle_number, jobs, shares[member], inputs, self._cluster, self._rng
            )
            self._term.outbox.add(ShardRequest(member, view))
            wait_s = PROPOSAL_TIMEOUT_S if member in self._punctual else 0.0
            self._wait_until[member] = Seconds(inputs.now + wait_s)
            self._punctual.discard(member)

    def is_planned_elsewhere(self, job: Job, now: Seconds) -> bool:
        """Whether the shard owner's proposal is awaited; otherwise the leader plans the job."""
        if not self._wait_until or not is_shardable(job):
            return False
        return self._wait_until.get(shard_owner(job.ref, self._members), now) > now

    def expects(self, member: Member, proposal: ShardProposal) -> bool:
        """Whether this is the member's first proposal for the newest full cycle, late or not."""
        return proposal.number == self._cycle_number and member in self._wait_until

    def accept(self, member: Member, proposal: ShardProposal) -> list[Assignment]:
        """The assignments of an expected proposal, without those of jobs of other shards."""
        del self._wait_until[member]
        self._punctual.add(member)
        return [
            Assignment(ref, machine)
            for ref, machine in proposal.assignments
            if shard_owner(ref, self._members) == member
        ]
