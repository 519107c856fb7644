"""What one attempt reserves on a machine until it is proven to have ended."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.ids import (
    LONG_AGO,
    AgentEpoch,
    Attempt,
    MachineId,
    Seconds,
    TaskId,
    Zone,
)
from ..model.job_spec import JobSpec

AttemptKey = tuple[TaskId, Attempt]
"""An attempt on one machine. The same attempt of a gang's task may be on two machines in turn."""


@dataclass(slots=True)
class Allocation:
    """The capacity, quota and zone that one attempt takes until it is proven to have ended."""

    task: TaskId
    attempt: Attempt
    spec: JobSpec
    machine: MachineId
    zone: Zone
    agent_epoch: AgentEpoch
    recorded: bool = False
    """The store has the placement: a start may be sent."""
    in_last_heartbeat: bool = False
    """The machine's newest heartbeat lists the attempt."""
    task_state: str = ""
    """The state in the newest heartbeat that listed the attempt, as in `heartbeats.STATES`."""
    stopping: bool = False
    """No start is sent any more, and a stop is sent while heartbeats list the attempt."""
    replaced: bool = False
    """Stopped alone: its gang waits until the task is placed on another machine."""
    grace_s: float = 0.0
    """How long a stopped attempt may take to save its progress."""
    start_sent_at_sequence: int = 0
    """Sequence of the last heartbeat whose response carried the start."""
    start_sent: bool = False
    """A start may have been sent, by this leader or an earlier one."""
    placed_at: Seconds = LONG_AGO
    running_since: Seconds | None = None

    @property
    def key(self) -> AttemptKey:
        """The key among the machine's allocations."""
        return (self.task, self.attempt)
