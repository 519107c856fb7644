"""Client of the key-value store: sends the controller's calls and interprets the responses.

Every write is conditional. A transaction without a definite response is repeated unchanged.
Writes and users' reads stay within this controller's share of the store's rate limits.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec

from ..core.model.ids import LeaseId, Version
from ..core.model.store_calls import (
    ChangesLost,
    Commit,
    CommitOutcome,
    Committed,
    Conflict,
    GrantLease,
    Item,
    LeaseRenewed,
    NoSuchLease,
    Read,
    ReadResult,
    RenewalOutcome,
    RenewLease,
    RevokeLease,
    Scan,
    ScanResult,
    Unanswered,
    Watch,
    WatchOutcome,
)
from ..wire import state as wire
from .clock import monotonic_time
from .commit_queue import CommitQueue
from .http_calls import HttpResponse
from .pacer import Pacer
from .state_connection import ATTEMPT_TIMEOUT_S, FIRST_PAUSE_S, REFUSED_STATUSES, StateConnection

KEYS_PER_PAGE = 1000
USER_TIMEOUT_S = 1.5
SCAN_TIMEOUT_S = 5.0
"""For each page of a scan."""
LEASE_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 2.0
"""Time for the response, after the time for which the store may block a watch."""
MIN_COMMIT_TIMEOUT_S = 0.1
MAX_COMMIT_PAUSE_S = 0.4
READ_SHARE = 0.18
"""One controller's share of the request rate that the store allows to the whole region, for users'
reads of single keys. With these reads and those of the changes of live jobs, three controllers
leave a tenth of 150 requests per second unused."""
WRITE_SHARE = 0.7
"""One controller's share of the write rate that the store allows to the whole region; high because
mostly the leader writes."""

log = logging.getLogger("crosscleat.state")

Decoded = TypeVar("Decoded")


class StateClient:
    """Calls to the key-value store."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        rps: float,
        write_rps: float,
        txn_ops: int,
        rng: Random,
    ) -> None:
        self._connection = StateConnection(session, address, rng)
        self._read_pacer = Pacer(rps * READ_SHARE)
        self._write_pacer = Pacer(write_rps * WRITE_SHARE)
        self._leader_queue = CommitQueue(self._send_transaction, txn_ops)
        self._user_queue = CommitQueue(self._send_transaction, txn_ops)

    async def run(self) -> None:
        """Send queued commits and check the store's availability until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._leader_queue.run())
            group.create_task(self._user_queue.run())
            group.create_task(self._connection.keep_checking())

    @property
    def is_available(self) -> bool:
        """Whether the last request got a response other than 503."""
        return self._connection.is_available

    def outage_s(self) -> float:
        """Seconds since the store stopped serving this controller; 0 until that is certain."""
        return self._connection.outage_s()

    # Reads

    def _refuses_user_read(self) -> bool:
        """Whether to fail a user's read at once, so that the user retries instead of waiting."""
        return self._connection.is_down() or not self._read_pacer.try_take(1.0)

    async def read(self, call: Read) -> ReadResult | Unanswered:
        """Read one key."""
        if call.for_user and self._refuses_user_read():
            return Unanswered()
        response = await self._connection.call_with_retries(
            "GET", f"/kv/{quote(call.key)}", None, call.timeout_s
        )
        if response is None:
            return Unanswered()
        if response.status == 200:
            item = _decode(wire.decode_item, response.body)
            return item if isinstance(item, Unanswered) else ReadResult(item, item.version)
        if response.status == 404:
            revision = _decode(wire.decode_revision, response.body)
            return revision if isinstance(revision, Unanswered) else ReadResult(None, revision)
        return Unanswered()

    async def scan(self, call: Scan) -> ScanResult | Unanswered:
        """Read all keys with the prefix, page by page."""
        if call.for_user and self._refuses_user_read():
            return Unanswered()
        timeout_s = USER_TIMEOUT_S if call.for_user else SCAN_TIMEOUT_S
        items: list[Item] = []
        first_revision: Version | None = None
        after = ""
        while True:
            path = f"/kv?starts={quote(call.prefix)}&limit={KEYS_PER_PAGE}"
            if after:
                path += f"&after={quote(after)}"
            response = await self._connection.call_with_retries("GET", path, None, timeout_s)
            page = _decode_success(wire.decode_page, response)
            if isinstance(page, Unanswered):
                return page
            if first_revision is None:
                # Keys may change while later pages are read: a watch from the first page's revision
                # misses no change.
                first_revision = page.revision
            items.extend(page.items)
            if not page.more or not page.items:
                return ScanResult(items, first_revision)
            after = page.items[-1].key

    async def watch(self, call: Watch) -> WatchOutcome:
        """Wait for changes of keys with the prefix."""
        if call.for_user and self._connection.is_down():
            # Watches are not counted against the read share: the caller limits their rate.
            return Unanswered()
        block_ms = int(call.block_s * 1000)
        path = f"/changes?starts={quote(call.prefix)}&after={call.after}&block_ms={block_ms}"
        if call.for_user:
            response = await self._connection.call_with_retries("GET", path, None, USER_TIMEOUT_S)
        else:
            timeout_s = call.block_s + WATCH_MARGIN_S
            response = await self._connection.try_once("GET", path, None, timeout_s)
        if response is not None and response.status == 410:
            return ChangesLost()
        return _decode_success(wire.decode_changes, response)

    # Leases

    async def grant(self, call: GrantLease) -> LeaseId | Unanswered:
        """Create a lease."""
        body = wire.encode_lease_request(call.ttl_s)
        response = await self._connection.call_with_retries(
            "POST", "/grants", body, LEASE_TIMEOUT_S
        )
        return Unanswered() if response is None else _decode(wire.decode_lease, response.body)

    async def renew(self, call: RenewLease) -> RenewalOutcome:
        """Renew a lease."""
        path = f"/grants/{call.lease}/touch"
        response = await self._connection.try_once("POST", path, b"", ATTEMPT_TIMEOUT_S)
        if response is None or response.status in REFUSED_STATUSES:
            return Unanswered()
        return LeaseRenewed() if response.status == 200 else NoSuchLease()

    async def revoke(self, call: RevokeLease) -> None:
        """Revoke a lease before it expires."""
        await self._connection.call_with_retries(
            "DELETE", f"/grants/{call.lease}", None, LEASE_TIMEOUT_S
        )

    # Writes

    async def commit(self, call: Commit) -> CommitOutcome:
        """Queue a transaction and wait for its outcome."""
        if call.for_user and self._connection.is_down():
            return Unanswered()
        queue = self._user_queue if call.for_user else self._leader_queue
        return await queue.commit(call)

    async def _send_transaction(self, commits: list[Commit]) -> CommitOutcome:
        """Send the commits as one transaction until the store decides or the time is up."""
        body = wire.encode_transaction(commits)
        give_up_at = monotonic_time() + min(commit.timeout_s for commit in commits)
        writes = sum(len(commit.writes) for commit in commits)
        repeated = False
        pause_s = FIRST_PAUSE_S
        if commits[0].for_user and self._connection.is_down():
            # The store became unavailable while these commits were queued.
            return Unanswered()
        while True:
            await self._write_pacer.take(writes)
            left_s = give_up_at - monotonic_time()
            timeout_s = max(MIN_COMMIT_TIMEOUT_S, min(ATTEMPT_TIMEOUT_S, left_s))
            response = await self._connection.try_once("POST", "/commit", body, timeout_s)
            if response is None:
                repeated = True
            elif response.status not in REFUSED_STATUSES:
                return _commit_outcome(response, repeated)
            left_s = give_up_at - monotonic_time()
            if left_s <= 0.0:
                return Unanswered()
            await self._connection.pause(pause_s, left_s)
            pause_s = min(MAX_COMMIT_PAUSE_S, pause_s * 2.0)


def _commit_outcome(response: HttpResponse, repeated: bool) -> CommitOutcome:
    """The outcome of a transaction; `repeated`: an earlier attempt got no response."""
    if response.status == 200:
        revision = _decode(wire.decode_revision, response.body)
        return revision if isinstance(revision, Unanswered) else Committed(revision)
    if response.status == 409:
        failed = _decode(wire.decode_failed_keys, response.body)
        return Conflict(frozenset() if isinstance(failed, Unanswered) else failed, repeated)
    if response.status == 400 and b"no such lease" in response.body:
        return NoSuchLease()
    log.error("unexpected status %d for a commit: %r", response.status, response.body[:200])
    return Conflict(frozenset(), repeated)


def _decode_success(
    decode: Callable[[bytes], Decoded], response: HttpResponse | None
) -> Decoded | Unanswered:
    if response is None or response.status != 200:
        return Unanswered()
    return _decode(decode, response.body)


def _decode(decode: Callable[[bytes], Decoded], body: bytes) -> Decoded | Unanswered:
    try:
        return decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        log.error("cannot decode a response: %s", error)
        return Unanswered()
