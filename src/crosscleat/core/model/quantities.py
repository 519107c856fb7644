"""Comparison and counting of CPUs, GPUs and gigabytes, which are sums of decimal fractions."""

from __future__ import annotations

import math

ROUNDING_TOLERANCE = 1e-9
"""A sum may exceed a limit by this much, since rounding errors can cause it."""

MAX_COUNT = 1_000_000
"""Counts of tasks or machines are cut off here; a job has at most a tenth as many tasks."""


def whole_count(quotient: float) -> int:
    """Truncate a quotient of two amounts to a count from `-MAX_COUNT` to `MAX_COUNT`.

    The quotient may lie just below a whole number due to rounding. It is infinite if the divisor is
    close to the smallest positive number, and `int` raises OverflowError for that.
    """
    if -MAX_COUNT < quotient < MAX_COUNT:
        return int(quotient + ROUNDING_TOLERANCE)
    return MAX_COUNT if quotient > 0.0 else -MAX_COUNT


def round_down(amount: float, step: float) -> float:
    """Round a finite amount down to a multiple of `step`, which is positive.

    It is returned as it is if `step` is so small that the number of steps overflows.
    """
    steps = amount / step
    return amount if math.isinf(steps) else math.floor(steps) * step
