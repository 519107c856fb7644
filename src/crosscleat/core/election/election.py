"""Leader election: one key in the store under a lease; the key's version is the fencing token.

Taking over the key, rotating the token and every write of a leader are conditional on the key's
version, so a controller that has lost the key can no longer change the store, even if it still
considers itself the leader.

A follower watches the key. When the key is gone, the follower requests a lease and writes the key
under it. A leader renews its lease until it resigns or the lease has expired.
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

LEADER_LEASE_TTL_S = 3.0
"""The store removes the leader key this long after the last renewal of its lease."""

RENEWAL_INTERVAL_S = 0.8
"""Delay from a successful renewal to the next."""

RENEWAL_RETRY_S = 0.4
"""Delay from an unanswered renewal to the next."""

WATCH_BLOCK_S = 4.0
"""Maximum time for which the store may block a watch without changes before it answers."""

MIN_REVOCATION_INTERVAL_S = 20.0
"""Minimum time between two revocations of other leaders' leases."""


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The value of the leader key: the leader and its lease."""

    member: Member
    lease: LeaseId

    @classmethod
    def parse(cls, record: Record) -> LeaderRecord:
        """Parse the record that is stored under the leader key."""
        return cls(Member(record["member"]), LeaseId(record["lease"]))


class ElectionListener(Protocol):
    """Is notified when this controller's term begins or ends (`control.controller.Controller`)."""

    def elected(self, token: Token) -> None:
        """Called when this controller has become the leader, with its fencing token."""

    def term_lost(self, reason: str) -> None:
        """Called when this controller is no longer the leader."""


