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
MAX_BACKLOG = 65_535
"""Most connections that wait to be accepted; Linux keeps fewer, and `listen` takes 32 bits."""
JOBS_PATH = "/work"
JOB_PREFIX = "/work/"
CANCEL_SUFFIX = "/abort"
HEARTBEAT_PATH = "/checkin"
READY_PATH = "/ready"
RETRY_AFTER_S = 1
"""Value of the Retry-After header if the controller did not answer in time."""

UserInput = SubmitJob | QueryJob | CancelJob | RejectJob

_encoder = msgspec.msgpack.Encoder()


class HttpService(Protocol):
    """Handles the requests that the server receives."""

    async def handle_request(self, make_input: Callable[[int], UserInput]) -> Response | None:
        """The response to a user's request; None if there was none in time.

        `make_input` makes the controller's input for the given request number.
        """

    async def receive_heartbeat(self, body: bytes) -> HeartbeatReply:
        """Reply to a worker's heartbeat."""

    def ready(self) -> bool:
        """Whether the load balancer should send users to this controller."""


class Connection(RequestHandler):
    """A client connection, registered in the server's table of open connections."""

    def __init__(
        self, server: web.Server, open_connections: dict[Connection, None], **options: Any
    ) -> None:
        super().__init__(server, **options)
        self.open_connections = open_connections

    __slots__ = ("open_connections",)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the end of the table, as the most recently used."""
        super().connection_made(transport)
        self.open_connections[self] = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the table."""
        self.open_connections.pop(self, None)
        super().connection_lost(exc)


class HttpServer:
    """Routes requests to the service; limits connections, body size and the time to read a body."""

    def __init__(self, service: HttpService, max_connections: int) -> None:
        self._service = service
        self._max_connections = max_connections
        self._server = web.Server(self._handle)
        self._open_connections: dict[Connection, None] = {}
        """Least recently used first."""
        self._busy_connections: set[Connection] = set()
        """Connections with a request in progress."""

    async def start(self, address: str) -> asyncio.Server:
        """Listen for users and workers; the caller closes the listener."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        backlog = min(self._max_connections, MAX_BACKLOG)
        return await loop.create_server(self._accept, host, int(port), backlog=backlog)

    def _accept(self) -> Connection:
        if len(self._open_connections) >= self._max_connections:
            self._close_longest_idle()
        loop = asyncio.get_running_loop()
        return Connection(self._server, self._open_connections, loop=loop, access_log=None)

    def _close_longest_idle(self) -> None:
        """Close the least recently used connection that has no request in progress.

        Without this, clients that connect and send nothing would use up all sockets.
        """
        for connection in self._open_connections:
            if connection not in self._busy_connections and connection.transport is not None:
                connection.transport.abort()
                del self._open_connections[connection]
                return

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, Connection)
        self._busy_connections.add(connection)
        try:
            return await self._route(request)
        finally:
            self._busy_connections.discard(connection)
            if connection in self._open_connections:
                # Move it to the end of the table, as the most recently used.
                del self._open_connections[connection]
                self._open_connections[connection] = None

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        method = request.method
        if path == HEARTBEAT_PATH and method == "POST":
            return await self._handle_heartbeat(request)
        if path.startswith(JOB_PREFIX):
            return await self._handle_job(request, method, path.removeprefix(JOB_PREFIX))
        if path == JOBS_PATH and method == "POST":
            return await self._handle_submission(request)
        if path == READY_PATH and method == "GET":
            return web.Response(status=200 if self._service.ready() else 503)
        return _closing_response(404)

    async def _handle_heartbeat(self, request: web.BaseRequest) -> web.Response:
        body = await _read_body(request)
        if body is None:
            return _closing_response(400)
        reply = await self._service.receive_heartbeat(body)
        return web.Response(status=reply.status, body=reply.body)

    async def _handle_submission(self, request: web.BaseRequest) -> web.Response:
        body = await _read_body(request)
        if body is None:
            return _closing_response(400)
        submission = wire.parse_submission(body)
        if isinstance(submission, wire.MalformedSubmission):
            ref = submission.ref
            return await self._respond(lambda number: RejectJob(number, ref, 400))
        return await self._respond(lambda number: SubmitJob(number, submission))

    async def _handle_job(self, request: web.BaseRequest, method: str, name: str) -> web.Response:
        if method == "GET" and is_job_ref(name):
            return await self._respond(lambda number: QueryJob(number, JobRef(name)))
        if method == "POST" and name.endswith(CANCEL_SUFFIX):
            if await _read_body(request) is None:
                return _closing_response(400)
            ref = name.removesuffix(CANCEL_SUFFIX)
            if is_job_ref(ref):
                return await self._respond(lambda number: CancelJob(number, JobRef(ref)))
        return web.Response(status=404)

    async def _respond(self, make_input: Callable[[int], UserInput]) -> web.Response:
        response = await self._service.handle_request(make_input)
        if response is None:
            return web.Response(status=503, headers={"Retry-After": str(RETRY_AFTER_S)})
        headers = {}
        if response.retry_after_s is not None:
            headers["Retry-After"] = str(response.retry_after_s)
        body = b"" if response.body is None else _encoder.encode(response.body)
        return web.Response(status=response.status, body=body, headers=headers)


def _closing_response(status: int) -> web.Response:
    """A response that closes the connection, because the request was not read completely."""
    response = web.Response(status=status)
    response.force_close()
    return response


async def _read_body(request: web.BaseRequest) -> bytes | None:
    """The request's body; None if it is too long or arrives too slowly."""
    if (request.content_length or 0) > wire.MAX_BODY_BYTES:
        return None
    body = bytearray()
    try:
        async with Deadline(BODY_TIMEOUT_S):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > wire.MAX_BODY_BYTES:
                    return None
    except TimeoutError:
        return None
    return bytes(body)
