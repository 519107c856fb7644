"""The clocks of this process: a monotonic clock and the wall clock."""

from __future__ import annotations

import time

from ..core.model.ids import Seconds, WallTime


def monotonic_time() -> Seconds:
    """Seconds on a clock that is never adjusted; comparable within this process only."""
    return Seconds(time.monotonic())


def wall_time() -> WallTime:
    """Unix time in seconds."""
    return WallTime(time.time())
