"""Answers to questions about jobs, on every controller, from the store alone.

Questions share reads: all that came before a refresh of the copy of the live jobs was sent are
answered by it, and its answer is as new as a read of their own would be.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from ..model.effects import Delay, Outbox, Response
from ..model.ids import LONG_AGO, JobRef, Seconds
from ..model.store_calls import Read, ReadResult, Record, Unanswered
from ..state.job_records import JobOutcome, outcome_of
from ..state.keys import ended_key
from .live_jobs import LiveJobsCopy

MAX_KNOWN_ENDED = 20_000
"""Ended jobs that are remembered, with their outcome or, if nobody has asked yet, without."""

RETRY_AFTER_S = 1
"""What a user is told to wait after an answer of 503."""

REFRESH_S = 0.05
"""Least time between two refreshes: it bounds our part of the store's requests."""


class StatusQuery(msgspec.Struct, frozen=True):
    """A question about a job; `unknown_status` is the answer if nobody submitted it."""

    request: int
    ref: JobRef
    unknown_status: int


def respond(outbox: Outbox, request: int, status: int, body: Record = None) -> None:
    """Answer a user's request; with 503 the user is told when to try again."""
    outbox.add(Response(request, status, body, RETRY_AFTER_S if status == 503 else None))


class StatusQueries:
    """Answers with jobs' states."""

    def __init__(self, outbox: Outbox, clock: Callable[[], Seconds]) -> None:
        self._outbox = outbox
        self._clock = clock
        self._live = LiveJobsCopy(outbox, self._job_ended)
        self._outcomes: OrderedDict[JobRef, JobOutcome] = OrderedDict()
        """Outcomes that were read: they never change."""
        self._ended_unread: dict[JobRef, None] = {}
        """Jobs that were live and have ended since, whose outcome was not read yet."""
        self._progress: dict[str, tuple[int, int]] = {}
        """Done and running tasks of live jobs, as the leader last sent them."""
        self._waiting: list[StatusQuery] = []
        """Questions that came after the last refresh was sent."""
        self._refreshing = False
        """A refresh has been sent, or waits for its time."""
        self._refreshed_at = LONG_AGO

    def update_progress(self, counts: dict[str, tuple[int, int]]) -> None:
        """Take in done and running tasks of the jobs for which they have changed."""
        self._progress.update(counts)

    def answer_if_ended(self, request: int, ref: JobRef) -> bool:
        """Answer at once if the job is known to have ended; returns whether it is."""
        outcome = self._outcomes.get(ref)
        if outcome is None:
            return False
        respond(self._outbox, request, 200, _ended_body(ref, outcome))
        return True

    def answer(self, request: int, ref: JobRef, unknown_status: int) -> None:
        """Answer with the job's present state.

        The live jobs are looked at first: a job moves from live to ended only.
        """
        if self.answer_if_ended(request, ref):
            return
        self._waiting.append(StatusQuery(request, ref, unknown_status))
        if self._refreshing:
            return
        self._refreshing = True
        wait_s = self._refreshed_at + REFRESH_S - self._clock()
        if wait_s > 0.0:
            self._outbox.add(Delay(wait_s, self._refresh))
        else:
            self._refresh()

    def answer_ended(self, request: int, ref: JobRef, unknown_status: int) -> None:
        """Answer with the outcome of a job that is not live."""

        def outcome_read(found: ReadResult | Unanswered) -> None:
            if isinstance(found, Unanswered):
                respond(self._outbox, request, 503)
            elif found.item is None:
                respond(self._outbox, request, unknown_status)
            else:
                outcome = outcome_of(found.item.value)
                self._remember(ref, outcome)
                respond(self._outbox, request, 200, _ended_body(ref, outcome))

        # Questions about jobs that nobody submitted must not use up what those about jobs need.
        for_user = ref not in self._ended_unread
        self._outbox.add(Read(ended_key(ref), outcome_read, for_user=for_user))

    def _refresh(self) -> None:
        """One refresh for all who have asked so far; who asks later waits for the next."""
        queries, self._waiting = self._waiting, []
        self._refreshed_at = self._clock()
        self._live.refresh(lambda answered: self._refreshed(queries, answered))

    def _refreshed(self, queries: list[StatusQuery], answered: bool) -> None:
        for query in queries:
            if not answered:
                respond(self._outbox, query.request, 503)
            elif query.ref in self._live:
                respond(self._outbox, query.request, 200, self._live_body(query.ref))
            else:
                self.answer_ended(query.request, query.ref, query.unknown_status)
        self._refreshing = bool(self._waiting)
        if self._refreshing:
            wait_s = max(0.0, self._refreshed_at + REFRESH_S - self._clock())
            self._outbox.add(Delay(wait_s, self._refresh))

    def _live_body(self, ref: JobRef) -> Record:
        done, running = self._progress.get(ref, (0, 0))
        active = "running" if running else "queued"
        status = "aborted" if self._live.is_cancelled(ref) else active
        return {"ref": ref, "status": status, "done": done, "running": running}

    def _job_ended(self, ref: JobRef) -> None:
        self._progress.pop(ref, None)
        self._ended_unread[ref] = None
        if len(self._ended_unread) > MAX_KNOWN_ENDED:
            del self._ended_unread[next(iter(self._ended_unread))]

    def _remember(self, ref: JobRef, outcome: JobOutcome) -> None:
        self._outcomes[ref] = outcome
        self._ended_unread.pop(ref, None)
        self._progress.pop(ref, None)
        if len(self._outcomes) > MAX_KNOWN_ENDED:
            self._outcomes.popitem(last=False)


def _ended_body(ref: JobRef, outcome: JobOutcome) -> Record:
    return {
        "ref": ref,
        "status": "aborted" if outcome.cancelled else "done",
        "done": 0 if outcome.cancelled else outcome.tasks,
        "running": 0,
    }
