"""What follows from the leader's transactions for jobs and their attempts."""

from __future__ import annotations

from ..election.term import LeadingTerm
from ..model.ids import JobRef
from ..model.store_calls import Item
from ..state.cluster import ClusterState
from ..state.jobs import Job
from .attempts import Attempts
from .job_changes import JobChanges
from .pending_work import PendingWork
from .progress import Progress


class WriteOutcomes:
    """Acts on what the writer reports (`writer.RecordListener`)."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        attempts: Attempts,
        job_changes: JobChanges,
        progress: Progress,
        pending: PendingWork,
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._attempts = attempts
        self._job_changes = job_changes
        self._progress = progress
        self._pending = pending

    def placements_recorded(self, job: Job, numbers: list[int]) -> None:
        """The placements of the tasks with these numbers are on record: they may be started."""
        for number in numbers:
            placed = job.chunk_of(number).placed[number]
            found = self._cluster.find(job.ref, number, placed.attempt, placed.machine)
            if found is None:
                continue
            machine, allocation = found
            allocation.recorded = True
            if not allocation.stopping:
                self._pending.send_soon(machine.id)
        if job.is_gang and numbers and job.fully_recorded:
            # Members recorded earlier waited for the last one.
            for machine, _ in self._cluster.allocations_of(job):
                self._pending.send_soon(machine.id)

    def placements_void(self, job: Job) -> None:
        """The job was cancelled: placements not on record were never sent, and never will be."""
        for machine, allocation in list(self._cluster.allocations_of(job)):
            if not allocation.recorded:
                self._attempts.ended(machine, allocation)

    def job_reread(self, live: Item) -> None:
        """A job's live record, read again after a conflict."""
        self._job_changes.apply([live], self._term.now)

    def end_recorded(self, job: Job) -> None:
        """The job's end is on record: the leader forgets the job."""
        del self._jobs[job.ref]
        self._progress.forget(job.ref)
        self._term.outbox.log("debug", f"job {job.ref} over")
