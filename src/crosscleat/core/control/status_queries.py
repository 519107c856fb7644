"""Answers queries for the status of jobs, on every controller.

Whether a job is live, cancelled or ended is read from the store alone. The numbers of done and
running tasks of live jobs come from the leader.

Queries share reads: each refresh of the copy of the live jobs answers all queries that arrived
before it was sent. Its result is as recent as that of a separate read for each query.
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

MAX_ENDED_JOBS_KEPT = 20_000
"""Maximum number of ended jobs in memory whose outcome has been read; also of those whose outcome
nobody has asked for yet."""

RETRY_AFTER_S = 1
"""Value of the Retry-After header, in seconds, of a response with status 503."""

MIN_REFRESH_INTERVAL_S = 0.05
"""Minimum interval in seconds between refreshes; it limits our share of the store's requests."""


class StatusQuery(msgspec.Struct, frozen=True):
    """A query for a job; `unknown_status` is the HTTP status if no such job was submitted."""

    request: int
    ref: JobRef
    unknown_status: int


def respond(outbox: Outbox, request: int, status: int, body: Record = None) -> None:
    """Respond to a user's request; a response with status 503 says when to try again."""
    outbox.add(Response(request, status, body, RETRY_AFTER_S if status == 503 else None))


class StatusQueries:
    """Answers queries with the status of jobs."""

    def __init__(self, outbox: Outbox, clock: Callable[[], Seconds]) -> None:
        self._outbox = outbox
        self._clock = clock
        self._live_jobs = LiveJobsCopy(outbox, self._handle_job_ended)
        self._outcomes: OrderedDict[JobRef, JobOutcome] = OrderedDict()
        """Outcomes that were read from the store; they never change."""
        self._ended_unread: dict[JobRef, None] = {}
        """Jobs that were live and have ended since, whose outcome has not been read yet."""
        self._progress: dict[str, tuple[int, int]] = {}
        """Numbers of done and running tasks of live jobs, as last sent by the leader."""
        self._waiting: list[StatusQuery] = []
        """Queries that arrived after the last refresh was sent."""
        self._refreshing = False
        """Whether a refresh is in progress or scheduled."""
        self._refreshed_at = LONG_AGO

    def update_progress(self, counts: dict[str, tuple[int, int]]) -> None:
        """Store the numbers of done and running tasks of the jobs for which they have changed."""
        self._progress.update(counts)

    def answer_if_ended(self, request: int, ref: JobRef) -> bool:
        """Answer at once if the job's outcome is in memory; returns whether it is."""
        outcome = self._outcomes.get(ref)
        if outcome is None:
            return False
        respond(self._outbox, request, 200, _ended_body(ref, outcome))
        return True

    def answer(self, request: int, ref: JobRef, unknown_status: int) -> None:
        """Answer with the job's current status.

        The live jobs are checked before the ended ones, because a job only moves from live to
        ended.
        """
        if self.answer_if_ended(request, ref):
            return
        self._waiting.append(StatusQuery(request, ref, unknown_status))
        if self._refreshing:
            return
        self._refreshing = True
        wait_s = self._refreshed_at + MIN_REFRESH_INTERVAL_S - self._clock()
        if wait_s > 0.0:
            self._outbox.add(Delay(wait_s, self._refresh))
        else:
            self._refresh()

    def answer_ended(self, request: int, ref: JobRef, unknown_status: int) -> None:
        """Answer with the outcome of a job that is not live."""

        def handle_outcome_read(result: ReadResult | Unanswered) -> None:
            if isinstance(result, Unanswered):
                respond(self._outbox, request, 503)
            elif result.item is None:
                respond(self._outbox, request, unknown_status)
            else:
                outcome = outcome_of(result.item.value)
                self._remember(ref, outcome)
                respond(self._outbox, request, 200, _ended_body(ref, outcome))

        # Queries for jobs that nobody submitted must not use up the share of the store's requests
        # that queries for existing jobs need.
        for_user = ref not in self._ended_unread
        self._outbox.add(Read(ended_key(ref), handle_outcome_read, for_user=for_user))

    def _refresh(self) -> None:
        """Send a refresh for all waiting queries; later queries wait for the next refresh."""
        queries, self._waiting = self._waiting, []
        self._refreshed_at = self._clock()
        self._live_jobs.refresh(lambda answered: self._handle_refresh(queries, answered))

    def _handle_refresh(self, queries: list[StatusQuery], answered: bool) -> None:
        for query in queries:
            if not answered:
                respond(self._outbox, query.request, 503)
            elif query.ref in self._live_jobs:
                respond(self._outbox, query.request, 200, self._live_body(query.ref))
            else:
                self.answer_ended(query.request, query.ref, query.unknown_status)
        self._refreshing = bool(self._waiting)
        if self._refreshing:
            wait_s = max(0.0, self._refreshed_at + MIN_REFRESH_INTERVAL_S - self._clock())
            self._outbox.add(Delay(wait_s, self._refresh))

    def _live_body(self, ref: JobRef) -> Record:
        done, running = self._progress.get(ref, (0, 0))
        active = "running" if running else "queued"
        status = "aborted" if self._live_jobs.is_cancelled(ref) else active
        return {"ref": ref, "status": status, "done": done, "running": running}

    def _handle_job_ended(self, ref: JobRef) -> None:
        self._progress.pop(ref, None)
        self._ended_unread[ref] = None
        if len(self._ended_unread) > MAX_ENDED_JOBS_KEPT:
            del self._ended_unread[next(iter(self._ended_unread))]

    def _remember(self, ref: JobRef, outcome: JobOutcome) -> None:
        self._outcomes[ref] = outcome
        self._ended_unread.pop(ref, None)
        self._progress.pop(ref, None)
        if len(self._outcomes) > MAX_ENDED_JOBS_KEPT:
            self._outcomes.popitem(last=False)


def _ended_body(ref: JobRef, outcome: JobOutcome) -> Record:
    return {
        "ref": ref,
        "status": "aborted" if outcome.cancelled else "done",
        "done": 0 if outcome.cancelled else outcome.tasks,
        "running": 0,
    }
