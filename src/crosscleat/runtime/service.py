"""Handles the requests of users and workers, and the messages of other controllers."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from ..adapters.background import BackgroundTasks
from ..adapters.health import Health
from ..adapters.http_server import UserInput
from ..adapters.peer_link import PeerLink
from ..adapters.worker_client import WorkerClient
from ..core.control.controller import Controller
from ..core.model.effects import Response
from ..core.model.ids import AgentEpoch, Member, Token
from ..core.model.inputs import (
    HeartbeatReceived,
    ProbeReply,
    ProgressReceived,
    ShardProposed,
    ShardRequested,
)
from ..core.model.worker_calls import HeartbeatResponse
from ..wire import peers as peer_wire
from ..wire import workers as worker_wire
from ..wire.workers import MALFORMED, UNAVAILABLE, HeartbeatReply
from .driver import ControllerDriver

USER_TIMEOUT_S = 4.0
HEARTBEAT_TIMEOUT_S = 1.0

log = logging.getLogger("crosscleat")


class ControllerService:
    """Converts requests and messages into inputs of the controller, and answers into replies."""

    def __init__(
        self,
        controller: Controller,
        driver: ControllerDriver,
        links: Mapping[str, PeerLink],
        workers: WorkerClient,
        health: Health,
    ) -> None:
        self._controller = controller
        self._driver = driver
        self._links = links
        self._workers = workers
        self._health = health
        self._probes = BackgroundTasks(log)
        self._message_handlers: dict[type[Any], Callable[[str, Any], None]] = {
            peer_wire.Counts: self._receive_progress,
            peer_wire.ShardRequest: self._receive_shard_request,
            peer_wire.ShardProposed: self._receive_shard_proposal,
            peer_wire.IndirectProbe: self._receive_probe_request,
            peer_wire.ProbeReply: self._receive_probe_reply,
        }

    # Users and the load balancer

    def ready(self) -> bool:
        """Whether the load balancer should send users to this controller."""
        return self._controller.knows_machine_types and not self._health.is_isolated()

    async def handle_request(self, make_input: Callable[[int], UserInput]) -> Response | None:
        """The controller's response to a user's request; None if there was none in time."""
        answer = await self._driver.request_answer(make_input, USER_TIMEOUT_S)
        return answer if isinstance(answer, Response) else None

    # Workers

    async def receive_heartbeat(self, body: bytes) -> HeartbeatReply:
        """Reply to a worker's heartbeat; if a peer is the leader, relay it and return its reply."""
        if self._controller.leader is not None:
            return await self._answer_heartbeat(body, relayed=False)
        leader = self._controller.election.leader
        link = self._links.get(leader) if leader is not None else None
        if link is None or not link.is_open:
            return UNAVAILABLE
        return await link.relay(body) or UNAVAILABLE

    async def receive_relayed_heartbeat(self, body: bytes) -> HeartbeatReply:
        """Reply to a heartbeat that a peer relayed; it is never relayed again."""
        if self._controller.leader is None:
            return UNAVAILABLE
        return await self._answer_heartbeat(body, relayed=True)

    async def _answer_heartbeat(self, body: bytes, relayed: bool) -> HeartbeatReply:
        heartbeat = worker_wire.parse_heartbeat(body)
        if heartbeat is None:
            return MALFORMED
        answer = await self._driver.request_answer(
            lambda number: HeartbeatReceived(number, heartbeat, relayed), HEARTBEAT_TIMEOUT_S
        )
        if isinstance(answer, HeartbeatResponse):
            return HeartbeatReply(
                200, worker_wire.encode_heartbeat_response(answer.token, answer.orders)
            )
        return UNAVAILABLE

    # The other controllers

    def receive_peer_message(self, member: str, message: peer_wire.OneWayMessage) -> None:
        """Handle a peer's message that needs no reply on the same link."""
        self._message_handlers[type(message)](member, message)

    def _receive_progress(self, _: str, message: peer_wire.Counts) -> None:
        self._driver.step(ProgressReceived(message.jobs))

    def _receive_shard_request(self, member: str, message: peer_wire.ShardRequest) -> None:
        self._driver.step(ShardRequested(Member(member), message.view))

    def _receive_shard_proposal(self, member: str, message: peer_wire.ShardProposed) -> None:
        self._driver.step(ShardProposed(Member(member), message.proposal))

    def _receive_probe_request(self, member: str, message: peer_wire.IndirectProbe) -> None:
        self._probes.start(self._probe(member, message))

    def _receive_probe_reply(self, _: str, message: peer_wire.ProbeReply) -> None:
        heartbeat = worker_wire.parse_heartbeat(message.body)
        if heartbeat is not None:
            self._driver.step(ProbeReply(heartbeat))

    async def _probe(self, member: str, request: peer_wire.IndirectProbe) -> None:
        body = await self._workers.probe(
            request.address, Token(request.token), AgentEpoch(request.agent_epoch)
        )
        if body is not None:
            self._links[member].send(peer_wire.ProbeReply(body))
