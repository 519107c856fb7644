"""Reads the stored state at a takeover, and watches the live jobs for changes afterwards.

A takeover reads the live jobs first, then the records of placements, of decommissions and of
controllers' versions. `JobWatch` starts at the revision of the first read, so it misses no change.
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
"""Maximum time in seconds for which the store holds a watch request open without changes."""

WATCH_RETRY_S = 0.2
"""Pause in seconds before a watch request that was not answered is sent again."""

TAKEOVER_PREFIXES = (LIVE, PLACEMENTS, DECOMMISSIONED, FORMAT)
"""Key prefixes that a takeover reads, in this order; ended jobs are not read."""


class StoredState(msgspec.Struct, frozen=True):
    """The records that a takeover has read from the store."""

    live: ScanResult
    placement_records: list[Item]
    decommission_records: list[Item]
    formats: list[Item]
    read_at: Seconds
    """When the read of the live jobs was sent; `live` may lack cancellations after that time."""


class TakeoverReader:
    """Reads the stored state for a new term, one prefix at a time, and retries unanswered reads."""

    def __init__(
        self,
        outbox: Outbox,
        clock: Callable[[], Seconds],
        still_elected: Callable[[], bool],
        on_completed: Callable[[StoredState], None],
    ) -> None:
        """Create a reader; `on_completed` is called once, when all prefixes have been read.

        `still_elected` returns whether this controller still holds the leadership that the state is
        read for. If not, answers are dropped.
        """
        self._outbox = outbox
        self._clock = clock
        self._still_elected = still_elected
        self._on_completed = on_completed
        self._listings: list[ScanResult] = []
        self._read_at = clock()

    def read_next(self) -> None:
        """Request the first prefix that has not been read yet."""
        self._outbox.add(Scan(TAKEOVER_PREFIXES[len(self._listings)], self._handle_scan_result))

    def _handle_scan_result(self, listing: ScanResult | Unanswered) -> None:
        if not self._still_elected():
            return
        if isinstance(listing, ScanResult):
            self._listings.append(listing)
        elif not self._listings:
            self._read_at = self._clock()
        if len(self._listings) < len(TAKEOVER_PREFIXES):
            self.read_next()
            return
        live, placement_records, decommission_records, formats = self._listings
        self._on_completed(
            StoredState(
                live,
                placement_records.items,
                decommission_records.items,
                formats.items,
                self._read_at,
            )
        )


class JobWatch:
    """Passes every change of live records on to the leader, until the term ends."""

    def __init__(
        self, term: LeadingTerm, on_changes: Callable[[list[Item], Seconds], None], after: Version
    ) -> None:
        """`on_changes` gets the changed records, oldest first; `after`: the last known revision."""
        self._term = term
        self._on_changes = on_changes
        self._after = after

    def request_changes(self) -> None:
        """Request the changes since the last known revision."""
        if self._term.retired:
            return
        opened_at = self._term.now
        self._term.outbox.add(
            Watch(
                LIVE,
                self._after,
                WATCH_BLOCK_S,
                lambda outcome: self._handle_outcome(opened_at, outcome),
            )
        )

    def _handle_outcome(self, opened_at: Seconds, outcome: WatchOutcome) -> None:
        if self._term.retired:
            return
        if isinstance(outcome, Unanswered):
            self._term.outbox.add(Delay(WATCH_RETRY_S, self.request_changes))
        elif isinstance(outcome, ChangesLost):
            self._read_all()
        else:
            self._term.watch_answered(opened_at)
            changes = [change for change in outcome.changes if change.key.startswith(LIVE)]
            if changes:
                self._on_changes(changes, self._term.now)
            self._after = max(self._after, outcome.revision)
            self.request_changes()

    def _read_all(self) -> None:
        """Read all live records, as the store no longer has all changes since the last revision."""

        def handle_scan_result(listing: ScanResult | Unanswered) -> None:
            if self._term.retired:
                return
            if isinstance(listing, Unanswered):
                self._read_all()
                return
            self._on_changes(listing.items, self._term.now)
            self._after = listing.revision
            self.request_changes()

        self._term.outbox.add(Scan(LIVE, handle_scan_result))
