"""The state service: a strongly consistent key-value store with leases and watches."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from .http import body_of, reply
from .record import Record

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
KEPT_CHANGES = 10_000


class Bucket:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate = self._level = rate
        self._at = time.monotonic()

    def take(self, amount: float) -> bool:
        """Whether the amount is within the limit."""
        now = time.monotonic()
        self._level = min(self._rate, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < amount:
            return False
        self._level -= amount
        return True


class Store:
    """The store; `refusing` and `lose_answer` cause the troubles that the pages name."""

    def __init__(self, record: Record, rps: float, write_rps: float, value_kb: float) -> None:
        self.record = record
        self.value_bytes = value_kb * 1024
        self.revision = 0
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[tuple[int, str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.requests = Bucket(rps)
        self.changes = Bucket(write_rps)
        self.outage = False
        self.outage_since = 0.0
        self.counts: dict[str, int] = {}
        self.lose_answer: Callable[[dict[str, Any]], bool] = lambda _: False
        """Whether the answer of this transaction, which was carried out, gets lost."""
        self.latency_s = 0.003

    def app(self) -> web.Application:
        """The store's interface."""

        @web.middleware
        async def limits(request: web.Request, handler: Handler) -> web.StreamResponse:
            kind = f"{request.method} /{request.path.split('/')[1]}"
            self.counts[kind] = self.counts.get(kind, 0) + 1
            await asyncio.sleep(self.latency_s)
            if self.outage:
                return reply({"error": "outage"}, 503)
            if not self.requests.take(1.0):
                self.counts["429"] = self.counts.get("429", 0) + 1
                return reply({"error": "rate"}, 429)
            return await handler(request)

        app = web.Application(middlewares=[limits])
        app.add_routes(
            [
                web.get("/kv", self.scan),
                web.get("/kv/{key:.+}", self.read),
                web.post("/commit", self.commit),
                web.post("/grants", self.grant),
                web.post("/grants/{id}/touch", self.renew),
                web.delete("/grants/{id}", self.revoke),
                web.get("/changes", self.watch),
            ]
        )
        return app

    def set_outage(self, on: bool) -> None:
        """Begin or end an outage; after it every lease has its full time again."""
        self.outage = on
        self.record.line(f"state service: outage {'begins' if on else 'ends'}")
        if not on:
            now = time.monotonic()
            self.leases = {lease: (ttl, now + ttl) for lease, (ttl, _) in self.leases.items()}
            self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _append(self, key: str, value: Any) -> None:
        self.log.append((self.revision, key, value))
        del self.log[:-KEPT_CHANGES]

    def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys attached to it."""
        self.leases.pop(lease, None)
        for key in [key for key, (_, _, owner) in self.items.items() if owner == lease]:
            self.revision += 1
            del self.items[key]
            self._append(key, None)
            self._wake()

    async def run(self) -> None:
        """End leases that have run out, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_, end) in list(self.leases.items()):
                if not self.outage and end < now:
                    self.end_lease(lease)

    async def read(self, request: web.Request) -> web.StreamResponse:
        """GET /kv/{key}."""
        key = request.match_info["key"]
        if key not in self.items:
            return reply({"ledger_rev": self.revision}, 404)
        value, stamp, permit = self.items[key]
        return reply({"path": key, "data": value, "stamp": stamp, "permit": permit})

    async def scan(self, request: web.Request) -> web.StreamResponse:
        """GET /kv."""
        prefix, after = request.query["starts"], request.query.get("after", "")
        limit = min(1000, int(request.query.get("limit", "1000")))
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        pairs = [
            {"path": k, "data": self.items[k][0], "stamp": self.items[k][1]} for k in keys[:limit]
        ]
        return reply({"pairs": pairs, "more": len(keys) > limit, "ledger_rev": self.revision})

    async def commit(self, request: web.Request) -> web.StreamResponse:
        """POST /commit."""
        body = await body_of(request)
        writes = body.get("writes", [])
        if not self.changes.take(len(writes)):
            self.counts["429"] = self.counts.get("429", 0) + 1
            return reply({"error": "rate"}, 429)
        if any(len(json.dumps(w.get("data"))) > self.value_bytes for w in writes):
            self.record.line("state service: 400, a value is too large")
            return reply({"error": "too large"}, 400)
        stamps = {key: stamp for key, (_, stamp, _) in self.items.items()}
        failed = [c["path"] for c in body["if"] if stamps.get(c["path"], 0) != c["stamp"]]
        if failed:
            return reply({"failed": failed, "ledger_rev": self.revision}, 409)
        if any(w.get("permit") not in (None, *self.leases) for w in writes):
            return reply({"error": "no such lease"}, 400)
        self._apply(writes)
        if self.lose_answer(body):
            self.record.line(f"state service: carried out, answer lost: {writes}")
            assert request.transport is not None
            request.transport.abort()
        return reply({"ledger_rev": self.revision})

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        self.revision += 1 if writes else 0
        for write in writes:
            if "set" in write:
                self.items[write["set"]] = (write["data"], self.revision, write.get("permit"))
                self._append(write["set"], write["data"])
            else:
                self.items.pop(write["delete"], None)
                self._append(write["delete"], None)
        self._wake()

    async def grant(self, request: web.Request) -> web.StreamResponse:
        """POST /grants."""
        ttl_s = (await body_of(request))["life_ms"] / 1000.0
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
        return reply({"permit": self.next_lease})

    async def renew(self, request: web.Request) -> web.StreamResponse:
        """POST /grants/{id}/touch."""
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return reply({}, 404)
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return reply({})

    async def revoke(self, request: web.Request) -> web.StreamResponse:
        """DELETE /grants/{id}."""
        self.end_lease(int(request.match_info["id"]))
        return reply({})

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """GET /changes."""
        prefix, after = request.query["starts"], int(request.query["after"])
        deadline = time.monotonic() + int(request.query.get("block_ms", "0")) / 1000.0
        if self.log and after + 1 < self.log[0][0] and len(self.log) >= KEPT_CHANGES:
            return reply({}, 410)
        while True:
            news = [
                {"delete": k, "stamp": r} if v is None else {"set": k, "data": v, "stamp": r}
                for r, k, v in self.log
                if r > after and k.startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if not self.outage and (news or left_s <= 0):
                return reply({"ledger_rev": self.revision, "news": news})
            try:
                async with asyncio.timeout(max(0.05, left_s)):
                    await self.changed.wait()
            except TimeoutError:
                continue
