"""Why no machine is rented for tasks that wait: typed, for the log."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ..model.ids import JobRef, Seconds
from ..state.jobs import Job

LONG_WAIT_S = 30.0
"""Only jobs that were submitted so long ago are reported."""

MAX_REPORTED = 10
"""Lines of one report, of the jobs that have waited for longest."""


class WaitingReason(enum.Enum):
    """Why no machine is rented now for some of a job's waiting tasks."""

    COUNTED = "counted into free capacity of rented machines"
    OVER_QUOTA = "over the team's quota"
    FAILS = "the job fails on each machine that it tries"
    PATIENT = "other tasks are expected to end first"
    NO_TYPE = "no machine type suits"
    NO_ZONE = "its zone constraint leaves no place in any zone with machines that suit"
    TOO_FEW_ZONES = "zones with open pools can't hold all tasks of the spread gang"
    POOLS_CLOSED = "pools that suit have refused, and are asked again later"
    TOO_EXPENSIVE = "only expensive machines can be had, and it waits for others"
    NOT_FIRST = "other machines are rented first"


HOPELESS = (WaitingReason.NO_TYPE, WaitingReason.NO_ZONE, WaitingReason.TOO_FEW_ZONES)
"""What a gang may wait for without end: no idle machine is kept for it."""


class WaitingTasks(NamedTuple):
    """Tasks of a job that wait for one reason."""

    job: JobRef
    submitted: Seconds
    tasks: int
    reason: WaitingReason

    def __str__(self) -> str:
        return f"job {self.job}: {self.tasks} tasks wait, no rental: {self.reason.value}"


class WaitingReport:
    """Collects the reasons of one look at the waiting work, if they are to be reported."""

    def __init__(self, now: Seconds, wanted: bool = True) -> None:
        """Unless it is `wanted` nothing is collected."""
        self._now = now
        self._wanted = wanted
        self._found: list[WaitingTasks] = []

    def add(self, job: Job, tasks: int, reason: WaitingReason) -> None:
        """Note that so many tasks of the job wait for this reason; of new jobs nothing is noted."""
        if self._wanted and tasks > 0 and self._now - job.submitted >= LONG_WAIT_S:
            self._found.append(WaitingTasks(job.ref, job.submitted, tasks, reason))

    def oldest(self) -> list[WaitingTasks]:
        """What is to be logged: the jobs that have waited for longest first."""
        return sorted(self._found, key=lambda found: found.submitted)[:MAX_REPORTED]
