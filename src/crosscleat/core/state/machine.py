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
from ..model.quantities import ROUNDING_TOLERANCE
from .allocations import Allocation, AttemptKey
from .direct_channel import DirectChannel
from .image_cache import ImageCache

NEVER_RESPONDED = Seconds(-math.inf)
"""`Machine.last_response_at` before the first response."""

UNKNOWN_TYPE = MachineType(TypeName(""), 0.0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0, 0.0, ())
"""The type of a machine whose type is not known; it has no capacity."""

UNKNOWN_ZONE = Zone("")
"""The zone of a machine that is only known from a stored record so far."""


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
    """Whether a heartbeat of it has arrived in this term."""
    listed_by_cloud: bool = False
    """Whether the cloud's machine list has contained it."""
    listed_as_running: bool = False
    """Whether the cloud's list has shown it as running: it has booted, even without a heartbeat."""
    heartbeat_id: HeartbeatId = NO_HEARTBEAT
    heartbeat_sequence: int = 0
    """Sequence number of the newest heartbeat.

    Replies to direct commands change only `heartbeat_id`.
    """
    reported_token: int = 0
    """The highest fencing token that its heartbeats have reported."""
    direct: DirectChannel = field(default_factory=DirectChannel)
    last_heartbeat_at: Seconds = LONG_AGO
    last_response_at: Seconds = NEVER_RESPONDED
    """When this leader last responded to one of its heartbeats."""
    responses_unbroken_since: Seconds = LONG_AGO
    """Since when this leader has responded to its heartbeats without a long interruption."""
    last_possible_renewal: Seconds = LONG_AGO
    """The latest time at which any controller could have renewed the worker's lease."""
    reclaim_at: Seconds | None = None
    """When the cloud will reclaim it, if a notice was received."""
    quarantined: bool = False
    """Whether several jobs failed on it; nothing more is placed on it then."""
    surplus: bool = False
    """Whether it is no longer needed and is deleted once it is empty."""
    failed_jobs: set[str] = field(default_factory=set)
    """Jobs that failed on it since a task last completed on it."""
    placement_paused_until: Seconds = LONG_AGO
    """After it refused a start for lack of capacity, nothing is placed on it until this time."""
    decommissioning: bool = False
    """Whether its deletion is decided; nothing more is placed on it then."""
    deleted_for_silence: bool = False
    """Whether its deletion was decided because it sent no heartbeats."""
    decommission_recorded: bool = False
    """Whether the decision to delete it is in the store, so that the deletion may be sent."""
    deletion_sent_at: Seconds | None = None
    """When the request to delete it was last sent to the cloud."""
    images: ImageCache = field(default_factory=ImageCache)
    allocations: dict[AttemptKey, Allocation] = field(default_factory=dict)
    exited: dict[AttemptKey, str] = field(default_factory=dict)
    """Attempts that its newest heartbeat lists as exited, with their causes."""
    idle_since: Seconds | None = None
    """Since when it has had no allocation."""
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory: float = 0.0
    orphans: dict[AttemptKey, None] = field(default_factory=dict)
    """Attempts in its newest heartbeat that have not exited and have no allocation.

    They are stopped, in the order of the heartbeat.
    """
    confirmed_in_term: bool = False
    """Whether it was rented in this term, or a heartbeat has reported a fencing token of this term.

    Otherwise its heartbeats may be delayed ones of a machine that no longer exists.
    """
    unresponsive_since: Seconds | None = None
    """Since when its heartbeats have shown that it does not act on this leader's responses."""
    probed_at: Seconds = LONG_AGO
    """When other controllers were last asked to probe it."""

    @property
    def booted(self) -> bool:
        """Whether it has booted, according to its own heartbeats or the cloud's list."""
        return self.has_sent_heartbeat or self.listed_as_running

    @property
    def draining(self) -> bool:
        """Whether nothing more is placed on it and it is deleted once it is empty."""
        return self.quarantined or self.surplus or self.reclaim_at is not None

    def begin_agent_epoch(self) -> None:
        """Discard the state of the previous agent epoch, which ended when its lease expired."""
        self.exited.clear()
        self.orphans.clear()
        self.direct.starts.clear()

    def update_task_list(self, listed: dict[AttemptKey, TaskStatus]) -> None:
        """Record the exited attempts of the newest heartbeat, and those without an allocation."""
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
        """Whether one task of the job fits in addition to all allocations, running or not."""
        return (
            self.used_cpus + job.cpus <= self.type.cpus + ROUNDING_TOLERANCE
            and self.used_memory + job.memory_gb <= self.type.memory_gb + ROUNDING_TOLERANCE
            and self.used_gpus + job.gpus <= self.type.gpus + ROUNDING_TOLERANCE
        )

    def use_image(self, image: str, size_gb: float, ready: Seconds) -> None:
        """Mark an image as used, present from `ready` on, and evict others if the cache is full.

        Images that an allocation needs are not evicted.
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
        """Whether the worker can still execute a start that was sent for this allocation.

        A direct start can be executed until the worker has reported a higher fencing token. A start
        in the response to a heartbeat is executed before the next heartbeat is sent, or never.
        """
        if not allocation.start_sent:
            return False
        if self.direct.in_flight or self.reported_token <= self.direct.pending_start_token:
            return True
        return self.heartbeat_sequence <= allocation.start_sent_at_sequence
