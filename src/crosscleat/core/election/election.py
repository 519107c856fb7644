"""Leader election: one key in the store under a lease; the key's version is the fencing token.

Taking the key over, rotating it and every write of a leader are conditional on its version, so a
controller that lost it can change nothing, whatever it still believes.

A follower watches the key. When the key is gone, it asks for a lease and puts the key under it. A
leader renews its lease until it resigns or the lease has expired.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from ..model.effects import Delay, Outbox
from ..model.ids import ABSENT, LONG_AGO, LeaseId, Member, Seconds, Token, Version
from ..model.store_calls import (
    Commit,
    CommitOutcome,
    Committed,
    GrantLease,
    LeaseRenewed,
    NoSuchLease,
    Put,
    Read,
    ReadResult,
    Record,
    RenewalOutcome,
    RenewLease,
    RevokeLease,
    Unanswered,
    Watch,
    WatchOutcome,
    WatchResult,
)
from ..state.keys import LEADER

LEASE_LIFE_S = 3.0
"""The leader key goes away so long after the last renewal of its lease."""

RENEW_S = 0.8
"""From a renewal that was answered to the next."""

RENEW_RETRY_S = 0.4
"""From a renewal without an answer to the next."""

WATCH_BLOCK_S = 4.0
"""For so long the store may hold back the answer of a watch that has nothing to say."""

MIN_REVOKE_S = 20.0
"""Least time between two revocations of other leaders' leases."""


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Who leads, and under which lease, as the leader key says."""

    member: Member
    lease: LeaseId

    @classmethod
    def parse(cls, record: Record) -> LeaderRecord:
        """The record as the store has it."""
        return cls(Member(record["member"]), LeaseId(record["lease"]))


class ElectionListener(Protocol):
    """Is told when a term of ours begins and ends (`control.controller.Controller`)."""

    def elected(self, token: Token) -> None:
        """This controller leads, with this fencing token."""

    def term_lost(self, reason: str) -> None:
        """This controller no longer leads."""


class Election:
    """Takes, keeps and gives up the leader key."""

    def __init__(
        self,
        member: Member,
        boot: str,
        outbox: Outbox,
        rng: Random,
        clock: Callable[[], Seconds],
        listener: ElectionListener,
    ) -> None:
        """Take no part before `begin`; `boot` names this process among those of the same member."""
        self._member = member
        self._boot = boot
        self._outbox = outbox
        self._rng = rng
        self._clock = clock
        self._listener = listener
        self._lease: LeaseId | None = None
        """Our lease, while we lead or try to."""
        self._generation = 0
        """Raised by each resignation; what calls of an earlier generation bring is dropped."""
        self._leader_lease: LeaseId | None = None
        """The lease of the leader that we follow, until we have revoked it."""
        self._revoked_at: Seconds | None = None
        self.token: Token | None = None
        """Our fencing token while we lead."""
        self.leader: Member | None = None
        """Who leads, as far as we know."""
        self.contact = LONG_AGO
        """When the renewal that last confirmed our leadership was sent."""

    @property
    def leading(self) -> bool:
        """Whether we hold the leader key."""
        return self.token is not None

    # Following

    def begin(self) -> None:
        """Read the leader key, and follow or campaign by what it says."""
        generation = self._generation
        self._outbox.add(Read(LEADER, lambda found: self._leader_read(generation, found)))

    def _later(self, delay_s: float, continuation: Callable[[], None]) -> None:
        self._outbox.add(Delay(delay_s, continuation))

    def _begin_later(self, delay_s: float) -> None:
        generation = self._generation
        self._later(delay_s, lambda: self._begin_if_current(generation))

    def _begin_if_current(self, generation: int) -> None:
        if generation == self._generation:
            self.begin()

    def _leader_read(self, generation: int, found: ReadResult | Unanswered) -> None:
        if generation != self._generation:
            return
        if isinstance(found, Unanswered):
            self._begin_later(0.3 + 0.4 * self._rng.random())
        elif found.item is None:
            self.leader = None
            self._campaign(ABSENT)
        else:
            self._follow(found.item.value)
            if self.leader == self._member:
                # An earlier process of ours holds it. Nobody else may use that token, and this
                # process knows of no command sent with it: take the key over with a new one.
                self._campaign(found.item.version)
            else:
                self._watch(found.revision)

    def _follow(self, record: Record) -> None:
        leader = LeaderRecord.parse(record)
        self.leader = leader.member
        self._leader_lease = leader.lease

    def _watch(self, after: Version) -> None:
        generation = self._generation
        self._outbox.add(
            Watch(
                LEADER,
                after,
                WATCH_BLOCK_S,
                lambda outcome: self._watch_answered(generation, after, outcome),
            )
        )

    def _watch_answered(self, generation: int, after: Version, outcome: WatchOutcome) -> None:
        if generation != self._generation:
            return
        if not isinstance(outcome, WatchResult):
            self._begin_later(0.2 + 0.3 * self._rng.random())
            return
        changes = [change for change in outcome.changes if change.key == LEADER]
        if not changes:
            self._watch(max(after, outcome.revision))
        elif changes[-1].version == ABSENT:
            self.leader = None
            # Not all at the same instant: the store counts failed transactions too.
            self._begin_later(0.05 * self._rng.random())
        else:
            self._follow(changes[-1].value)
            self._watch(outcome.revision)

    def revoke_leader_lease(self, member: Member) -> None:
        """The leader refuses connections: revoke its lease rather than wait until it expires.

        A refused connection proves nothing, and need not: a leader that is alive finds its lease
        expired at its next renewal, and whoever is elected allows for what it still sends. An
        error costs a change of leader, so the time between two revocations is bounded.
        """
        now = self._clock()
        if self.leading or self.leader != member or self._leader_lease is None:
            return
        if self._revoked_at is None or now - self._revoked_at > MIN_REVOKE_S:
            self._revoked_at = now
            self._outbox.log("info", f"leader {member} refuses connections: revoking its lease")
            self._outbox.add(RevokeLease(self._leader_lease))
            self._leader_lease = None

    # Campaigning

    def _campaign(self, version: Version) -> None:
        """Ask for a lease, then put the leader key under it if it still has this version."""
        generation = self._generation
        self._outbox.add(
            GrantLease(LEASE_LIFE_S, lambda lease: self._lease_granted(generation, version, lease))
        )

    def _lease_granted(
        self, generation: int, version: Version, lease: LeaseId | Unanswered
    ) -> None:
        if generation != self._generation:
            return
        if isinstance(lease, Unanswered):
            self._begin_later(0.3 + 0.4 * self._rng.random())
            return
        self._lease = lease
        sent = self._clock()
        self._outbox.add(
            Commit(
                ((LEADER, version),),
                (Put(LEADER, self._record(lease), lease),),
                lambda result: self._key_decided(generation, lease, sent, result),
            )
        )

    def _record(self, lease: LeaseId) -> Record:
        return {"member": self._member, "boot": self._boot, "lease": lease}

    def _key_decided(
        self,
        generation: int,
        lease: LeaseId,
        sent: Seconds,
        result: CommitOutcome,
    ) -> None:
        if generation != self._generation:
            return
        if not isinstance(result, Committed):
            # It may have been carried out, or may be later: without its lease the key goes away.
            self._outbox.add(RevokeLease(lease))
            self._lease = None
            self._begin_later(0.1 + 0.2 * self._rng.random())
            return
        self.token = Token(result.revision)
        self.leader = self._member
        self.contact = sent
        self._later(RENEW_S, lambda: self._renew(generation))
        self._listener.elected(self.token)

    # Leading

    def _renew(self, generation: int) -> None:
        if generation != self._generation or self._lease is None:
            return
        sent = self._clock()
        self._outbox.add(
            RenewLease(self._lease, lambda outcome: self._renewed(generation, sent, outcome))
        )

    def _renewed(self, generation: int, sent: Seconds, outcome: RenewalOutcome) -> None:
        if generation != self._generation:
            return
        if isinstance(outcome, NoSuchLease):
            self.resign("its lease has expired")
            return
        renewed = isinstance(outcome, LeaseRenewed)
        if renewed:
            self.contact = max(self.contact, sent)
        self._later(RENEW_S if renewed else RENEW_RETRY_S, lambda: self._renew(generation))

    def rotate(self, decided: Callable[[], None]) -> bool:
        """Write the leader key once more, which gives us a higher token.

        Returns whether the transaction was sent; if so, `decided` is called after its outcome has
        been taken in. No other write of ours may be in flight meanwhile.
        """
        if self.token is None or self._lease is None:
            return False
        generation = self._generation

        def rotated(result: CommitOutcome) -> None:
            self._rotated(generation, result)
            decided()

        self._outbox.add(
            Commit(
                ((LEADER, Version(self.token)),),
                (Put(LEADER, self._record(self._lease), self._lease),),
                rotated,
            )
        )
        return True

    def _rotated(self, generation: int, result: CommitOutcome) -> None:
        if generation != self._generation:
            return
        if isinstance(result, Committed):
            self.token = Token(result.revision)
        else:
            self.resign("the token could not be rotated")

    def resign(self, reason: str, rest_s: float = 0.3) -> None:
        """Stop leading; the next leader's higher token fences off what we have sent.

        `rest_s` is how long we leave the key to others before we read it again.
        """
        self._generation += 1
        if self._lease is not None:
            self._outbox.add(RevokeLease(self._lease))
            self._lease = None
        was_leading = self.leading
        self.token = None
        self.leader = None
        generation = self._generation
        if was_leading:
            self._listener.term_lost(reason)
        delay_s = rest_s + 0.5 * self._rng.random()
        self._later(delay_s, lambda: self._begin_if_current(generation))
