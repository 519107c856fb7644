"""Whether all controllers have come to the version that knows gangs and may cut chunks.

Each puts a key of its own, `format/<member>`, into the store when it begins, and looks at those
keys until all members have one. The version before knows nothing of them, so a member without a
key may still be of that version, whether or not it can be heard. A key stays: a member that has
come to this version is never again taken for one that has not.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..model.effects import Delay, Outbox
from ..model.ids import ABSENT, Member
from ..model.store_calls import Commit, Committed, Conflict, Item, Listing, NoSuchLease, Put, Scan
from ..state.keys import FORMAT

VERSION = 2

AGAIN_S = 1.0


class Upgrade:
    """Learns when all controllers run this version."""

    def __init__(
        self,
        member: Member,
        members: tuple[Member, ...],
        outbox: Outbox,
        completed: Callable[[], None],
    ) -> None:
        self._key = FORMAT + member
        self._members = members
        self._outbox = outbox
        self._completed = completed
        self.complete = False

    def begin(self) -> None:
        """Put our key, then look for those of the others."""

        def put(result: Committed | Conflict | NoSuchLease | None) -> None:
            # A conflict: an earlier process of ours has put it, or this very try did.
            if isinstance(result, (Committed, Conflict)):
                self._look()
            else:
                self._outbox.add(Delay(AGAIN_S, self.begin))

        write = Put(self._key, {"version": VERSION})
        self._outbox.add(Commit(((self._key, ABSENT),), (write,), put))

    def _look(self) -> None:
        def looked(listing: Listing | None) -> None:
            if listing is not None:
                self.learn(listing.items)
            if not self.complete:
                self._outbox.add(Delay(AGAIN_S, self._look))

        self._outbox.add(Scan(FORMAT, looked))

    def learn(self, items: Iterable[Item]) -> None:
        """Take in the keys as the store has them now."""
        found = {item.key.removeprefix(FORMAT) for item in items}
        if not self.complete and found.issuperset(self._members):
            self.complete = True
            self._completed()
