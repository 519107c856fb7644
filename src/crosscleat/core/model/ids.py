"""Distinct types for ids, versions and times, so that the type checker finds mix-ups."""

from __future__ import annotations

import re
from typing import NamedTuple, NewType

JobRef = NewType("JobRef", str)
"""Id of a job, such as `job-000412`."""

MachineId = NewType("MachineId", str)
"""Id of a machine, assigned by the cloud."""

TypeName = NewType("TypeName", str)
"""Name of a machine type."""

Zone = NewType("Zone", str)
"""Name of a zone."""

Team = NewType("Team", str)
"""Name of a team."""

Image = NewType("Image", str)
"""Name of a container image."""

Member = NewType("Member", str)
"""Name of a controller."""

Version = NewType("Version", int)
"""Revision of a key's last change in the store; 0 means that the key does not exist."""

Token = NewType("Token", int)
"""Fencing token: the version of the leader key.

Workers refuse tokens that are lower than the highest one they have seen.
"""

Attempt = NewType("Attempt", int)
"""Number of an attempt of a task, starting at 1."""

AgentEpoch = NewType("AgentEpoch", int)
"""Incarnation number of a worker; it increases when its lease expires, which ends all its tasks."""

LeaseId = NewType("LeaseId", int)
"""Id of a lease in the store."""

Seconds = NewType("Seconds", float)
"""A point in time on this process's monotonic clock, in seconds."""

WallTime = NewType("WallTime", float)
"""A point in time on the wall clock, in seconds since 1970."""

MAX_TASK_DIGITS = 20
"""Digits of the largest count of the protocols; `int` raises for thousands of them."""

_JOB_REF = re.compile(r"job-[0-9A-Za-z._-]{1,120}\Z")


class TaskId(NamedTuple):
    """One task of a job; its text form is `job-000412/3`."""

    job: JobRef
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"

    @classmethod
    def parse(cls, text: str) -> TaskId | None:
        """Parse the text form, such as `job-000412/3`; returns None if it is malformed."""
        job, slash, number = text.rpartition("/")
        is_number = number.isascii() and number.isdigit() and len(number) <= MAX_TASK_DIGITS
        if not slash or not is_number or not is_job_ref(job):
            return None
        return cls(JobRef(job), int(number))


class HeartbeatId(NamedTuple):
    """Identifies a worker's status; a larger one is newer."""

    agent_epoch: AgentEpoch
    sequence: int


NO_HEARTBEAT = HeartbeatId(AgentEpoch(0), 0)
"""Lower than the id of every heartbeat."""

LONG_AGO = Seconds(0.0)
"""A point in time before any event of this process."""

ABSENT = Version(0)
"""The version of a key that does not exist."""

NO_TOKEN = Token(0)
"""Lower than every fencing token."""


def is_job_ref(text: str) -> bool:
    """Whether the text has the form of a job id."""
    return _JOB_REF.match(text) is not None
