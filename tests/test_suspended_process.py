"""A process that resumes after a suspension reads received data before its calls time out.

Guards against calls that fail although the response is already in the socket: if a process is
suspended, or waits for a processor, for longer than a timeout, its timers fire before the data is
read. A transaction that had been executed was then sent again and conflicted with its own first
attempt, so the leader gave up its term; direct commands that workers had answered counted as
missed, and after three of them the leader counted as isolated; and a submission that had arrived
completely was rejected permanently (400) as too slow.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import aiohttp
import msgspec

from crosscleat.adapters import peer_frames
from crosscleat.adapters.http_calls import HttpEndpoint, HttpResponse
from crosscleat.adapters.http_server import HttpServer, UserInput
from crosscleat.adapters.state_client import StateClient
from crosscleat.adapters.worker_client import WorkerClient
from crosscleat.core.model.effects import Response
from crosscleat.core.model.ids import AgentEpoch, JobRef, Token, Version
from crosscleat.core.model.inputs import RejectJob
from crosscleat.core.model.store_calls import Commit, Committed, Put
from crosscleat.runtime.requests import PendingRequests
from crosscleat.wire import peers as peer_wire
from crosscleat.wire.workers import HeartbeatReply

SUSPENSION_S = 100.0
"""Longer than any timeout of a call, except for limits that the HTTP library sets itself."""
LOOP_ITERATIONS = 50
"""Iterations of the event loop, more than it takes to read the beginning of a request."""
Result = TypeVar("Result")


def http_response(status: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class StubService:
    """Another service, whose response arrives while this process is suspended."""

    def __init__(self, response: bytes) -> None:
        self._response = response
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    async def suspend_during(self, call: Awaitable[Result]) -> Result:
        """The call's result; the process is suspended from its request until after its timeout."""
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(call)
        await asyncio.sleep(0)
        connection, _ = await loop.sock_accept(self._listener)
        self._listener.close()
        with connection:
            await loop.sock_recv(connection, 65_536)
            connection.sendall(self._response)
            simulate_suspension()
            return await task


def simulate_suspension() -> None:
    """Simulate a suspension: the event loop's clock advances, and no callback runs meanwhile."""
    loop = asyncio.get_running_loop()
    original_time = loop.time
    loop.time = lambda: original_time() + SUSPENSION_S  # type: ignore[method-assign]


def test_a_response_that_arrived_during_the_suspension_is_returned() -> None:
    service = StubService(http_response("200 OK", b"{}"))

    async def call() -> HttpResponse | None:
        async with aiohttp.ClientSession() as session:
            endpoint = HttpEndpoint(session, service.address, logging.getLogger("test"))
            return await service.suspend_during(endpoint.request("POST", "/x", b"{}", 60.0))

    assert asyncio.run(call()) == HttpResponse(200, b"{}")


def test_a_call_without_a_response_times_out_after_the_suspension() -> None:
    service = StubService(b"")

    async def call() -> HttpResponse | None:
        async with aiohttp.ClientSession() as session:
            endpoint = HttpEndpoint(session, service.address, logging.getLogger("test"))
            call = endpoint.request("POST", "/x", b"{}", 60.0)
            return await service.suspend_during(call)

    assert asyncio.run(call()) is None


def test_an_executed_transaction_is_not_sent_again() -> None:
    service = StubService(http_response("200 OK", msgspec.msgpack.encode({"ledger_rev": 7})))

    async def commit() -> object:
        async with aiohttp.ClientSession() as session:
            client = StateClient(session, service.address, 1e6, 1e6, 8, Random(1))
            running = asyncio.create_task(client.run())
            write = Commit((("k", Version(0)),), (Put("k", {}),), lambda _: None)
            outcome = await service.suspend_during(client.commit(write))
            running.cancel()
            return outcome

    assert asyncio.run(commit()) == Committed(Version(7))


def test_an_answered_direct_command_does_not_count_as_missed() -> None:
    service = StubService(http_response("409 Conflict", b"{}"))

    async def probe() -> bytes | None:
        async with aiohttp.ClientSession() as session:
            client = WorkerClient(session)
            return await service.suspend_during(
                client.probe(service.address, Token(1), AgentEpoch(1))
            )

    assert asyncio.run(probe()) == b"{}"


def test_a_message_of_a_peer_that_arrived_during_the_suspension_is_read() -> None:
    ping = peer_wire.Ping(True)
    service = StubService(peer_wire.encode_frame(ping))

    async def read() -> peer_wire.Message:
        host, _, port = service.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"hello")
        message = await service.suspend_during(peer_frames.receive_message(reader))
        writer.close()
        return message

    assert asyncio.run(read()) == ping


class RefusingService:
    """Responds 422 to a malformed submission, which has arrived completely, and 201 to others."""

    async def handle_request(self, make_input: Callable[[int], UserInput]) -> Response | None:
        event = make_input(1)
        return Response(1, 422 if isinstance(event, RejectJob) else 201)

    async def receive_heartbeat(self, body: bytes) -> HeartbeatReply:
        raise NotImplementedError

    def ready(self) -> bool:
        return True


def test_a_request_that_arrived_during_the_suspension_is_not_rejected_as_slow() -> None:
    body = b'{"id": "job-1"}'

    async def submit() -> bytes:
        listener = await HttpServer(RefusingService(), 4).start("127.0.0.1:0")
        host, port = listener.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        head = f"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body[:5])
        await writer.drain()
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        writer.write(body[5:])
        simulate_suspension()
        status_line = await reader.readline()
        writer.close()
        listener.close()
        return status_line

    assert asyncio.run(submit()).split()[1] == b"422"


def test_the_controllers_answer_is_returned_after_the_suspension() -> None:
    async def request() -> object:
        requests = PendingRequests()
        loop = asyncio.get_running_loop()
        pending = asyncio.ensure_future(
            requests.request_answer(
                lambda _: None, lambda number: RejectJob(number, JobRef("j"), 400), 60.0
            )
        )
        await asyncio.sleep(0)
        simulate_suspension()
        # What the answer depends on takes some iterations of the loop to be read and decided.
        loop.call_soon(loop.call_soon, requests.complete, Response(1, 200))
        return await pending

    assert asyncio.run(request()) == Response(1, 200)
