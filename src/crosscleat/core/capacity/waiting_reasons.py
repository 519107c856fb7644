"""Reasons why no machine is rented for waiting tasks, which the log reports."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ..model.ids import JobRef, Seconds
from ..state.jobs import Job

LONG_WAIT_S = 30.0
"""Minimum time in seconds since the submission of a job that is reported."""

MAX_REPORTED = 10
"""Maximum number of lines in one report, for the jobs that have waited for longest."""


class WaitingReason(enum.Enum):
    """Why no machine is rented now for some of a job's waiting tasks."""

    FITS_FREE_CAPACITY = "counted into free capacity of rented machines"
    OVER_QUOTA = "over the team's quota"
    FAILS_REPEATEDLY = "the job fails on each machine that it tries"
    AWAITS_OTHER_TASKS = "other tasks are expected to end first"
    NO_TYPE = "no machine type suits"
    NO_ZONE = "its zone constraint leaves no place in any zone with machines that suit"
    TOO_FEW_ZONES = "zones with open pools can't hold all tasks of the spread gang"
    POOLS_CLOSED = "pools that suit have refused, and are asked again later"
    TOO_EXPENSIVE = "only expensive machines can be had, and it waits for others"
    OTHER_RENTAL_FIRST = "other machines are rented first"


INDEFINITE_REASONS = (WaitingReason.NO_TYPE, WaitingReason.NO_ZONE, WaitingReason.TOO_FEW_ZONES)
"""Reasons for which a gang may wait without end: no idle machine is kept for it."""


class WaitingTasks(NamedTuple):
    """Tasks of a job that wait for the same reason."""

    job: JobRef
    submitted: Seconds
    tasks: int
    reason: WaitingReason

    def __str__(self) -> str:
        return f"job {self.job}: {self.tasks} tasks wait, no rental: {self.reason.value}"


class WaitingReport:
    """Collects the reasons found in one scaling decision, if they are to be reported."""

    def __init__(self, now: Seconds, wanted: bool = True) -> None:
        """Nothing is collected unless `wanted`."""
        self._now = now
        self._wanted = wanted
        self._waiting: list[WaitingTasks] = []

    def add(self, job: Job, tasks: int, reason: WaitingReason) -> None:
        """Add tasks of a job that wait for this reason; recently submitted jobs are left out."""
        if self._wanted and tasks > 0 and self._now - job.submitted >= LONG_WAIT_S:
            self._waiting.append(WaitingTasks(job.ref, job.submitted, tasks, reason))

    def oldest(self) -> list[WaitingTasks]:
        """The entries to log, the jobs that have waited for longest first."""
        return sorted(self._waiting, key=lambda waiting: waiting.submitted)[:MAX_REPORTED]
