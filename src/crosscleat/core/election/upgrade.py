"""Detects when all controllers run the version that supports gangs and shortened chunks.

At startup, each controller writes its own key `format/<member>` to the store, then reads these keys
until all members have one. The previous version does not write the key, so a member without a key
may still run that version, whether or not it can be reached. Keys are never removed, so a member
that has once run this version always counts as upgraded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..model.effects import Delay, Outbox
from ..model.ids import ABSENT, Member
from ..model.store_calls import (
    Commit,
    CommitOutcome,
    Committed,
    Conflict,
    Item,
    Put,
    Scan,
    ScanResult,
    Unanswered,
)
from ..state.keys import FORMAT

FORMAT_VERSION = 2
"""The version stored under our key; a later version may raise it."""

POLL_INTERVAL_S = 1.0
"""Delay between two reads of the keys, and before an unanswered write is repeated."""


class Upgrade:
    """Detects when all controllers run this version."""

    def __init__(
        self,
        member: Member,
        members: tuple[Member, ...],
        outbox: Outbox,
        on_completed: Callable[[], None],
    ) -> None:
        """`on_completed` is called once, when all members are known to run this version."""
        self._key = FORMAT + member
        self._members = members
        self._outbox = outbox
        self._on_completed = on_completed
        self.complete = False
        """Whether all controllers run this version."""

    def start(self) -> None:
        """Write our key, then read the keys of all members."""
        write = Put(self._key, {"version": FORMAT_VERSION})
        self._outbox.add(Commit(((self._key, ABSENT),), (write,), self._key_written))

    def _key_written(self, result: CommitOutcome) -> None:
        # Conflict: an earlier process of this member, or this same request, has written the key.
        if isinstance(result, (Committed, Conflict)):
            self._read_keys()
        else:
            self._outbox.add(Delay(POLL_INTERVAL_S, self.start))

    def _read_keys(self) -> None:
        self._outbox.add(Scan(FORMAT, self._keys_read))

    def _keys_read(self, listing: ScanResult | Unanswered) -> None:
        if isinstance(listing, ScanResult):
            self.formats_read(listing.items)
        if not self.complete:
            self._outbox.add(Delay(POLL_INTERVAL_S, self._read_keys))

    def formats_read(self, items: Iterable[Item]) -> None:
        """Process the keys that are currently in the store."""
        members = {item.key.removeprefix(FORMAT) for item in items}
        if not self.complete and members.issuperset(self._members):
            self.complete = True
            self._on_completed()
