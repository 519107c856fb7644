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
    TypeName,
    Zone,
)
from ..model.job_spec import JobSpec
from ..model.quantities import ROUNDING
from .allocations import Allocation, AttemptKey
from .direct_channel import DirectChannel
from .image_cache import ImageCache

NEVER_ANSWERED = Seconds(-math.inf)
"""`Machine.last_response_at` before the first response."""

UNKNOWN_TYPE = MachineType(TypeName(""), 0.0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0, 0.0, ())
"""The type of a machine whose type is not known, or not yet: it has no capacity."""

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
    """A heartbeat of it has arrived in this term."""
    listed_by_cloud: bool = False
    """The cloud's list has named it."""
    listed_as_running: bool = False
    """The cloud's list has named it as running: it has booted, with or without a heartbeat."""
    heartbeat_id: HeartbeatId = NO_HEARTBEAT
    heartbeat_sequence: int = 0
    """Sequence of the newest heartbeat; replies to direct commands change `heartbeat_id` alone."""
    shown_token: int = 0
    """The highest fencing token that its heartbeats have shown."""
    direct: DirectChannel = field(default_factory=DirectChannel)
    last_heartbeat_at: Seconds = LONG_AGO
    last_response_at: Seconds = NEVER_ANSWERED
    """When we last responded to a heartbeat of it."""
    responses_unbroken_since: Seconds = LONG_AGO
    """Since when we have responded to its heartbeats without a long interruption."""
    last_possible_renewal: Seconds = LONG_AGO
    """The latest time at which any controller could have renewed the worker's lease."""
    reclaim_at: Seconds | None = None
    """When the cloud takes it back, once a notice was received."""
    quarantined: bool = False
    """Several jobs failed on it: nothing is placed on it any more."""
    surplus: bool = False
    """It is not needed any more, and deleted once it is empty."""
    failed_jobs: set[str] = field(default_factory=set)
    """Jobs that failed on it since a task last completed there."""
    placement_paused_until: Seconds = LONG_AGO
    """It refused a start for lack of capacity: nothing is placed on it until then."""
    decommissioning: bool = False
    """Its deletion is decided; nothing is placed on it again."""
    deleted_for_silence: bool = False
    """Its deletion was decided because it sent no heartbeats."""
    decommission_recorded: bool = False
    """The store has the decision to delete it: the deletion may be sent."""
    deletion_sent_at: Seconds | None = None
    """When its deletion was last sent to the cloud."""
    images: ImageCache = field(default_factory=ImageCache)
    allocations: dict[AttemptKey, Allocation] = field(default_factory=dict)
    exited: dict[AttemptKey, str] = field(default_factory=dict)
    """Attempts that the newest heartbeat lists as exited, with their causes."""
    idle_since: Seconds | None = None
    """Since when it has had no allocation."""
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory: float = 0.0
    orphans: dict[AttemptKey, None] = field(default_factory=dict)
    """Attempts that its newest heartbeat lists and no record has, in its order: they are
    stopped."""
    confirmed_in_term: bool = False
    """Rented in this term, or a heartbeat has shown a token of it: it is no delayed heartbeat of
    a machine that no longer exists."""
    unresponsive_since: Seconds | None = None
    """Since when its heartbeats have shown that it does not act on our responses."""
    probed_at: Seconds = LONG_AGO
    """When another controller was last asked to reach it."""

    @property
    def booted(self) -> bool:
        """Whether it has booted, as its own heartbeats or the cloud's list show."""
        return self.has_sent_heartbeat or self.listed_as_running

    @property
    def draining(self) -> bool:
        """Whether nothing more is placed on it, and it is deleted once it is empty."""
        return self.quarantined or self.surplus or self.reclaim_at is not None

    def begin_agent_epoch(self) -> None:
        """Its lease expired: what it did and received in the epoch before is void."""
        self.exited.clear()
        self.orphans.clear()
        self.direct.starts.clear()

    def update_task_list(self, listed: dict[AttemptKey, TaskStatus]) -> None:
        """Note the exited attempts of the newest heartbeat, and those that no record has."""
        self.exited = {
            key: task.cause or "" for key, task in listed.items() if task.state == EXITED
        }
        self.direct.drop_starts(listed, self.allocations)
        self.orphans = dict.fromkeys(
            key
            for key, task in listed.items()
            if task.state != EXITED and key not in self.allocations
        )

    def fits(self, job: JobSpec) -> bool:
        """Whether one task of the job fits beside all allocations, running or not."""
        return (
            self.used_cpus + job.cpus <= self.type.cpus + ROUNDING
            and self.used_memory + job.memory_gb <= self.type.memory_gb + ROUNDING
            and self.used_gpus + job.gpus <= self.type.gpus + ROUNDING
        )

    def use_image(self, image: str, size_gb: float, ready: Seconds) -> None:
        """Enter an image as present from `ready` on, and evict others beyond the size of the cache.

        None is evicted that an allocation needs.
        """
        self.images.use(image, size_gb, ready)
        needed = {allocation.spec.image for allocation in self.allocations.values()}
        self.images.evict(self.type.cache_gb, needed, image)

    def allows(self, job: JobSpec) -> bool:
        """Whether the job's constraints on type, zone and spot machines allow this machine."""
        return (
            (job.types is None or self.type.name in job.types)
            and (job.zone is None or job.zone == self.zone)
            and (job.spot or not self.spot)
        )

    def may_still_start(self, allocation: Allocation) -> bool:
        """Whether a start that was sent for this allocation can still be executed.

        A direct start can be executed until the worker has shown a higher token. One in the
        response to a heartbeat is executed before the next heartbeat is sent, or never.
        """
        if not allocation.start_sent:
            return False
        if self.direct.in_flight or self.shown_token <= self.direct.pending_start_token:
            return True
        return self.heartbeat_sequence <= allocation.start_sent_at_sequence
