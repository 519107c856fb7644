"""Who leads: one key in the store under a lease; its version is the token.

Taking the key over, rotating it and every leader's write are conditional on its version,
so a leader that lost it can change nothing, whatever it still believes.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..model.effects import Outbox
from ..model.ids import ABSENT, LONG_AGO, LeaseId, Member, Seconds, Token, Version
from ..model.store_calls import (
    Commit,
    Committed,
    Conflict,
    Found,
    GrantLease,
    NoSuchLease,
    Put,
    Read,
    Record,
    RenewLease,
    RevokeLease,
    Watch,
    WatchResult,
)
from ..state.keys import LEADER

LIFE_S = 3.0

RENEW_S = 0.8

WATCH_S = 4.0

REVOKE_PAUSE_S = 20.0


class Election:
    """Who leads: takes, keeps and gives up the leader key."""

    def __init__(
        self,
        member: Member,
        boot: str,
        outbox: Outbox,
        rng: Random,
        clock: Callable[[], Seconds],
        later: Callable[[float, Callable[[], None]], None],
        elected: Callable[[Token], None],
        lost: Callable[[str], None],
    ) -> None:
        self._member = member
        self._boot = boot
        self._outbox = outbox
        self._rng = rng
        self._clock = clock
        self._later = later
        self._elected = elected
        self._lost = lost
        self._lease: LeaseId | None = None
        self._epoch = 0
        self._leader_lease: LeaseId | None = None
        self._forced_at: Seconds | None = None
        self.token: Token | None = None
        """Our token while we lead."""
        self.leader: Member | None = None
        self.contact = LONG_AGO
        """When the renewal that last confirmed our leadership was sent."""

    @property
    def leading(self) -> bool:
        """Whether we hold the leader key."""
        return self.token is not None

    def begin(self) -> None:
        """Look at the leader key for the first time."""
        epoch = self._epoch
        self._outbox.add(Read(LEADER, lambda found: self._looked(epoch, found)))

    def _looked(self, epoch: int, found: Found | None) -> None:
        if epoch != self._epoch:
            return
        if found is None:
            self._later(0.3 + 0.4 * self._rng.random(), self._again(epoch))
        elif found.item is None:
            self.leader = None
            self._stand(epoch)
        else:
            self._follow(found.item.value)
            if self.leader == self._member:
                # An earlier process of ours holds it. Nobody else may use that token, and it
                # knows of no command sent: take it over at once with a new one.
                self._stand(epoch, found.item.version)
            else:
                self._watch(epoch, found.revision)

    def _again(self, epoch: int) -> Callable[[], None]:
        return lambda: self.begin() if epoch == self._epoch else None

    def _watch(self, epoch: int, after: Version) -> None:
        self._outbox.add(
            Watch(
                LEADER, after, WATCH_S, lambda watch_result: self._heard(epoch, after, watch_result)
            )
        )

    def _heard(self, epoch: int, after: Version, watch_result: WatchResult | None) -> None:
        if epoch != self._epoch:
            return
        if watch_result is None or watch_result.lost:
            self._later(0.2 + 0.3 * self._rng.random(), self._again(epoch))
            return
        mine = [change for change in watch_result.changes if change.key == LEADER]
        if not mine:
            self._watch(epoch, max(after, watch_result.revision))
        elif mine[-1].version == 0:
            self.leader = None
            # Not all at the same instant: the store counts failed transactions too.
            self._later(0.05 * self._rng.random(), self._again(epoch))
        else:
            self._follow(mine[-1].value)
            self._watch(epoch, watch_result.revision)

    def _stand(self, epoch: int, version: Version = ABSENT) -> None:
        self._outbox.add(GrantLease(LIFE_S, lambda lease: self._granted(epoch, version, lease)))

    def _granted(self, epoch: int, version: Version, lease: LeaseId | None) -> None:
        if epoch != self._epoch:
            return
        if lease is None:
            self._later(0.3 + 0.4 * self._rng.random(), self._again(epoch))
            return
        self._lease = lease
        sent = self._clock()
        self._outbox.add(
            Commit(
                ((LEADER, version),),
                (Put(LEADER, self._record(lease), lease),),
                lambda result: self._decided(epoch, lease, sent, result),
            )
        )

    def _record(self, lease: LeaseId) -> Record:
        return {"member": self._member, "boot": self._boot, "lease": lease}

    def _follow(self, record: Record) -> None:
        self.leader = Member(record["member"])
        self._leader_lease = LeaseId(record["lease"])

    def revoke_leader_lease(self, member: Member) -> None:
        """The leader's process seems to be gone: end its lease now, not when it runs out.

        A refused connection proves nothing, and need not: a leader that is alive finds its
        lease ended at its next renewal, and whoever is elected reckons with what it still sends.
        Being wrong costs a change of leader, so not too often.
        """
        now = self._clock()
        if self.leading or self.leader != member or self._leader_lease is None:
            return
        if self._forced_at is None or now - self._forced_at > REVOKE_PAUSE_S:
            self._forced_at = now
            self._outbox.log("info", f"leader {member} seems to be gone: ending its lease")
            self._outbox.add(RevokeLease(self._leader_lease))
            self._leader_lease = None

    def _decided(
        self,
        epoch: int,
        lease: LeaseId,
        sent: Seconds,
        result: Committed | Conflict | NoSuchLease | None,
    ) -> None:
        if epoch != self._epoch:
            return
        if not isinstance(result, Committed):
            # Perhaps it was carried out, or will be: without its lease the key goes away.
            self._outbox.add(RevokeLease(lease))
            self._lease = None
            self._later(0.1 + 0.2 * self._rng.random(), self._again(epoch))
            return
        self.token = Token(result.revision)
        self.leader = self._member
        self.contact = sent
        self._later(RENEW_S, lambda: self._renew(epoch))
        self._elected(self.token)

    def _renew(self, epoch: int) -> None:
        if epoch != self._epoch or self._lease is None:
            return
        sent = self._clock()
        self._outbox.add(RenewLease(self._lease, lambda alive: self._renewed(epoch, sent, alive)))

    def _renewed(self, epoch: int, sent: Seconds, alive: bool | None) -> None:
        if epoch != self._epoch:
            return
        if alive is False:
            self.resign("its lease has ended")
            return
        if alive:
            self.contact = max(self.contact, sent)
        self._later(RENEW_S if alive else 0.4, lambda: self._renew(epoch))

    def rotation(self) -> Commit | None:
        """The transaction that gives the key, and so us, a higher token."""
        if self.token is None or self._lease is None:
            return None
        epoch = self._epoch
        return Commit(
            ((LEADER, Version(self.token)),),
            (Put(LEADER, self._record(self._lease), self._lease),),
            lambda result: self._rotated(epoch, result),
        )

    def _rotated(self, epoch: int, result: Committed | Conflict | NoSuchLease | None) -> None:
        if epoch != self._epoch:
            return
        if isinstance(result, Committed):
            self.token = Token(result.revision)
        else:
            self.resign("the token could not be rotated")

    def resign(self, reason: str, rest_s: float = 0.3) -> None:
        """Stop leading; what we sent stays accounted for by the next leader's higher token.

        `rest_s` is how long we leave the key to others before we look at it again.
        """
        self._epoch += 1
        if self._lease is not None:
            self._outbox.add(RevokeLease(self._lease))
            self._lease = None
        was = self.token
        self.token = None
        self.leader = None
        epoch = self._epoch
        if was is not None:
            self._lost(reason)
        self._later(rest_s + 0.5 * self._rng.random(), self._again(epoch))
