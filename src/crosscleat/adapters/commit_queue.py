"""Group commit: waiting transactions are sent as one where the store's limits admit it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import msgspec

from ..core.model.store_calls import Commit, CommitOutcome, Conflict, Put, Unanswered

MAX_BYTES = 48_000
"""Of one request's values; the store's limit counts JSON."""
BYTES_PER_WRITE = 100
"""Allowance for a key and what surrounds a value."""
CONDITIONS_PER_OPERATION = 4

SendTransaction = Callable[[list[Commit]], Awaitable[CommitOutcome]]


class _Waiting(msgspec.Struct, frozen=True):
    commit: Commit
    outcome: asyncio.Future[CommitOutcome]

    def keys(self) -> set[str]:
        """The keys of its conditions."""
        return {key for key, _ in self.commit.conditions}

    def size(self) -> int:
        """Bytes in a request, about."""
        return sum(
            len(msgspec.json.encode(write.value)) + BYTES_PER_WRITE
            for write in self.commit.writes
            if isinstance(write, Put)
        )


class CommitQueue:
    """Sends one transaction at a time; those that users wait for share one where possible.

    A transaction is all or nothing. If conditions fail, the commits whose own conditions failed
    get that outcome, and the others are sent again.
    """

    def __init__(self, send: SendTransaction, max_operations: int) -> None:
        self._send = send
        self._max_operations = max_operations
        self._queue: deque[_Waiting] = deque()
        self._wake = asyncio.Event()

    async def commit(self, call: Commit) -> CommitOutcome:
        """Queue the transaction and wait for its outcome."""
        future: asyncio.Future[CommitOutcome] = asyncio.get_running_loop().create_future()
        self._queue.append(_Waiting(call, future))
        self._wake.set()
        return await future

    async def run(self) -> None:
        """Send what is queued until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                batch = self._next_batch()
                outcome = await self._send([waiting.commit for waiting in batch])
                self._distribute(batch, outcome)

    def _next_batch(self) -> list[_Waiting]:
        """The first in the queue and, if a user waits for it, those after it that fit."""
        first = self._queue.popleft()
        batch = [first]
        if not first.commit.for_user:
            return batch
        keys = first.keys()
        writes = len(first.commit.writes)
        size = first.size()
        while self._queue:
            candidate = self._queue[0]
            more_keys = candidate.keys()
            size += candidate.size()
            if (
                writes + len(candidate.commit.writes) > self._max_operations
                or len(keys) + len(more_keys) > CONDITIONS_PER_OPERATION * self._max_operations
                or size > MAX_BYTES
                or more_keys & keys
            ):
                break
            batch.append(self._queue.popleft())
            keys |= more_keys
            writes += len(candidate.commit.writes)
        return batch

    def _distribute(self, batch: list[_Waiting], outcome: CommitOutcome) -> None:
        if not isinstance(outcome, Conflict) or len(batch) == 1:
            for waiting in batch:
                waiting.outcome.set_result(outcome)
            return
        again = []
        for waiting in batch:
            failed = outcome.failed & waiting.keys()
            if failed:
                waiting.outcome.set_result(Conflict(failed, outcome.repeated))
            else:
                again.append(waiting)
        if len(again) == len(batch):
            # The store named no key of these: without the first, each next batch is another one.
            again.pop(0).outcome.set_result(Unanswered())
        self._queue.extendleft(reversed(again))
