"""Stops attempts, and updates the job once an attempt is proven to have ended.

Both are in one module because they call each other: the end of a gang member stops the other
members, and stopping an attempt whose start was never sent ends it at once.
"""

from __future__ import annotations

from ..election.term import LeadingTerm
from ..model import heartbeats
from ..model.ids import JobRef
from ..state.allocations import Allocation
from ..state.cluster import ClusterState
from ..state.gangs import may_replace
from ..state.jobs import Job
from ..state.machine import Machine
from ..state.placement_records import PlacementRecords
from .pending_work import PendingWork
from .retries import Retries


class Attempts:
    """Stops attempts, and finishes or requeues the task of an attempt that has ended."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        placement_records: PlacementRecords,
        retries: Retries,
        pending: PendingWork,
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._placement_records = placement_records
        self._retries = retries
        self._pending = pending

    def stop(self, machine: Machine, allocation: Allocation, grace_s: float) -> None:
        """Stop the attempt, with `grace_s` seconds to save its progress.

        The allocation is kept until the attempt is proven to have ended.
        """
        allocation.stopping = True
        allocation.grace_s = grace_s
        self._pending.send_soon(machine.id)
        if not allocation.in_last_heartbeat and not machine.may_still_start(allocation):
            self.handle_end(machine, allocation)

    def preempt(self, machine: Machine, allocation: Allocation) -> None:
        """Stop the attempt, with time to save its progress if the job has checkpoints."""
        spec = allocation.spec
        self.stop(machine, allocation, spec.save_s if spec.checkpoint_s > 0 else 0.0)

    def stop_gang(self, job: Job, grace_s: float) -> None:
        """Stop all members of a gang; once all have ended, the gang is placed again as a whole."""
        self._pending.incomplete_gangs.pop(job.ref, None)
        job.progress.mark_stopping(self._term.now)
        to_stop = [
            (machine, allocation)
            for machine, allocation in self._cluster.allocations_of(job)
            if not allocation.stopping
        ]
        for _, allocation in to_stop:
            # All members are marked before any of them ends, so that the end of one does not stop
            # the gang a second time.
            allocation.stopping = True
        for machine, allocation in to_stop:
            self.stop(machine, allocation, grace_s)

    def handle_end(
        self, machine: Machine, allocation: Allocation, cause: str | None = None
    ) -> None:
        """Release the allocation of an attempt that is proven to have ended, and update its task.

        `cause` is the cause of the exit that a heartbeat has reported; None if no exit was
        reported.
        """
        self._cluster.remove(machine, allocation)
        self._pending.cycle_wanted = True
        self._pending.write_soon()
        job = self._jobs.get(allocation.task.job)
        number = allocation.task.number
        if job is None or not job.is_current(number, allocation.attempt, machine.id):
            return
        now = self._term.now
        job.idle_since = now
        self._placement_records.record_for(job, job.chunk_of(number)).mark_changed(None, now)
        if cause == heartbeats.DONE or (job.is_gang and job.done_count):
            self._finish_task(job, number)
        elif job.cancelled:
            job.requeue(number, None)
            self._pending.record_end_if_over(job)
        else:
            if job.is_gang:
                self._handle_lost_gang_member(job, number, machine, cause)
            job.requeue(number, self._retries.plan_retry(machine, job, number, cause))

    def _finish_task(self, job: Job, number: int) -> None:
        """Mark the task as done.

        The members of a gang complete together: once one is done, the others have completed too, or
        have ended later with their machine, and count as done.
        """
        job.finish(number)
        if job.is_gang:
            job.finish_unplaced()
        self._pending.record_end_if_over(job)

    def _handle_lost_gang_member(
        self, job: Job, number: int, machine: Machine, cause: str | None
    ) -> None:
        """Handle a member that ended without a result: queue its replacement, or stop the gang.

        The other members get no time to save: their progress since the last checkpoint is lost, or
        has been saved already.
        """
        if may_replace(cause, self._cluster.allocations_of(job, except_number=number)):
            job.progress.lost_on.add(machine.id)
            self._pending.incomplete_gangs[job.ref] = job
        elif job.progress.stopped_at is None:
            self.stop_gang(job, 0.0)
