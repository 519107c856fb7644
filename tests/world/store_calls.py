"""The calls of controllers to the key-value store, over a network that fails."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from crosscleat.core.model.ids import LeaseId, Version
from crosscleat.core.model.store_calls import (
    Commit,
    GrantLease,
    LeaseRenewed,
    NoSuchLease,
    Read,
    ReadResult,
    RenewLease,
    RevokeLease,
    Scan,
    ScanResult,
    Unanswered,
    Watch,
    WatchResult,
)

from .helpers import is_of_upgrade, void
from .scenario import REGION, STORE_TIMEOUT_S

if TYPE_CHECKING:
    from .world import World


class StoreCalls:
    """The calls of controllers to the key-value store, over a network that fails."""

    def __init__(self, world: World) -> None:
        self.world = world

    def call(self, member: str, effect: Any, reply: Callable[..., None]) -> None:
        delay = self.world.rng.uniform(0.002, 0.02)
        if member in self.world.old_version and is_of_upgrade(effect):
            # The old version neither writes such keys nor reads them.
            listing = ScanResult([], Version(self.world.store.revision))
            result = listing if isinstance(effect, Scan) else Unanswered()
            self.world.clock.after(delay, lambda: reply(result))
            return
        if isinstance(effect, Watch):
            self.world.clock.after(delay, lambda: self.watch(member, effect, reply, effect.block_s))
            return
        if isinstance(effect, Commit) and self.world.rng.random() < self.world.flaky:
            self.world.clock.after(delay, lambda: self.flaky_commit(effect, reply))
            return
        if (
            not isinstance(effect, (Read, Scan))
            and self.world.rng.random() < self.world.late_writes
        ):
            # Also the end or the renewal of a lease, harmless only while the caller owns it.
            self.world.clock.after(
                self.world.rng.uniform(2.0, 12.0), lambda: void(self.serve(effect))
            )
            self.world.clock.after(1.0, lambda: reply(Unanswered()))
            return
        if self.world.slow_store_s:
            delay = self.world.rng.uniform(0.0, self.world.slow_store_s) / 2.0
        reply_delay_s = delay
        if isinstance(effect, Scan):
            reply_delay_s += self.world.slow_scans.get(effect.prefix, 0.0)
        arrive = partial(self._arrive, member, effect, reply, delay, reply_delay_s)
        self.world.clock.after(delay, arrive)

    def _arrive(
        self,
        member: str,
        effect: Any,
        reply: Callable[..., None],
        delay_s: float,
        reply_delay_s: float,
    ) -> None:
        """The call reaches the store, if anything does; its reply may come too late."""
        if not self.reaches_store(member):
            timeout = 0.0 if getattr(effect, "for_user", False) else 0.5
            self.world.clock.after(timeout, lambda: reply(Unanswered()))
            return
        timeout_s = STORE_TIMEOUT_S[type(effect)]
        result = self.serve(effect)
        if delay_s + reply_delay_s > timeout_s:
            # It was carried out, but nobody waits for the reply any more.
            self.world.clock.after(max(0.0, timeout_s - delay_s), lambda: reply(Unanswered()))
        else:
            self.world.clock.after(reply_delay_s, lambda: reply(result))

    def reaches_store(self, member: str) -> bool:
        return self.world.store.serves(member) and self.world.network.connected(member, REGION)

    def flaky_commit(self, effect: Commit, reply: Callable[..., None]) -> None:
        """No reply: carried out now, or up to a minute later, and perhaps retried meanwhile."""
        late = self.world.rng.choice((0.0, 0.3, 5.0, 60.0))
        # The store can carry out what was delayed only after its outage.
        self.world.clock.after(late, lambda: self.world.store.commit(effect, True))
        if self.world.rng.random() < 0.5:
            self.world.clock.after(1.0, lambda: reply(Unanswered()))
        else:
            self.world.clock.after(0.2, lambda: reply(self.world.store.commit(effect, True)))

    def serve(self, effect: Any) -> Any:
        match effect:
            case Commit():
                return self.world.store.commit(effect, False)
            case Read():
                self.world.store.expire()
                return ReadResult(
                    self.world.store.item(effect.key), Version(self.world.store.revision)
                )
            case Scan():
                return self.world.store.listing(effect.prefix)
            case GrantLease():
                return LeaseId(self.world.store.grant(effect.ttl_s))
            case RenewLease():
                self.world.store.expire()
                return LeaseRenewed() if self.world.store.renew(effect.lease) else NoSuchLease()
            case RevokeLease():
                return self.world.store.revoke(effect.lease)
        raise TypeError(effect)

    def watch(self, member: str, effect: Watch, reply: Callable[..., None], left: float) -> None:
        changes = (
            self.world.store.changes_after(effect.prefix, effect.after)
            if self.world.store.serves(member)
            else []
        )
        if not self.world.network.connected(member, REGION) or member in self.world.slow_watches:
            self.world.clock.after(0.5, lambda: reply(Unanswered()))
        elif not self.world.store.serves(member) and left <= 0.0:
            reply(Unanswered())
        elif changes or left <= 0.0:
            reply(WatchResult(Version(self.world.store.revision), changes))
        else:
            pause = min(0.05, max(0.01, left))
            self.world.clock.after(pause, lambda: self.watch(member, effect, reply, left - pause))
