"""A worker's report, as the core reads it."""

from __future__ import annotations

import msgspec

from .ids import Attempt, MachineId, Seen, TaskId, TypeName, Zone

EXITED = "exited"
RUNNING = "running"
FETCHING = "fetching"


class TaskReport(msgspec.Struct, frozen=True):
    task: TaskId
    attempt: Attempt
    state: str
    cause: str | None


class Report(msgspec.Struct, frozen=True):
    machine: MachineId
    address: str
    type: TypeName
    zone: Zone
    spot: bool
    seen: Seen
    token: int
    notice_s: float | None
    tasks: tuple[TaskReport, ...]


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine as the cloud's list shows it, some seconds late."""

    id: MachineId
    address: str
    type: TypeName
    zone: Zone
    spot: bool
    state: str
    age_s: float
