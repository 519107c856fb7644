"""The clocks of this process: the steady one, which no adjustment moves, and the time of day."""

from __future__ import annotations

import time

from ..core.model.ids import Seconds, WallTime


def steady() -> Seconds:
    """Seconds on the steady clock; they compare within this process only."""
    return Seconds(time.monotonic())


def wall() -> WallTime:
    """The time of day, in seconds since 1970."""
    return WallTime(time.time())
