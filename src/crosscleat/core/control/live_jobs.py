"""A copy of the live jobs on every controller, from which users' questions are answered.

It is brought up to date by one request for the changes since its revision, and read completely only
at first or if the store no longer has those changes.
"""

from __future__ import annotations

from collections.abc import Callable

from ..model.effects import Outbox
from ..model.ids import JobRef, Version
from ..model.store_calls import (
    ChangesLost,
    Item,
    Scan,
    ScanResult,
    Unanswered,
    Watch,
    WatchOutcome,
)
from ..state.job_records import is_cancelled
from ..state.keys import LIVE


class LiveJobsCopy:
    """Which jobs are live, and which of them are cancelled, as of the last refresh."""

    def __init__(self, outbox: Outbox, ended: Callable[[JobRef], None]) -> None:
        """`ended` is called for each job that a refresh finds to be no longer live."""
        self._outbox = outbox
        self._ended = ended
        self._cancelled: dict[JobRef, bool] = {}
        """All live jobs, and whether they are cancelled."""
        self._revision: Version | None = None
        """The store's revision that the copy has reached; None: it must be read completely."""

    def __contains__(self, ref: JobRef) -> bool:
        return ref in self._cancelled

    def is_cancelled(self, ref: JobRef) -> bool:
        """Whether this live job is cancelled; raises `KeyError` for a job that is not live."""
        return self._cancelled[ref]

    def refresh(self, refreshed: Callable[[bool], None]) -> None:
        """Take in all changes until now, then call `refreshed`: whether the store has answered.

        At most one refresh may be waiting for its answer.
        """
        after = self._revision
        if after is None:
            self._read_all(refreshed)
            return

        def changes_received(outcome: WatchOutcome) -> None:
            if isinstance(outcome, Unanswered):
                refreshed(False)
                return
            if isinstance(outcome, ChangesLost):
                # This copy is too old to go on from.
                self._revision = None
                self._read_all(refreshed)
                return
            self._revision = max(after, outcome.revision)
            self._apply(outcome.changes)
            refreshed(True)

        self._outbox.add(Watch(LIVE, after, 0.0, changes_received, for_user=True))

    def _read_all(self, refreshed: Callable[[bool], None]) -> None:
        def scanned(listing: ScanResult | Unanswered) -> None:
            if isinstance(listing, Unanswered):
                refreshed(False)
                return
            self._cancelled.clear()
            self._revision = listing.revision
            self._apply(listing.items)
            refreshed(True)

        self._outbox.add(Scan(LIVE, scanned, for_user=True))

    def _apply(self, items: list[Item]) -> None:
        for item in items:
            if not item.key.startswith(LIVE):
                continue
            ref = JobRef(item.key.removeprefix(LIVE))
            if item.version:
                self._cancelled[ref] = is_cancelled(item.value)
            else:
                self._cancelled.pop(ref, None)
                self._ended(ref)
