"""Puts the core and the adapters together: carries inputs in and effects out."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from random import Random
from typing import Any, NamedTuple

import aiohttp

from .adapters import clock
from .adapters.cloud_client import CloudClient
from .adapters.http_server import HttpServer, UserInput
from .adapters.peer_link import Health, Link, PeerServer
from .adapters.state_client import StateClient
from .adapters.worker_client import WorkerClient
from .core.control.controller import Controller
from .core.model.cloud_calls import DeleteMachines, ListMachines, ListTypes, Rent
from .core.model.deployment import TuningOptions
from .core.model.effects import (
    BroadcastProgress,
    Delay,
    Effect,
    LogRecord,
    ProposeShard,
    Response,
    ShardRequest,
)
from .core.model.ids import AgentEpoch, Member, Token
from .core.model.inputs import (
    CallCompleted,
    HeartbeatReceived,
    Input,
    PeerUnreachable,
    ProbeReply,
    ProgressReceived,
    ShardProposed,
    ShardRequested,
    Started,
    Tick,
)
from .core.model.store_calls import Commit, GrantLease, Read, RenewLease, RevokeLease, Scan, Watch
from .core.model.worker_calls import DirectCommand, HeartbeatResponse, IndirectProbe
from .settings import Settings
from .wire import peers as peer_wire
from .wire import workers as worker_wire

TICK_S = 0.1
USER_S = 4.0
KEEP_OPEN_S = 2.0
"""How long a connection of ours that is not in use is kept: it holds a socket here and there."""
NOT_NOW = (503, b"")

log = logging.getLogger("crosscleat")


class Sockets(NamedTuple):
    """How the sockets that the platform allows are divided.

    One controller that is left alone must hold all workers and users; and whatever hangs, among
    those or among the workers that we address, neither store nor cloud may wait for a socket.
    """

    store: int
    cloud: int
    workers: int
    """At work; as many again may be kept open for a moment."""
    clients: int

    @classmethod
    def divide(cls, most: int, peers: int) -> Sockets:
        """Divide `most` sockets for a controller with so many peers."""
        store, cloud, workers = max(3, most // 20), max(2, most // 100), max(2, most // 16)
        # Two to listen on, both ways between controllers and their next try; some for the system.
        left = most - store - cloud - 2 * workers - 3 * peers - 2
        return cls(store, cloud, workers, max(2, left - most // 32))


class App:
    """One controller process."""

    def __init__(self, settings: Settings, tuning: TuningOptions, sockets: Sockets) -> None:
        params = settings.settings
        limits = params.state.tighter()
        self._settings = settings
        self._sockets = sockets
        self._rng = Random(os.urandom(16))
        boot = f"{self._rng.getrandbits(64):016x}"
        self._controller = Controller(settings.deployment(tuning), boot, self._rng)
        self.sessions = [
            _session(sockets.store),
            _session(sockets.cloud),
            _session(sockets.workers),
        ]
        store, cloud, workers = self.sessions
        self._state = StateClient(
            store,
            settings.endpoints.state,
            limits.rps,
            limits.write_rps,
            limits.txn_ops,
            self._rng,
        )
        self._cloud = CloudClient(cloud, settings.endpoints.cloud)
        self._workers = WorkerClient(workers)
        self._health = Health(lambda: self._state.well, self._state.failing_s, bool(settings.peers))
        self._links = {
            peer.member: Link(
                settings.member,
                peer.member,
                peer.endpoint,
                self._rng,
                self._health,
                self._peer_unreachable,
            )
            for peer in settings.peers
        }
        self._requests: dict[int, asyncio.Future[Response | HeartbeatResponse]] = {}
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._carriers: dict[type[Any], Callable[[Any], Awaitable[Any]]] = {
            Commit: self._state.commit,
            Read: self._state.read,
            Scan: self._state.scan,
            Watch: self._state.watch,
            GrantLease: self._state.grant,
            RenewLease: self._state.touch,
            Rent: self._cloud.rent,
            DeleteMachines: self._cloud.delete,
            ListTypes: lambda _: self._cloud.types(),
            ListMachines: lambda _: self._cloud.machines(),
        }

    async def run(self) -> None:
        """Serve until a signal ends the process."""
        peers = PeerServer(set(self._links), self._answer_relay, self._health, self._told)
        server = HttpServer(self._ask, self._receive_heartbeat, self._ready, self._sockets.clients)
        await peers.start(self._settings.peer_bind)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._state.run())
            for link in self._links.values():
                group.create_task(link.run())
            self._step(Started())
            await server.start(self._settings.listen)
            # What was imported stays: the collector need not look at it again.
            gc.collect()
            gc.freeze()
            gc.set_threshold(20_000, 20, 50)
            while True:
                await asyncio.sleep(TICK_S)
                self._step(Tick())

    # Inputs and effects

    def _step(self, given: Input) -> None:
        for effect in self._controller.step(given, clock.steady(), clock.wall()):
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:  # noqa: C901 - one case a message
        match effect:
            case Response() | HeartbeatResponse():
                future = self._requests.pop(effect.request, None)
                if future is not None and not future.done():
                    future.set_result(effect)
            case LogRecord():
                self._write_log(effect)
            case Delay():
                loop = asyncio.get_running_loop()
                loop.call_later(effect.delay_s, self._step, CallCompleted(effect.continuation))
            case BroadcastProgress():
                for link in self._links.values():
                    link.send(peer_wire.Counts(effect.message))
            case IndirectProbe():
                for link in self._links.values():
                    link.send(
                        peer_wire.IndirectProbe(effect.address, effect.token, effect.agent_epoch)
                    )
            case ShardRequest():
                self._links[effect.member].send(peer_wire.ShardRequest(effect.view))
            case ProposeShard():
                self._links[effect.member].send(peer_wire.ShardProposed(effect.proposal))
            case RevokeLease():
                self._spawn(self._state.revoke(effect))
            case DirectCommand():
                self._spawn(self._direct(effect))
            case _:
                self._spawn(self._call(effect))

    async def _call(self, call: Any) -> None:
        result = await self._carriers[type(call)](call)
        self._step(CallCompleted(call.continuation, (result,)))

    async def _direct(self, call: DirectCommand) -> None:
        heartbeat, perhaps = await self._workers.direct(call)
        self._step(CallCompleted(call.continuation, (heartbeat, perhaps)))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a call failed", exc_info=task.exception())

    def _write_log(self, record: LogRecord) -> None:
        level = logging.INFO if record.level == "info" else logging.DEBUG
        if log.isEnabledFor(level):
            election = self._controller.election
            role = f"leader {election.token}" if election.leading else "follower"
            log.log(level, "(%s) %s", role, record.text)

    # Requests

    async def _wait(
        self, make: Callable[[int], Input], timeout_s: float
    ) -> Response | HeartbeatResponse | None:
        self._number += 1
        number = self._number
        future: asyncio.Future[Response | HeartbeatResponse] = (
            asyncio.get_running_loop().create_future()
        )
        self._requests[number] = future
        self._step(make(number))
        if future.done():
            return future.result()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            self._requests.pop(number, None)

    async def _ask(self, make: Callable[[int], UserInput]) -> Response | None:
        answer = await self._wait(make, USER_S)
        return answer if isinstance(answer, Response) else None

    async def _receive_heartbeat(self, body: bytes) -> tuple[int, bytes]:
        """A worker's check-in at this controller: ours to answer, or the leader's."""
        if self._controller.leader is not None:
            return await self._answer_heartbeat(body, relayed=False)
        leader = self._controller.election.leader
        link = self._links.get(leader) if leader is not None else None
        if link is None or not link.up:
            return NOT_NOW
        return await link.relay(body) or NOT_NOW

    async def _answer_relay(self, body: bytes) -> tuple[int, bytes]:
        """A check-in that another controller passed on: never passed on again."""
        if self._controller.leader is None:
            return NOT_NOW
        return await self._answer_heartbeat(body, relayed=True)

    async def _answer_heartbeat(self, body: bytes, relayed: bool) -> tuple[int, bytes]:
        heartbeat = worker_wire.parse_heartbeat(body)
        if heartbeat is None:
            return 400, b""
        answer = await self._wait(lambda number: HeartbeatReceived(number, heartbeat, relayed), 1.0)
        if isinstance(answer, HeartbeatResponse):
            return 200, worker_wire.answer(answer.token, answer.orders)
        return NOT_NOW

    def _ready(self) -> bool:
        return self._controller.knows_types and not self._health.refused_alone()

    def _peer_unreachable(self, member: str) -> None:
        self._step(PeerUnreachable(Member(member)))

    def _told(self, member: str, message: peer_wire.Told) -> None:
        match message:
            case peer_wire.Counts():
                self._step(ProgressReceived(message.jobs))
            case peer_wire.ShardRequest():
                self._step(ShardRequested(Member(member), message.view))
            case peer_wire.ShardProposed():
                self._step(ShardProposed(Member(member), message.proposal))
            case peer_wire.IndirectProbe():
                self._spawn(self._probe(member, message))
            case peer_wire.ProbeReply():
                heartbeat = worker_wire.parse_heartbeat(message.body)
                if heartbeat is not None:
                    self._step(ProbeReply(heartbeat))

    async def _probe(self, member: str, asked: peer_wire.IndirectProbe) -> None:
        body = await self._workers.probe(
            asked.address, Token(asked.token), AgentEpoch(asked.agent_epoch)
        )
        if body is not None:
            self._links[member].send(peer_wire.ProbeReply(body))


def _session(most: int) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=most, use_dns_cache=False, keepalive_timeout=KEEP_OPEN_S
        ),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


async def _main(settings: Settings, tuning: TuningOptions) -> None:
    most = settings.settings.resources.max_sockets
    app = App(settings, tuning, Sockets.divide(most, len(settings.peers)))
    async with AsyncExitStack() as open_:
        for session in app.sessions:
            await open_.enter_async_context(session)
        await app.run()


def run(settings: Settings, tuning: TuningOptions) -> None:
    """Run a controller until it is told to end."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    log.info("in %s, listens on %s", settings.zone, settings.listen)
    asyncio.run(_main(settings, tuning))
