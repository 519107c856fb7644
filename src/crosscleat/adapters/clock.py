"""The steady clock and the time of day."""

from __future__ import annotations

import time

from ..core.ids import Seconds, WallTime


def steady() -> Seconds:
    return Seconds(time.monotonic())


def wall() -> WallTime:
    return WallTime(time.time())
