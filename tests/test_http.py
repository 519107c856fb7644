"""The HTTP server on loopback: malformed requests, and clients that send nothing."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from crosscleat.adapters.http_server import HttpServer
from crosscleat.core.model.effects import Response
from crosscleat.core.model.inputs import CancelJob, QueryJob, RejectJob, SubmitJob
from crosscleat.wire.workers import HeartbeatReply


class RecordingService:
    """A server whose controller answers everything at once and records what it was asked."""

    def __init__(self, max_connections: int) -> None:
        self.asked: list[Any] = []
        self.is_ready = True
        self.server = HttpServer(self, max_connections)
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{free.getsockname()[1]}"

    async def handle_request(self, make_input: Callable[[int], Any]) -> Response | None:
        self.asked.append(make_input(len(self.asked)))
        if isinstance(self.asked[-1], RejectJob):
            return Response(0, self.asked[-1].status)
        return Response(0, 503, None, 1) if isinstance(self.asked[-1], CancelJob) else None

    async def receive_heartbeat(self, body: bytes) -> HeartbeatReply:
        return HeartbeatReply(200, body)

    def ready(self) -> bool:
        return self.is_ready


async def call(
    service: RecordingService, method: str, path: str, body: bytes | None = None
) -> tuple[int, Any]:
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, f"http://{service.address}{path}", data=body) as response,
    ):
        await response.read()
        return response.status, response.headers.get("Retry-After")


def test_requests_reach_the_controller_or_are_refused() -> None:
    async def run() -> None:
        service = RecordingService(50)
        await service.server.start(service.address)
        assert await call(service, "GET", "/ready") == (200, None)
        service.is_ready = False
        assert await call(service, "GET", "/ready") == (503, None)
        assert await call(service, "GET", "/nowhere") == (404, None)
        assert await call(service, "GET", "/work/not-a-job") == (404, None)
        assert await call(service, "POST", "/checkin", b"report") == (200, None)
        assert service.asked == []
        # No answer in time and a refusal both tell the user when to come back.
        assert await call(service, "GET", "/work/job-1") == (503, "1")
        assert await call(service, "POST", "/work/job-1/abort", b"") == (503, "1")
        assert await call(service, "POST", "/work", b"\xc1") == (400, None)
        named = msgspec.msgpack.encode({"ref": "job-2", "picks": "many"})
        assert await call(service, "POST", "/work", named) == (400, None)
        assert [type(asked) for asked in service.asked] == [
            QueryJob,
            CancelJob,
            RejectJob,
            RejectJob,
        ]
        assert [asked.ref for asked in service.asked] == ["job-1", "job-1", None, "job-2"]
        assert await call(service, "POST", "/work", b"x" * 70_000) == (400, None)
        assert not any(isinstance(asked, SubmitJob) for asked in service.asked)

    asyncio.run(run())


def test_silent_clients_do_not_use_up_the_sockets() -> None:
    async def run() -> None:
        service = RecordingService(5)
        await service.server.start(service.address)
        host, _, port = service.address.rpartition(":")
        silent = [await asyncio.open_connection(host, int(port)) for _ in range(12)]
        assert await call(service, "GET", "/ready") == (200, None)
        # The oldest were closed; the newest are still open.
        assert await silent[0][0].read() == b""
        silent[-1][1].write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await silent[-1][0].readline()).startswith(b"HTTP/1.1 200")
        for _, writer in silent:
            writer.close()

    asyncio.run(run())
