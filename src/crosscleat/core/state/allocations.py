"""The resources that one attempt reserves on a machine until it is proven to have ended."""

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
"""Identifies an attempt among the allocations of one machine.

It is not unique in the cluster: an attempt of a gang's task keeps its number when the task moves to
another machine.
"""


@dataclass(slots=True)
class Allocation:
    """The capacity, quota and zone that one attempt uses until it is proven to have ended."""

    task: TaskId
    attempt: Attempt
    spec: JobSpec
    machine: MachineId
    zone: Zone
    agent_epoch: AgentEpoch
    recorded: bool = False
    """Whether the placement is in the store; the start order is only sent then."""
    in_last_heartbeat: bool = False
    """Whether the machine's newest heartbeat lists the attempt."""
    task_state: str = ""
    """The state in the newest heartbeat that listed the attempt: one of `heartbeats.STATES`."""
    stopping: bool = False
    """Whether the attempt is being stopped.

    Its start order is no longer sent, and a stop order is sent while heartbeats list it.
    """
    being_replaced: bool = False
    """Whether only this task of its gang is stopped; the gang waits for a replacement elsewhere."""
    grace_s: float = 0.0
    """Time in seconds that a stopped attempt has to save its progress."""
    start_sent_at_sequence: int = 0
    """Sequence number of the last heartbeat whose response contained the start order."""
    start_sent: bool = False
    """Whether this leader or an earlier one may have sent the start order."""
    placed_at: Seconds = LONG_AGO
    running_since: Seconds | None = None

    @property
    def key(self) -> AttemptKey:
        """The key of this allocation in `Machine.allocations`."""
        return (self.task, self.attempt)
