"""The client of the state service: allowances, group commit, retries, and what each answer means.

A 429 or 503 means that nothing was executed; no answer means perhaps, or later. So every
write is conditional, and is tried again as it is until the service decides.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import quote

import aiohttp
import msgspec

from ..core.model.ids import LeaseId, Version
from ..core.model.store_calls import (
    Commit,
    Committed,
    Conflict,
    Found,
    GrantLease,
    Item,
    Listing,
    NoSuchLease,
    Put,
    Read,
    RenewLease,
    RevokeLease,
    Scan,
    Watch,
    WatchResult,
)
from ..wire import state as wire
from .clock import steady
from .pacer import Pacer

TRY_S = 1.0
PAGE = 1000
MAX_BYTES = 48_000
REFUSED = (429, 503)
DOWN_AFTER = 3
USER_READ_S = 1.5
CHECK_S = 1.0
READ_SHARE = 0.18
"""One controller's part of the region's requests for users' reads of single keys. With those for
the changes of live jobs, three controllers leave a tenth of 150 a second."""
WRITE_SHARE = 0.7
"""One controller's part of the region's write allowance: mostly the leader writes."""

log = logging.getLogger("crosscleat.state")

Response = tuple[int, bytes]
Outcome = Committed | Conflict | NoSuchLease | None


class StateClient:
    """Calls to the state service, within its rate limits."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        rps: float,
        write_rps: float,
        txn_ops: int,
        rng: Random,
    ) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._rng = rng
        self._reads = Pacer(rps * READ_SHARE)
        self._writes = Pacer(write_rps * WRITE_SHARE)
        self._failures = 0
        self._probe_at = 0.0
        self._ok_at = steady()
        self._failing_since: float | None = None
        self._leader_lane = Lane(self._decide, txn_ops)
        self._user_lane = Lane(self._decide, txn_ops)

    async def run(self) -> None:
        """Send what users wait for, several writes to a transaction."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._leader_lane.run())
            group.create_task(self._user_lane.run())
            group.create_task(self._keep_checking())

    async def _keep_checking(self) -> None:
        """Whoever is refused takes no requests, so it must find out by itself when that ends."""
        while True:
            await asyncio.sleep(CHECK_S)
            if steady() - self._ok_at > CHECK_S:
                await self._try("GET", "/kv/leader", None, TRY_S)

    @property
    def well(self) -> bool:
        """Whether the service served us last."""
        return self._failures == 0

    def failing_s(self) -> float:
        """For how long it has not served us; 0 while it does, or may after all."""
        if self._failures < DOWN_AFTER or self._failing_since is None:
            return 0.0
        return steady() - self._failing_since

    # One request

    async def _try(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> Response | None:
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(method, self._base + path, data=body) as response:
                    result = response.status, await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.debug("%s %s: no answer (%s)", method, path, error or type(error).__name__)
            self._failed()
            return None
        if result[0] == 503:
            self._failed()
        else:
            self._failures = 0
            self._failing_since = None
            self._ok_at = steady()
        return result

    def _failed(self) -> None:
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = steady()
        self._probe_at = steady() + 0.25

    def _down(self) -> bool:
        """It failed several times in a row, and not so long ago that it is worth another try."""
        return self._failures >= DOWN_AFTER and steady() < self._probe_at

    async def _call(
        self, method: str, path: str, body: bytes | None, patience_s: float
    ) -> Response | None:
        """Try until a decisive answer or the end of patience."""
        give_up = steady() + patience_s
        pause = 0.04
        while True:
            left = give_up - steady()
            if left <= 0.0:
                return None
            response = await self._try(method, path, body, min(TRY_S, left))
            if response is not None and response[0] not in REFUSED:
                return response
            if response is not None and response[0] == 503 and self._failures > DOWN_AFTER:
                pause = max(pause, 0.2)
            await asyncio.sleep(min(max(0.0, left), pause * (0.5 + self._rng.random())))
            pause = min(0.5, pause * 2.0)

    # Reads

    async def read(self, call: Read) -> Found | None:
        """One key; None: no answer."""
        if call.for_user and (self._down() or not self._reads.spare(1.0)):
            return None
        response = await self._call("GET", f"/kv/{quote(call.key)}", None, call.patience_s)
        if response is None:
            return None
        status, body = response
        if status == 200:
            item = _decode(wire.pair, body)
            return None if item is None else Found(item.item(), Version(item.stamp))
        if status == 404:
            revision = _decode(wire.revision, body)
            return None if revision is None else Found(None, Version(revision.ledger_rev))
        return None

    async def scan(self, call: Scan) -> Listing | None:
        """All keys with the prefix, page by page; None: no answer."""
        if call.for_user and (self._down() or not self._reads.spare(1.0)):
            return None
        patience_s = USER_READ_S if call.for_user else 5.0
        items: list[Item] = []
        first: int | None = None
        after = ""
        while True:
            path = f"/kv?starts={quote(call.prefix)}&limit={PAGE}"
            if after:
                path += f"&after={quote(after)}"
            response = await self._call("GET", path, None, patience_s)
            page = (
                None if response is None or response[0] != 200 else _decode(wire.page, response[1])
            )
            if page is None:
                return None
            if first is None:
                # Pages are read one after the other: a watch from the first misses nothing.
                first = page.ledger_rev
            items.extend(pair.item() for pair in page.pairs)
            if not page.more or not page.pairs:
                return Listing(items, Version(first))
            after = page.pairs[-1].path

    async def watch(self, call: Watch) -> WatchResult | None:
        """Changes below the prefix, as they come; None: no answer."""
        if call.for_user and self._down():
            # No share is counted: how often it is asked for is bounded where it is asked.
            return None
        block_ms = int(call.block_s * 1000)
        path = f"/changes?starts={quote(call.prefix)}&after={call.after}&block_ms={block_ms}"
        if call.for_user:
            response = await self._call("GET", path, None, USER_READ_S)
        else:
            response = await self._try("GET", path, None, call.block_s + 2.0)
        if response is None:
            return None
        if response[0] == 410:
            return WatchResult(call.after, [], lost=True)
        changes = None if response[0] != 200 else _decode(wire.changes, response[1])
        if changes is None:
            return None
        return WatchResult(Version(changes.ledger_rev), [change.item() for change in changes.news])

    # Leases

    async def grant(self, call: GrantLease) -> LeaseId | None:
        """A new lease; None: no answer."""
        response = await self._call("POST", "/grants", wire.grant(call.life_s), 2.0)
        granted = None if response is None else _decode(wire.permit, response[1])
        return None if granted is None else LeaseId(granted.permit)

    async def touch(self, call: RenewLease) -> bool | None:
        """Renew a lease; False: it has ended; None: no answer."""
        response = await self._try("POST", f"/grants/{call.lease}/touch", b"", TRY_S)
        if response is None or response[0] in REFUSED:
            return None
        return response[0] == 200

    async def revoke(self, call: RevokeLease) -> None:
        """End a lease at once."""
        await self._call("DELETE", f"/grants/{call.lease}", None, 2.0)

    # Writes

    async def commit(self, call: Commit) -> Outcome:
        """Carry out one transaction."""
        if call.for_user and self._down():
            return None
        lane = self._user_lane if call.for_user else self._leader_lane
        return await lane.commit(call)

    async def _decide(self, commits: list[Commit]) -> Outcome:
        body = wire.transaction(commits)
        give_up = steady() + min(commit.patience_s for commit in commits)
        writes = sum(len(commit.writes) for commit in commits)
        unclear = False
        pause = 0.04
        if commits[0].for_user and self._down():
            # It went away while these waited for their turn.
            return None
        while True:
            await self._writes.take(writes)
            left = give_up - steady()
            response = await self._try("POST", "/commit", body, max(0.1, min(TRY_S, left)))
            if response is None:
                unclear = True
            elif response[0] not in REFUSED:
                return _outcome(response, unclear)
            left = give_up - steady()
            if left <= 0.0:
                return None
            await asyncio.sleep(min(left, pause * (0.5 + self._rng.random())))
            pause = min(0.4, pause * 2.0)


class Lane:
    """Commits that go out one transaction at a time, as many together as fit.

    A transaction is all or nothing; if conditions fail, those whose own conditions failed are
    told so, and the others go out again.
    """

    def __init__(self, decide: Callable[[list[Commit]], Any], txn_ops: int) -> None:
        self._decide = decide
        self._txn_ops = txn_ops
        self._queue: deque[tuple[Commit, asyncio.Future[Outcome]]] = deque()
        self._wake = asyncio.Event()

    async def commit(self, call: Commit) -> Outcome:
        """Queue the transaction and wait for its outcome."""
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._queue.append((call, future))
        self._wake.set()
        return await future

    async def run(self) -> None:
        """Send what is queued until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                batch = self._gather()
                outcome = await self._decide([call for call, _ in batch])
                self._tell(batch, outcome)

    def _gather(self) -> list[tuple[Commit, asyncio.Future[Outcome]]]:
        batch = [self._queue.popleft()]
        if not batch[0][0].for_user:
            return batch
        keys = {key for key, _ in batch[0][0].conditions}
        writes = len(batch[0][0].writes)
        size = _size(batch[0][0])
        while self._queue:
            call = self._queue[0][0]
            names = {key for key, _ in call.conditions}
            size += _size(call)
            if (
                writes + len(call.writes) > self._txn_ops
                or len(keys) + len(names) > 4 * self._txn_ops
                or size > MAX_BYTES
                or names & keys
            ):
                break
            batch.append(self._queue.popleft())
            keys |= names
            writes += len(call.writes)
        return batch

    def _tell(self, batch: list[tuple[Commit, asyncio.Future[Outcome]]], outcome: Outcome) -> None:
        if isinstance(outcome, Conflict) and len(batch) > 1:
            again = []
            for call, future in batch:
                failed = outcome.failed & {key for key, _ in call.conditions}
                if failed:
                    future.set_result(Conflict(failed, outcome.repeated))
                else:
                    again.append((call, future))
            if len(again) == len(batch):
                # It names no key of ours: let each find out alone what fails.
                call, future = again.pop(0)
                future.set_result(None)
            self._queue.extendleft(reversed(again))
            return
        for _, future in batch:
            future.set_result(outcome)


def _size(call: Commit) -> int:
    return sum(len(msgspec.json.encode(w.value)) + 100 for w in call.writes if isinstance(w, Put))


def _outcome(response: Response, unclear: bool) -> Outcome:
    status, body = response
    if status == 200:
        revision = _decode(wire.revision, body)
        return None if revision is None else Committed(Version(revision.ledger_rev))
    if status == 409:
        refused = _decode(wire.refused, body)
        return Conflict(frozenset(refused.failed if refused else ()), unclear)
    if status == 400 and b"no such lease" in body:
        return NoSuchLease()
    log.error("commit answered with %d: %r", status, body[:200])
    return Conflict(frozenset(), unclear)


def _decode(decoder: Any, body: bytes) -> Any:
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        log.error("unreadable answer: %s", error)
        return None
