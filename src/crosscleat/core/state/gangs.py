"""The phases of a gang's attempt, its progress, and the response to an interruption notice.

All tasks of a gang's attempt share one attempt number, by which they find each other. Each waits
until all of them have their image; then they run together and complete together. While they wait, a
lost task can be replaced under the same number; once they run, the loss of one ends the attempt.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import heartbeats
from ..model.deployment import Deployment
from ..model.ids import MachineId, Seconds
from ..model.job_spec import JobSpec
from ..model.quantities import round_down
from .allocations import Allocation
from .machine import Machine

PlacedTask = tuple[Machine, Allocation]
"""A placed task: its machine and its allocation there."""

REPLACEABLE = (None, heartbeats.NO_CAPACITY, heartbeats.STOPPED)
"""Exit causes of a task after which a replacement may still complete the attempt."""

MAX_NOTICE_SHARE = 0.7
"""A run continues if it is estimated to complete within this share of the remaining notice time."""

STOP_MARGIN_S = 1.0
"""Part of the notice time that is reserved for the messages that stop a gang, in seconds."""

HEARTBEAT_JITTER = 1.25
"""The time between two heartbeats is 1 to 1.25 times `heartbeat_interval_s`."""

MAX_FETCH_TIME_FACTOR = 1.4
"""Fetching an image may take this multiple of the time computed from the machine type's rate."""


class Phase(enum.Enum):
    """The phase of a gang's attempt according to the newest heartbeats of its machines."""

    UNCONFIRMED = enum.auto()
    """A machine to which a start may have been sent is not confirmed in this term yet.

    This happens under a new leader; see `Machine.confirmed_in_term`.
    """
    WAITING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()


class InterruptionResponse(enum.Enum):
    """What is done with a gang when the cloud is about to reclaim one of its machines."""

    KEEP = enum.auto()
    """The gang continues; the decision is repeated when the machine is next checked."""
    REPLACE = enum.auto()
    """Only the task on that machine is stopped, and started on another machine."""
    STOP_AND_SAVE = enum.auto()
    STOP = enum.auto()
    """The gang is stopped without saving: the notice is too short, or it has no checkpoints."""


@dataclass(slots=True)
class GangProgress:
    """A gang's progress, as heartbeats have reported it in this term."""

    saved_s: float = 0.0
    """Saved progress, in seconds of run time, that the next attempt continues from."""
    running_since: Seconds | None = None
    stopped_at: Seconds | None = None
    """When the first stop order of the attempt was sent; its progress ends then."""
    waiting_since: Seconds | None = None
    """When a heartbeat first listed one of its tasks as waiting."""
    lost_on: set[MachineId] = field(default_factory=set)
    """Machines on which a task of the current attempt was lost; no replacement is placed there."""

    def begin_attempt(self, spec: JobSpec) -> None:
        """Account for the saved progress of the previous attempt and reset the other fields."""
        if self.stopped_at is not None:
            self.end_attempt(spec, self.stopped_at, saved=False)
        self.running_since = self.stopped_at = self.waiting_since = None
        self.lost_on.clear()

    def mark_running(self, now: Seconds) -> None:
        """Record that a heartbeat lists a task as running; all tasks run then."""
        if self.running_since is None:
            self.running_since = now

    def mark_waiting(self, now: Seconds) -> None:
        """Record that a heartbeat lists a task as waiting for the others."""
        if self.waiting_since is None:
            self.waiting_since = now

    def mark_stopping(self, now: Seconds) -> None:
        """Record that a stop order is sent; progress ends with the first one."""
        if self.stopped_at is None:
            self.stopped_at = now

    def run_time_s(self, now: Seconds) -> float:
        """Seconds for which the current attempt has made progress."""
        if self.running_since is None:
            return 0.0
        end = now if self.stopped_at is None else self.stopped_at
        return max(0.0, end - self.running_since)

    def end_attempt(self, spec: JobSpec, now: Seconds, saved: bool) -> None:
        """Compute the progress that the next attempt continues from.

        Only the first call for an attempt has an effect. `saved`: a task reported that it exited
        after saving. Otherwise the next attempt continues from the last checkpoint; these are taken
        at multiples of `checkpoint_s` of the job's progress.
        """
        if self.running_since is None:
            return
        progress_s = self.saved_s + self.run_time_s(now)
        if not saved and spec.checkpoint_s > 0:
            progress_s = round_down(progress_s, spec.checkpoint_s)
        if spec.checkpoint_s > 0:
            self.saved_s = max(self.saved_s, progress_s)
        self.running_since = None


def phase_of(placed: Iterable[PlacedTask]) -> Phase:
    """Return the phase of the attempt with these placements."""
    phase = Phase.WAITING
    for machine, allocation in placed:
        if allocation.being_replaced:
            continue
        if allocation.stopping:
            return Phase.STOPPING
        if allocation.running_since is not None or allocation.task_state in (
            heartbeats.RUNNING,
            heartbeats.SAVING,
        ):
            return Phase.RUNNING
        if allocation.start_sent and not machine.confirmed_in_term:
            phase = Phase.UNCONFIRMED
    return phase


def may_replace(cause: str | None, others: Iterable[PlacedTask]) -> bool:
    """Whether the attempt may still be completed after one of its tasks ended with this cause."""
    return cause in REPLACEABLE and phase_of(others) in (Phase.WAITING, Phase.UNCONFIRMED)


def order_delay_s(machine: Machine, deployment: Deployment, now: Seconds) -> float:
    """Maximum delay until an order reaches the machine.

    It is 0 if direct commands are possible, else the time until the machine's next heartbeat.
    """
    reachable = machine.address is not None and machine.direct.paused_until <= now
    return 0.0 if reachable else HEARTBEAT_JITTER * deployment.heartbeat_interval_s


def is_reachable_in_time(machine: Machine, deployment: Deployment, now: Seconds) -> bool:
    """Whether a stop order sent now reaches the machine within `gang_peer_s`."""
    max_interval_s = HEARTBEAT_JITTER * deployment.heartbeat_interval_s
    is_alive = now - machine.last_heartbeat_at <= max_interval_s + STOP_MARGIN_S
    if not is_alive or machine.unresponsive_since is not None:
        return False
    delay_s = order_delay_s(machine, deployment, now)
    return delay_s + STOP_MARGIN_S <= deployment.gang_peer_s


def respond_to_notice(
    spec: JobSpec,
    placed: list[PlacedTask],
    remaining_run_s: float,
    notice_s: float,
    deployment: Deployment,
    now: Seconds,
) -> InterruptionResponse:
    """Decide what to do with a gang when one of its machines is reclaimed in `notice_s` seconds."""
    phase = phase_of(placed)
    if phase is Phase.STOPPING or remaining_run_s < MAX_NOTICE_SHARE * notice_s:
        return InterruptionResponse.KEEP
    if phase is not Phase.RUNNING:
        return InterruptionResponse.REPLACE
    saves_in_time = spec.checkpoint_s > 0 and spec.save_s + STOP_MARGIN_S <= notice_s
    if not saves_in_time:
        return InterruptionResponse.STOP
    if all(is_reachable_in_time(machine, deployment, now) for machine, _ in placed):
        return InterruptionResponse.STOP_AND_SAVE
    # A stop that reaches only some of the tasks saves nothing. While the notice leaves time to
    # save, the unreachable machines may send heartbeats again.
    return InterruptionResponse.KEEP
