"""Jobs as their users described them."""

from __future__ import annotations

import enum
import math

import msgspec

from .ids import Image, JobRef, Team, TypeName, Zone


class Priority(enum.IntEnum):
    """Order of precedence of jobs."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    PRODUCTION = 3


class Shape(enum.IntEnum):
    """How the tasks of a job belong together."""

    ARRAY = 0
    """Independent tasks, each runs to completion."""
    GANG = 1
    """Tasks that run together or not at all."""
    SERVICE = 2
    """On no page, but the bench submits one and expects it to run (`docs/questions.md`); its tasks
    are run as those of an array."""


class JobSpec(msgspec.Struct, array_like=True, frozen=True):
    """A job as its user described it. Kept in the store in this order of fields."""

    ref: JobRef
    job_class: str
    team: Team
    priority: Priority
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: Image
    image_gb: float
    types: tuple[TypeName, ...] | None
    zone: Zone | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None
    shape: Shape = Shape.ARRAY

    def per_zone(self) -> int:
        """How many of the tasks may be in one zone at a time."""
        return math.ceil(self.tasks / 2) if self.spread else self.tasks
