"""The server for the links that the other controllers open to this one."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from ..wire import peers as wire
from ..wire.workers import HeartbeatReply
from .background import BackgroundTasks
from .clock import steady
from .health import Health
from .peer_frames import RELAY_TIMEOUT_S, InvalidMessageError, receive

log = logging.getLogger("crosscleat.peers")


class PeerService(Protocol):
    """What a controller does with its peers' messages."""

    async def receive_relayed_heartbeat(self, body: bytes) -> HeartbeatReply:
        """Reply to a heartbeat that a worker sent to the peer."""

    def receive_peer_message(self, member: str, message: wire.OneWayMessage) -> None:
        """Act on a message that needs no reply."""


class PeerServer:
    """Takes the peers' links: replies to relayed heartbeats and pings, hands on the rest."""

    def __init__(self, peers: set[str], service: PeerService, health: Health) -> None:
        self._peers = peers
        self._service = service
        self._health = health
        self._replies = BackgroundTasks(log)
        self._reported: set[str] = set()
        """Peers whose invalid messages have been logged: once for each is enough."""

    async def start(self, address: str) -> asyncio.Server:
        """Listen for the other controllers; the caller closes the listener."""
        host, _, port = address.rpartition(":")
        return await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = "unknown peer"
        try:
            hello = await receive(reader)
            if not isinstance(hello, wire.Hello) or hello.member not in self._peers:
                raise InvalidMessageError("the first message is no hello of a known peer")
            peer = hello.member
            while True:
                self._handle(peer, await receive(reader), writer)
        except ValueError as error:
            if peer not in self._reported:
                self._reported.add(peer)
                log.error("%s sends what no controller sends: %s", peer, error)
        except (OSError, EOFError, TimeoutError) as error:
            log.debug("link from %s: %s", peer, error or type(error).__name__)
        finally:
            writer.transport.abort()

    def _handle(self, peer: str, message: wire.Message, writer: asyncio.StreamWriter) -> None:
        if isinstance(message, wire.Relay):
            self._replies.start(self._reply(message, writer))
        elif isinstance(message, wire.OneWayMessage):
            self._service.receive_peer_message(peer, message)
        elif isinstance(message, wire.Ping):
            self._health.receive_ping(peer, message)
            writer.write(wire.encode_frame(self._health.ping()))

    async def _reply(self, relay: wire.Relay, writer: asyncio.StreamWriter) -> None:
        received_at = steady()
        reply = await self._service.receive_relayed_heartbeat(relay.body)
        # After this time the peer does not wait for the reply any more.
        if steady() - received_at < RELAY_TIMEOUT_S and not writer.is_closing():
            writer.write(wire.encode_frame(wire.Relayed(relay.number, reply.status, reply.body)))
