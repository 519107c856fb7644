"""Users' requests on every controller: submissions, questions and cancellations.

All are answered from the store, and only from the store, so that any controller gives the same
answer whether it leads or not. Questions about jobs go to `StatusQueries`.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..model.cloud import MachineType
from ..model.deployment import Deployment, team_limit_admits
from ..model.effects import Outbox
from ..model.ids import ABSENT, JobRef, Seconds, TypeName, WallTime
from ..model.job_spec import JobSpec, Shape
from ..model.store_calls import (
    Commit,
    CommitOutcome,
    Committed,
    Conflict,
    Item,
    Put,
    Read,
    ReadResult,
    Unanswered,
)
from ..state.job_records import is_cancelled, live_record, spec_of, submitted_at
from ..state.keys import ended_key, live_key
from .status_queries import StatusQueries, respond

MAX_CANCEL_RETRIES = 6
"""How often a cancellation is repeated when the live record has changed meanwhile."""

COMMIT_TIMEOUT_S = 1.5
"""For so long a transaction is tried for a user who waits."""


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
        """Answer from `types`, which the controller fills and renews.

        `all_know_gangs` says whether every controller runs a version that places a gang's tasks
        together.
        """
        self._deployment = deployment
        self._outbox = outbox
        self._types = types
        self._all_know_gangs = all_know_gangs
        self._status = StatusQueries(outbox, clock)

    def update_progress(self, counts: dict[str, tuple[int, int]]) -> None:
        """Take in done and running tasks of the jobs for which they have changed."""
        self._status.update_progress(counts)

    # POST /work

    def submit(self, request: int, spec: JobSpec, wall: WallTime) -> None:
        """Accept a job, or say why not; a repeat of an accepted job gets the job's state."""
        if self._status.answer_if_ended(request, spec.ref):
            return
        refusal = self._refusal(spec)
        if refusal is not None:
            self.refuse(request, spec.ref, refusal)
            return
        if spec.types is not None:
            # A long list of types that do not exist must not make the record too large to store.
            known = tuple(name for name in self._types if name in spec.types)
            spec = msgspec.structs.replace(spec, types=known)
        self._commit_submission(request, spec, wall)

    def _commit_submission(self, request: int, spec: JobSpec, wall: WallTime) -> None:
        def decided(result: CommitOutcome) -> None:
            if isinstance(result, Committed):
                self._answer(request, 201, {"ref": spec.ref, "status": "queued"})
            elif isinstance(result, Conflict):
                self._status.answer(request, spec.ref, unknown_status=503)
            else:
                self._answer(request, 503)

        conditions = (
            (live_key(spec.ref), ABSENT),
            (ended_key(spec.ref), ABSENT),
        )
        write = Put(live_key(spec.ref), live_record(spec, wall, cancelled=False))
        self._outbox.add(
            Commit(conditions, (write,), decided, timeout_s=COMMIT_TIMEOUT_S, for_user=True)
        )

    def refuse(self, request: int, ref: JobRef | None, status: int) -> None:
        """Refuse a submission, unless the job is known: then it was accepted before."""
        if ref is None:
            self._answer(request, status)
        else:
            self._status.answer(request, ref, unknown_status=status)

    def _refusal(self, spec: JobSpec) -> int | None:
        """The status with which a new job is refused, or None if it is accepted."""
        limits = self._deployment.teams.get(spec.team)
        if limits is None or not team_limit_admits(spec, limits):
            return 422
        if not self._types:
            return 503
        if not any(machine_type.has_capacity_for(spec) for machine_type in self._types.values()):
            return 422
        if spec.shape is Shape.GANG and not self._all_know_gangs():
            # A controller of the version before would place its tasks one by one.
            return 503
        return None

    # GET /work/{id}

    def query(self, request: int, ref: JobRef) -> None:
        """Answer with the job's state, or 404 if nobody submitted it."""
        self._status.answer(request, ref, unknown_status=404)

    # POST /work/{id}/abort

    def cancel(self, request: int, ref: JobRef) -> None:
        """Cancel the job, unless it has ended.

        Cancellation against completion is decided by who changes the live record first.
        """
        self._try_cancel(request, ref, retries=0)

    def _try_cancel(self, request: int, ref: JobRef, retries: int) -> None:
        def live_read(found: ReadResult | Unanswered) -> None:
            if isinstance(found, Unanswered):
                self._answer(request, 503)
            elif found.item is None:
                # Not the copy of the live jobs: the job may be accepted just now, and "queued"
                # is no answer here.
                self._status.answer_ended(request, ref, unknown_status=404)
            elif is_cancelled(found.item.value):
                self._answer(request, 200, {"ref": ref, "status": "aborted"})
            else:
                self._commit_cancellation(request, ref, found.item, retries)

        if not self._status.answer_if_ended(request, ref):
            self._outbox.add(Read(live_key(ref), live_read, for_user=True))

    def _commit_cancellation(self, request: int, ref: JobRef, item: Item, retries: int) -> None:
        def decided(result: CommitOutcome) -> None:
            if isinstance(result, Committed):
                self._answer(request, 200, {"ref": ref, "status": "aborted"})
            elif isinstance(result, Conflict) and retries < MAX_CANCEL_RETRIES:
                self._try_cancel(request, ref, retries + 1)
            else:
                self._answer(request, 503)

        record = live_record(spec_of(item.value), submitted_at(item.value), cancelled=True)
        conditions = ((live_key(ref), item.version),)
        write = Put(live_key(ref), record)
        self._outbox.add(
            Commit(conditions, (write,), decided, timeout_s=COMMIT_TIMEOUT_S, for_user=True)
        )

    def _answer(self, request: int, status: int, body: dict[str, str] | None = None) -> None:
        respond(self._outbox, request, status, body)
