"""What one attempt takes of a machine until it is proven gone."""

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


@dataclass(slots=True)
class Allocation:
    """The room, quota and place that one attempt takes until it is proven gone."""

    task: TaskId
    attempt: Attempt
    spec: JobSpec
    machine: MachineId
    zone: Zone
    agent_epoch: AgentEpoch
    recorded: bool = False
    """The store has the placement: a start may be sent."""
    in_last_heartbeat: bool = False
    """The newest report lists it."""
    task_state: str = ""
    stopping: bool = False
    """It is to go: no start is sent any more, and a stop when it is listed."""
    replaced: bool = False
    """Withdrawn by itself: its gang waits, and another place is found for it."""
    grace_s: float = 0.0
    start_sent_at_sequence: int = 0
    """Tally of the last check-in whose answer carried its start."""
    start_sent: bool = False
    """A start may have been sent, by this leader or an earlier one."""
    placed_at: Seconds = LONG_AGO
    running_since: Seconds | None = None

    @property
    def key(self) -> AttemptKey:
        """What it is known by on its machine."""
        return (self.task, self.attempt)
