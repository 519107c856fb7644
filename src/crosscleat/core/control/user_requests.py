"""Handles users' requests on every controller: submissions, status queries and cancellations.

All are answered from the store only, so every controller gives the same answer, whether it leads or
not. Status queries are passed on to `StatusQueries`.
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
"""Maximum number of retries of a cancellation whose live record has changed in the meantime."""

COMMIT_TIMEOUT_S = 1.5
"""Maximum time in seconds for which a transaction is tried while the user waits."""


class UserRequests:
    """Answers users' requests on one controller."""

    def __init__(
        self,
        deployment: Deployment,
        outbox: Outbox,
        types: dict[TypeName, MachineType],
        clock: Callable[[], Seconds],
        all_support_gangs: Callable[[], bool],
    ) -> None:
        """Handle requests with the machine types in `types`, which the controller keeps up to date.

        `all_support_gangs` returns whether every controller runs a version that places a gang's
        tasks together.
        """
        self._deployment = deployment
        self._outbox = outbox
        self._types = types
        self._all_support_gangs = all_support_gangs
        self._status_queries = StatusQueries(outbox, clock)

    def update_progress(self, counts: dict[str, tuple[int, int]]) -> None:
        """Store the numbers of done and running tasks of the jobs for which they have changed."""
        self._status_queries.update_progress(counts)

    # POST /work

    def submit(self, request: int, spec: JobSpec, wall_time: WallTime) -> None:
        """Accept or refuse a job; a repeat of an accepted submission gets the job's status."""
        if self._status_queries.answer_if_ended(request, spec.ref):
            return
        refusal_status = self._refusal_status(spec)
        if refusal_status is not None:
            self.refuse(request, spec.ref, refusal_status)
            return
        if spec.types is not None:
            # Unknown types are dropped, so that a long list of them can't make the record too large
            # for the store.
            known_types = tuple(name for name in self._types if name in spec.types)
            spec = msgspec.structs.replace(spec, types=known_types)
        self._commit_submission(request, spec, wall_time)

    def _commit_submission(self, request: int, spec: JobSpec, wall_time: WallTime) -> None:
        def handle_outcome(result: CommitOutcome) -> None:
            if isinstance(result, Committed):
                self._respond(request, 201, {"ref": spec.ref, "status": "queued"})
            elif isinstance(result, Conflict):
                self._status_queries.answer(request, spec.ref, unknown_status=503)
            else:
                self._respond(request, 503)

        conditions = (
            (live_key(spec.ref), ABSENT),
            (ended_key(spec.ref), ABSENT),
        )
        write = Put(live_key(spec.ref), live_record(spec, wall_time, cancelled=False))
        self._outbox.add(
            Commit(conditions, (write,), handle_outcome, timeout_s=COMMIT_TIMEOUT_S, for_user=True)
        )

    def refuse(self, request: int, ref: JobRef | None, status: int) -> None:
        """Refuse a submission; if the job was accepted before, answer with its status instead."""
        if ref is None:
            self._respond(request, status)
        else:
            self._status_queries.answer(request, ref, unknown_status=status)

    def _refusal_status(self, spec: JobSpec) -> int | None:
        """The HTTP status with which a new job is refused, or None if it is accepted."""
        limits = self._deployment.teams.get(spec.team)
        if limits is None or not team_limit_admits(spec, limits):
            return 422
        if not self._types:
            return 503
        if not any(machine_type.has_capacity_for(spec) for machine_type in self._types.values()):
            return 422
        if spec.shape is Shape.GANG and not self._all_support_gangs():
            # A controller of the previous version would place the tasks one by one.
            return 503
        return None

    # GET /work/{id}

    def query(self, request: int, ref: JobRef) -> None:
        """Answer with the job's status, or 404 if no such job was submitted."""
        self._status_queries.answer(request, ref, unknown_status=404)

    # POST /work/{id}/abort

    def cancel(self, request: int, ref: JobRef) -> None:
        """Cancel the job, unless it has ended.

        If the job completes at the same time, the first change of its live record decides.
        """
        self._try_cancel(request, ref, retries=0)

    def _try_cancel(self, request: int, ref: JobRef, retries: int) -> None:
        def handle_live_record(result: ReadResult | Unanswered) -> None:
            if isinstance(result, Unanswered):
                self._respond(request, 503)
            elif result.item is None:
                # The copy of the live jobs is not used: the job may have been accepted since the
                # read, and "queued" is not a valid answer to a cancellation.
                self._status_queries.answer_ended(request, ref, unknown_status=404)
            elif is_cancelled(result.item.value):
                self._respond(request, 200, {"ref": ref, "status": "aborted"})
            else:
                self._commit_cancellation(request, ref, result.item, retries)

        if not self._status_queries.answer_if_ended(request, ref):
            self._outbox.add(Read(live_key(ref), handle_live_record, for_user=True))

    def _commit_cancellation(self, request: int, ref: JobRef, item: Item, retries: int) -> None:
        def handle_outcome(result: CommitOutcome) -> None:
            if isinstance(result, Committed):
                self._respond(request, 200, {"ref": ref, "status": "aborted"})
            elif isinstance(result, Conflict) and retries < MAX_CANCEL_RETRIES:
                self._try_cancel(request, ref, retries + 1)
            else:
                self._respond(request, 503)

        record = live_record(spec_of(item.value), submitted_at(item.value), cancelled=True)
        conditions = ((live_key(ref), item.version),)
        write = Put(live_key(ref), record)
        self._outbox.add(
            Commit(conditions, (write,), handle_outcome, timeout_s=COMMIT_TIMEOUT_S, for_user=True)
        )

    def _respond(self, request: int, status: int, body: dict[str, str] | None = None) -> None:
        respond(self._outbox, request, status, body)
