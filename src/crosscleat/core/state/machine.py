"""A machine as the leader knows it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ..model.cloud import MachineType
from ..model.heartbeats import EXITED, TaskStatus
from ..model.ids import (
    LONG_AGO,
    NO_HEARTBEAT,
    HeartbeatId,
    MachineId,
    Seconds,
    Token,
    TypeName,
    Zone,
)
from ..model.job_spec import JobSpec
from .allocations import Allocation, AttemptKey

NEVER_ANSWERED = Seconds(-math.inf)

UNKNOWN_TYPE = MachineType(TypeName(""), 0.0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0, 0.0, ())

NOWHERE = Zone("")
"""The zone of a machine that only a record has named so far."""


@dataclass(slots=True)
class Machine:
    """A machine as the leader knows it."""

    id: MachineId
    type: MachineType
    zone: Zone
    spot: bool
    address: str | None = None
    created_at: Seconds = LONG_AGO
    has_sent_heartbeat: bool = False
    listed_by_cloud: bool = False
    """The cloud's list has named it."""
    listed_as_running: bool = False
    """The cloud's list has named it as running: it has booted, heard of or not."""
    heartbeat_id: HeartbeatId = NO_HEARTBEAT
    heartbeat_sequence: int = 0
    """Tally of the newest check-in; answers to direct orders count in `seen` alone."""
    shown_token: int = 0
    pending_start_token: int = 0
    """A direct start sent with this token or a lower one may still be executed."""
    direct_in_flight: bool = False
    last_heartbeat_at: Seconds = LONG_AGO
    last_response_at: Seconds = NEVER_ANSWERED
    """When we last answered a check-in of it."""
    responses_unbroken_since: Seconds = LONG_AGO
    """Since when we have answered them with no long pause."""
    last_possible_renewal: Seconds = LONG_AGO
    """When anyone could last have renewed the worker's lease."""
    reclaim_at: Seconds | None = None
    quarantined: bool = False
    surplus: bool = False
    """It is not needed any more, and returned once it is empty."""
    failed_jobs: set[str] = field(default_factory=set)
    placement_paused_until: Seconds = LONG_AGO
    decommissioning: bool = False
    """Its deletion is decided; nothing is placed on it again."""
    deleted_for_silence: bool = False
    """Its deletion was decided because nothing was heard of it."""
    decommission_recorded: bool = False
    deletion_sent_at: Seconds | None = None
    images: dict[str, Seconds] = field(default_factory=dict)
    """Images it should have, and from when on; the one used last comes last."""
    image_gb: dict[str, float] = field(default_factory=dict)
    allocations: dict[AttemptKey, Allocation] = field(default_factory=dict)
    exited: dict[AttemptKey, str] = field(default_factory=dict)
    """Attempts that the newest report lists as exited."""
    idle_since: Seconds | None = None
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory: float = 0.0
    direct_starts: dict[AttemptKey, Token] = field(default_factory=dict)
    """Attempts of this session whose start was sent directly, and with which token."""
    orphans: set[AttemptKey] = field(default_factory=set)
    """Attempts at work on it that no record knows: to be stopped."""
    confirmed_in_term: bool = False
    """Rented or heard of for certain in this term: what speaks for it is no old report."""
    unresponsive_since: Seconds | None = None
    """Its reports show that it does not take up what our answers say."""
    probed_at: Seconds = LONG_AGO
    direct_failures: int = 0
    direct_paused_until: Seconds = LONG_AGO
    """A direct message failed: until then it hears of orders by its check-ins alone."""

    @property
    def booted(self) -> bool:
        """Whether it has come up, as its own reports or the cloud's list say."""
        return self.has_sent_heartbeat or self.listed_as_running

    @property
    def draining(self) -> bool:
        """Whether nothing more is placed on it, and it is returned once it is empty."""
        return self.quarantined or self.surplus or self.reclaim_at is not None

    def begin_agent_epoch(self) -> None:
        """Its lease ran out: what it did and heard before means nothing any more."""
        self.exited.clear()
        self.orphans.clear()
        self.direct_starts.clear()

    def update_task_list(self, listed: dict[AttemptKey, TaskStatus]) -> None:
        """What the newest report says of tasks that no record knows, and of exited ones."""
        self.exited = {
            key: task.cause or "" for key, task in listed.items() if task.state == EXITED
        }
        if len(self.direct_starts) > 2 * len(listed) + 20:
            self.direct_starts = {
                key: token
                for key, token in self.direct_starts.items()
                if key in listed or key in self.allocations
            }
        self.orphans = {
            key
            for key, task in listed.items()
            if task.state != EXITED and key not in self.allocations
        }

    def fits(self, job: JobSpec) -> bool:
        """Whether one task of the job fits beside what may be there."""
        return (
            self.used_cpus + job.cpus <= self.type.cpus + 1e-9
            and self.used_memory + job.memory_gb <= self.type.memory_gb + 1e-9
            and self.used_gpus + job.gpus <= self.type.gpus + 1e-9
        )

    def use_image(self, image: str, size_gb: float, ready: Seconds) -> None:
        """A task is to use the image: it is there, or will be then, and others make room."""
        self.images[image] = self.images.pop(image, ready)
        self.image_gb[image] = size_gb
        wanted = {allocation.spec.image for allocation in self.allocations.values()}
        for old in list(self.images):
            if sum(self.image_gb.values()) <= self.type.cache_gb or old == image:
                break
            if old not in wanted:
                del self.images[old], self.image_gb[old]

    def allows(self, job: JobSpec) -> bool:
        """Whether the job may be on this machine at all."""
        return (
            (job.types is None or self.type.name in job.types)
            and (job.zone is None or job.zone == self.zone)
            and (job.spot or not self.spot)
        )

    def may_still_start(self, allocation: Allocation) -> bool:
        """Whether a start of this hold that was sent could yet be executed.

        A direct start stays possible until the worker has shown a higher token. One in a
        check-in's answer is executed before the next check-in is sent, or never.
        """
        if not allocation.start_sent:
            return False
        if self.direct_in_flight or self.shown_token <= self.pending_start_token:
            return True
        return self.heartbeat_sequence <= allocation.start_sent_at_sequence
