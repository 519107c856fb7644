"""The outgoing connection from this controller to one other controller."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random

from ..wire import peers as wire
from ..wire.workers import HeartbeatReply
from .deadline import Deadline
from .health import PING_INTERVAL_S, Health
from .peer_frames import RELAY_TIMEOUT_S, receive_message

CONNECT_TIMEOUT_S = 2.0
MAX_BUFFERED_BYTES = 1 << 20
"""Maximum number of unsent bytes; while there are more, messages are dropped."""
PROMPT_RETRY_S = 0.02
MIN_RETRY_S, RETRY_JITTER_S = 0.3, 0.4

log = logging.getLogger("crosscleat.peers")


class PeerLink:
    """A TCP connection to one peer, reopened whenever it ends.

    Sends relayed heartbeats, pings and one-way messages; receives replies to the heartbeats and
    pings.
    """

    def __init__(self, member: str, peer: str, address: str, rng: Random, health: Health) -> None:
        self._member = member
        self._peer = peer
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._rng = rng
        self._health = health
        self._writer: asyncio.StreamWriter | None = None
        self._pending_relays: dict[int, asyncio.Future[HeartbeatReply | None]] = {}
        self._last_number = 0

    @property
    def is_open(self) -> bool:
        """Whether there is a connection to the peer."""
        return self._writer is not None

    def send(self, message: wire.Message) -> bool:
        """Queue a message; False if the link is down, its buffer full or the message too long."""
        writer = self._writer
        if writer is None or writer.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            return False
        try:
            writer.write(wire.encode_frame(message))
        except wire.FrameTooLongError as error:
            # The receiver would close the link, which would end all pending relays.
            log.error("message to %s not sent: %s", self._peer, error)
            return False
        return True

    async def relay(self, body: bytes) -> HeartbeatReply | None:
        """Relay a worker's heartbeat to the peer; None if there was no reply in time."""
        self._last_number += 1
        number = self._last_number
        future: asyncio.Future[HeartbeatReply | None] = asyncio.get_running_loop().create_future()
        self._pending_relays[number] = future
        try:
            if not self.send(wire.Relay(number, body)):
                return None
            async with Deadline(RELAY_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._pending_relays[number]

    async def run(self, on_unreachable: Callable[[str], None]) -> None:
        """Keep the link open until cancelled.

        `on_unreachable` is called with the peer's name if the peer refuses a connection right
        after the link was lost: its process has ended. In a partition there is no response.
        """
        was_open = False
        while True:
            try:
                async with Deadline(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(self._host, self._port)
            except ConnectionRefusedError:
                if was_open:
                    on_unreachable(self._peer)
                was_open = False
            except (OSError, TimeoutError):
                was_open = False
            else:
                await self._exchange_messages(reader, writer)
                was_open = True
            # Reconnect promptly after a loss: a refused connection distinguishes a crash from a
            # network partition.
            await asyncio.sleep(PROMPT_RETRY_S if was_open else self._retry_pause_s())

    def _retry_pause_s(self) -> float:
        return MIN_RETRY_S + RETRY_JITTER_S * self._rng.random()

    async def _exchange_messages(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Exchange messages until the connection ends."""
        writer.write(wire.encode_frame(wire.Hello(self._member)))
        self._writer = writer
        pings = asyncio.create_task(self._send_pings())
        try:
            while True:
                self._handle(await receive_message(reader))
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            log.debug("link to %s closed: %s", self._peer, error or type(error).__name__)
        finally:
            pings.cancel()
            self._writer = None
            writer.transport.abort()
            for future in self._pending_relays.values():
                if not future.done():
                    future.set_result(None)

    def _handle(self, message: wire.Message) -> None:
        if isinstance(message, wire.Relayed):
            future = self._pending_relays.get(message.number)
            if future is not None and not future.done():
                future.set_result(HeartbeatReply(message.status, message.body))
        elif isinstance(message, wire.Ping):
            self._health.receive_ping(self._peer, message)

    async def _send_pings(self) -> None:
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            self.send(self._health.ping())