class Election:
    """Acquires, renews and releases the leader key."""

    def __init__(
        self,
        member: Member,
        boot: str,
        outbox: Outbox,
        rng: Random,
        clock: Callable[[], Seconds],
        listener: ElectionListener,
    ) -> None:
        """Create it inactive; `boot` tells this process from earlier ones of the same member."""
        self._member = member
        self._boot = boot
        self._outbox = outbox
        self._rng = rng
        self._clock = clock
        self._listener = listener
        self._lease: LeaseId | None = None
        """Our lease, while we lead or campaign."""
        self._generation = 0
        """Incremented by each resignation; results of earlier generations' calls are ignored."""
        self._leader_lease: LeaseId | None = None
        """The lease of the leader that we follow; None once we have revoked it."""
        self._last_revocation_at: Seconds | None = None
        self.token: Token | None = None
        """Our fencing token while we lead."""
        self.leader: Member | None = None
        """The current leader, as far as known."""
        self.last_confirmed_at = LONG_AGO
        """When the last request that confirmed our leadership was sent."""

    @property
    def leading(self) -> bool:
        """Whether we hold the leader key."""
        return self.token is not None

    # Following

    def start(self) -> None:
        """Read the leader key, then follow the leader or campaign."""
        generation = self._generation
        self._outbox.add(Read(LEADER, lambda result: self._leader_key_read(generation, result)))

    def _run_later(self, delay_s: float, continuation: Callable[[], None]) -> None:
        self._outbox.add(Delay(delay_s, continuation))

    def _restart_later(self, delay_s: float) -> None:
        generation = self._generation
        self._run_later(delay_s, lambda: self._restart_if_current(generation))

    def _restart_if_current(self, generation: int) -> None:
        if generation == self._generation:
            self.start()

    def _leader_key_read(self, generation: int, result: ReadResult | Unanswered) -> None:
        if generation != self._generation:
            return
        if isinstance(result, Unanswered):
            self._restart_later(0.3 + 0.4 * self._rng.random())
        elif result.item is None:
            self.leader = None
            self._campaign(ABSENT)
        else:
            self._follow(result.item.value)
            if self.leader == self._member:
                # An earlier process of this member holds the key. No other controller may use that
                # token, and this process knows of no command that was sent with it, so it takes
                # over the key with a new token.
                self._campaign(result.item.version)
            else:
                self._watch(result.revision)

    def _follow(self, record: Record) -> None:
        leader = LeaderRecord.parse(record)
        self.leader = leader.member
        self._leader_lease = leader.lease

    def _watch(self, after_revision: Version) -> None:
        generation = self._generation
        self._outbox.add(
            Watch(
                LEADER,
                after_revision,
                WATCH_BLOCK_S,
                lambda outcome: self._watch_answered(generation, after_revision, outcome),
            )
        )

    def _watch_answered(
        self, generation: int, after_revision: Version, outcome: WatchOutcome
    ) -> None:
        if generation != self._generation:
            return
        if not isinstance(outcome, WatchResult):
            self._restart_later(0.2 + 0.3 * self._rng.random())
            return
        changes = [change for change in outcome.changes if change.key == LEADER]
        if not changes:
            self._watch(max(after_revision, outcome.revision))
        elif changes[-1].version == ABSENT:
            self.leader = None
            # Delayed at random, so that not all candidates write at once: the store counts failed
            # transactions too.
            self._restart_later(0.05 * self._rng.random())
        else:
            self._follow(changes[-1].value)
            self._watch(outcome.revision)

    def revoke_leader_lease(self, member: Member) -> None:
        """Revoke the lease of a leader that refuses connections instead of waiting for its expiry.

        A refused connection does not prove that the leader has ended, but revoking is safe: a
        live leader finds its lease expired at the next renewal, and its successor allows for
        messages that it still sends. A wrong revocation costs a change of leader, so there is a
        minimum time between two revocations.
        """
        now = self._clock()
        if self.leading or self.leader != member or self._leader_lease is None:
            return
        if (
            self._last_revocation_at is None
            or now - self._last_revocation_at > MIN_REVOCATION_INTERVAL_S
        ):
            self._last_revocation_at = now
            self._outbox.log("info", f"leader {member} refuses connections: revoking its lease")
            self._outbox.add(RevokeLease(self._leader_lease))
            self._leader_lease = None

    # Campaigning

    def _campaign(self, version: Version) -> None:
        """Request a lease, then write the leader key under it if the key still has this version."""
        generation = self._generation
        self._outbox.add(
            GrantLease(
                LEADER_LEASE_TTL_S, lambda lease: self._lease_granted(generation, version, lease)
            )
        )

    def _lease_granted(
        self, generation: int, version: Version, lease: LeaseId | Unanswered
    ) -> None:
        if generation != self._generation:
            return
        if isinstance(lease, Unanswered):
            self._restart_later(0.3 + 0.4 * self._rng.random())
            return
        self._lease = lease
        sent_at = self._clock()
        self._outbox.add(
            Commit(
                ((LEADER, version),),
                (Put(LEADER, self._leader_record(lease), lease),),
                lambda result: self._key_write_completed(generation, lease, sent_at, result),
            )
        )

    def _leader_record(self, lease: LeaseId) -> Record:
        return {"member": self._member, "boot": self._boot, "lease": lease}

    def _key_write_completed(
        self,
        generation: int,
        lease: LeaseId,
        sent_at: Seconds,
        result: CommitOutcome,
    ) -> None:
        if generation != self._generation:
            return
        if not isinstance(result, Committed):
            # An unanswered write may take effect, even later; revoking the lease removes the key.
            self._outbox.add(RevokeLease(lease))
            self._lease = None
            self._restart_later(0.1 + 0.2 * self._rng.random())
            return
        self.token = Token(result.revision)
        self.leader = self._member
        self.last_confirmed_at = sent_at
        self._run_later(RENEWAL_INTERVAL_S, lambda: self._renew(generation))
        self._listener.elected(self.token)

    # Leading

    def _renew(self, generation: int) -> None:
        if generation != self._generation or self._lease is None:
            return
        sent_at = self._clock()
        self._outbox.add(
            RenewLease(self._lease, lambda outcome: self._renewed(generation, sent_at, outcome))
        )

    def _renewed(self, generation: int, sent_at: Seconds, outcome: RenewalOutcome) -> None:
        if generation != self._generation:
            return
        if isinstance(outcome, NoSuchLease):
            self.resign("the leader lease has expired")
            return
        renewed = isinstance(outcome, LeaseRenewed)
        if renewed:
            self.last_confirmed_at = max(self.last_confirmed_at, sent_at)
        self._run_later(
            RENEWAL_INTERVAL_S if renewed else RENEWAL_RETRY_S, lambda: self._renew(generation)
        )

    def rotate_token(self, on_completed: Callable[[], None]) -> bool:
        """Rewrite the leader key to obtain a higher fencing token.

        Returns whether the transaction was sent; if so, `on_completed` is called after its outcome
        has been processed. No other write of this leader may be in flight meanwhile.
        """
        if self.token is None or self._lease is None:
            return False
        generation = self._generation

        def rotated(result: CommitOutcome) -> None:
            self._token_rotated(generation, result)
            on_completed()

        self._outbox.add(
            Commit(
                ((LEADER, Version(self.token)),),
                (Put(LEADER, self._leader_record(self._lease), self._lease),),
                rotated,
            )
        )
        return True

    def _token_rotated(self, generation: int, result: CommitOutcome) -> None:
        if generation != self._generation:
            return
        if isinstance(result, Committed):
            self.token = Token(result.revision)
        else:
            self.resign("the fencing token could not be rotated")

    def resign(self, reason: str, backoff_s: float = 0.3) -> None:
        """Stop leading; the next leader's higher token fences off the commands that we have sent.

        `backoff_s` is the minimum time before we read the leader key again and may campaign.
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
        delay_s = backoff_s + 0.5 * self._rng.random()
        self._run_later(delay_s, lambda: self._restart_if_current(generation))
