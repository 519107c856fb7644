"""The HTTP side that users, workers and the load balancer see."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..core.model.effects import Response
from ..core.model.ids import JobRef, is_job_ref
from ..core.model.inputs import CancelJob, QueryJob, RejectJob, SubmitJob
from ..core.model.job_spec import JobSpec
from ..wire import users as wire

BODY_S = 5.0
WORK_PATH = "/work/"
ABORT = "/abort"

log = logging.getLogger("crosscleat.http")

UserInput = SubmitJob | QueryJob | CancelJob | RejectJob
Ask = Callable[[Callable[[int], UserInput]], Awaitable[Response | None]]
HeartbeatHandler = Callable[[bytes], Awaitable[tuple[int, bytes]]]

_encoder = msgspec.msgpack.Encoder()


class Connection(RequestHandler):
    """One connection, entered in the server's table of those that are open."""

    def __init__(self, server: web.Server, open_: dict[Connection, None], **options: Any) -> None:
        super().__init__(server, **options)
        self.open = open_

    __slots__ = ("open",)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; close the idlest one if there are too many."""
        super().connection_made(transport)
        self.open[self] = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """The connection has closed."""
        self.open.pop(self, None)
        super().connection_lost(exc)


class HttpServer:
    """One door for all: it tells requests apart, bounds them, and asks the controller."""

    def __init__(
        self, ask: Ask, receive_heartbeat: HeartbeatHandler, ready: Callable[[], bool], most: int
    ) -> None:
        self._ready = ready
        self._ask = ask
        self._receive_heartbeat = receive_heartbeat
        self._most = most
        self._server = web.Server(self._handle)
        self._open: dict[Connection, None] = {}
        self._busy: set[Connection] = set()

    async def start(self, address: str) -> None:
        """Listen for users and workers."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_server(self._protocol, host, int(port), backlog=self._most)

    def _protocol(self) -> Connection:
        if len(self._open) >= self._most:
            self._make_room()
        loop = asyncio.get_running_loop()
        return Connection(self._server, self._open, loop=loop, access_log=None)

    def _make_room(self) -> None:
        """Close the connection that has been without a request for longest.

        Clients that connect and say nothing must not use up the sockets of all others.
        """
        for connection in self._open:
            if connection not in self._busy and connection.transport is not None:
                connection.transport.abort()
                del self._open[connection]
                return

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, Connection)
        self._busy.add(connection)
        try:
            return await self._route(request)
        finally:
            self._busy.discard(connection)
            if connection in self._open:
                # The table is kept in the order of last use.
                del self._open[connection]
                self._open[connection] = None

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        method = request.method
        if path == "/checkin" and method == "POST":
            body = await _body(request)
            if body is None:
                return _closing(400)
            status, answer = await self._receive_heartbeat(body)
            return web.Response(status=status, body=answer)
        if path.startswith(WORK_PATH):
            return await self._job(request, method, path.removeprefix(WORK_PATH))
        if path == "/work" and method == "POST":
            body = await _body(request)
            if body is None:
                return _closing(400)
            return await self._submit(body)
        if path == "/ready" and method == "GET":
            return web.Response(status=200 if self._ready() else 503)
        return _closing(404)

    async def _submit(self, body: bytes) -> web.Response:
        parsed = wire.parse_work(body)
        if isinstance(parsed, JobSpec):
            spec = parsed
            return await self._answer(lambda number: SubmitJob(number, spec))
        ref = parsed
        return await self._answer(lambda number: RejectJob(number, ref, 400))

    async def _job(self, request: web.BaseRequest, method: str, name: str) -> web.Response:
        if method == "GET" and is_job_ref(name):
            return await self._answer(lambda number: QueryJob(number, JobRef(name)))
        if method == "POST" and name.endswith(ABORT):
            if await _body(request) is None:
                return _closing(400)
            ref = name.removesuffix(ABORT)
            if is_job_ref(ref):
                return await self._answer(lambda number: CancelJob(number, JobRef(ref)))
        return web.Response(status=404)

    async def _answer(self, make: Callable[[int], UserInput]) -> web.Response:
        answer = await self._ask(make)
        if answer is None:
            return web.Response(status=503, headers={"Retry-After": "1"})
        headers = {}
        if answer.retry_after_s is not None:
            headers["Retry-After"] = str(answer.retry_after_s)
        body = b"" if answer.body is None else _encoder.encode(answer.body)
        return web.Response(status=answer.status, body=body, headers=headers)


def _closing(status: int) -> web.Response:
    """An answer after which the connection is closed, since its request was not read to the end."""
    response = web.Response(status=status)
    response.force_close()
    return response


async def _body(request: web.BaseRequest) -> bytes | None:
    """The request's body, unless it is too long or comes too slowly."""
    if (request.content_length or 0) > wire.MAX_BYTES:
        return None
    chunks = bytearray()
    try:
        async with asyncio.timeout(BODY_S):
            async for chunk in request.content.iter_any():
                chunks += chunk
                if len(chunks) > wire.MAX_BYTES:
                    return None
    except TimeoutError:
        return None
    return bytes(chunks)
