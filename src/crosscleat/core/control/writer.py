"""Writes the leader's records to the store, in one transaction at a time.

With one transaction at a time, the leader knows the versions that the next one has to compare. A
transaction without an answer may or may not have been carried out: it is repeated until it is
answered, before anything else is written. A conflict that an earlier attempt of the same
transaction may have caused ends the term.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Protocol

from ..election.term import LeadingTerm
from ..model.ids import JobRef, Seconds, Token, Version
from ..model.store_calls import (
    Commit,
    CommitOutcome,
    Committed,
    Conflict,
    Item,
    Read,
    ReadResult,
    Unanswered,
)
from ..state.batch import Batch
from ..state.cluster import ClusterState
from ..state.decommission_records import DecommissionRecords
from ..state.jobs import Job
from ..state.keys import live_key
from ..state.placement_records import PlacementRecord, PlacementRecords
from .pending_work import PendingWork

DEFERRED_WRITE_INTERVAL_S = 0.8
"""Interval in seconds of writes that are not urgent: they only save a later leader some work."""

MAX_DEFERRED_WRITES = 4
"""Maximum number of non-urgent writes in one transaction."""

MAX_END_WRITES = 6
"""Maximum number of writes in one transaction that record the ends of jobs."""

MAX_DECOMMISSIONS = 100
"""Maximum number of machines whose decommission is recorded in one transaction."""

MIN_ROTATION_INTERVAL_S = 3.0
"""Minimum time in seconds between two rotations of the fencing token."""


class RecordListener(Protocol):
    """Is notified of the outcomes of transactions (`write_outcomes.WriteOutcomes`)."""

    def placements_recorded(self, job: Job, numbers: list[int]) -> None:
        """The placements of the tasks with these numbers are recorded: starts may be sent."""

    def placements_voided(self, job: Job) -> None:
        """The placements of this job that are not recorded yet are void: they won't be written."""

    def job_reread(self, live: Item) -> None:
        """A job's live record was read again after a conflict."""

    def end_recorded(self, job: Job) -> None:
        """The job's end is recorded."""


