"""The phases of a gang's attempt, its progress, and the response to a notice.

All tasks of an attempt have one number, by which they find each other. They wait until the last
has its image, run together and complete together. While they wait, a lost task can be replaced
under the same number; once they run, the loss of one ends the attempt.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import heartbeats
from ..model.deployment import Deployment
from ..model.ids import MachineId, Seconds
from ..model.job_spec import JobSpec
from .allocations import Allocation
from .machine import Machine

Placed = tuple[Machine, Allocation]
"""A placed task: its machine, and what it takes there."""

REPLACEABLE = (None, heartbeats.NO_CAPACITY, heartbeats.STOPPED)
"""Causes of a task's end after which the attempt may still be completed by a replacement."""

IN_TIME_SHARE = 0.7
"""A run is continued if it is estimated to end within this share of a notice."""

STOP_MARGIN_S = 1.0
"""Time of a notice that is set aside for the messages that stop a gang."""

HEARTBEAT_JITTER = 1.25
"""A heartbeat follows the last after `heartbeat_interval_s`, or up to a quarter more."""

FETCH_SPREAD = 1.4
"""By how much fetching an image may exceed the time that the machine type's rate gives."""


class Phase(enum.Enum):
    """How far an attempt has come, by the newest heartbeats of its machines."""

    UNCONFIRMED = enum.auto()
    """A new leader has no heartbeat yet of every machine to which a start may have been sent."""
    WAITING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()


class InterruptionResponse(enum.Enum):
    """What is done with a gang when one of its machines is to be reclaimed."""

    KEEP = enum.auto()
    """It continues; the decision is taken again with the next look at the machine."""
    REPLACE = enum.auto()
    """The task on that machine alone is stopped, and started elsewhere."""
    STOP_AND_SAVE = enum.auto()
    STOP = enum.auto()
    """It is stopped without saving: the notice is too short, or it has no checkpoints."""


@dataclass(slots=True)
class GangProgress:
    """What heartbeats have shown of a gang's attempts in this term."""

    saved_s: float = 0.0
    """Progress that the next attempt continues from."""
    running_since: Seconds | None = None
    stopped_at: Seconds | None = None
    """When the first stop was sent: progress ends with it."""
    waiting_since: Seconds | None = None
    """When a heartbeat first listed one of its tasks as waiting."""
    lost_on: set[MachineId] = field(default_factory=set)
    """Machines on which a task of the present attempt was lost: they get no replacement."""

    def begin_attempt(self, spec: JobSpec) -> None:
        """Count the saved progress of the attempt before, and reset the rest."""
        if self.stopped_at is not None:
            self.end_attempt(spec, self.stopped_at, saved=False)
        self.running_since = self.stopped_at = self.waiting_since = None
        self.lost_on.clear()

    def mark_running(self, now: Seconds) -> None:
        """A heartbeat lists a task as running, so all of them run."""
        if self.running_since is None:
            self.running_since = now

    def mark_waiting(self, now: Seconds) -> None:
        """A heartbeat lists a task as waiting for the others."""
        if self.waiting_since is None:
            self.waiting_since = now

    def mark_stopping(self, now: Seconds) -> None:
        """A stop is sent: progress ends with the first one."""
        if self.stopped_at is None:
            self.stopped_at = now

    def ran_s(self, now: Seconds) -> float:
        """For how long the present attempt has made progress."""
        if self.running_since is None:
            return 0.0
        end = now if self.stopped_at is None else self.stopped_at
        return max(0.0, end - self.running_since)

    def end_attempt(self, spec: JobSpec, now: Seconds, saved: bool) -> None:
        """Count what the next attempt continues from; later ends of the same attempt add nothing.

        `saved` is proven by a task that exited so. Otherwise the last checkpoint holds, a multiple
        of the interval in the job's own progress.
        """
        if self.running_since is None:
            return
        reached_s = self.saved_s + self.ran_s(now)
        if not saved and spec.checkpoint_s > 0:
            reached_s = math.floor(reached_s / spec.checkpoint_s) * spec.checkpoint_s
        if spec.checkpoint_s > 0:
            self.saved_s = max(self.saved_s, reached_s)
        self.running_since = None


def phase_of(placed: Iterable[Placed]) -> Phase:
    """What the attempt with these placements is doing."""
    phase = Phase.WAITING
    for machine, allocation in placed:
        if allocation.replaced:
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


def may_replace(cause: str | None, others: Iterable[Placed]) -> bool:
    """Whether the attempt may yet be completed after one of its tasks ended so."""
    return cause in REPLACEABLE and phase_of(others) in (Phase.WAITING, Phase.UNCONFIRMED)


def start_delay_s(machine: Machine, deployment: Deployment, now: Seconds) -> float:
    """How long a start takes to reach the machine: none, or until its next heartbeat."""
    reachable = machine.address is not None and machine.direct.paused_until <= now
    return 0.0 if reachable else HEARTBEAT_JITTER * deployment.heartbeat_interval_s


def is_reachable_in_time(machine: Machine, deployment: Deployment, now: Seconds) -> bool:
    """Whether a stop that is sent now reaches the machine within `gang_peer_s`."""
    max_interval_s = HEARTBEAT_JITTER * deployment.heartbeat_interval_s
    is_alive = now - machine.last_heartbeat_at <= max_interval_s + STOP_MARGIN_S
    if not is_alive or machine.unresponsive_since is not None:
        return False
    delay_s = start_delay_s(machine, deployment, now)
    return delay_s + STOP_MARGIN_S <= deployment.gang_peer_s


def respond_to_notice(
    spec: JobSpec,
    placed: list[Placed],
    left_to_run_s: float,
    notice_s: float,
    deployment: Deployment,
    now: Seconds,
) -> InterruptionResponse:
    """What to do with a gang when one of its machines is reclaimed in `notice_s` seconds."""
    phase = phase_of(placed)
    if phase is Phase.STOPPING or left_to_run_s < IN_TIME_SHARE * notice_s:
        return InterruptionResponse.KEEP
    if phase is not Phase.RUNNING:
        return InterruptionResponse.REPLACE
    saves_in_time = spec.checkpoint_s > 0 and spec.save_s + STOP_MARGIN_S <= notice_s
    if not saves_in_time:
        return InterruptionResponse.STOP
    if all(is_reachable_in_time(machine, deployment, now) for machine, _ in placed):
        return InterruptionResponse.STOP_AND_SAVE
    # A stop that reaches only some of the tasks saves nothing: while the notice leaves time to
    # save, heartbeats of the other machines may arrive again.
    return InterruptionResponse.KEEP
