"""The HTTP server on loopback.

Guards against malformed or oversized submissions that are accepted, and against clients that
connect without sending anything and thereby use up the server's sockets.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec
import pytest

from crosscleat.adapters.http_server import HttpServer
from crosscleat.core.model.effects import Response
from crosscleat.core.model.inputs import CancelJob, QueryJob, RejectJob, SubmitJob
from crosscleat.wire.workers import HeartbeatReply


class RecordingService:
    """A service with an HTTP server; it responds immediately and records the inputs it gets."""

    def __init__(self, max_connections: int) -> None:
        self.inputs: list[Any] = []
        self.is_ready = True
        self.server = HttpServer(self, max_connections)
        with socket.socket() as free_socket:
            free_socket.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{free_socket.getsockname()[1]}"

    async def handle_request(self, make_input: Callable[[int], Any]) -> Response | None:
        self.inputs.append(make_input(len(self.inputs)))
        if isinstance(self.inputs[-1], RejectJob):
            return Response(0, self.inputs[-1].status)
        return Response(0, 503, None, 1) if isinstance(self.inputs[-1], CancelJob) else None

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


@pytest.mark.parametrize("max_connections", [2**31 - 1, 2**31, 2**64])
def test_a_server_starts_without_a_practical_limit_of_connections(max_connections: int) -> None:
    """A limit of 2**31 sockets and more ended the process at its start with an OverflowError."""

    async def run() -> None:
        service = RecordingService(max_connections)
        async with await service.server.start(service.address):
            status, _ = await call(service, "GET", "/ready")
            assert status == 200

    asyncio.run(run())


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
        assert service.inputs == []
        # Both a timeout and a refusal tell the user when to retry.
        assert await call(service, "GET", "/work/job-1") == (503, "1")
        assert await call(service, "POST", "/work/job-1/abort", b"") == (503, "1")
        assert await call(service, "POST", "/work", b"\xc1") == (400, None)
        malformed = msgspec.msgpack.encode({"ref": "job-2", "picks": "many"})
        assert await call(service, "POST", "/work", malformed) == (400, None)
        assert [type(event) for event in service.inputs] == [
            QueryJob,
            CancelJob,
            RejectJob,
            RejectJob,
        ]
        assert [event.ref for event in service.inputs] == ["job-1", "job-1", None, "job-2"]
        assert await call(service, "POST", "/work", b"x" * 70_000) == (400, None)
        assert not any(isinstance(event, SubmitJob) for event in service.inputs)

    asyncio.run(run())


def test_silent_clients_do_not_use_up_the_sockets() -> None:
    async def run() -> None:
        service = RecordingService(5)
        await service.server.start(service.address)
        host, _, port = service.address.rpartition(":")
        idle_clients = [await asyncio.open_connection(host, int(port)) for _ in range(12)]
        assert await call(service, "GET", "/ready") == (200, None)
        # The least recently used connections were closed; the newest is still open.
        assert await idle_clients[0][0].read() == b""
        idle_clients[-1][1].write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await idle_clients[-1][0].readline()).startswith(b"HTTP/1.1 200")
        for _, writer in idle_clients:
            writer.close()

    asyncio.run(run())
