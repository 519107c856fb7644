"""The clients of the services that the controller calls."""

from __future__ import annotations

from contextlib import AsyncExitStack
from random import Random

import msgspec

from ..adapters.cloud_client import CloudClient
from ..adapters.state_client import StateClient
from ..adapters.worker_client import WorkerClient
from ..settings import Settings
from .sockets import SocketBudget, client_session


class Clients(msgspec.Struct, frozen=True):
    """The clients of all services; each has its own HTTP session and socket limit."""

    state: StateClient
    cloud: CloudClient
    workers: WorkerClient

    @classmethod
    async def open(
        cls, stack: AsyncExitStack, settings: Settings, sockets: SocketBudget, rng: Random
    ) -> Clients:
        """Create the clients; the stack closes their sessions in reverse order."""
        limits = settings.settings.state.strictest()
        store_session = await stack.enter_async_context(client_session(sockets.store))
        cloud_session = await stack.enter_async_context(client_session(sockets.cloud))
        worker_session = await stack.enter_async_context(client_session(sockets.workers))
        return cls(
            StateClient(
                store_session,
                settings.endpoints.state,
                limits.rps,
                limits.write_rps,
                limits.txn_ops,
                rng,
            ),
            CloudClient(cloud_session, settings.endpoints.cloud),
            WorkerClient(worker_session),
        )
