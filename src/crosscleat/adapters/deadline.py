"""A time limit that a standstill of the process does not use up.

A process may be suspended, or wait for a processor. When it goes on, its timers fire before what
has arrived meanwhile is read. A limit whose timer fires late is therefore put off for a moment,
a few times at most.
"""

from __future__ import annotations

import asyncio
from types import TracebackType

LATE_S = 0.05
"""A timer that fires so much too late shows that the process stood still, or was busy."""

GRACE_S = 0.5
"""For so long what has arrived is read before the limit applies."""

MAX_GRACES = 3
"""A process that is always late keeps to its limits in the end."""


class Deadline:
    """An asynchronous context that raises TimeoutError after `timeout_s`, as asyncio.timeout."""

    def __init__(self, timeout_s: float) -> None:
        """The time runs from the entry into the context."""
        self._timeout_s = timeout_s
        self._scope = asyncio.timeout(None)
        self._graces = 0

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
        # It raises TimeoutError in place of the cancellation by which it ended the context.
        await self._scope.__aexit__(error_type, error, traceback)

    def _set_timer(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._due = loop.time() + delay_s
        self._timer = loop.call_at(self._due, self._elapsed)

    def _elapsed(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._due > LATE_S and self._graces < MAX_GRACES:
            self._graces += 1
            self._set_timer(GRACE_S)
        else:
            self._scope.reschedule(now)
