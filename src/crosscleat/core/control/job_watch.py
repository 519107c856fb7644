"""What a new leader reads from the store, and how it follows the live jobs from then on.

A takeover reads the live jobs first, then the records of placements, of decommissions and of
controllers' versions. `JobWatch` starts at the revision of that first read, so it misses no change.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..election.term import LeadingTerm
from ..model.effects import Delay, Outbox
from ..model.ids import Seconds, Version
from ..model.store_calls import (
    ChangesLost,
    Item,
    Scan,
    ScanResult,
    Unanswered,
    Watch,
    WatchOutcome,
)
from ..state.keys import DECOMMISSIONED, FORMAT, LIVE, PLACEMENTS

WATCH_BLOCK_S = 1.0
"""For so long the store may hold back the answer of a watch that has nothing to say."""

WATCH_RETRY_S = 0.2
"""Before a watch that was not answered is opened again."""

TAKEOVER_PREFIXES = (LIVE, PLACEMENTS, DECOMMISSIONED, FORMAT)
"""What a takeover reads, in this order; ended jobs are not read."""


class StoredState(msgspec.Struct, frozen=True):
    """What earlier leaders left in the store, as a takeover has read it."""

    live: ScanResult
    placement_records: list[Item]
    decommission_records: list[Item]
    formats: list[Item]
    read_at: Seconds
    """When the live jobs were asked for: later cancellations may be missing from them."""


class TakeoverRead:
    """Reads what a new term starts from, one prefix after the other, each until it is answered."""

    def __init__(
        self,
        outbox: Outbox,
        clock: Callable[[], Seconds],
        still_elected: Callable[[], bool],
        completed: Callable[[StoredState], None],
    ) -> None:
        """Make a reader; `completed` is called once, when all has been read.

        `still_elected` says whether the term that this read is for goes on: an answer that comes
        after its end is dropped.
        """
        self._outbox = outbox
        self._clock = clock
        self._still_elected = still_elected
        self._completed = completed
        self._listings: list[ScanResult] = []
        self._read_at = clock()

    def begin(self) -> None:
        """Ask for the first prefix that has not been read yet."""
        self._outbox.add(Scan(TAKEOVER_PREFIXES[len(self._listings)], self._scanned))

    def _scanned(self, listing: ScanResult | Unanswered) -> None:
        if not self._still_elected():
            return
        if isinstance(listing, ScanResult):
            self._listings.append(listing)
        elif not self._listings:
            self._read_at = self._clock()
        if len(self._listings) < len(TAKEOVER_PREFIXES):
            self.begin()
            return
        live, placement_records, decommission_records, formats = self._listings
        self._completed(
            StoredState(
                live,
                placement_records.items,
                decommission_records.items,
                formats.items,
                self._read_at,
            )
        )


class JobWatch:
    """Brings a term every change that users make to live jobs, until the term ends."""

    def __init__(
        self, term: LeadingTerm, changed: Callable[[list[Item], Seconds], None], after: Version
    ) -> None:
        """`changed` gets the changed records, oldest first; `after` is the last revision known."""
        self._term = term
        self._changed = changed
        self._after = after

    def begin(self) -> None:
        """Ask for the changes since the last revision known."""
        if self._term.retired:
            return
        opened = self._term.now
        self._term.outbox.add(
            Watch(
                LIVE,
                self._after,
                WATCH_BLOCK_S,
                lambda outcome: self._answered(opened, outcome),
            )
        )

    def _answered(self, opened: Seconds, outcome: WatchOutcome) -> None:
        if self._term.retired:
            return
        if isinstance(outcome, Unanswered):
            self._term.outbox.add(Delay(WATCH_RETRY_S, self.begin))
        elif isinstance(outcome, ChangesLost):
            self._read_all()
        else:
            self._term.watch_answered(opened)
            changes = [change for change in outcome.changes if change.key.startswith(LIVE)]
            if changes:
                self._changed(changes, self._term.now)
            self._after = max(self._after, outcome.revision)
            self.begin()

    def _read_all(self) -> None:
        """The store no longer has all changes since our revision: read the records themselves."""

        def scanned(listing: ScanResult | Unanswered) -> None:
            if self._term.retired:
                return
            if isinstance(listing, Unanswered):
                self._read_all()
                return
            self._changed(listing.items, self._term.now)
            self._after = listing.revision
            self.begin()

        self._term.outbox.add(Scan(LIVE, scanned))
