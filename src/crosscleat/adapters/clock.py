"""The steady clock and the time of day."""

from __future__ import annotations

import time

from ..core.model.ids import Seconds, WallTime


def steady() -> Seconds:
    """Seconds on the steady clock of this process."""
    return Seconds(time.monotonic())


def wall() -> WallTime:
    """The time of day."""
    return WallTime(time.time())
