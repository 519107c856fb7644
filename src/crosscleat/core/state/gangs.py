"""The life of a gang's attempt: what its tasks are doing, and what may be done about it.

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

REPLACEABLE = (None, heartbeats.NO_CAPACITY, heartbeats.STOPPED)
"""Ends of a task that say nothing against completing the attempt that waits for it."""

IN_TIME_SHARE = 0.7
"""A run that is estimated to end within this part of a notice is let go on."""

STOP_MARGIN_S = 1.0
"""Kept free of a notice for the messages that stop a gang."""

HEARTBEAT_JITTER = 1.25
"""A worker reports every `report_s`, a quarter more at the most."""

FETCH_SPREAD = 1.4
"""An image may take a third longer than the machine type says."""


class Phase(enum.Enum):
    """How far an attempt has come, by the newest reports of its machines."""

    UNHEARD = enum.auto()
    """A new leader has not heard of every machine yet."""
    WAITING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()


class InterruptionResponse(enum.Enum):
    """What becomes of a gang one of whose machines is to be taken back."""

    KEEP = enum.auto()
    """It goes on, for now."""
    REPLACE = enum.auto()
    """The task on that machine alone is stopped, and started elsewhere."""
    STOP_AND_SAVE = enum.auto()
    STOP = enum.auto()
    """It can't save: the work since its last checkpoint is lost in any case."""


@dataclass(slots=True)
class GangProgress:
    """What the leader has seen of a gang's attempts in this term."""

    saved_s: float = 0.0
    """Progress that the next attempt continues from."""
    running_since: Seconds | None = None
    stopped_at: Seconds | None = None
    """When the first stop was sent: progress ends with it."""
    waiting_since: Seconds | None = None
    """When the first of its tasks was seen to wait."""
    lost_on: set[MachineId] = field(default_factory=set)
    """Machines on which a task of the present attempt was lost: no other is put there."""

    def begin_attempt(self, spec: JobSpec) -> None:
        """Count what the attempt before has left behind, and forget the rest of it."""
        if self.stopped_at is not None:
            self.end_attempt(spec, self.stopped_at, saved=False)
        self.running_since = self.stopped_at = self.waiting_since = None
        self.lost_on.clear()

    def mark_running(self, now: Seconds) -> None:
        """A task was seen to run, so all of them do."""
        if self.running_since is None:
            self.running_since = now

    def mark_waiting(self, now: Seconds) -> None:
        """A task was seen to wait for the others."""
        if self.waiting_since is None:
            self.waiting_since = now

    def mark_stopping(self, now: Seconds) -> None:
        """The first stop is being sent."""
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
            phase = Phase.UNHEARD
    return phase


def may_replace(cause: str | None, others: Iterable[Placed]) -> bool:
    """Whether the attempt may yet be completed after one of its tasks ended so."""
    return cause in REPLACEABLE and phase_of(others) in (Phase.WAITING, Phase.UNHEARD)


def start_delay_s(machine: Machine, deployment: Deployment, now: Seconds) -> float:
    """How long a start takes to reach the machine: at once, or with its next check-in."""
    reachable = machine.address is not None and machine.direct_paused_until <= now
    return 0.0 if reachable else HEARTBEAT_JITTER * deployment.heartbeat_interval_s


def is_reachable_in_time(machine: Machine, deployment: Deployment, now: Seconds) -> bool:
    """Whether a stop sent now reaches the machine within `gang_peer_s`."""
    check_in_s = HEARTBEAT_JITTER * deployment.heartbeat_interval_s
    heard = now - machine.last_heartbeat_at <= check_in_s + STOP_MARGIN_S
    if not heard or machine.unresponsive_since is not None:
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
    """What to do with a gang one of whose machines goes in `notice_s` seconds."""
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
    # A stop that reaches only some of them saves nothing: until the notice's last useful moment
    # the others may be heard of again.
    return InterruptionResponse.KEEP
