"""Group commit: combines queued transactions into one, within the limits of the store."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import msgspec

from ..core.model.store_calls import Commit, CommitOutcome, Conflict, Put, Unanswered

MAX_BYTES = 48_000
"""Maximum size in bytes of one request's values as JSON, as the store's limit counts them."""
BYTES_PER_WRITE = 100
"""Estimated size of a write without its value: the key and the JSON syntax."""
CONDITIONS_PER_OPERATION = 4

SendTransaction = Callable[[list[Commit]], Awaitable[CommitOutcome]]


class _QueuedCommit(msgspec.Struct, frozen=True):
    commit: Commit
    outcome: asyncio.Future[CommitOutcome]

    def keys(self) -> set[str]:
        """The keys that the commit's conditions refer to."""
        return {key for key, _ in self.commit.conditions}

    def size(self) -> int:
        """Approximate number of bytes that the commit adds to a request."""
        return sum(
            len(msgspec.json.encode(write.value)) + BYTES_PER_WRITE
            for write in self.commit.writes
            if isinstance(write, Put)
        )


class CommitQueue:
    """Sends one transaction at a time; commits that users wait for are combined where possible.

    A transaction is atomic. After a conflict, the commits whose own conditions failed get that
    outcome, and the others are queued again.
    """

    def __init__(self, send: SendTransaction, max_operations: int) -> None:
        self._send = send
        self._max_operations = max_operations
        self._queue: deque[_QueuedCommit] = deque()
        self._wake = asyncio.Event()

    async def commit(self, call: Commit) -> CommitOutcome:
        """Queue a commit and wait for its outcome."""
        future: asyncio.Future[CommitOutcome] = asyncio.get_running_loop().create_future()
        self._queue.append(_QueuedCommit(call, future))
        self._wake.set()
        return await future

    async def run(self) -> None:
        """Send queued commits until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                batch = self._next_batch()
                outcome = await self._send([queued.commit for queued in batch])
                self._distribute(batch, outcome)

    def _next_batch(self) -> list[_QueuedCommit]:
        """The first queued commit and, if a user waits for it, the following ones that fit."""
        first = self._queue.popleft()
        batch = [first]
        if not first.commit.for_user:
            return batch
        keys = first.keys()
        writes = len(first.commit.writes)
        size = first.size()
        while self._queue:
            candidate = self._queue[0]
            candidate_keys = candidate.keys()
            size += candidate.size()
            if (
                writes + len(candidate.commit.writes) > self._max_operations
                or len(keys) + len(candidate_keys) > CONDITIONS_PER_OPERATION * self._max_operations
                or size > MAX_BYTES
                or candidate_keys & keys
            ):
                break
            batch.append(self._queue.popleft())
            keys |= candidate_keys
            writes += len(candidate.commit.writes)
        return batch

    def _distribute(self, batch: list[_QueuedCommit], outcome: CommitOutcome) -> None:
        if not isinstance(outcome, Conflict) or len(batch) == 1:
            for queued in batch:
                queued.outcome.set_result(outcome)
            return
        retried = []
        for queued in batch:
            failed = outcome.failed & queued.keys()
            if failed:
                queued.outcome.set_result(Conflict(failed, outcome.repeated))
            else:
                retried.append(queued)
        if len(retried) == len(batch):
            # The store reported no key of this batch. Giving up the first commit ensures that the
            # same batch is not sent forever.
            retried.pop(0).outcome.set_result(Unanswered())
        self._queue.extendleft(reversed(retried))
