"""The controllers' calls to the key-value store, with delays, lost replies and late writes."""

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

from .helpers import accesses_format_keys, discard
from .scenario import REGION, STORE_TIMEOUT_S

if TYPE_CHECKING:
    from .world import World


class StoreCalls:
    """Executes the controllers' calls to the store, subject to the faults that are active."""

    def __init__(self, world: World) -> None:
        self.world = world

    def call(self, member: str, effect: Any, reply: Callable[..., None]) -> None:
        delay = self.world.rng.uniform(0.002, 0.02)
        if member in self.world.old_version and accesses_format_keys(effect):
            # The old version does not know the format keys: it neither writes nor reads them.
            scan_result = ScanResult([], Version(self.world.store.revision))
            result = scan_result if isinstance(effect, Scan) else Unanswered()
            self.world.clock.after(delay, lambda: reply(result))
            return
        if isinstance(effect, Watch):
            self.world.clock.after(delay, lambda: self.watch(member, effect, reply, effect.block_s))
            return
        if isinstance(effect, Commit) and self.world.rng.random() < self.world.flaky_call_chance:
            self.world.clock.after(delay, lambda: self.flaky_commit(effect, reply))
            return
        if (
            not isinstance(effect, (Read, Scan))
            and self.world.rng.random() < self.world.late_writes
        ):
            # This includes revoking and renewing a lease, harmless only while the caller owns it.
            self.world.clock.after(
                self.world.rng.uniform(2.0, 12.0), lambda: discard(self.serve(effect))
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
        """Execute the call if the store can be reached; its reply may arrive after the timeout."""
        if not self.reaches_store(member):
            timeout = 0.0 if getattr(effect, "for_user", False) else 0.5
            self.world.clock.after(timeout, lambda: reply(Unanswered()))
            return
        timeout_s = STORE_TIMEOUT_S[type(effect)]
        result = self.serve(effect)
        if delay_s + reply_delay_s > timeout_s:
            # The call was executed, but the caller has stopped waiting for the reply.
            self.world.clock.after(max(0.0, timeout_s - delay_s), lambda: reply(Unanswered()))
        else:
            self.world.clock.after(reply_delay_s, lambda: reply(result))

    def reaches_store(self, member: str) -> bool:
        return self.world.store.serves(member) and self.world.network.connected(member, REGION)

    def flaky_commit(self, effect: Commit, reply: Callable[..., None]) -> None:
        """Execute the commit now or up to a minute later.

        Either the caller gets no reply, or a retry of the same commit is executed and answered.
        """
        delay = self.world.rng.choice((0.0, 0.3, 5.0, 60.0))
        # A store can execute a delayed call only after its outage; the delay drawn here does not
        # depend on outages.
        self.world.clock.after(delay, lambda: self.world.store.commit(effect, True))
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
                return self.world.store.scan(effect.prefix)
            case GrantLease():
                return LeaseId(self.world.store.grant(effect.ttl_s))
            case RenewLease():
                self.world.store.expire()
                return LeaseRenewed() if self.world.store.renew(effect.lease) else NoSuchLease()
            case RevokeLease():
                return self.world.store.revoke(effect.lease)
        raise TypeError(effect)

    def watch(
        self, member: str, effect: Watch, reply: Callable[..., None], remaining_s: float
    ) -> None:
        """Check for changes every 0.05 s until there are some or the remaining time is over."""
        changes = (
            self.world.store.changes_after(effect.prefix, effect.after)
            if self.world.store.serves(member)
            else []
        )
        if not self.world.network.connected(member, REGION) or member in self.world.slow_watches:
            self.world.clock.after(0.5, lambda: reply(Unanswered()))
        elif not self.world.store.serves(member) and remaining_s <= 0.0:
            reply(Unanswered())
        elif changes or remaining_s <= 0.0:
            reply(WatchResult(Version(self.world.store.revision), changes))
        else:
            pause = min(0.05, max(0.01, remaining_s))
            self.world.clock.after(
                pause, lambda: self.watch(member, effect, reply, remaining_s - pause)
            )
