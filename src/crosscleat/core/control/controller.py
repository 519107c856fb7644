"""The controller: a state machine that performs no I/O itself.

`Controller.step` takes an input and returns the effects for the caller to carry out. Every
controller answers user requests; the `Leader` exists only while this one holds the leader key.
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

PROGRESS_INTERVAL_S = 1.0
"""Interval at which the leader sends changed task counts to the other controllers."""

LIST_TYPES_INTERVAL_S = 60.0
"""Interval at which the machine types are read again, because their prices change."""

LIST_TYPES_RETRY_S = 0.5
"""Delay before the machine types are requested again if the last request returned none."""


class Controller:
    """One controller, either leader or follower."""

    def __init__(self, deployment: Deployment, boot: str, rng: Random) -> None:
        self.deployment = deployment
        self._rng = rng
        self._outbox = Outbox()
        self._now = LONG_AGO
        self._wall_time = WallTime(0.0)
        self._machine_types: dict[TypeName, MachineType] = {}
        self._list_types_in_flight = False
        self._next_list_types_at = LONG_AGO
        self._next_progress_at = LONG_AGO
        self.upgrade = Upgrade(
            deployment.member, deployment.members, self._outbox, self._all_upgraded
        )
        self.user_requests = UserRequests(
            deployment,
            self._outbox,
            self._machine_types,
            lambda: self._now,
            lambda: self.upgrade.complete,
        )
        self.leader: Leader | None = None
        self.election = Election(
            Member(deployment.member), boot, self._outbox, rng, lambda: self._now, self
        )
        self._handlers = self._handler_table()

    @property
    def knows_machine_types(self) -> bool:
        """Whether the machine types are known, which deciding on submissions requires."""
        return bool(self._machine_types)

    def step(self, received: Input, now: Seconds, wall_time: WallTime) -> list[Effect]:
        """Process an input and return the effects to carry out, in order.

        `now` is on the monotonic clock, `wall_time` on the wall clock, whose times are stored and
        shown to users.
        """
        self._now, self._wall_time = now, wall_time
        if self.leader is not None:
            self.leader.term.advance(now)
        self._handlers[type(received)](received)
        if self.leader is not None:
            self.leader.finish_step(now)
        return self._outbox.take()

    def _handler_table(self) -> dict[type[Any], Callable[[Any], None]]:
        """The handler of each input type; for heartbeats, a lookup is faster than chained tests."""
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
        self.user_requests.query(query.request, query.ref)

    def _submit_job(self, submission: SubmitJob) -> None:
        self.user_requests.submit(submission.request, submission.spec, self._wall_time)

    def _reject_job(self, rejection: RejectJob) -> None:
        self.user_requests.refuse(rejection.request, rejection.ref, rejection.status)

    def _cancel_job(self, cancellation: CancelJob) -> None:
        self.user_requests.cancel(cancellation.request, cancellation.ref)

    def _progress_received(self, received: ProgressReceived) -> None:
        self.user_requests.update_progress(received.counts)

    def _shard_requested(self, request: ShardRequested) -> None:
        proposal = plan_shard(
            request.view, self.deployment, self._machine_types, self._rng, self._now
        )
        self._outbox.add(ProposeShard(request.member, proposal))

    def _shard_proposed(self, proposed: ShardProposed) -> None:
        if self.leader is not None:
            self.leader.scheduler.commit_proposal(proposed.member, proposed.proposal, self._now)

    def _peer_unreachable(self, peer: PeerUnreachable) -> None:
        self.election.revoke_leader_lease(peer.member)

    def _started(self, _: Started) -> None:
        self.election.start()
        self.upgrade.start()
        self._list_types()

    def _tick(self, _: Tick) -> None:
        now = self._now
        if not self._list_types_in_flight and now >= self._next_list_types_at:
            self._list_types()
        if self.leader is None:
            return
        self.leader.tick(now)
        # The tick may have ended the term.
        if self.leader is not None and now >= self._next_progress_at:
            self._next_progress_at = Seconds(now + PROGRESS_INTERVAL_S)
            counts = self.leader.progress.changed_counts()
            if counts:
                self.user_requests.update_progress(counts)
                self._outbox.add(BroadcastProgress(counts))

    # Machine types

    def _list_types(self) -> None:
        self._list_types_in_flight = True
        self._outbox.add(ListTypes(self._types_listed))

    def _types_listed(self, machine_types: list[MachineType] | None) -> None:
        self._list_types_in_flight = False
        pause_s = LIST_TYPES_INTERVAL_S if machine_types else LIST_TYPES_RETRY_S
        self._next_list_types_at = Seconds(self._now + pause_s)
        if machine_types:
            # The leader and the user requests share this dictionary, so it is updated in place.
            self._machine_types.update(
                {machine_type.name: machine_type for machine_type in machine_types}
            )
            if self.leader is not None:
                self.leader.machines.types_changed()

    # Terms

    def _all_upgraded(self) -> None:
        """All controllers run this version, so records may be written in the newer format.

        A term keeps the record format that it began with. If the newer format has another chunk
        length, the leader resigns so that a new term begins with it.
        """
        self._outbox.log("info", "all controllers run this version")
        leader = self.leader
        if leader is not None and leader.placement_records.chunk_length != chunk_length_for(
            self.deployment.value_kb
        ):
            self.election.resign("all controllers run this version", backoff_s=0.0)

    def elected(self, token: Token) -> None:
        """Read the records of earlier leaders from the store, then begin the term."""
        self._outbox.log("info", f"elected with fencing token {token}")
        TakeoverReader(
            self._outbox,
            lambda: self._now,
            lambda: self.election.token == token,
            self._begin_term,
        ).read_next()

    def _begin_term(self, stored: StoredState) -> None:
        """Begin the term with the records of earlier leaders."""
        self.upgrade.formats_read(stored.formats)
        leader = build_leader(
            self.deployment,
            self.election,
            self._outbox,
            self._rng,
            self._machine_types,
            self._now,
            self._wall_time,
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
        self._outbox.log("info", f"leading with {len(leader.jobs)} live jobs")
        JobWatch(leader.term, leader.apply_job_changes, stored.live.revision).request_changes()

    def term_lost(self, reason: str) -> None:
        """End the term; replies that arrive for it later are ignored."""
        self._outbox.log("info", f"no longer leading: {reason}")
        if self.leader is not None:
            self.leader.term.retire()
            self.leader = None
