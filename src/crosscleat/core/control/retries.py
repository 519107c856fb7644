"""Retry pauses of tasks that ended without a result, and quarantine of faulty machines."""

from __future__ import annotations

from ..election.term import LeadingTerm
from ..model import heartbeats
from ..model.backoff import doubled_pause_s
from ..model.ids import JobRef, Seconds
from ..scheduling.job_selection import fails_repeatedly
from ..state.jobs import Job
from ..state.machine import Machine

QUARANTINE_JOBS = 2
"""Number of different jobs whose failure on a machine causes its quarantine."""

NO_FAULT_CAUSES = (
    None,
    heartbeats.STOPPED,
    heartbeats.GANG_MEMBER_LOST,
    heartbeats.INCOMPLETE,
)
"""Causes that are no fault of the task or its machine: the task may be placed again at once."""

FULL_MACHINE_PAUSE_S = 4.0
"""Time in seconds without placements on a machine that refused a start for lack of capacity."""

REFUSED_PAUSE_S = 0.3
"""Pause in seconds before a task that was refused for lack of capacity is placed elsewhere."""

DEFAULT_PAUSE_S = 2.0
"""Pause in seconds before a task is placed again that ended for any other cause."""

FAILURE_PAUSE_BASE_S = 0.5
"""Base of the backoff of a task that fails repeatedly, in seconds. The first pause is twice this
value, and each further failure doubles it, up to `MAX_FAILURE_PAUSE_S`."""

MAX_FAILURE_PAUSE_S = 60.0
"""Maximum pause in seconds of a task that fails repeatedly."""


class Retries:
    """Decides how long a task waits before its next attempt, and quarantines machines."""

    def __init__(self, term: LeadingTerm, jobs: dict[JobRef, Job]) -> None:
        self._term = term
        self._jobs = jobs

    def plan_retry(
        self, machine: Machine, job: Job, number: int, cause: str | None
    ) -> Seconds | None:
        """Decide when a task whose attempt ended may be placed again; None: at once.

        A failure counts against the task and the machine. After a refusal for lack of capacity
        nothing is placed on the machine for `FULL_MACHINE_PAUSE_S`.
        """
        if cause in NO_FAULT_CAUSES:
            return None
        now = self._term.now
        pause_s = DEFAULT_PAUSE_S
        if cause == heartbeats.ERROR:
            pause_s = self._count_failure(machine, job, number)
        elif cause == heartbeats.NO_CAPACITY:
            machine.placement_paused_until = Seconds(now + FULL_MACHINE_PAUSE_S)
            if job.is_gang:
                # The other members of the gang may be waiting for this one.
                return None
            pause_s = REFUSED_PAUSE_S
        return Seconds(now + pause_s)

    def _count_failure(self, machine: Machine, job: Job, number: int) -> float:
        """Count a failure against the task and its machine; returns the task's pause in seconds."""
        failures = job.failures.get(number, 0) + 1
        job.failures[number] = failures
        job.failed_on.add(machine.id)
        machine.failed_jobs.add(job.ref)
        if not machine.quarantined and self._is_faulty(machine):
            machine.quarantined = True
            self._term.outbox.log(
                "info", f"machine {machine.id}: quarantined, several jobs failed on it"
            )
        if failures == 1 and job.has_completed_task:
            return 0.0
        return doubled_pause_s(FAILURE_PAUSE_BASE_S, failures, MAX_FAILURE_PAUSE_S)

    def _is_faulty(self, machine: Machine) -> bool:
        """Whether several jobs failed on the machine; jobs that fail on any machine don't count."""
        jobs = (self._jobs.get(JobRef(ref)) for ref in machine.failed_jobs)
        return sum(1 for job in jobs if job and not fails_repeatedly(job)) >= QUARANTINE_JOBS
