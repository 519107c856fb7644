"""Direct commands when no socket is free.

Guards against a command that got no socket in time being treated as possibly executed: the attempt
that it was to start would keep its allocation until the next term.
"""

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


def test_a_command_that_gets_no_socket_in_time_counts_as_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(worker_client, "SOCKET_TIMEOUT_S", 0.1)

    async def run() -> None:
        arrived = asyncio.Event()
        release = asyncio.Event()
        received = []

        async def hang(request: web.Request) -> web.Response:
            received.append(request)
            arrived.set()
            await release.wait()
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
            assert len(received) == 1
            release.set()
            assert await first == DirectReply(None, may_execute=True)

    asyncio.run(run())