class Writer:
    """Writes the records of jobs, placements and decommissions."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        placement_records: PlacementRecords,
        decommission_records: DecommissionRecords,
        pending: PendingWork,
        listener: RecordListener,
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._placement_records = placement_records
        self._decommission_records = decommission_records
        self._pending = pending
        self._listener = listener
        self._obsolete: deque[tuple[str, Version]] = deque()
        """Keys and versions of records that are no longer needed, to be removed."""
        self._deferred_written_at = term.now
        self._rotated_at = term.now
        self.writing = False
        """Whether a transaction is in flight."""

    def remove(self, obsolete: Iterable[tuple[str, Version]]) -> None:
        """Queue these records, by key and version, for removal; a few are removed at a time."""
        self._obsolete.extend(obsolete)

    def flush(self, now: Seconds) -> None:
        """Send the next transaction, if none is in flight; a token rotation takes precedence."""
        token = self._term.election.token
        if self.writing or self._term.retired or token is None:
            return
        if (
            self._pending.token_rotation_wanted
            and now - self._rotated_at > MIN_ROTATION_INTERVAL_S
            and self._rotate(now)
        ):
            self._pending.token_rotation_wanted = False
            return
        deferred_due = now - self._deferred_written_at >= DEFERRED_WRITE_INTERVAL_S
        if not deferred_due and not self._pending.has_unwritten_changes:
            return
        self._pending.has_unwritten_changes = False
        batch = self._urgent_batch(token, now)
        if deferred_due:
            self._deferred_written_at = now
            self._add_deferred(batch)
        if batch.writes:
            self._write(batch)

    def _urgent_batch(self, token: Token, now: Seconds) -> Batch:
        """Collect placements that starts wait for, decommissions and ends of jobs, in this order.

        Ends of jobs are urgent because users poll for them. The store allows few writes a second,
        so what does not fit into this transaction waits for the next one.
        """
        batch = Batch(token, self._term.deployment.txn_ops)
        for record in self._placement_records.awaited_by_starts(now):
            batch.add_record(record)
        self._add_decommissions(batch)
        batch.limit_writes(MAX_END_WRITES)
        for job in self._pending.ending_jobs.values():
            if not job.needs_reread and batch.has_capacity(2, 1):
                batch.end_job(job)
        return batch

    def _add_deferred(self, batch: Batch) -> None:
        """Add a few writes that are not urgent, as they only save a later leader some work."""
        batch.limit_writes(MAX_DEFERRED_WRITES)
        for record in self._placement_records.deferrable():
            self._add_deferred_record(batch, record)
        while self._obsolete and batch.has_capacity(1, 1):
            batch.remove(*self._obsolete.popleft())

    def _add_deferred_record(self, batch: Batch, record: PlacementRecord) -> None:
        if record.entries:
            batch.add_record(record)
        elif not record.version:
            self._placement_records.remove_record(record)
        elif batch.has_capacity(1, 1):
            record.removal_pending = True
            batch.removed_records.append(record)
            batch.remove(record.key, record.version)

    def _add_decommissions(self, batch: Batch) -> None:
        machines = self._cluster.machines.values()
        unrecorded = [
            machine
            for machine in machines
            if machine.decommissioning and not machine.decommission_recorded
        ]
        if unrecorded and batch.has_capacity(1, 1):
            batch.decommission_record, ids_left = self._decommission_records.record_with_capacity()
            batch.decommissioned = unrecorded[: min(ids_left, MAX_DECOMMISSIONS)]
            batch.put(
                batch.decommission_record.put_with(machine.id for machine in batch.decommissioned),
                batch.decommission_record.version,
            )

    def _write(self, batch: Batch) -> None:
        self.writing = True
        self._term.outbox.add(
            Commit(
                tuple(batch.conditions.items()),
                tuple(batch.writes),
                lambda result: self._handle_outcome(batch, result),
            )
        )

    def _handle_outcome(self, batch: Batch, result: CommitOutcome) -> None:
        if self._term.retired:
            return
        if isinstance(result, Unanswered):
            # The transaction may have been carried out, or may be later. Nothing else is written
            # until that is known.
            self._write(batch)
            return
        self.writing = False
        self._pending.has_unwritten_changes = True
        if isinstance(result, Committed):
            self._handle_committed(batch, result.revision)
        elif isinstance(result, Conflict) and self._only_live_records_changed(batch, result):
            self._void_cancelled(batch, result.failed)
        else:
            self._term.election.resign("a transaction failed with an unexpected version conflict")

    def _only_live_records_changed(self, batch: Batch, conflict: Conflict) -> bool:
        """Whether only live records have changed: users change them by cancelling jobs."""
        live_keys = {live_key(job.ref) for job in batch.compared_jobs}
        return not conflict.repeated and bool(conflict.failed) and conflict.failed <= live_keys

    def _handle_committed(self, batch: Batch, revision: Version) -> None:
        """Store the new versions, and notify the listener of what is recorded now."""
        for machine in batch.decommissioned:
            machine.decommission_recorded = True
        if batch.decommission_record is not None:
            batch.decommission_record.version = revision
            batch.decommission_record.machine_ids.update(
                (machine.id, None) for machine in batch.decommissioned
            )
        for record in batch.placement_records:
            record.version = revision
        for record in batch.removed_records:
            self._placement_records.remove_record(record)
        for job, chunk, recorded in batch.chunks:
            added = sorted(recorded - chunk.recorded)
            chunk.recorded = recorded
            self._listener.placements_recorded(
                job, [placement.number for placement in added if job.is_current(*placement)]
            )
        self._placement_records.mark_rewritten((job, chunk) for job, chunk, _ in batch.chunks)
        for job in batch.ended_jobs:
            del self._pending.ending_jobs[job.ref]
            self._placement_records.remove_job(job)
            self._listener.end_recorded(job)
        self.remove(self._placement_records.take_rewritten())

    def _void_cancelled(self, batch: Batch, failed: frozenset[str]) -> None:
        """Handle a batch that was not written because users have cancelled some of its jobs.

        Starts are sent only once the placements are recorded, so the new placements of the
        cancelled jobs are void. The other records of the batch are written again.
        """
        for record in batch.removed_records:
            record.removal_pending = False
        for job in batch.compared_jobs:
            if live_key(job.ref) not in failed:
                continue
            self._listener.placements_voided(job)
            if batch.conditions[live_key(job.ref)] == job.version:
                job.needs_reread = True
                self._reread(job)
        for record in batch.placement_records:
            priorities = [
                job.spec.priority
                for job, chunk in record.entries.values()
                if chunk.has_unrecorded()
            ]
            record.mark_changed(max(priorities, default=None), self._term.now)

    def _reread(self, job: Job) -> None:
        def handle_live_record(result: ReadResult | Unanswered) -> None:
            if isinstance(result, ReadResult) and result.item is not None:
                self._listener.job_reread(result.item)
            elif not self._term.retired and self._jobs.get(job.ref) is job and job.needs_reread:
                self._reread(job)

        self._term.outbox.add(Read(live_key(job.ref), handle_live_record))

    def _rotate(self, now: Seconds) -> bool:
        """Acquire a higher token, so that workers refuse all direct commands sent before.

        Returns whether the transaction was sent.
        """

        def handle_decided() -> None:
            self.writing = False

        if not self._term.election.rotate_token(handle_decided):
            return False
        self.writing = True
        self._rotated_at = now
        return True
