"""Users' requests, as any controller answers them: from the store, and only from the store."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from .effects import (
    Answer,
    Commit,
    Committed,
    Conflict,
    Found,
    Item,
    NoSuchLease,
    Outbox,
    Put,
    Read,
    Record,
)
from .ids import ABSENT, JobRef, TypeName, WallTime
from .jobs import ended_key, live_key, live_record, spec_of
from .model import Deployment, JobSpec, MachineType, team_can_hold

KNOWN_ENDED = 20_000
CANCEL_TRIES = 6
RETRY_S = 1


class Front:
    def __init__(
        self, deployment: Deployment, out: Outbox, types: dict[TypeName, MachineType]
    ) -> None:
        self._deployment = deployment
        self._out = out
        self._types = types
        self._ended: OrderedDict[JobRef, Record] = OrderedDict()
        self.progress: dict[str, tuple[int, int]] = {}

    # POST /work

    def submit(self, request: int, spec: JobSpec, wall: WallTime) -> None:
        if spec.ref in self._ended:
            self._answer_ended(request, spec.ref)
            return
        refusal = self._refusal(spec)
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
        write = Put(live_key(spec.ref), live_record(spec, wall, aborted=False))

        def admitted(result: Committed | Conflict | NoSuchLease | None) -> None:
            if isinstance(result, Committed):
                self._answer(request, 201, {"ref": spec.ref, "status": "queued"})
            elif isinstance(result, Conflict):
                self._look(request, spec.ref, unknown=503)
            else:
                self._answer(request, 503)

        self._out.add(Commit(conditions, (write,), admitted, patience_s=1.5, for_user=True))

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
        if not any(kind.holds(spec) for kind in self._types.values()):
            return 422
        return None

    # GET /work/{id}

    def poll(self, request: int, ref: JobRef) -> None:
        self._look(request, ref, unknown=404)

    def _look(self, request: int, ref: JobRef, unknown: int) -> None:
        """Answer with the job's present state. Live first: a job moves from live to ended only."""

        def live(found: Found | None) -> None:
            if found is None:
                self._answer(request, 503)
            elif found.item is not None:
                self._answer(request, 200, self._live_body(found.item))
            else:
                self._look_ended(request, ref, unknown)

        if ref in self._ended:
            self._answer_ended(request, ref)
        else:
            self._out.add(Read(live_key(ref), live, for_user=True))

    def _look_ended(self, request: int, ref: JobRef, unknown: int) -> None:
        def ended(found: Found | None) -> None:
            if found is None:
                self._answer(request, 503)
            elif found.item is None:
                self._answer(request, unknown)
            else:
                self._remember(ref, found.item.value)
                self._answer_ended(request, ref)

        self._out.add(Read(ended_key(ref), ended, for_user=True))

    def _live_body(self, item: Item) -> Record:
        ref = item.value["spec"][0]
        done, running = self.progress.get(ref, (0, 0))
        active = "running" if running else "queued"
        status = "aborted" if item.value["aborted"] else active
        return {"ref": ref, "status": status, "done": done, "running": running}

    def _remember(self, ref: JobRef, record: Record) -> None:
        self._ended[ref] = record
        self.progress.pop(ref, None)
        if len(self._ended) > KNOWN_ENDED:
            self._ended.popitem(last=False)

    def _answer_ended(self, request: int, ref: JobRef) -> None:
        record = self._ended[ref]
        aborted = record["aborted"]
        body = {
            "ref": ref,
            "status": "aborted" if aborted else "done",
            "done": 0 if aborted else record["tasks"],
            "running": 0,
        }
        self._answer(request, 200, body)

    # POST /work/{id}/abort

    def abort(self, request: int, ref: JobRef, tries: int = 0) -> None:
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
                self._cancel(request, ref, found.item, tries)

        if ref in self._ended:
            self._answer_ended(request, ref)
        else:
            self._out.add(Read(live_key(ref), live, for_user=True))

    def _cancel(self, request: int, ref: JobRef, item: Item, tries: int) -> None:
        record = live_record(spec_of(item.value), WallTime(item.value["at"]), aborted=True)

        def decided(result: Committed | Conflict | NoSuchLease | None) -> None:
            if isinstance(result, Committed):
                self._answer(request, 200, {"ref": ref, "status": "aborted"})
            elif isinstance(result, Conflict) and tries < CANCEL_TRIES:
                self.abort(request, ref, tries + 1)
            else:
                self._answer(request, 503)

        self._out.add(
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
        self._out.add(Answer(request, status, body, retry))
