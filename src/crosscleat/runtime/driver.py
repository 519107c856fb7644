"""Drives the controller: passes inputs to it one at a time and executes its effects."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Any

from ..adapters import clock
from ..adapters.background import BackgroundTasks
from ..adapters.peer_link import PeerLink
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
    """Executes the controller's effects and passes their results back to it.

    Each type of effect has a handler. Each call runs as a task; its result becomes an input that
    runs the call's continuation.
    """

    def __init__(
        self, controller: Controller, clients: Clients, links: Mapping[str, PeerLink]
    ) -> None:
        self._controller = controller
        self._links = links
        self._tasks = BackgroundTasks(log)
        self._requests = PendingRequests()
        self._handlers: dict[type[Any], Callable[[Any], object]] = {
            Response: self._requests.complete,
            HeartbeatResponse: self._requests.complete,
            LogRecord: self._write_log,
            Delay: self._start_delay,
            BroadcastProgress: self._broadcast_progress,
            IndirectProbe: self._request_indirect_probe,
            ShardRequest: self._request_shard,
            ProposeShard: self._propose_shard,
            RevokeLease: lambda call: self._tasks.start(clients.state.revoke(call)),
        }
        for call_type, client_method in _client_methods(clients).items():
            self._handlers[call_type] = partial(self._start_call, client_method)

    def step(self, event: Input) -> None:
        """Run one step of the controller and execute its effects in order."""
        for effect in self._controller.step(event, clock.monotonic_time(), clock.wall_time()):
            self._handlers[type(effect)](effect)

    def request_answer(
        self, make_input: Callable[[int], Input], timeout_s: float
    ) -> Awaitable[Answer | None]:
        """The controller's answer to one request; None if there was none in time."""
        return self._requests.request_answer(self.step, make_input, timeout_s)

    def _start_call(self, client_method: Callable[[Any], Awaitable[Any]], call: Any) -> None:
        self._tasks.start(self._run_call(client_method, call))

    async def _run_call(self, client_method: Callable[[Any], Awaitable[Any]], call: Any) -> None:
        result = await client_method(call)
        self.step(CallCompleted(call.continuation, (result,)))

    def _start_delay(self, effect: Delay) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(effect.delay_s, self.step, CallCompleted(effect.continuation))

    def _broadcast(self, message: wire.Message) -> None:
        for link in self._links.values():
            link.send(message)

    def _broadcast_progress(self, effect: BroadcastProgress) -> None:
        self._broadcast(wire.Counts(effect.counts))

    def _request_indirect_probe(self, effect: IndirectProbe) -> None:
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


def _client_methods(clients: Clients) -> dict[type[Any], Callable[[Any], Awaitable[Any]]]:
    """The client method that executes each type of call with a continuation."""
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
        ListTypes: lambda _: cloud.list_machine_types(),
        ListMachines: lambda _: cloud.list_machines(),
        DirectCommand: clients.workers.send_command,
    }
