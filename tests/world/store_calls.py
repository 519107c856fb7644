"""The calls of controllers to the store, on a network that fails."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from crosscleat.core.model.ids import LeaseId, Version
from crosscleat.core.model.store_calls import (
    Commit,
    Found,
    GrantLease,
    Listing,
    Read,
    RenewLease,
    RevokeLease,
    Scan,
    Watch,
    WatchResult,
)

from .helpers import is_of_upgrade, void
from .scenario import PATIENCE_S, REGION

if TYPE_CHECKING:
    from .world import World


class StoreCalls:
    """The calls of controllers to the store, on a network that fails."""

    def __init__(self, world: World) -> None:
        self.world = world

    def state(self, member: str, effect: Any, back: Callable[..., None]) -> None:
        delay = self.world.rng.uniform(0.002, 0.02)
        if member in self.world.old and is_of_upgrade(effect):
            # The version before neither writes such keys nor reads them.
            listing = Listing([], Version(self.world.store.revision))
            result = listing if isinstance(effect, Scan) else None
            self.world.clock.after(delay, lambda: back(result))
            return
        if isinstance(effect, Watch):
            self.world.clock.after(delay, lambda: self.watch(member, effect, back, effect.block_s))
            return
        if isinstance(effect, Commit) and self.world.rng.random() < self.world.flaky:
            self.world.clock.after(delay, lambda: self.flaky_commit(effect, back))
            return
        if (
            not isinstance(effect, (Read, Scan))
            and self.world.rng.random() < self.world.late_writes
        ):
            # Also the end or the renewal of a lease, which is harmless only while it is ours.
            self.world.clock.after(
                self.world.rng.uniform(2.0, 12.0), lambda: void(self.serve(effect))
            )
            self.world.clock.after(1.0, lambda: back(None))
            return
        if self.world.slow_store_s:
            delay = self.world.rng.uniform(0.0, self.world.slow_store_s) / 2.0
        back_s = delay
        if isinstance(effect, Scan):
            back_s += self.world.slow_scans.get(effect.prefix, 0.0)
        patience_s = PATIENCE_S[type(effect)]

        def arrive() -> None:
            if not self.reaches_store(member):
                patience = 0.0 if getattr(effect, "for_user", False) else 0.5
                self.world.clock.after(patience, lambda: back(None))
                return
            result = self.serve(effect)
            if delay + back_s > patience_s:
                # It was carried out; only nobody waits for the answer any more.
                self.world.clock.after(max(0.0, patience_s - delay), lambda: back(None))
            else:
                self.world.clock.after(back_s, lambda: back(result))

        self.world.clock.after(delay, arrive)

    def reaches_store(self, member: str) -> bool:
        return self.world.store.serves(member) and self.world.network.whole(member, REGION)

    def flaky_commit(self, effect: Commit, back: Callable[..., None]) -> None:
        """No answer: executed now, or minutes later, and perhaps tried again meanwhile."""
        late = self.world.rng.choice((0.0, 0.3, 5.0, 60.0))
        # Only once the service is back can it execute what was held up.
        self.world.clock.after(late, lambda: self.world.store.commit(effect, True))
        if self.world.rng.random() < 0.5:
            self.world.clock.after(1.0, lambda: back(None))
        else:
            self.world.clock.after(0.2, lambda: back(self.world.store.commit(effect, True)))

    def serve(self, effect: Any) -> Any:
        match effect:
            case Commit():
                return self.world.store.commit(effect, False)
            case Read():
                self.world.store.expire()
                return Found(self.world.store.item(effect.key), Version(self.world.store.revision))
            case Scan():
                return self.world.store.listing(effect.prefix)
            case GrantLease():
                return LeaseId(self.world.store.grant(effect.life_s))
            case RenewLease():
                self.world.store.expire()
                return self.world.store.touch(effect.lease)
            case RevokeLease():
                return self.world.store.revoke(effect.lease)
        raise TypeError(effect)

    def watch(self, member: str, effect: Watch, back: Callable[..., None], left: float) -> None:
        news = (
            self.world.store.news(effect.prefix, effect.after)
            if self.world.store.serves(member)
            else []
        )
        if not self.world.network.whole(member, REGION) or member in self.world.slow_watches:
            self.world.clock.after(0.5, lambda: back(None))
        elif not self.world.store.serves(member) and left <= 0.0:
            back(None)
        elif news or left <= 0.0:
            back(WatchResult(Version(self.world.store.revision), news))
        else:
            pause = min(0.05, max(0.01, left))
            self.world.clock.after(pause, lambda: self.watch(member, effect, back, left - pause))
