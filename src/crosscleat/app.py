"""Assembles a controller process and runs it."""

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
from .adapters.peer_link import PeerLink
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
    """A controller process: the controller, its clients, servers, and links to peers."""

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
            peer.member: PeerLink(settings.member, peer.member, peer.endpoint, rng, health)
            for peer in settings.peers
        }
        self._driver = ControllerDriver(controller, clients, self._links)
        service = ControllerService(controller, self._driver, self._links, clients.workers, health)
        self._peer_server = PeerServer(set(self._links), service, health)
        self._http_server = HttpServer(service, sockets.clients)

    async def run(self) -> None:
        """Serve until cancelled, or until a component fails."""
        async with AsyncExitStack() as stack:
            peer_listener = await self._peer_server.start(self._settings.peer_bind)
            stack.callback(peer_listener.close)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._state.run())
                for link in self._links.values():
                    group.create_task(link.run(self._on_peer_unreachable))
                # Started must be the first input, so it comes before users and workers can connect.
                self._driver.step(Started())
                listener = await self._http_server.start(self._settings.listen)
                stack.callback(listener.close)
                _freeze_imported_objects()
                while True:
                    await asyncio.sleep(TICK_S)
                    self._driver.step(Tick())

    def _on_peer_unreachable(self, member: str) -> None:
        self._driver.step(PeerUnreachable(Member(member)))


def _freeze_imported_objects() -> None:
    """Exempt all present objects from garbage collection: imported modules are never freed."""
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
