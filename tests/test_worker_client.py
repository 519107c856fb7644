"""Direct commands when sockets are short."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp import web

from crosscleat.adapters import worker_client
from crosscleat.adapters.worker_client import WorkerClient
from crosscleat.core.model.ids import AgentEpoch, Token
from crosscleat.core.model.worker_calls import DirectCommand, DirectReply

from .standins import serve


def test_a_message_that_finds_no_socket_in_time_was_never_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # If it counted as in flight, its start would keep its allocation until the next term.
    monkeypatch.setattr(worker_client, "SOCKET_TIMEOUT_S", 0.1)

    async def run() -> None:
        arrived = asyncio.Event()
        go_on = asyncio.Event()
        came = []

        async def hang(request: web.Request) -> web.Response:
            came.append(request)
            arrived.set()
            await go_on.wait()
            return web.Response(status=503)

        app = web.Application()
        app.add_routes([web.post("/do", hang)])
        address = await serve(app)
        call = DirectCommand(address, Token(1), AgentEpoch(1), (), lambda _: None)
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            client = WorkerClient(session)
            first = asyncio.create_task(client.send_command(call))
            await arrived.wait()
            assert await client.send_command(call) == DirectReply(None, may_execute=False)
            assert len(came) == 1
            go_on.set()
            assert await first == DirectReply(None, may_execute=True)

    asyncio.run(run())
