"""Updates jobs and their attempts according to the outcomes of the leader's transactions."""

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
    """Handles what the writer reports (`writer.RecordListener`)."""

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
        """Allow the starts of the tasks with these numbers, whose placements are now recorded."""
        for number in numbers:
            placed = job.chunk_of(number).placed[number]
            located = self._cluster.find(job.ref, number, placed.attempt, placed.machine)
            if located is None:
                continue
            machine, allocation = located
            allocation.recorded = True
            if not allocation.stopping:
                self._pending.send_soon(machine.id)
        if job.is_gang and numbers and job.fully_recorded:
            # The starts of members that were recorded earlier waited for the last member.
            for machine, _ in self._cluster.allocations_of(job):
                self._pending.send_soon(machine.id)

    def placements_voided(self, job: Job) -> None:
        """Release the unrecorded placements of a cancelled job.

        Their starts were never sent, and never will be.
        """
        for machine, allocation in list(self._cluster.allocations_of(job)):
            if not allocation.recorded:
                self._attempts.handle_end(machine, allocation)

    def job_reread(self, live: Item) -> None:
        """Apply a job's live record that was read again after a conflict."""
        self._job_changes.apply([live], self._term.now)

    def end_recorded(self, job: Job) -> None:
        """Forget a job whose end is recorded."""
        del self._jobs[job.ref]
        self._progress.forget(job.ref)
        self._term.outbox.log("debug", f"job {job.ref}: end recorded")
