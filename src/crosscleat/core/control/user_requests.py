"""Users' requests, as any controller answers them: from the store, and only from the store.

Questions share reads. A copy of the live jobs is kept, and brought up to date by one request for
the changes since, sent after the question came; what it then says is as new as a read would be.
All questions that came before that request was sent are answered by it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..model.cloud import MachineType
from ..model.deployment import Deployment, team_can_hold
from ..model.effects import Delay, Outbox, Response
from ..model.ids import ABSENT, LONG_AGO, JobRef, Seconds, TypeName, Version, WallTime
from ..model.job_spec import JobSpec, Shape
from ..model.store_calls import (
    Commit,
    Committed,
    Conflict,
    Found,
    Item,
    Listing,
    NoSuchLease,
    Put,
    Read,
    Record,
    Scan,
    Watch,
    WatchResult,
)
from ..state.job_records import live_record, spec_of
from ..state.keys import LIVE, ended_key, live_key

KNOWN_ENDED = 20_000

CANCEL_TRIES = 6

RETRY_S = 1

LOOK_S = 0.05
"""Least time between two looks at the changes: it bounds our part of the store's requests."""


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Somebody wants to know of a job; `unknown` is the answer if nobody submitted it."""

    request: int
    ref: JobRef
    unknown: int


class UserRequests:
    """Answers users' requests on one controller."""

    def __init__(
        self,
        deployment: Deployment,
        outbox: Outbox,
        types: dict[TypeName, MachineType],
        clock: Callable[[], Seconds],
        all_know_gangs: Callable[[], bool],
    ) -> None:
        self._all_know_gangs = all_know_gangs
        self._deployment = deployment
        self._outbox = outbox
        self._types = types
        self._clock = clock
        self._ended: OrderedDict[JobRef, Record] = OrderedDict()
        self._live: dict[JobRef, bool] = {}
        """The copy: live jobs, and whether they are cancelled."""
        self._over: dict[JobRef, None] = {}
        """Jobs that were live and have ended since, of which nobody has asked yet."""
        self._copied: Version | None = None
        """The revision that the copy has reached; None: it has to be read anew."""
        self._queries: list[StatusQuery] = []
        self._looking = False
        self._looked_at = LONG_AGO
        self.progress: dict[str, tuple[int, int]] = {}

    # POST /work

    def submit(self, request: int, spec: JobSpec, wall: WallTime) -> None:
        """Accept a job, or say why not."""
        if spec.ref in self._ended:
            self._answer_ended(request, spec.ref)
            return
        refusal = self._refusal(spec)
        if refusal is None and spec.shape is Shape.GANG and not self._all_know_gangs():
            # A controller of the version before would place its tasks one by one.
            refusal = 503
        if refusal is not None:
            self.refuse(request, spec.ref, refusal)
            return
        if spec.types is not None:
            # A long list of types that do not exist must not make the record too large to store.
            known = tuple(name for name in self._types if name in spec.types)
            spec = msgspec.structs.replace(spec, types=known)
        conditions = (
            (live_key(spec.ref), ABSENT),
            (ended_key(spec.ref), ABSENT),
        )
        write = Put(live_key(spec.ref), live_record(spec, wall, cancelled=False))

        def admitted(result: Committed | Conflict | NoSuchLease | None) -> None:
            if isinstance(result, Committed):
                self._answer(request, 201, {"ref": spec.ref, "status": "queued"})
            elif isinstance(result, Conflict):
                self._look(request, spec.ref, unknown=503)
            else:
                self._answer(request, 503)

        self._outbox.add(Commit(conditions, (write,), admitted, patience_s=1.5, for_user=True))

    def refuse(self, request: int, ref: JobRef | None, status: int) -> None:
        """Refuse a submission, unless the job is known: then it was accepted before."""
        if ref is None:
            self._answer(request, status)
        else:
            self._look(request, ref, unknown=status)

    def _refusal(self, spec: JobSpec) -> int | None:
        limits = self._deployment.teams.get(spec.team)
        if limits is None or not team_can_hold(spec, limits):
            return 422
        if not self._types:
            return 503
        if not any(kind.has_capacity_for(spec) for kind in self._types.values()):
            return 422
        return None

    # GET /work/{id}

    def query(self, request: int, ref: JobRef) -> None:
        """Answer with the job's state."""
        self._look(request, ref, unknown=404)

    def _look(self, request: int, ref: JobRef, unknown: int) -> None:
        """Answer with the job's present state. Live first: a job moves from live to ended only."""
        if ref in self._ended:
            self._answer_ended(request, ref)
            return
        self._queries.append(StatusQuery(request, ref, unknown))
        if not self._looking:
            self._looking = True
            wait_s = self._looked_at + LOOK_S - self._clock()
            if wait_s > 0.0:
                self._outbox.add(Delay(wait_s, self._look_up))
            else:
                self._look_up()

    def _look_up(self) -> None:
        """One request for all who have asked so far; who asks later waits for the next."""
        asked, self._queries = self._queries, []
        self._looked_at = self._clock()

        def scanned(listing: Listing | None) -> None:
            if listing is not None:
                self._live.clear()
                self._copied = listing.revision
                self._copy(listing.items)
            self._reply(asked, found=listing is not None)

        def heard(watch_result: WatchResult | None) -> None:
            if watch_result is not None and watch_result.lost:
                # Too much has changed since: that copy is of no more use.
                self._copied = None
                self._outbox.add(Scan(LIVE, scanned, for_user=True))
                return
            if watch_result is not None:
                self._copied = max(after, watch_result.revision)
                self._copy(watch_result.changes)
            self._reply(asked, found=watch_result is not None)

        if self._copied is None:
            self._outbox.add(Scan(LIVE, scanned, for_user=True))
        else:
            after = self._copied
            self._outbox.add(Watch(LIVE, after, 0.0, heard, for_user=True))

    def _copy(self, items: list[Item]) -> None:
        for item in items:
            if not item.key.startswith(LIVE):
                continue
            ref = JobRef(item.key.removeprefix(LIVE))
            if item.version:
                self._live[ref] = item.value["aborted"]
            else:
                self._live.pop(ref, None)
                self.progress.pop(ref, None)
                self._over[ref] = None
                if len(self._over) > KNOWN_ENDED:
                    del self._over[next(iter(self._over))]

    def _reply(self, asked: list[StatusQuery], found: bool) -> None:
        for question in asked:
            cancelled = self._live.get(question.ref)
            if not found:
                self._answer(question.request, 503)
            elif cancelled is None:
                self._look_ended(question.request, question.ref, question.unknown)
            else:
                self._answer(question.request, 200, self._live_body(question.ref, cancelled))
        self._looking = bool(self._queries)
        if self._looking:
            wait_s = max(0.0, self._looked_at + LOOK_S - self._clock())
            self._outbox.add(Delay(wait_s, self._look_up))

    def _look_ended(self, request: int, ref: JobRef, unknown: int) -> None:
        def ended(found: Found | None) -> None:
            if found is None:
                self._answer(request, 503)
            elif found.item is None:
                self._answer(request, unknown)
            else:
                self._remember(ref, found.item.value)
                self._answer_ended(request, ref)

        # Questions about jobs that nobody submitted must not use up what those about jobs need.
        self._outbox.add(Read(ended_key(ref), ended, for_user=ref not in self._over))

    def _live_body(self, ref: JobRef, cancelled: bool) -> Record:
        done, running = self.progress.get(ref, (0, 0))
        active = "running" if running else "queued"
        status = "aborted" if cancelled else active
        return {"ref": ref, "status": status, "done": done, "running": running}

    def _remember(self, ref: JobRef, record: Record) -> None:
        self._ended[ref] = record
        self._over.pop(ref, None)
        self.progress.pop(ref, None)
        if len(self._ended) > KNOWN_ENDED:
            self._ended.popitem(last=False)

    def _answer_ended(self, request: int, ref: JobRef) -> None:
        record = self._ended[ref]
        cancelled = record["aborted"]
        body = {
            "ref": ref,
            "status": "aborted" if cancelled else "done",
            "done": 0 if cancelled else record["tasks"],
            "running": 0,
        }
        self._answer(request, 200, body)

    # POST /work/{id}/abort

    def cancel(self, request: int, ref: JobRef, tries: int = 0) -> None:
        """Cancellation against completion is decided by who changes the live record first."""

        def live(found: Found | None) -> None:
            if found is None:
                self._answer(request, 503)
            elif found.item is None:
                # Not `_look`: the job may be accepted just now, and "queued" is no answer here.
                self._look_ended(request, ref, unknown=404)
            elif found.item.value["aborted"]:
                self._answer(request, 200, {"ref": ref, "status": "aborted"})
            else:
                self._commit_cancellation(request, ref, found.item, tries)

        if ref in self._ended:
            self._answer_ended(request, ref)
        else:
            self._outbox.add(Read(live_key(ref), live, for_user=True))

    def _commit_cancellation(self, request: int, ref: JobRef, item: Item, tries: int) -> None:
        record = live_record(spec_of(item.value), WallTime(item.value["at"]), cancelled=True)

        def decided(result: Committed | Conflict | NoSuchLease | None) -> None:
            if isinstance(result, Committed):
                self._answer(request, 200, {"ref": ref, "status": "aborted"})
            elif isinstance(result, Conflict) and tries < CANCEL_TRIES:
                self.cancel(request, ref, tries + 1)
            else:
                self._answer(request, 503)

        self._outbox.add(
            Commit(
                ((live_key(ref), item.version),),
                (Put(live_key(ref), record),),
                decided,
                patience_s=1.5,
                for_user=True,
            )
        )

    def _answer(self, request: int, status: int, body: Record = None) -> None:
        retry = RETRY_S if status == 503 else None
        self._outbox.add(Response(request, status, body, retry))
