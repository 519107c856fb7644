"""Tasks that nobody waits for: a failure of one is logged and ends nothing else."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from logging import Logger
from typing import Any


class BackgroundTasks:
    """Keeps a reference to each task until it ends, as the event loop itself does not.

    A task group does not serve here: one failed call must not cancel the others.
    """

    def __init__(self, log: Logger) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run the coroutine as a task; needs a running event loop."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("a task in the background failed", exc_info=task.exception())
