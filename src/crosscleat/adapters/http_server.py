"""The HTTP server that users, workers and the load balancer connect to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..core.model.effects import Response
from ..core.model.ids import JobRef, is_job_ref
from ..core.model.inputs import CancelJob, QueryJob, RejectJob, SubmitJob
from ..wire import users as wire
from ..wire.workers import HeartbeatReply
from .deadline import Deadline

BODY_TIMEOUT_S = 5.0
JOBS_PATH = "/work"
JOB_PREFIX = "/work/"
CANCEL_SUFFIX = "/abort"
HEARTBEAT_PATH = "/checkin"
READY_PATH = "/ready"
RETRY_AFTER_S = 1
"""Told to users whom the controller did not answer in time."""

UserInput = SubmitJob | QueryJob | CancelJob | RejectJob

_encoder = msgspec.msgpack.Encoder()


class HttpService(Protocol):
    """What a controller does with the requests that come in."""

    async def ask(self, make_input: Callable[[int], UserInput]) -> Response | None:
        """The answer to a user's request, given its number; None: there was none in time."""

    async def receive_heartbeat(self, body: bytes) -> HeartbeatReply:
        """Reply to a worker's heartbeat."""

    def ready(self) -> bool:
        """Whether the load balancer should send users here."""


class Connection(RequestHandler):
    """One connection, entered in the server's table of those that are open."""

    def __init__(
        self, server: web.Server, open_connections: dict[Connection, None], **options: Any
    ) -> None:
        super().__init__(server, **options)
        self.open_connections = open_connections

    __slots__ = ("open_connections",)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enter the connection as the one used last."""
        super().connection_made(transport)
        self.open_connections[self] = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the table."""
        self.open_connections.pop(self, None)
        super().connection_lost(exc)


class HttpServer:
    """Bounds requests in number, length and time, and routes them to the service."""

    def __init__(self, service: HttpService, max_connections: int) -> None:
        self._service = service
        self._max_connections = max_connections
        self._server = web.Server(self._handle)
        self._open: dict[Connection, None] = {}
        """In the order of last use."""
        self._busy: set[Connection] = set()
        """Connections with a request that has not been answered yet."""

    async def start(self, address: str) -> asyncio.Server:
        """Listen for users and workers; the caller closes the listener."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            self._accept, host, int(port), backlog=self._max_connections
        )

    def _accept(self) -> Connection:
        if len(self._open) >= self._max_connections:
            self._close_longest_idle()
        loop = asyncio.get_running_loop()
        return Connection(self._server, self._open, loop=loop, access_log=None)

    def _close_longest_idle(self) -> None:
        """Close the connection that has been without a request for longest.

        Clients that connect and send nothing must not use up the sockets of all others.
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
                # Move it to the end of the table: it was used last.
                del self._open[connection]
                self._open[connection] = None

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        method = request.method
        if path == HEARTBEAT_PATH and method == "POST":
            return await self._heartbeat(request)
        if path.startswith(JOB_PREFIX):
            return await self._job(request, method, path.removeprefix(JOB_PREFIX))
        if path == JOBS_PATH and method == "POST":
            return await self._submit(request)
        if path == READY_PATH and method == "GET":
            return web.Response(status=200 if self._service.ready() else 503)
        return _closing(404)

    async def _heartbeat(self, request: web.BaseRequest) -> web.Response:
        body = await _read_body(request)
        if body is None:
            return _closing(400)
        reply = await self._service.receive_heartbeat(body)
        return web.Response(status=reply.status, body=reply.body)

    async def _submit(self, request: web.BaseRequest) -> web.Response:
        body = await _read_body(request)
        if body is None:
            return _closing(400)
        submission = wire.parse_submission(body)
        if isinstance(submission, wire.MalformedSubmission):
            ref = submission.ref
            return await self._answer(lambda number: RejectJob(number, ref, 400))
        return await self._answer(lambda number: SubmitJob(number, submission))

    async def _job(self, request: web.BaseRequest, method: str, name: str) -> web.Response:
        if method == "GET" and is_job_ref(name):
            return await self._answer(lambda number: QueryJob(number, JobRef(name)))
        if method == "POST" and name.endswith(CANCEL_SUFFIX):
            if await _read_body(request) is None:
                return _closing(400)
            ref = name.removesuffix(CANCEL_SUFFIX)
            if is_job_ref(ref):
                return await self._answer(lambda number: CancelJob(number, JobRef(ref)))
        return web.Response(status=404)

    async def _answer(self, make_input: Callable[[int], UserInput]) -> web.Response:
        answer = await self._service.ask(make_input)
        if answer is None:
            return web.Response(status=503, headers={"Retry-After": str(RETRY_AFTER_S)})
        headers = {}
        if answer.retry_after_s is not None:
            headers["Retry-After"] = str(answer.retry_after_s)
        body = b"" if answer.body is None else _encoder.encode(answer.body)
        return web.Response(status=answer.status, body=body, headers=headers)


def _closing(status: int) -> web.Response:
    """A response that closes the connection, since its request was not read to the end."""
    response = web.Response(status=status)
    response.force_close()
    return response


async def _read_body(request: web.BaseRequest) -> bytes | None:
    """The request's body; None: it is too long or comes too slowly."""
    if (request.content_length or 0) > wire.MAX_BYTES:
        return None
    body = bytearray()
    try:
        async with Deadline(BODY_TIMEOUT_S):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > wire.MAX_BYTES:
                    return None
    except TimeoutError:
        return None
    return bytes(body)
