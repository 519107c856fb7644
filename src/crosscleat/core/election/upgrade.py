"""Whether all controllers run the version that knows gangs and may shorten chunks.

Each puts a key of its own, `format/<member>`, into the store when it begins, and reads those keys
until all members have one. The version before knows nothing of them, so a member without a key may
still run that version, whether or not it can be reached. A key stays: a member that runs this
version is never again taken for one that does not.
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
"""What our key says; a later version may raise it."""

POLL_S = 1.0
"""Between two reads of the keys, and before a write without an answer is repeated."""


class Upgrade:
    """Learns when all controllers run this version."""

    def __init__(
        self,
        member: Member,
        members: tuple[Member, ...],
        outbox: Outbox,
        completed: Callable[[], None],
    ) -> None:
        """`completed` is called once, when all members are known to run this version."""
        self._key = FORMAT + member
        self._members = members
        self._outbox = outbox
        self._completed = completed
        self.complete = False
        """Whether all controllers run this version."""

    def begin(self) -> None:
        """Put our key, then read those of the others."""
        write = Put(self._key, {"version": FORMAT_VERSION})
        self._outbox.add(Commit(((self._key, ABSENT),), (write,), self._put))

    def _put(self, result: CommitOutcome) -> None:
        # A conflict: an earlier process of ours has put it, or this very try did.
        if isinstance(result, (Committed, Conflict)):
            self._read()
        else:
            self._outbox.add(Delay(POLL_S, self.begin))

    def _read(self) -> None:
        self._outbox.add(Scan(FORMAT, self._scanned))

    def _scanned(self, listing: ScanResult | Unanswered) -> None:
        if isinstance(listing, ScanResult):
            self.formats_read(listing.items)
        if not self.complete:
            self._outbox.add(Delay(POLL_S, self._read))

    def formats_read(self, items: Iterable[Item]) -> None:
        """Take in the keys as the store has them now."""
        members = {item.key.removeprefix(FORMAT) for item in items}
        if not self.complete and members.issuperset(self._members):
            self.complete = True
            self._completed()
