"""Background tasks: a failed task is logged and does not affect the others."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from logging import Logger
from typing import Any


class BackgroundTasks:
    """Starts tasks and keeps a reference to each until it ends, because the event loop does not.

    A task group is not used because one failed task would cancel the others.
    """

    def __init__(self, log: Logger) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run the coroutine as a task; needs a running event loop."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("background task failed", exc_info=task.exception())
