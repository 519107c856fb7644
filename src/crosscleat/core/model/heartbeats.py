"""A worker's report, as the core reads it."""

from __future__ import annotations

import msgspec

from .ids import Attempt, HeartbeatId, MachineId, TaskId, TypeName, Zone

EXITED = "exited"

RUNNING = "running"

FETCHING = "fetching"

WAITING = "waiting"
"""A gang's task that has its image and waits for the others."""

SAVING = "saving"

STATES = frozenset((EXITED, RUNNING, FETCHING, WAITING, SAVING))

DONE = "done"

STOPPED = "stopped"

ERROR = "error"

NO_CAPACITY = "no_room"

GANG_MEMBER_LOST = "mates_gone"
"""Another task of the running gang was gone."""

INCOMPLETE = "incomplete"
"""The gang was not complete in time."""

CAUSES = frozenset(
    (DONE, STOPPED, ERROR, NO_CAPACITY, "busy", "no_such", GANG_MEMBER_LOST, INCOMPLETE)
)


class TaskStatus(msgspec.Struct, frozen=True):
    """One task in a worker's report."""

    task: TaskId
    attempt: Attempt
    state: str
    cause: str | None
    saved: bool = False
    """It exited after its progress was saved."""


class Heartbeat(msgspec.Struct, frozen=True):
    """A worker's report."""

    machine: MachineId
    address: str
    type: TypeName
    zone: Zone
    spot: bool
    heartbeat_id: HeartbeatId
    token: int
    notice_s: float | None
    tasks: tuple[TaskStatus, ...]


def unknown_words(heartbeat: Heartbeat) -> set[str]:
    """States and causes in the report that this version does not know."""
    states = {task.state for task in heartbeat.tasks} - STATES
    causes = {task.cause for task in heartbeat.tasks if task.cause is not None} - CAUSES
    return states | causes
