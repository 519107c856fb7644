"""A copy of the live jobs on every controller, from which users' status queries are answered.

A refresh requests the changes since the copy's revision. All live jobs are read only for the first
refresh, or if the store no longer has those changes.
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

    def __init__(self, outbox: Outbox, on_ended: Callable[[JobRef], None]) -> None:
        """`on_ended` is called for each job that a refresh finds to be no longer live."""
        self._outbox = outbox
        self._on_ended = on_ended
        self._cancelled: dict[JobRef, bool] = {}
        """All live jobs, and whether each is cancelled."""
        self._revision: Version | None = None
        """The store's revision that the copy reflects; None: all live jobs must be read."""

    def __contains__(self, ref: JobRef) -> bool:
        return ref in self._cancelled

    def is_cancelled(self, ref: JobRef) -> bool:
        """Whether this live job is cancelled; raises `KeyError` for a job that is not live."""
        return self._cancelled[ref]

    def refresh(self, on_refreshed: Callable[[bool], None]) -> None:
        """Apply all changes until now, then call `on_refreshed` with whether the store answered.

        At most one refresh may be in progress.
        """
        after = self._revision
        if after is None:
            self._read_all(on_refreshed)
            return

        def handle_outcome(outcome: WatchOutcome) -> None:
            if isinstance(outcome, Unanswered):
                on_refreshed(False)
                return
            if isinstance(outcome, ChangesLost):
                # The copy is too old to be updated by changes alone.
                self._revision = None
                self._read_all(on_refreshed)
                return
            self._revision = max(after, outcome.revision)
            self._apply(outcome.changes)
            on_refreshed(True)

        self._outbox.add(Watch(LIVE, after, 0.0, handle_outcome, for_user=True))

    def _read_all(self, on_refreshed: Callable[[bool], None]) -> None:
        def handle_scan_result(listing: ScanResult | Unanswered) -> None:
            if isinstance(listing, Unanswered):
                on_refreshed(False)
                return
            self._cancelled.clear()
            self._revision = listing.revision
            self._apply(listing.items)
            on_refreshed(True)

        self._outbox.add(Scan(LIVE, handle_scan_result, for_user=True))

    def _apply(self, items: list[Item]) -> None:
        for item in items:
            if not item.key.startswith(LIVE):
                continue
            ref = JobRef(item.key.removeprefix(LIVE))
            if item.version:
                self._cancelled[ref] = is_cancelled(item.value)
            else:
                self._cancelled.pop(ref, None)
                self._on_ended(ref)
