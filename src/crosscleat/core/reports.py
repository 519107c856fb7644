"""A worker's report, as the core reads it."""

from __future__ import annotations

from dataclasses import dataclass

from .ids import Attempt, MachineId, Seen, TaskId, TypeName, Zone

EXITED = "exited"
RUNNING = "running"
FETCHING = "fetching"


@dataclass(frozen=True, slots=True)
class TaskReport:
    task: TaskId
    attempt: Attempt
    state: str
    cause: str | None


@dataclass(frozen=True, slots=True)
class Report:
    machine: MachineId
    address: str
    type: TypeName
    zone: Zone
    spot: bool
    seen: Seen
    token: int
    notice_s: float | None
    tasks: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """A machine as the cloud's list shows it, some seconds late."""

    id: MachineId
    address: str
    type: TypeName
    zone: Zone
    spot: bool
    state: str
    age_s: float
