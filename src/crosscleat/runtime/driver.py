"""Drives the controller: gives it inputs one at a time and has its effects carried out."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Any

from ..adapters import clock
from ..adapters.background import BackgroundTasks
from ..adapters.peer_link import Link
from ..core.control.controller import Controller
from ..core.model.cloud_calls import DeleteMachines, ListMachines, ListTypes, Rent
from ..core.model.effects import (
    BroadcastProgress,
    Delay,
    LogRecord,
    ProposeShard,
    Response,
    ShardRequest,
)
from ..core.model.inputs import CallCompleted, Input
from ..core.model.store_calls import Commit, GrantLease, Read, RenewLease, RevokeLease, Scan, Watch
from ..core.model.worker_calls import DirectCommand, HeartbeatResponse, IndirectProbe
from ..wire import peers as wire
from .clients import Clients
from .requests import Answer, PendingRequests

log = logging.getLogger("crosscleat")


class ControllerDriver:
    """The controller's way to the outside and back.

    An effect is carried out by the entry of its type in a table. Calls run as tasks of their own;
    the result of one comes back as an input that runs the call's continuation.
    """

    def __init__(self, controller: Controller, clients: Clients, links: Mapping[str, Link]) -> None:
        self._controller = controller
        self._links = links
        self._tasks = BackgroundTasks(log)
        self._requests = PendingRequests()
        self._handlers: dict[type[Any], Callable[[Any], object]] = {
            Response: self._requests.complete,
            HeartbeatResponse: self._requests.complete,
            LogRecord: self._write_log,
            Delay: self._delay,
            BroadcastProgress: self._broadcast_progress,
            IndirectProbe: self._ask_peers_to_probe,
            ShardRequest: self._request_shard,
            ProposeShard: self._propose_shard,
            RevokeLease: lambda call: self._tasks.start(clients.state.revoke(call)),
        }
        for call_type, client_method in _calls(clients).items():
            self._handlers[call_type] = partial(self._start_call, client_method)

    def step(self, event: Input) -> None:
        """Give the controller one input and carry out, in order, what it asks for."""
        for effect in self._controller.step(event, clock.steady(), clock.wall()):
            self._handlers[type(effect)](effect)

    def ask(self, make_input: Callable[[int], Input], timeout_s: float) -> Awaitable[Answer | None]:
        """The controller's answer to one request; None: there was none in time."""
        return self._requests.ask(self.step, make_input, timeout_s)

    def _start_call(self, client_method: Callable[[Any], Awaitable[Any]], call: Any) -> None:
        self._tasks.start(self._call(client_method, call))

    async def _call(self, client_method: Callable[[Any], Awaitable[Any]], call: Any) -> None:
        result = await client_method(call)
        self.step(CallCompleted(call.continuation, (result,)))

    def _delay(self, effect: Delay) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(effect.delay_s, self.step, CallCompleted(effect.continuation))

    def _broadcast(self, message: wire.Message) -> None:
        for link in self._links.values():
            link.send(message)

    def _broadcast_progress(self, effect: BroadcastProgress) -> None:
        self._broadcast(wire.Counts(effect.counts))

    def _ask_peers_to_probe(self, effect: IndirectProbe) -> None:
        self._broadcast(wire.IndirectProbe(effect.address, effect.token, effect.agent_epoch))

    def _request_shard(self, effect: ShardRequest) -> None:
        self._links[effect.member].send(wire.ShardRequest(effect.view))

    def _propose_shard(self, effect: ProposeShard) -> None:
        self._links[effect.member].send(wire.ShardProposed(effect.proposal))

    def _write_log(self, record: LogRecord) -> None:
        level = logging.INFO if record.level == "info" else logging.DEBUG
        if log.isEnabledFor(level):
            election = self._controller.election
            role = f"leader {election.token}" if election.leading else "follower"
            log.log(level, "(%s) %s", role, record.text)


def _calls(clients: Clients) -> dict[type[Any], Callable[[Any], Awaitable[Any]]]:
    """The client's method for each type of call that has a continuation."""
    state, cloud = clients.state, clients.cloud
    return {
        Commit: state.commit,
        Read: state.read,
        Scan: state.scan,
        Watch: state.watch,
        GrantLease: state.grant,
        RenewLease: state.renew,
        Rent: cloud.rent,
        DeleteMachines: cloud.delete,
        ListTypes: lambda _: cloud.types(),
        ListMachines: lambda _: cloud.machines(),
        DirectCommand: clients.workers.direct,
    }
