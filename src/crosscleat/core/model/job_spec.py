"""The specification of a job, as its user submitted it."""

from __future__ import annotations

import enum
import math

import msgspec

from .ids import Image, JobRef, Team, TypeName, Zone


class Priority(enum.IntEnum):
    """Priority of a job; a higher value takes precedence."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    PRODUCTION = 3


class Shape(enum.IntEnum):
    """How the tasks of a job depend on each other."""

    ARRAY = 0
    """Independent tasks, each of which runs to completion."""
    GANG = 1
    """Tasks that run together or not at all."""
    SERVICE = 2
    """Tasks that are run like those of an array.

    The platform's documentation does not mention this shape, but the benchmark submits such a job
    and expects it to run (`docs/questions.md`).
    """


class JobSpec(msgspec.Struct, array_like=True, frozen=True):
    """The specification of a job; it is stored as an array in this order of fields."""

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

    def max_per_zone(self) -> int:
        """Maximum number of the job's tasks that may be in one zone at a time."""
        return math.ceil(self.tasks / 2) if self.spread else self.tasks
