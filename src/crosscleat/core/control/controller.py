"""The controller: one state machine.

`step` takes an input and returns what to send, write and answer.
"""

from __future__ import annotations

from random import Random

from ..election.election import Election
from ..election.upgrade import Upgrade
from ..model.cloud import MachineType
from ..model.cloud_calls import ListTypes
from ..model.deployment import Deployment
from ..model.effects import BroadcastProgress, Delay, Effect, Outbox, ProposeShard, Response
from ..model.ids import LONG_AGO, Member, Seconds, Token, TypeName, Version, WallTime
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
from ..model.store_calls import Item, Listing, Scan, Watch, WatchResult
from ..scheduling.sharding import plan
from ..state.keys import DECOMMISSIONED, FORMAT, LIVE, PLACEMENTS
from ..state.placement_records import chunk_length_for
from .leader import Leader
from .user_requests import UserRequests

PROGRESS_S = 1.0

TYPES_S = 60.0

WATCH_S = 1.0


class Controller:
    """One controller, whether it leads or follows."""

    def __init__(self, deployment: Deployment, boot: str, rng: Random) -> None:
        self.deployment = deployment
        self._rng = rng
        self._outbox = Outbox()
        self._now = LONG_AGO
        self._wall = WallTime(0.0)
        self._types: dict[TypeName, MachineType] = {}
        self._types_asked = False
        self._types_at = LONG_AGO
        self._progress_at = LONG_AGO
        self.upgrade = Upgrade(
            deployment.member, deployment.members, self._outbox, self._all_upgraded
        )
        self.users = UserRequests(
            deployment, self._outbox, self._types, lambda: self._now, lambda: self.upgrade.complete
        )
        self.leader: Leader | None = None
        self.election = Election(
            Member(deployment.member),
            boot,
            self._outbox,
            rng,
            lambda: self._now,
            lambda delay, continuation: self._outbox.add(Delay(delay, continuation)),
            self._elected,
            self._lost,
        )

    @property
    def knows_types(self) -> bool:
        """Without the machine types no submission can be decided."""
        return bool(self._types)

    def step(self, given: Input, now: Seconds, wall: WallTime) -> list[Effect]:  # noqa: C901 - one case a message
        """Take an input; returns what is to be done outside."""
        self._now, self._wall = now, wall
        if self.leader is not None:
            self.leader.term.now = now
        match given:
            case CallCompleted(continuation, results):
                continuation(*results)
            case HeartbeatReceived(request, heartbeat, relayed):
                if self.leader is not None:
                    self.leader.receive_heartbeat(request, heartbeat, now, relayed)
                else:
                    self._outbox.add(Response(request, 503, retry_after_s=1))
            case ProbeReply(heartbeat):
                if self.leader is not None:
                    self.leader.receive_direct_reply(heartbeat)
            case QueryJob(request, ref):
                self.users.query(request, ref)
            case SubmitJob(request, spec):
                self.users.submit(request, spec, wall)
            case RejectJob(request, ref, status):
                self.users.refuse(request, ref, status)
            case CancelJob(request, ref):
                self.users.cancel(request, ref)
            case ProgressReceived(counts):
                self.users.progress.update(counts)
            case ShardRequested(member, view):
                proposal = plan(view, self.deployment, self._types, self._rng, now)
                self._outbox.add(ProposeShard(member, proposal))
            case ShardProposed(member, proposal):
                if self.leader is not None:
                    self.leader.scheduler.proposed(member, proposal, now)
            case PeerUnreachable(member):
                self.election.revoke_leader_lease(member)
            case Tick():
                self._tick()
            case Started():
                self.election.begin()
                self.upgrade.begin()
                self._ask_types()
        if self.leader is not None:
            self.leader.finish_step(now)
        return self._outbox.take()

    def _tick(self) -> None:
        now = self._now
        if not self._types_asked and now >= self._types_at:
            self._ask_types()
        if self.leader is None:
            return
        self.leader.tick(now)
        if self.leader is not None and now >= self._progress_at:
            self._progress_at = Seconds(now + PROGRESS_S)
            counts = self.leader.progress()
            if counts:
                self.users.progress.update(counts)
                self._outbox.add(BroadcastProgress(counts))

    def _ask_types(self) -> None:
        self._types_asked = True

        def listed(kinds: list[MachineType] | None) -> None:
            self._types_asked = False
            self._types_at = Seconds(self._now + (TYPES_S if kinds else 0.5))
            if kinds:
                # Prices move: machines that are up refer to their type's object, so renew those.
                self._types.update({kind.name: kind for kind in kinds})
                if self.leader is not None:
                    self.leader.machines.types_changed()

        self._outbox.add(ListTypes(listed))

    # Terms

    def _all_upgraded(self) -> None:
        """No older version reads what we write any more; a term that began before goes on in the
        older form, so another one begins, where that makes a difference."""
        self._outbox.log("info", "all controllers have changed to this version")
        leader = self.leader
        if leader is not None and leader.placement_records.chunk_length != chunk_length_for(
            self.deployment.value_kb
        ):
            self.election.resign("all controllers have changed to this version", rest_s=0.0)

    def _elected(self, token: Token) -> None:
        self._outbox.log("info", f"elected, token {token}")
        self._scan(token, (LIVE, PLACEMENTS, DECOMMISSIONED, FORMAT), [], self._now)

    def _scan(
        self, token: Token, prefixes: tuple[str, ...], found: list[Listing], asked: Seconds
    ) -> None:
        """Read what the new term starts from; ended jobs are not read.

        `asked` is when the live jobs were: a cancellation since then is not known yet.
        """

        def scanned(listing: Listing | None) -> None:
            if self.election.token != token:
                return
            if listing is None:
                self._scan(token, prefixes, found, asked if found else self._now)
                return
            found.append(listing)
            if prefixes[1:]:
                self._scan(token, prefixes[1:], found, asked)
            else:
                self._lead(token, found, asked)

        self._outbox.add(Scan(prefixes[0], scanned))

    def _lead(self, token: Token, found: list[Listing], asked: Seconds) -> None:
        live, placement_records, decommission_records, formats = found
        self.upgrade.learn(formats.items)
        leader = Leader(
            self.deployment,
            self.election,
            self._outbox,
            self._rng,
            self._types,
            self._now,
            self._wall,
            self.upgrade.complete,
        )
        leader.term.watched = asked
        leader.load(live.items, placement_records.items, decommission_records.items, self._now)
        self.leader = leader
        self._outbox.log("info", f"leading with {len(leader.jobs)} jobs")
        self._watch(leader, live.revision)

    def _watch(self, leader: Leader, after: Version) -> None:
        opened = self._now

        def heard(watch_result: WatchResult | None) -> None:
            if leader.term.retired:
                return
            if watch_result is None:
                self._outbox.add(Delay(0.2, lambda: self._watch(leader, after)))
            elif watch_result.lost:
                self._reread(leader)
            else:
                leader.term.watched = max(leader.term.watched, opened)
                changes: list[Item] = [c for c in watch_result.changes if c.key.startswith(LIVE)]
                if changes:
                    leader.apply_job_changes(changes, self._now)
                self._watch(leader, max(after, watch_result.revision))

        if not leader.term.retired:
            self._outbox.add(Watch(LIVE, after, WATCH_S, heard))

    def _reread(self, leader: Leader) -> None:
        def scanned(listing: Listing | None) -> None:
            if leader.term.retired:
                return
            if listing is None:
                self._reread(leader)
                return
            leader.apply_job_changes(listing.items, self._now)
            self._watch(leader, listing.revision)

        self._outbox.add(Scan(LIVE, scanned))

    def _lost(self, reason: str) -> None:
        self._outbox.log("info", f"no longer leading: {reason}")
        if self.leader is not None:
            self.leader.term.retired = True
            self.leader = None
