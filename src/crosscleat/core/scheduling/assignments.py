"""The results of a scheduling cycle: assignments of tasks and reservations of machines."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..model.ids import JobRef, MachineId, Seconds
from ..model.job_spec import Priority


class Assignment(msgspec.Struct, frozen=True):
    """Places one task of the job on the machine."""

    job: JobRef
    machine: MachineId


class Reservation(NamedTuple):
    """Reserves a machine for a job: the machine is emptied until the job's tasks fit on it.

    `priority`, `submitted` and `gang` are those of the job.
    """

    job: JobRef
    priority: Priority
    submitted: Seconds
    gang: bool = False
