"""MessagePack over HTTP, as the protocol's interfaces use it."""

from __future__ import annotations

import asyncio
import random
import socket
from contextlib import ExitStack
from typing import Any

import aiohttp
import msgspec
from aiohttp import web


def reply(value: Any, status: int = 200) -> web.Response:
    """A response with a MessagePack body."""
    return web.Response(status=status, body=msgspec.msgpack.encode(value))


async def body_of(request: web.Request) -> Any:
    """The decoded body of a request."""
    return msgspec.msgpack.decode(await request.read())


async def serve(app: web.Application, port: int = 0) -> tuple[web.AppRunner, str]:
    """Serve on loopback; returns the runner and the address."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    host, bound = runner.addresses[0][:2]
    return runner, f"{host}:{bound}"


async def call(
    session: aiohttp.ClientSession, method: str, url: str, value: Any, timeout_s: float
) -> tuple[int, Any]:
    """Send a request; the status is 0 if there was no response in time."""
    data = None if value is None else msgspec.msgpack.encode(value)
    try:
        async with (
            asyncio.timeout(timeout_s),
            session.request(method, url, data=data) as response,
        ):
            raw = await response.read()
            return response.status, msgspec.msgpack.decode(raw) if raw else None
    except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError):
        return 0, None


def free_ports(count: int) -> list[int]:
    """Ports that are free at the moment, below those that the system gives to clients."""
    ports: list[int] = []
    with ExitStack() as stack:
        while len(ports) < count:
            free = stack.enter_context(socket.socket())
            port = random.randrange(15_000, 30_000)
            try:
                free.bind(("127.0.0.1", port))
            except OSError:
                continue
            ports.append(port)
    return ports
