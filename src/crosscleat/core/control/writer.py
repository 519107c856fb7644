"""The leader's transactions: what is written when, and what follows from each answer.

Writes go out one transaction at a time, so that the versions they compare are known. One without
an answer may or may not have been carried out: it is repeated until it is answered, before anything
else is written, and a conflict that could stem from our own earlier try ends the term.
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

DEFERRED_WRITES_S = 0.8
"""How often records are written that only spare a later leader some work."""

MAX_DEFERRED_WRITES = 4
"""Of those in one transaction."""

MAX_END_WRITES = 6
"""Writes that record the ends of jobs, in one transaction."""

MAX_DECOMMISSIONS = 100
"""Machines whose decommission one transaction records."""

MIN_ROTATION_S = 3.0
"""Least time between two rotations of the fencing token."""


class RecordListener(Protocol):
    """Acts on what has been written (`write_outcomes.WriteOutcomes`)."""

    def placements_recorded(self, job: Job, numbers: list[int]) -> None:
        """The placements of the tasks with these numbers are on record: they may be started."""

    def placements_void(self, job: Job) -> None:
        """Placements of this job that are not on record never will be."""

    def job_reread(self, live: Item) -> None:
        """A job's live record as it is now, read after a conflict."""

    def end_recorded(self, job: Job) -> None:
        """The job's end is on record."""


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
        """Keys and versions of records without content, to be removed."""
        self._deferred_written_at = term.now
        self._rotated_at = term.now
        self.writing = False
        """A transaction is in flight."""

    def remove(self, obsolete: Iterable[tuple[str, Version]]) -> None:
        """Remove these records, a few at a time."""
        self._obsolete.extend(obsolete)

    def flush(self, now: Seconds) -> None:
        """Send the next transaction, if none is in flight: the token's rotation goes first."""
        token = self._term.election.token
        if self.writing or self._term.retired or token is None:
            return
        if (
            self._pending.token_rotation_wanted
            and now - self._rotated_at > MIN_ROTATION_S
            and self._rotate(now)
        ):
            self._pending.token_rotation_wanted = False
            return
        with_deferred = now - self._deferred_written_at >= DEFERRED_WRITES_S
        if not with_deferred and not self._pending.has_unwritten_changes:
            return
        self._pending.has_unwritten_changes = False
        batch = self._urgent_batch(token, now)
        if with_deferred:
            self._deferred_written_at = now
            self._add_deferred(batch)
        if batch.writes:
            self._write(batch)

    def _urgent_batch(self, token: Token, now: Seconds) -> Batch:
        """Starts, decommissions and ends of jobs, which users poll for, in this order.

        The store admits few writes a second, so what does not fit waits for the next transaction.
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
        """Add a few records that only spare a later leader some work."""
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
            batch.decommission_record, names_left = self._decommission_records.with_capacity()
            batch.decommissioned = unrecorded[: min(names_left, MAX_DECOMMISSIONS)]
            batch.put(
                batch.decommission_record.put(machine.id for machine in batch.decommissioned),
                batch.decommission_record.version,
            )

    def _write(self, batch: Batch) -> None:
        self.writing = True
        self._term.outbox.add(
            Commit(
                tuple(batch.conditions.items()),
                tuple(batch.writes),
                lambda result: self._answered(batch, result),
            )
        )

    def _answered(self, batch: Batch, result: CommitOutcome) -> None:
        if self._term.retired:
            return
        if isinstance(result, Unanswered):
            # It may have been carried out, or may be later: nothing else is written before that is
            # known.
            self._write(batch)
            return
        self.writing = False
        self._pending.has_unwritten_changes = True
        if isinstance(result, Committed):
            self._committed(batch, result.revision)
        elif isinstance(result, Conflict) and self._only_users_changes(batch, result):
            self._void_cancelled(batch, result.failed)
        else:
            self._term.election.resign("a transaction found other versions than the leader knows")

    def _only_users_changes(self, batch: Batch, conflict: Conflict) -> bool:
        """Whether nothing but live records have changed, which users change by cancelling."""
        live_keys = {live_key(job.ref) for job in batch.compared_jobs}
        return not conflict.repeated and bool(conflict.failed) and conflict.failed <= live_keys

    def _committed(self, batch: Batch, revision: Version) -> None:
        """Take in the new versions, and tell the leader what is on record now."""
        for machine in batch.decommissioned:
            machine.decommission_recorded = True
        if batch.decommission_record is not None:
            batch.decommission_record.version = revision
            batch.decommission_record.names.update(
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
        """Users cancelled jobs of the batch, so nothing of it was written.

        Starts are sent only once they are on record, so those jobs' new placements are void. The
        other records of the batch are written again.
        """
        for record in batch.removed_records:
            record.removal_pending = False
        for job in batch.compared_jobs:
            if live_key(job.ref) not in failed:
                continue
            self._listener.placements_void(job)
            if batch.conditions[live_key(job.ref)] == job.version:
                job.needs_reread = True
                self._reread(job)
        for record in batch.placement_records:
            urgent = [
                job.spec.priority
                for job, chunk in record.entries.values()
                if chunk.has_unrecorded()
            ]
            record.mark_changed(max(urgent, default=None), self._term.now)

    def _reread(self, job: Job) -> None:
        def live_read(found: ReadResult | Unanswered) -> None:
            if isinstance(found, ReadResult) and found.item is not None:
                self._listener.job_reread(found.item)
            elif not self._term.retired and self._jobs.get(job.ref) is job and job.needs_reread:
                self._reread(job)

        self._term.outbox.add(Read(live_key(job.ref), live_read))

    def _rotate(self, now: Seconds) -> bool:
        """Take a higher token, so that workers refuse all direct commands sent before.

        Returns whether the transaction was sent.
        """

        def decided() -> None:
            self.writing = False

        if not self._term.election.rotate_token(decided):
            return False
        self.writing = True
        self._rotated_at = now
        return True
