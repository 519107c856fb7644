"""A timeout that tolerates a suspension of the process.

A process may be suspended, or wait for a CPU. When it resumes, the event loop runs expired
timers before it reads data that arrived in the meantime. A timeout whose timer fires late is
therefore extended by a grace period, a limited number of times.
"""

from __future__ import annotations

import asyncio
from types import TracebackType

LATE_THRESHOLD_S = 0.05
"""A timer that fires later than this shows that the process was suspended or busy."""

GRACE_PERIOD_S = 0.5
"""Grace period in which data that has already arrived is read."""

MAX_GRACE_PERIODS = 3
"""Bounds the total extension in a process whose timers are always late."""


class Deadline:
    """Asynchronous context manager that, like asyncio.timeout, raises TimeoutError."""

    def __init__(self, timeout_s: float) -> None:
        """The error is raised `timeout_s` after the context is entered."""
        self._timeout_s = timeout_s
        self._scope = asyncio.timeout(None)
        self._grace_periods = 0

    async def __aenter__(self) -> None:
        await self._scope.__aenter__()
        self._set_timer(self._timeout_s)

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._timer.cancel()
        # Converts the cancellation that the timeout caused into a TimeoutError.
        await self._scope.__aexit__(error_type, error, traceback)

    def _set_timer(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._due_at = loop.time() + delay_s
        self._timer = loop.call_at(self._due_at, self._on_timer)

    def _on_timer(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._due_at > LATE_THRESHOLD_S and self._grace_periods < MAX_GRACE_PERIODS:
            self._grace_periods += 1
            self._set_timer(GRACE_PERIOD_S)
        else:
            self._scope.reschedule(now)
