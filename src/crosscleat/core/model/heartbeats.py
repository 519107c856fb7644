"""Heartbeats of workers, and the states and causes of tasks in them."""

from __future__ import annotations

import msgspec

from .ids import Attempt, HeartbeatId, MachineId, TaskId, TypeName, Zone

EXITED = "exited"
"""The state of an attempt that has ended, with a cause."""

RUNNING = "running"
"""The state of a task that makes progress."""

FETCHING = "fetching"
"""The state of a task whose image is being fetched."""

WAITING = "waiting"
"""The state of a gang's task that has its image and waits for the others."""

SAVING = "saving"
"""The state of a stopped task that saves its progress."""

STATES = frozenset((EXITED, RUNNING, FETCHING, WAITING, SAVING))
"""The states that this version knows."""

DONE = "done"
"""The cause of the end of a completed task."""

STOPPED = "stopped"
"""The cause of the end of a task that was stopped by an order."""

ERROR = "error"
"""The cause of the end of a task that failed."""

NO_CAPACITY = "no_room"
"""The cause of the end of a start that the worker refused for lack of capacity."""

GANG_MEMBER_LOST = "mates_gone"
"""The cause of a task's end when another task of the running gang was lost."""

INCOMPLETE = "incomplete"
"""The cause of a task's end when its gang was not complete in time."""

CAUSES = frozenset(
    (DONE, STOPPED, ERROR, NO_CAPACITY, "busy", "no_such", GANG_MEMBER_LOST, INCOMPLETE)
)


class TaskStatus(msgspec.Struct, frozen=True):
    """One attempt of a task in a worker's heartbeat."""

    task: TaskId
    attempt: Attempt
    state: str
    """One of `STATES`, unless the worker is of a later version."""
    cause: str | None
    """Why it exited: one of `CAUSES`, unless the worker is of a later version."""
    saved: bool = False
    """It exited after it had saved its progress."""


class Heartbeat(msgspec.Struct, frozen=True):
    """What a worker reports of itself and its tasks, and how new that is."""

    machine: MachineId
    address: str
    type: TypeName
    zone: Zone
    spot: bool
    heartbeat_id: HeartbeatId
    token: int
    """The highest fencing token that the worker has received."""
    notice_s: float | None
    """Seconds until the cloud reclaims the machine, if it has given notice."""
    tasks: tuple[TaskStatus, ...]


def unknown_words(heartbeat: Heartbeat) -> set[str]:
    """States and causes in the heartbeat that this version does not know."""
    states = {task.state for task in heartbeat.tasks} - STATES
    causes = {task.cause for task in heartbeat.tasks if task.cause is not None} - CAUSES
    return states | causes
