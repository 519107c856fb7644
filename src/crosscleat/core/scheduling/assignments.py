"""What a scheduling cycle decides: assignments of tasks and reservations of machines."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..model.ids import JobRef, MachineId, Seconds
from ..model.job_spec import Priority


class Assignment(msgspec.Struct, frozen=True):
    """One task of the job is to be placed on the machine."""

    job: JobRef
    machine: MachineId


class Reservation(NamedTuple):
    """The job for whose tasks a machine is being emptied."""

    job: JobRef
    priority: Priority
    submitted: Seconds
    gang: bool = False
