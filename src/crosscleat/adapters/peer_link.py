"""Links between controllers: one TCP connection opened to each of the others."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from ..wire import peers as wire
from .clock import steady

PING_S = 1.0
DEAD_S = 5.0
ALONE_S = 2.5
UNHEARD_S = 8.0
"""Longer than the others are away when all end at once and start again."""
CONNECT_S = 2.0
RELAY_S = 2.5
MAX_BUFFERED = 1 << 20

log = logging.getLogger("crosscleat.peers")

Answered = tuple[int, bytes]


@dataclass(slots=True)
class Health:
    """Whom the state service serves, as far as we and the others know."""

    served: Callable[[], bool]
    failing_s: Callable[[], float]
    has_peers: bool = True
    _others: dict[str, float] = field(default_factory=dict)
    _heard_at: float = field(default_factory=steady)

    def heard(self, peer: str, ping: wire.Ping) -> None:
        """A peer said whether the state service serves it."""
        self._heard_at = steady()
        if ping.served:
            self._others[peer] = steady()
        else:
            self._others.pop(peer, None)

    def refused_alone(self) -> bool:
        """Others are served while we are not: users are better off with them.

        In an outage of all, the others find out a little later than we do, or earlier. One that
        hears neither the service nor any other controller is cut off itself, for all it knows.
        """
        failing_s = self.failing_s()
        if failing_s < ALONE_S:
            return False
        now = steady()
        if self.has_peers and now - self._heard_at > UNHEARD_S:
            return True
        return any(
            now - at < 2.0 * PING_S and at > now - failing_s + ALONE_S - PING_S
            for at in self._others.values()
        )


Handler = Callable[[bytes], Awaitable[Answered]]


class Link:
    """Our connection to one other controller: relays go out, answers and counts come in."""

    def __init__(
        self,
        member: str,
        peer: str,
        address: str,
        rng: Random,
        health: Health,
        peer_unreachable: Callable[[str], None],
    ) -> None:
        self._health = health
        self._member = member
        self.peer = peer
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._rng = rng
        self._peer_unreachable = peer_unreachable
        self._writer: asyncio.StreamWriter | None = None
        self._waiting: dict[int, asyncio.Future[Answered | None]] = {}
        self._number = 0

    @property
    def up(self) -> bool:
        """Whether the link is open."""
        return self._writer is not None

    def send(self, message: wire.Message) -> bool:
        """Queue a message; False: the link is down, its queue is full or the message too long."""
        writer = self._writer
        if writer is None or writer.transport.get_write_buffer_size() > MAX_BUFFERED:
            return False
        try:
            writer.write(wire.frame(message))
        except wire.FrameTooLongError as error:
            # The receiver would close the link, and with it all relays.
            log.error("not sent to %s: %s", self.peer, error)
            return False
        return True

    async def relay(self, body: bytes) -> Answered | None:
        """The other controller's answer to a worker's check-in."""
        self._number += 1
        number = self._number
        future: asyncio.Future[Answered | None] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            if not self.send(wire.Relay(number, body)):
                return None
            async with asyncio.timeout(RELAY_S):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        was_up = False
        while True:
            try:
                was_up = await self._connect()
            except ConnectionRefusedError:
                if was_up:
                    self._peer_unreachable(self.peer)
                was_up = False
            # Right after a loss at once: whether it refuses tells a crash from a cut.
            await asyncio.sleep(0.02 if was_up else 0.3 + 0.4 * self._rng.random())

    async def _connect(self) -> bool:
        """Keep a connection while it lasts; whether there was one."""
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(self._host, self._port)
        except ConnectionRefusedError:
            raise
        except (OSError, TimeoutError):
            return False
        writer.write(wire.frame(wire.Hello(self._member)))
        self._writer = writer
        pinger = asyncio.create_task(self._ping())
        try:
            while True:
                async with asyncio.timeout(DEAD_S):
                    message = await _receive(reader)
                if isinstance(message, wire.Relayed):
                    future = self._waiting.get(message.number)
                    if future is not None and not future.done():
                        future.set_result((message.status, message.body))
                elif isinstance(message, wire.Ping):
                    self._health.heard(self.peer, message)
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            log.debug("link to %s: %s", self.peer, error or type(error).__name__)
        finally:
            pinger.cancel()
            self._writer = None
            writer.transport.abort()
            for future in self._waiting.values():
                if not future.done():
                    future.set_result(None)
        return True

    async def _ping(self) -> None:
        while True:
            await asyncio.sleep(PING_S)
            self.send(wire.Ping(self._health.served()))


class PeerServer:
    """Takes the others' links: answers their relays and passes on what they tell."""

    def __init__(
        self,
        peers: set[str],
        receive_heartbeat: Handler,
        health: Health,
        tell: Callable[[str, wire.Told], None],
    ) -> None:
        self._health = health
        self._peers = peers
        self._receive_heartbeat = receive_heartbeat
        self._tell = tell
        self._tasks: set[asyncio.Task[None]] = set()
        self._scolded: set[str] = set()

    async def start(self, address: str) -> None:
        """Listen for the other controllers."""
        host, _, port = address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = "unknown peer"
        try:
            async with asyncio.timeout(DEAD_S):
                hello = await _receive(reader)
            if not isinstance(hello, wire.Hello) or hello.member not in self._peers:
                raise ValueError("no greeting")
            peer = hello.member
            while True:
                async with asyncio.timeout(DEAD_S):
                    message = await _receive(reader)
                if isinstance(message, wire.Relay):
                    task = asyncio.create_task(self._answer(message, writer))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                elif isinstance(message, wire.Told):
                    self._tell(peer, message)
                elif isinstance(message, wire.Ping):
                    self._health.heard(peer, message)
                    writer.write(wire.frame(wire.Ping(self._health.served())))
        except ValueError as error:
            if peer not in self._scolded:
                self._scolded.add(peer)
                log.error("%s sends what no controller sends: %s", peer, error)
        except (OSError, EOFError, TimeoutError) as error:
            log.debug("link from %s: %s", peer, error or type(error).__name__)
        finally:
            writer.transport.abort()

    async def _answer(self, relay: wire.Relay, writer: asyncio.StreamWriter) -> None:
        arrived = steady()
        status, body = await self._receive_heartbeat(relay.body)
        # Later than this nobody waits for it any more.
        if steady() - arrived < RELAY_S and not writer.is_closing():
            writer.write(wire.frame(wire.Relayed(relay.number, status, body)))


async def _receive(reader: asyncio.StreamReader) -> wire.Message:
    size = int.from_bytes(await reader.readexactly(4), "big")
    if size > wire.MAX_FRAME:
        raise ValueError(f"frame of {size} bytes")
    try:
        return wire.parse(await reader.readexactly(size))
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
