"""Pending requests: each waits for the controller's answer or a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..adapters.deadline import Deadline
from ..core.model.effects import Response
from ..core.model.inputs import Input
from ..core.model.worker_calls import HeartbeatResponse

Answer = Response | HeartbeatResponse


class PendingRequests:
    """Requests of users and workers, by the request number that the controller's answer repeats."""

    def __init__(self) -> None:
        self._futures: dict[int, asyncio.Future[Answer]] = {}
        self._last_number = 0

    def complete(self, answer: Answer) -> None:
        """Deliver an answer; it is dropped if its request has timed out."""
        future = self._futures.pop(answer.request, None)
        if future is not None and not future.done():
            future.set_result(answer)

    async def request_answer(
        self, step: Callable[[Input], None], make_input: Callable[[int], Input], timeout_s: float
    ) -> Answer | None:
        """Pass the input for a new request number to `step`; None if no answer came in time."""
        self._last_number += 1
        number = self._last_number
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        step(make_input(number))
        if future.done():
            # Most heartbeats are answered within the step, so they need no timer.
            return future.result()
        try:
            async with Deadline(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            self._futures.pop(number, None)
