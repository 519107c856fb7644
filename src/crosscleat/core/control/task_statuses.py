"""Reconciles the attempts placed on a machine with the task list of its heartbeat."""

from __future__ import annotations

from ..election.term import LeadingTerm
from ..model import heartbeats
from ..model.heartbeats import TaskStatus
from ..model.ids import Attempt, JobRef, Seconds
from ..scheduling.scoring import RunTimes
from ..state.allocations import Allocation
from ..state.jobs import Job
from ..state.machine import Machine
from .attempts import Attempts

SLOW_START_S = 2.0
"""Delay from submission to the start of a task above which the start is logged."""

FIRST_ATTEMPT = Attempt(1)


class TaskStatuses:
    """Reconciles allocations with the task list of the newest heartbeat."""

    def __init__(
        self, term: LeadingTerm, jobs: dict[JobRef, Job], run_times: RunTimes, attempts: Attempts
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._run_times = run_times
        self._attempts = attempts

    def reconcile(self, machine: Machine, allocation: Allocation, task: TaskStatus | None) -> None:
        """Apply the status of one attempt; None if the newest heartbeat does not list it."""
        if task is None:
            allocation.in_last_heartbeat = False
            if allocation.stopping and not machine.may_still_start(allocation):
                self._attempts.handle_end(machine, allocation)
            elif not allocation.stopping and self._gang_is_done(allocation):
                # No start order is sent for it again: it has ended, or must not start any more.
                self._attempts.stop(machine, allocation, 0.0)
            return
        allocation.in_last_heartbeat = allocation.start_sent = True
        if task.state == heartbeats.EXITED:
            self._exited(machine, allocation, task)
            return
        allocation.task_state = task.state
        job = self._jobs.get(allocation.task.job)
        if job is not None and job.is_gang and task.state == heartbeats.WAITING:
            job.progress.mark_waiting(self._term.now)
        if task.state == heartbeats.RUNNING and allocation.running_since is None:
            self._started_running(machine, allocation, job)

    def _gang_is_done(self, allocation: Allocation) -> bool:
        job = self._jobs.get(allocation.task.job)
        return job is not None and job.is_gang and job.done_count > 0

    def _started_running(self, machine: Machine, allocation: Allocation, job: Job | None) -> None:
        """Handle the first heartbeat that lists the attempt as running."""
        now = self._term.now
        allocation.running_since = now
        machine.use_image(allocation.spec.image, allocation.spec.image_gb, now)
        machine.images.mark_present(allocation.spec.image, now)
        if job is None:
            return
        if job.is_gang:
            job.progress.mark_running(now)
        waited_s = now - job.submitted
        if waited_s > SLOW_START_S and allocation.placed_at > self._term.began_at:
            self._term.outbox.log(
                "debug",
                f"task {allocation.task} ({allocation.spec.job_class}) runs {waited_s:.1f} s "
                f"after it was submitted, {now - allocation.placed_at:.1f} s after attempt "
                f"{allocation.attempt} was placed on {machine.id}",
            )

    def _exited(self, machine: Machine, allocation: Allocation, task: TaskStatus) -> None:
        cause = task.cause or ""
        now = self._term.now
        if cause == heartbeats.DONE:
            self.learn_run_time(allocation, now)
            machine.failed_jobs.clear()
        job = self._jobs.get(allocation.task.job)
        if job is not None and job.is_gang and task.saved:
            job.progress.end_attempt(job.spec, now, saved=True)
        self._attempts.handle_end(machine, allocation, cause)

    def learn_run_time(self, allocation: Allocation, now: Seconds) -> None:
        """Update the run-time estimates from a completed run that this term observed in full.

        A gang runs as long as its slowest member, so it counts once and not once for each task.
        """
        ran_from_start = allocation.attempt == FIRST_ATTEMPT or allocation.spec.checkpoint_s <= 0
        if (
            allocation.running_since is None
            or allocation.placed_at <= self._term.began_at
            or not ran_from_start
        ):
            return
        job = self._jobs.get(allocation.task.job)
        if job is not None and job.is_gang and job.done_count:
            return
        self._run_times.learn(allocation.spec, now - allocation.running_since)
