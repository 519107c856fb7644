"""Server for the connections that other controllers open to this one."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from ..wire import peers as wire
from ..wire.workers import HeartbeatReply
from .background import BackgroundTasks
from .clock import monotonic_time
from .health import Health
from .peer_frames import RELAY_TIMEOUT_S, InvalidMessageError, receive_message

log = logging.getLogger("crosscleat.peers")


class PeerService(Protocol):
    """Handles the messages of peers."""

    async def receive_relayed_heartbeat(self, body: bytes) -> HeartbeatReply:
        """Reply to a worker's heartbeat that a peer relayed."""

    def receive_peer_message(self, member: str, message: wire.OneWayMessage) -> None:
        """Handle a message that needs no reply."""


class PeerServer:
    """Accepts links of peers; replies to relayed heartbeats and pings, passes other messages on."""

    def __init__(self, peers: set[str], service: PeerService, health: Health) -> None:
        self._peers = peers
        self._service = service
        self._health = health
        self._replies = BackgroundTasks(log)
        self._logged_peers: set[str] = set()
        """Peers whose first invalid message has been logged; later ones are not logged."""

    async def start(self, address: str) -> asyncio.Server:
        """Listen for the other controllers; the caller closes the listener."""
        host, _, port = address.rpartition(":")
        return await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = "unknown peer"
        try:
            hello = await receive_message(reader)
            if not isinstance(hello, wire.Hello) or hello.member not in self._peers:
                raise InvalidMessageError("the first message is not a hello from a known peer")
            peer = hello.member
            while True:
                self._handle(peer, await receive_message(reader), writer)
        except ValueError as error:
            if peer not in self._logged_peers:
                self._logged_peers.add(peer)
                log.error("invalid message from %s: %s", peer, error)
        except (OSError, EOFError, TimeoutError) as error:
            log.debug("link from %s closed: %s", peer, error or type(error).__name__)
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
        received_at = monotonic_time()
        reply = await self._service.receive_relayed_heartbeat(relay.body)
        # After this time the peer no longer waits for the reply.
        if monotonic_time() - received_at < RELAY_TIMEOUT_S and not writer.is_closing():
            writer.write(wire.encode_frame(wire.Relayed(relay.number, reply.status, reply.body)))
