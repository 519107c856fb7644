"""What a team's limits admit."""

from __future__ import annotations

from ..model.job_spec import JobSpec
from ..model.quantities import ROUNDING


def within_limit(amount: float, limit: float) -> bool:
    """Whether the amount keeps to the limit; a limit of 0 means that there is none."""
    return limit <= 0 or amount <= limit + ROUNDING


def tasks_within_limit(spec: JobSpec, max_count: int, used_cpus: float, cpu_limit: float) -> int:
    """How many of `max_count` tasks of the job keep its team within its CPU limit.

    `used_cpus` is what the team uses before them. A limit of 0 means that there is none, and tasks
    without CPUs always keep to it.
    """
    if cpu_limit <= 0 or spec.cpus <= 0:
        return max_count
    return min(max_count, max(0, int((cpu_limit - used_cpus) / spec.cpus + ROUNDING)))
