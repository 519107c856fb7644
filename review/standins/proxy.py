"""A TCP proxy on loopback that can hold, drop or reset what passes through it."""

from __future__ import annotations

import asyncio
import socket
import struct


class Proxy:
    """Forwards connections to one address; `held` stops both directions until it is cleared."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._host, self._port = host, int(port)
        self._open = asyncio.Event()
        self._open.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._refusing = False
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        self.reset()

    def hold(self) -> None:
        """Hold all bytes from now on."""
        self._open.clear()

    def release(self) -> None:
        """Deliver what was held, in order."""
        self._refusing = False
        self._open.set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            raw = writer.get_extra_info("socket")
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def cut(self) -> None:
        """Reset all connections and refuse new ones until `release`."""
        self._refusing = True
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._refusing:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            await self._open.wait()
            to_reader, to_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            self._writers.discard(writer)
            writer.transport.abort()
            return
        self._writers.add(to_writer)
        await asyncio.gather(self._pump(reader, to_writer), self._pump(to_reader, writer))
        self._writers -= {writer, to_writer}

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            if self._open.is_set():
                writer.close()
            else:
                await self._open.wait()
                writer.close()
