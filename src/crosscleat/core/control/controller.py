"""The controller: one state machine without input or output of its own.

`Controller.step` takes an input and returns the effects that are to be carried out. Users' requests
are answered by every controller; the `Leader` exists only while this one holds the leader key.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from ..election.election import Election
from ..election.upgrade import Upgrade
from ..model.cloud import MachineType
from ..model.cloud_calls import ListTypes
from ..model.deployment import Deployment
from ..model.effects import BroadcastProgress, Effect, Outbox, ProposeShard, Response
from ..model.ids import LONG_AGO, Member, Seconds, Token, TypeName, WallTime
from ..model.inputs import (
    CallCompleted,
    CancelJob,
    HeartbeatReceived,
    Input,
    PeerUnreachable,
    ProbeReply,
    ProgressReceived,
    QueryJob,
    RejectJob,
    ShardProposed,
    ShardRequested,
    Started,
    SubmitJob,
    Tick,
)
from ..scheduling.shard_planning import plan_shard
from ..state.placement_records import chunk_length_for
from .assembly import build_leader
from .job_watch import JobWatch, StoredState, TakeoverReader
from .leader import Leader
from .takeover import load_records
from .user_requests import UserRequests

PROGRESS_S = 1.0
"""How often the leader sends the other controllers the counts of tasks that have changed."""

LIST_TYPES_S = 60.0
"""How often the machine types are read: their prices change."""

LIST_TYPES_RETRY_S = 0.5
"""Before they are asked for again if there was no answer."""


class Controller:
    """One controller, whether it leads or follows."""

    def __init__(self, deployment: Deployment, boot: str, rng: Random) -> None:
        self.deployment = deployment
        self._rng = rng
        self._outbox = Outbox()
        self._now = LONG_AGO
        self._wall = WallTime(0.0)
        self._types: dict[TypeName, MachineType] = {}
        self._types_requested = False
        self._list_types_at = LONG_AGO
        self._progress_at = LONG_AGO
        self.upgrade = Upgrade(
            deployment.member, deployment.members, self._outbox, self._all_upgraded
        )
        self.users = UserRequests(
            deployment, self._outbox, self._types, lambda: self._now, lambda: self.upgrade.complete
        )
        self.leader: Leader | None = None
        self.election = Election(
            Member(deployment.member), boot, self._outbox, rng, lambda: self._now, self
        )
        self._handlers = self._handler_table()

    @property
    def knows_types(self) -> bool:
        """Without the machine types no submission can be decided."""
        return bool(self._types)

    def step(self, received: Input, now: Seconds, wall: WallTime) -> list[Effect]:
        """Take an input; returns what is to be done outside, in order.

        `now` is on the steady clock, `wall` on the one that is shown to users and stored.
        """
        self._now, self._wall = now, wall
        if self.leader is not None:
            self.leader.term.advance(now)
        self._handlers[type(received)](received)
        if self.leader is not None:
            self.leader.finish_step(now)
        return self._outbox.take()

    def _handler_table(self) -> dict[type[Any], Callable[[Any], None]]:
        """Who handles which input. A dictionary is faster for heartbeats than tests in turn."""
        return {
            CallCompleted: self._call_completed,
            HeartbeatReceived: self._heartbeat_received,
            ProbeReply: self._probe_reply,
            QueryJob: self._query_job,
            SubmitJob: self._submit_job,
            RejectJob: self._reject_job,
            CancelJob: self._cancel_job,
            ProgressReceived: self._progress_received,
            ShardRequested: self._shard_requested,
            ShardProposed: self._shard_proposed,
            PeerUnreachable: self._peer_unreachable,
            Tick: self._tick,
            Started: self._started,
        }

    # Inputs

    def _call_completed(self, call: CallCompleted) -> None:
        call.continuation(*call.results)

    def _heartbeat_received(self, received: HeartbeatReceived) -> None:
        if self.leader is None:
            self._outbox.add(Response(received.request, 503, retry_after_s=1))
            return
        self.leader.receive_heartbeat(
            received.request, received.heartbeat, self._now, received.relayed
        )

    def _probe_reply(self, reply: ProbeReply) -> None:
        if self.leader is not None:
            self.leader.receive_direct_reply(reply.heartbeat)

    def _query_job(self, query: QueryJob) -> None:
        self.users.query(query.request, query.ref)

    def _submit_job(self, submission: SubmitJob) -> None:
        self.users.submit(submission.request, submission.spec, self._wall)

    def _reject_job(self, rejection: RejectJob) -> None:
        self.users.refuse(rejection.request, rejection.ref, rejection.status)

    def _cancel_job(self, cancellation: CancelJob) -> None:
        self.users.cancel(cancellation.request, cancellation.ref)

    def _progress_received(self, received: ProgressReceived) -> None:
        self.users.update_progress(received.counts)

    def _shard_requested(self, request: ShardRequested) -> None:
        proposal = plan_shard(request.view, self.deployment, self._types, self._rng, self._now)
        self._outbox.add(ProposeShard(request.member, proposal))

    def _shard_proposed(self, proposed: ShardProposed) -> None:
        if self.leader is not None:
            self.leader.scheduler.commit_proposal(proposed.member, proposed.proposal, self._now)

    def _peer_unreachable(self, peer: PeerUnreachable) -> None:
        self.election.revoke_leader_lease(peer.member)

    def _started(self, _: Started) -> None:
        self.election.begin()
        self.upgrade.begin()
        self._list_types()

    def _tick(self, _: Tick) -> None:
        now = self._now
        if not self._types_requested and now >= self._list_types_at:
            self._list_types()
        if self.leader is None:
            return
        self.leader.tick(now)
        # The tick may have ended the term.
        if self.leader is not None and now >= self._progress_at:
            self._progress_at = Seconds(now + PROGRESS_S)
            counts = self.leader.progress.changed_counts()
            if counts:
                self.users.update_progress(counts)
                self._outbox.add(BroadcastProgress(counts))

    # Machine types

    def _list_types(self) -> None:
        self._types_requested = True
        self._outbox.add(ListTypes(self._types_listed))

    def _types_listed(self, machine_types: list[MachineType] | None) -> None:
        self._types_requested = False
        pause_s = LIST_TYPES_S if machine_types else LIST_TYPES_RETRY_S
        self._list_types_at = Seconds(self._now + pause_s)
        if machine_types:
            # The dictionary is shared with the leader and with users' requests.
            self._types.update({machine_type.name: machine_type for machine_type in machine_types})
            if self.leader is not None:
                self.leader.machines.types_changed()

    # Terms

    def _all_upgraded(self) -> None:
        """No controller of an older version is left, so records may take the newer form.

        A term keeps the form that it began with, so another one begins where that makes a
        difference.
        """
        self._outbox.log("info", "all controllers have changed to this version")
        leader = self.leader
        if leader is not None and leader.placement_records.chunk_length != chunk_length_for(
            self.deployment.value_kb
        ):
            self.election.resign("all controllers have changed to this version", rest_s=0.0)

    def elected(self, token: Token) -> None:
        """The election was won: read what earlier leaders left, then begin the term."""
        self._outbox.log("info", f"elected, token {token}")
        TakeoverReader(
            self._outbox,
            lambda: self._now,
            lambda: self.election.token == token,
            self._lead,
        ).read_next()

    def _lead(self, stored: StoredState) -> None:
        """Begin a term with what earlier leaders left in the store."""
        self.upgrade.formats_read(stored.formats)
        leader = build_leader(
            self.deployment,
            self.election,
            self._outbox,
            self._rng,
            self._types,
            self._now,
            self._wall,
            self.upgrade.complete,
        )
        leader.term.jobs_read(stored.read_at)
        load_records(
            leader,
            stored.live.items,
            stored.placement_records,
            stored.decommission_records,
            self._now,
        )
        self.leader = leader
        self._outbox.log("info", f"leading with {len(leader.jobs)} jobs")
        JobWatch(leader.term, leader.apply_job_changes, stored.live.revision).request_changes()

    def term_lost(self, reason: str) -> None:
        """The term is over: answers that come for it later are dropped."""
        self._outbox.log("info", f"no longer leading: {reason}")
        if self.leader is not None:
            self.leader.term.retire()
            self.leader = None
