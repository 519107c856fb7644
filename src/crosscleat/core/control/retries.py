"""When a task that ended without a result may be placed again, and which machines are at fault."""

from __future__ import annotations

from ..election.term import LeadingTerm
from ..model import heartbeats
from ..model.ids import JobRef, Seconds
from ..scheduling.job_selection import fails_repeatedly
from ..state.jobs import Job
from ..state.machine import Machine

QUARANTINE_JOBS = 2
"""A machine on which so many different jobs failed is quarantined."""

BLAMELESS_CAUSES = (
    None,
    heartbeats.STOPPED,
    heartbeats.GANG_MEMBER_LOST,
    heartbeats.INCOMPLETE,
)
"""Ends that say nothing against the task or its machine: it may be placed again at once."""

FULL_PAUSE_S = 4.0
"""Nothing is placed for so long on a machine that refused a start for lack of capacity."""

REFUSED_PAUSE_S = 0.3
"""Pause before a task that was refused for lack of capacity is placed elsewhere."""

ENDED_PAUSE_S = 2.0
"""Pause before a task is placed again that ended in any other way."""

MAX_FAILED_PAUSE_S = 60.0
"""The longest pause of a task that fails again and again."""


class Retries:
    """Decides on pauses before the next attempt, and quarantines machines."""

    def __init__(self, term: LeadingTerm, jobs: dict[JobRef, Job]) -> None:
        self._term = term
        self._jobs = jobs

    def not_before(
        self, machine: Machine, job: Job, number: int, cause: str | None
    ) -> Seconds | None:
        """When the task may be placed again; None: at once."""
        if cause in BLAMELESS_CAUSES:
            return None
        now = self._term.now
        pause_s = ENDED_PAUSE_S
        if cause == heartbeats.ERROR:
            pause_s = self._count_failure(machine, job, number)
        elif cause == heartbeats.NO_CAPACITY:
            machine.placement_paused_until = Seconds(now + FULL_PAUSE_S)
            if job.is_gang:
                # The other members may be waiting for this one.
                return None
            pause_s = REFUSED_PAUSE_S
        return Seconds(now + pause_s)

    def _count_failure(self, machine: Machine, job: Job, number: int) -> float:
        """Count a failure of the task and of its machine; returns the task's pause in seconds."""
        failures = job.failures.get(number, 0) + 1
        job.failures[number] = failures
        job.failed_on.add(machine.id)
        machine.failed_jobs.add(job.ref)
        if not machine.quarantined and self._is_faulty(machine):
            machine.quarantined = True
            self._term.outbox.log(
                "info", f"machine {machine.id}: several jobs fail on it, draining"
            )
        if failures == 1 and job.has_completed_task:
            return 0.0
        return min(MAX_FAILED_PAUSE_S, 0.5 * 2.0**failures)

    def _is_faulty(self, machine: Machine) -> bool:
        """Whether several jobs failed on the machine, not counting those that fail anywhere."""
        jobs = (self._jobs.get(JobRef(ref)) for ref in machine.failed_jobs)
        return sum(1 for job in jobs if job and not fails_repeatedly(job)) >= QUARANTINE_JOBS
