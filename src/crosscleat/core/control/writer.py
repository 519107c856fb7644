"""The leader's transactions: what is written when, and what follows from each answer.

Writes go out one transaction at a time, so that the versions they compare are known and a
transaction without an answer is settled before the next: it is repeated until it is
answered, and a conflict that could stem from our own earlier try ends this leadership.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from ..election.term import LeadingTerm
from ..model.ids import JobRef, Seconds, Token, Version
from ..model.store_calls import Commit, Committed, Conflict, Found, Item, NoSuchLease, Read
from ..state.batch import Batch
from ..state.cluster import ClusterState
from ..state.decommission_records import DecommissionRecords
from ..state.jobs import Job
from ..state.keys import live_key
from ..state.placement_records import PlacementRecord, PlacementRecords
from .pending_work import PendingWork

LAZY_S = 0.8
"""How often what only spares a successor some work is written."""

LAZY_WRITES = 4
"""So many such writes at a time."""

ENDS_WRITES = 6
"""Writes that say which jobs have ended, at a time."""

MAX_DECOMMISSIONS = 100
"""Machines whose deletion one transaction records."""

ROTATE_S = 3.0
"""Least time between two new tokens."""

Result = Committed | Conflict | NoSuchLease | None


class Writer:
    """Writes the records of jobs, placements and deletions."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        placement_records: PlacementRecords,
        decommission_records: DecommissionRecords,
        pending: PendingWork,
        recorded: Callable[[Job, list[int]], None],
        void: Callable[[Job], None],
        reread: Callable[[Item], None],
        ended: Callable[[Job], None],
    ) -> None:
        """`recorded`: the places of these tasks are on record; `void`: places of a job that are
        not on record never will be; `reread`: a live record as it is now; `ended`: the job's end
        is on record."""
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._placement_records = placement_records
        self._decommission_records = decommission_records
        self._pending = pending
        self._recorded = recorded
        self._void = void
        self._reread_item = reread
        self._ended = ended
        self._obsolete: deque[tuple[str, Version]] = deque()
        """Records that say nothing any more, to be removed."""
        self._lazy_at = term.now
        self._rotated_at = term.now
        self.writing = False
        """A transaction is under way."""

    def remove(self, obsolete: Iterable[tuple[str, Version]]) -> None:
        """Remove these records, a few at a time."""
        self._obsolete.extend(obsolete)

    def flush(self, now: Seconds) -> None:
        """Send the next transaction, if none is in flight: the token's rotation goes first."""
        token = self._term.election.token
        if self.writing or self._term.retired or token is None:
            return
        if (
            self._pending.rotation_wanted
            and now - self._rotated_at > ROTATE_S
            and self._rotate(now)
        ):
            self._pending.rotation_wanted = False
            return
        lazy = now - self._lazy_at >= LAZY_S
        if not lazy and not self._pending.unwritten:
            return
        self._pending.unwritten = False
        batch = self._urgent_batch(token, now)
        if lazy:
            self._lazy_at = now
            self._add_lazy(batch)
        if batch.writes:
            self._write(batch)

    def _urgent_batch(self, token: Token, now: Seconds) -> Batch:
        """The region's few writes a second go to starts first, then to deletions and to ends,
        which users poll for."""
        batch = Batch(token, self._term.deployment.txn_ops)
        for record in self._placement_records.urgent(now):
            batch.record(record)
        self._add_decommissions(batch)
        batch.limit(ENDS_WRITES)
        for job in self._pending.ending.values():
            if not job.needs_reread and batch.room(2, 1):
                batch.end(job)
        return batch

    def _add_lazy(self, batch: Batch) -> None:
        """What only spares a successor some work, a little at a time."""
        batch.limit(LAZY_WRITES)
        for record in self._placement_records.lazy():
            self._add_lazily(batch, record)
        while self._obsolete and batch.room(1, 1):
            batch.remove(*self._obsolete.popleft())

    def _add_decommissions(self, batch: Batch) -> None:
        machines = self._cluster.machines.values()
        found = [m for m in machines if m.decommissioning and not m.decommission_recorded]
        if found and batch.room(1, 1):
            batch.decommission_record, room = self._decommission_records.open()
            batch.decommissioned = found[: min(room, MAX_DECOMMISSIONS)]
            batch.put(
                batch.decommission_record.put(m.id for m in batch.decommissioned),
                batch.decommission_record.version,
            )

    def _add_lazily(self, batch: Batch, record: PlacementRecord) -> None:
        if record.members:
            batch.record(record)
        elif not record.version:
            self._placement_records.removed(record)
        elif batch.room(1, 1):
            record.closing = True
            batch.closing.append(record)
            batch.remove(record.key, record.version)

    def _write(self, batch: Batch) -> None:
        self.writing = True
        self._term.outbox.add(
            Commit(
                tuple(batch.conditions.items()),
                tuple(batch.writes),
                lambda result: self._answered(batch, result),
            )
        )

    def _answered(self, batch: Batch, result: Result) -> None:
        if self._term.retired:
            return
        if result is None:
            # Perhaps carried out, perhaps later: nothing else is written until that is known.
            self._write(batch)
            return
        self.writing = False
        self._pending.unwritten = True
        if isinstance(result, Committed):
            self._committed(batch, result.revision)
        elif isinstance(result, Conflict) and self._only_live(batch, result):
            self._put_back(batch, result.failed)
        else:
            self._term.election.resign("a write of ours met other versions than we know")

    def _only_live(self, batch: Batch, conflict: Conflict) -> bool:
        lives = {live_key(job.ref) for job in batch.jobs}
        return not conflict.repeated and bool(conflict.failed) and conflict.failed <= lives

    def _committed(self, batch: Batch, revision: Version) -> None:
        for machine in batch.decommissioned:
            machine.decommission_recorded = True
        if batch.decommission_record is not None:
            batch.decommission_record.version = revision
            batch.decommission_record.names.update((m.id, None) for m in batch.decommissioned)
        for record in batch.records:
            record.version = revision
        for record in batch.closing:
            self._placement_records.removed(record)
        for job, chunk, recorded in batch.chunks:
            fresh = recorded - chunk.recorded
            chunk.recorded = recorded
            self._recorded(job, [found.number for found in fresh if job.is_current(*found)])
        self._placement_records.written((job, chunk) for job, chunk, _ in batch.chunks)
        for job in batch.ended:
            del self._pending.ending[job.ref]
            self._placement_records.forget(job)
            self._ended(job)
        self.remove(self._placement_records.superseded())

    def _put_back(self, batch: Batch, failed: frozenset[str]) -> None:
        """A user cancelled meanwhile: that job's placements were never sent, so they are void."""
        for record in batch.closing:
            record.closing = False
        for job in batch.jobs:
            if live_key(job.ref) not in failed:
                continue
            self._void(job)
            if batch.conditions[live_key(job.ref)] == job.version:
                job.needs_reread = True
                self._reread(job)
        for record in batch.records:
            urgent = [
                job.spec.priority for job, chunk in record.members.values() if chunk.unrecorded()
            ]
            record.want(max(urgent, default=None), self._term.now)

    def _reread(self, job: Job) -> None:
        def read(found: Found | None) -> None:
            if found is not None and found.item is not None:
                self._reread_item(found.item)
            elif not self._term.retired and self._jobs.get(job.ref) is job and job.needs_reread:
                self._reread(job)

        self._term.outbox.add(Read(live_key(job.ref), read))

    def _rotate(self, now: Seconds) -> bool:
        """Take a higher token, after which no direct message of before is executed."""
        rotation = self._term.election.rotation()
        if rotation is None:
            return False
        self.writing = True
        self._rotated_at = now

        def rotated(result: Result) -> None:
            rotation.continuation(result)
            self.writing = False

        self._term.outbox.add(Commit(rotation.conditions, rotation.writes, rotated))
        return True
