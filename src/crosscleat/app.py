"""Puts a controller process together and runs it."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from contextlib import AsyncExitStack
from random import Random

from .adapters.health import Health
from .adapters.http_server import HttpServer
from .adapters.peer_link import Link
from .adapters.peer_server import PeerServer
from .core.control.controller import Controller
from .core.model.deployment import TuningOptions
from .core.model.ids import Member
from .core.model.inputs import PeerUnreachable, Started, Tick
from .runtime.clients import Clients
from .runtime.driver import ControllerDriver
from .runtime.service import ControllerService
from .runtime.sockets import SocketBudget
from .settings import Settings

TICK_S = 0.1

log = logging.getLogger("crosscleat")


class App:
    """One controller process: the controller, its clients, its links to peers and its servers."""

    def __init__(
        self,
        settings: Settings,
        controller: Controller,
        clients: Clients,
        sockets: SocketBudget,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._state = clients.state
        health = Health(clients.state, has_peers=bool(settings.peers))
        self._links = {
            peer.member: Link(settings.member, peer.member, peer.endpoint, rng, health)
            for peer in settings.peers
        }
        self._driver = ControllerDriver(controller, clients, self._links)
        service = ControllerService(controller, self._driver, self._links, clients.workers, health)
        self._peer_server = PeerServer(set(self._links), service, health)
        self._http_server = HttpServer(service, sockets.clients)

    async def run(self) -> None:
        """Serve until cancelled, or until a part fails."""
        async with AsyncExitStack() as stack:
            peer_listener = await self._peer_server.start(self._settings.peer_bind)
            stack.callback(peer_listener.close)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._state.run())
                for link in self._links.values():
                    group.create_task(link.run(self._peer_unreachable))
                # Before users and workers are let in: the first input is the start.
                self._driver.step(Started())
                listener = await self._http_server.start(self._settings.listen)
                stack.callback(listener.close)
                _exempt_imports_from_collection()
                while True:
                    await asyncio.sleep(TICK_S)
                    self._driver.step(Tick())

    def _peer_unreachable(self, member: str) -> None:
        self._driver.step(PeerUnreachable(Member(member)))


def _exempt_imports_from_collection() -> None:
    """Take what was imported out of the garbage collector's view: it stays until the end."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)


async def _main(settings: Settings, tuning: TuningOptions) -> None:
    max_sockets = settings.settings.resources.max_sockets
    sockets = SocketBudget.divide(max_sockets, len(settings.peers))
    rng = Random(os.urandom(16))
    boot = f"{rng.getrandbits(64):016x}"
    controller = Controller(settings.deployment(tuning), boot, rng)
    async with AsyncExitStack() as stack:
        clients = await Clients.open(stack, settings, sockets, rng)
        await App(settings, controller, clients, sockets, rng).run()


def run(settings: Settings, tuning: TuningOptions) -> None:
    """Run a controller until a signal ends the process."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    log.info("zone %s, listening on %s", settings.zone or "not set", settings.listen)
    asyncio.run(_main(settings, tuning))
