"""Checks of the limits of teams."""

from __future__ import annotations

from ..model.deployment import TeamLimits
from ..model.job_spec import JobSpec
from ..model.quantities import ROUNDING_TOLERANCE, whole_count


def within_limit(amount: float, limit: float) -> bool:
    """Whether the amount is within the limit, up to rounding; a limit of 0 means no limit."""
    return limit <= 0 or amount <= limit + ROUNDING_TOLERANCE


def tasks_within_limit(spec: JobSpec, max_count: int, used_cpus: float, cpu_limit: float) -> int:
    """How many of `max_count` tasks of the job keep its team within its CPU limit.

    `used_cpus` is the usage of the team without these tasks. A limit of 0 means no limit. Tasks
    that need no CPUs are always within the limit.
    """
    return _count_within(spec.cpus, max_count, used_cpus, cpu_limit)


def tasks_within_limits(
    spec: JobSpec, max_count: int, used_cpus: float, used_gpus: float, limits: TeamLimits | None
) -> int:
    """How many of `max_count` tasks of the job keep its team within its CPU and GPU limits.

    `limits` is None for a team that is not configured: none of its tasks are placed. Limits of 0,
    in contrast, mean no limit.
    """
    if limits is None:
        return 0
    by_cpus = tasks_within_limit(spec, max_count, used_cpus, limits.cpus_max)
    return _count_within(spec.gpus, by_cpus, used_gpus, limits.gpus_max)


def _count_within(need: float, max_count: int, used: float, limit: float) -> int:
    if limit <= 0 or need <= 0:
        return max_count
    return min(max_count, max(0, whole_count((limit - used) / need)))
