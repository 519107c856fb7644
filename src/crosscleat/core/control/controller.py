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
from ..model.effects import Answer, Effect, Later, Outbox, Propose, Tell
from ..model.ids import LONG_AGO, Member, Seconds, Token, TypeName, Version, WallTime
from ..model.inputs import (
    Abort,
    Began,
    CheckIn,
    Completed,
    Input,
    PartGiven,
    PeerGone,
    Poll,
    Probed,
    Progress,
    Proposed,
    Refuse,
    Submit,
    Tick,
)
from ..model.store_calls import Item, Listing, News, Scan, Watch
from ..scheduling.sharding import plan
from ..state.keys import DROP, FORMAT, LIVE, WORK
from ..state.placement_records import span_of
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
        self._out = Outbox()
        self._now = LONG_AGO
        self._wall = WallTime(0.0)
        self._types: dict[TypeName, MachineType] = {}
        self._types_asked = False
        self._types_at = LONG_AGO
        self._progress_at = LONG_AGO
        self.upgrade = Upgrade(deployment.member, deployment.members, self._out, self._all_upgraded)
        self.users = UserRequests(
            deployment, self._out, self._types, lambda: self._now, lambda: self.upgrade.complete
        )
        self.leader: Leader | None = None
        self.election = Election(
            Member(deployment.member),
            boot,
            self._out,
            rng,
            lambda: self._now,
            lambda delay, then: self._out.add(Later(delay, then)),
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
            case Completed(then, results):
                then(*results)
            case CheckIn(request, report, relayed):
                if self.leader is not None:
                    self.leader.check_in(request, report, now, relayed)
                else:
                    self._out.add(Answer(request, 503, retry_after_s=1))
            case Probed(report):
                if self.leader is not None:
                    self.leader.hear_directly(report)
            case Poll(request, ref):
                self.users.poll(request, ref)
            case Submit(request, spec):
                self.users.submit(request, spec, wall)
            case Refuse(request, ref, status):
                self.users.refuse(request, ref, status)
            case Abort(request, ref):
                self.users.abort(request, ref)
            case Progress(counts):
                self.users.progress.update(counts)
            case PartGiven(member, view):
                proposal = plan(view, self.deployment, self._types, self._rng, now)
                self._out.add(Propose(member, proposal))
            case Proposed(member, proposal):
                if self.leader is not None:
                    self.leader.scheduling.proposed(member, proposal, now)
            case PeerGone(member):
                self.election.unseat(member)
            case Tick():
                self._tick()
            case Began():
                self.election.begin()
                self.upgrade.begin()
                self._ask_types()
        if self.leader is not None:
            self.leader.settle(now)
        return self._out.take()

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
                self._out.add(Tell(counts))

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

        self._out.add(ListTypes(listed))

    # Terms

    def _all_upgraded(self) -> None:
        """No older version reads what we write any more; a term that began before goes on in the
        older form, so another one begins, where that makes a difference."""
        self._out.note("info", "all controllers have changed to this version")
        leader = self.leader
        if leader is not None and leader.work.span != span_of(self.deployment.value_kb):
            self.election.resign("all controllers have changed to this version", rest_s=0.0)

    def _elected(self, token: Token) -> None:
        self._out.note("info", f"elected, token {token}")
        self._scan(token, (LIVE, WORK, DROP, FORMAT), [], self._now)

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

        self._out.add(Scan(prefixes[0], scanned))

    def _lead(self, token: Token, found: list[Listing], asked: Seconds) -> None:
        live, work, drops, formats = found
        self.upgrade.learn(formats.items)
        leader = Leader(
            self.deployment,
            self.election,
            self._out,
            self._rng,
            self._types,
            self._now,
            self._wall,
            self.upgrade.complete,
        )
        leader.term.watched = asked
        leader.load(live.items, work.items, drops.items, self._now)
        self.leader = leader
        self._out.note("info", f"leading with {len(leader.jobs)} jobs")
        self._watch(leader, live.revision)

    def _watch(self, leader: Leader, after: Version) -> None:
        opened = self._now

        def heard(news: News | None) -> None:
            if leader.term.retired:
                return
            if news is None:
                self._out.add(Later(0.2, lambda: self._watch(leader, after)))
            elif news.lost:
                self._reread(leader)
            else:
                leader.term.watched = max(leader.term.watched, opened)
                changes: list[Item] = [c for c in news.changes if c.key.startswith(LIVE)]
                if changes:
                    leader.live_news(changes, self._now)
                self._watch(leader, max(after, news.revision))

        if not leader.term.retired:
            self._out.add(Watch(LIVE, after, WATCH_S, heard))

    def _reread(self, leader: Leader) -> None:
        def scanned(listing: Listing | None) -> None:
            if leader.term.retired:
                return
            if listing is None:
                self._reread(leader)
                return
            leader.live_news(listing.items, self._now)
            self._watch(leader, listing.revision)

        self._out.add(Scan(LIVE, scanned))

    def _lost(self, why: str) -> None:
        self._out.note("info", f"no longer leading: {why}")
        if self.leader is not None:
            self.leader.term.retired = True
            self.leader = None
