"""A process that stood still takes in what has arrived meanwhile before it gives up a call.

What happened: a controller's process is suspended, or waits for a processor, for longer than a call
may take. The answer has come and waits in the socket. When the process went on, its timers fired
before the answer was read. So a transaction that had been carried out was sent again and found its
own first try in the way, upon which the leader gave up its term; direct commands that workers had
answered counted as missed, and three of those as a leader cut off; and a submission that had
arrived whole was refused for good (400), as one that comes too slowly.
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

STANDSTILL_S = 100.0
"""Longer than any call may take, and than all but the limits that the library sets itself."""
TURNS = 50
"""Of the loop, more than it takes to read the beginning of a request."""
Result = TypeVar("Result")


def http_answer(status: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class OtherSide:
    """Another service, whose answer arrives while this process stands still."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    async def stand_still_during(self, call: Awaitable[Result]) -> Result:
        """The call's result; from its request on until after its timeout nothing else is run."""
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(call)
        await asyncio.sleep(0)
        connection, _ = await loop.sock_accept(self._listener)
        self._listener.close()
        with connection:
            await loop.sock_recv(connection, 65_536)
            connection.sendall(self._answer)
            jump()
            return await task


def jump() -> None:
    """The process stands still: the loop's clock runs on, and none of its callbacks is run."""
    loop = asyncio.get_running_loop()
    before = loop.time
    loop.time = lambda: before() + STANDSTILL_S  # type: ignore[method-assign]


def test_an_answer_that_came_during_the_standstill_is_taken() -> None:
    other = OtherSide(http_answer("200 OK", b"{}"))

    async def call() -> HttpResponse | None:
        async with aiohttp.ClientSession() as session:
            endpoint = HttpEndpoint(session, other.address, logging.getLogger("test"))
            return await other.stand_still_during(endpoint.request("POST", "/x", b"{}", 60.0))

    assert asyncio.run(call()) == HttpResponse(200, b"{}")


def test_a_call_without_an_answer_ends_after_the_standstill() -> None:
    other = OtherSide(b"")

    async def call() -> HttpResponse | None:
        async with aiohttp.ClientSession() as session:
            endpoint = HttpEndpoint(session, other.address, logging.getLogger("test"))
            call = endpoint.request("POST", "/x", b"{}", 60.0)
            return await other.stand_still_during(call)

    assert asyncio.run(call()) is None


def test_a_transaction_that_was_carried_out_is_not_sent_again() -> None:
    other = OtherSide(http_answer("200 OK", msgspec.msgpack.encode({"ledger_rev": 7})))

    async def commit() -> object:
        async with aiohttp.ClientSession() as session:
            client = StateClient(session, other.address, 1e6, 1e6, 8, Random(1))
            running = asyncio.create_task(client.run())
            write = Commit((("k", Version(0)),), (Put("k", {}),), lambda _: None)
            outcome = await other.stand_still_during(client.commit(write))
            running.cancel()
            return outcome

    assert asyncio.run(commit()) == Committed(Version(7))


def test_a_direct_command_that_was_answered_is_not_missed() -> None:
    other = OtherSide(http_answer("409 Conflict", b"{}"))

    async def probe() -> bytes | None:
        async with aiohttp.ClientSession() as session:
            client = WorkerClient(session)
            return await other.stand_still_during(
                client.probe(other.address, Token(1), AgentEpoch(1))
            )

    assert asyncio.run(probe()) == b"{}"


def test_a_message_of_a_peer_that_came_during_the_standstill_is_read() -> None:
    ping = peer_wire.Ping(True)
    other = OtherSide(peer_wire.encode_frame(ping))

    async def read() -> peer_wire.Message:
        host, _, port = other.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"hello")
        message = await other.stand_still_during(peer_frames.receive_message(reader))
        writer.close()
        return message

    assert asyncio.run(read()) == ping


class RefusingService:
    """Answers users with what it was given: whether the request arrived whole."""

    async def handle_request(self, make_input: Callable[[int], UserInput]) -> Response | None:
        given = make_input(1)
        return Response(1, 422 if isinstance(given, RejectJob) else 201)

    async def receive_heartbeat(self, body: bytes) -> HeartbeatReply:
        raise NotImplementedError

    def ready(self) -> bool:
        return True


def test_a_request_that_arrived_whole_during_the_standstill_is_not_refused_as_slow() -> None:
    body = b'{"id": "job-1"}'

    async def submit() -> bytes:
        listener = await HttpServer(RefusingService(), 4).start("127.0.0.1:0")
        host, port = listener.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        head = f"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body[:5])
        await writer.drain()
        for _ in range(TURNS):
            await asyncio.sleep(0)
        writer.write(body[5:])
        jump()
        status_line = await reader.readline()
        writer.close()
        listener.close()
        return status_line

    assert asyncio.run(submit()).split()[1] == b"422"


def test_the_controllers_answer_is_taken_after_the_standstill() -> None:
    async def ask() -> object:
        requests = PendingRequests()
        loop = asyncio.get_running_loop()
        waiting = asyncio.ensure_future(
            requests.request_answer(
                lambda _: None, lambda number: RejectJob(number, JobRef("j"), 400), 60.0
            )
        )
        await asyncio.sleep(0)
        jump()
        # What it waits for takes some turns of the loop to be read and decided.
        loop.call_soon(loop.call_soon, requests.complete, Response(1, 200))
        return await waiting

    assert asyncio.run(ask()) == Response(1, 200)
