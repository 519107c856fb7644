"""Heartbeats of workers, and the task states and exit causes in them."""

from __future__ import annotations

import msgspec

from .ids import Attempt, HeartbeatId, MachineId, TaskId, TypeName, Zone

EXITED = "exited"
"""State of an attempt that has ended; it has a cause."""

RUNNING = "running"
"""State of a task that makes progress."""

FETCHING = "fetching"
"""State of a task whose image is being fetched."""

WAITING = "waiting"
"""State of a gang's task that has its image and waits for the others."""

SAVING = "saving"
"""State of a stopped task that saves its progress."""

STATES = frozenset((EXITED, RUNNING, FETCHING, WAITING, SAVING))
"""Task states known to this version."""

DONE = "done"
"""Exit cause of a completed task."""

STOPPED = "stopped"
"""Exit cause of a task that was stopped by an order."""

ERROR = "error"
"""Exit cause of a task that failed."""

NO_CAPACITY = "no_room"
"""Exit cause of an attempt whose start the worker refused for lack of capacity."""

GANG_MEMBER_LOST = "mates_gone"
"""Exit cause of a task when another task of its running gang was lost."""

INCOMPLETE = "incomplete"
"""Exit cause of a task whose gang was not complete in time."""

CAUSES = frozenset(
    (DONE, STOPPED, ERROR, NO_CAPACITY, "busy", "no_such", GANG_MEMBER_LOST, INCOMPLETE)
)
"""Exit causes known to this version."""


class TaskStatus(msgspec.Struct, frozen=True):
    """The status of one attempt in a worker's heartbeat."""

    task: TaskId
    attempt: Attempt
    state: str
    """One of `STATES`, unless the worker has a later version."""
    cause: str | None
    """Why it exited: one of `CAUSES`, unless the worker has a later version."""
    saved: bool = False
    """Whether it saved its progress before it exited."""


class Heartbeat(msgspec.Struct, frozen=True):
    """A worker's report of its own state and its tasks; `heartbeat_id` shows which one is newer."""

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


def unknown_states_and_causes(heartbeat: Heartbeat) -> set[str]:
    """Return the task states and causes in the heartbeat that are unknown to this version."""
    states = {task.state for task in heartbeat.tasks} - STATES
    causes = {task.cause for task in heartbeat.tasks if task.cause is not None} - CAUSES
    return states | causes
