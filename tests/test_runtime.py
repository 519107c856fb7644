"""The runtime around the core: handlers, pending requests and background tasks.

Guards against an effect or a peer's message without a handler, against requests that stay
registered after a timeout, and against a failed task that is not logged or ends another one.
"""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import cast, get_args

import aiohttp
import pytest

from crosscleat.adapters.background import BackgroundTasks
from crosscleat.adapters.cloud_client import CloudClient
from crosscleat.adapters.health import Health
from crosscleat.adapters.state_client import StateClient
from crosscleat.adapters.worker_client import WorkerClient
from crosscleat.core.control.controller import Controller
from crosscleat.core.model.effects import Effect, Response
from crosscleat.core.model.ids import JobRef
from crosscleat.core.model.inputs import Input, QueryJob
from crosscleat.runtime.clients import Clients
from crosscleat.runtime.driver import ControllerDriver
from crosscleat.runtime.requests import PendingRequests
from crosscleat.runtime.service import ControllerService
from crosscleat.wire.peers import OneWayMessage

from .world import deployment

NO_SESSION = cast(aiohttp.ClientSession, None)
"""The tests that use it send no requests."""


@pytest.fixture
def controller() -> Controller:
    return Controller(deployment("c0"), "boot", Random(1))


@pytest.fixture
def clients() -> Clients:
    return Clients(
        StateClient(NO_SESSION, "127.0.0.1:1", 100.0, 50.0, 16, Random(1)),
        CloudClient(NO_SESSION, "127.0.0.1:2"),
        WorkerClient(NO_SESSION),
    )


def test_each_type_of_effect_has_a_handler(controller: Controller, clients: Clients) -> None:
    driver = ControllerDriver(controller, clients, {})

    assert set(driver._handlers) == set(get_args(Effect))


def test_each_message_that_needs_no_reply_has_a_handler(
    controller: Controller, clients: Clients
) -> None:
    driver = ControllerDriver(controller, clients, {})
    service = ControllerService(
        controller, driver, {}, clients.workers, Health(clients.state, has_peers=False)
    )

    assert set(service._message_handlers) == set(get_args(OneWayMessage))


def query(number: int) -> Input:
    return QueryJob(number, JobRef("job-1"))


def test_an_answer_given_within_the_step_is_returned_without_waiting() -> None:
    requests = PendingRequests()

    def answer(event: Input) -> None:
        assert isinstance(event, QueryJob)
        requests.complete(Response(event.request, 200))

    assert asyncio.run(requests.request_answer(answer, query, 0.0)) == Response(1, 200)


def test_a_request_that_times_out_is_removed() -> None:
    requests = PendingRequests()

    assert asyncio.run(requests.request_answer(lambda _: None, query, 0.001)) is None

    requests.complete(Response(1, 200))
    assert requests._futures == {}


def test_a_failed_task_is_logged_and_does_not_end_another(caplog: pytest.LogCaptureFixture) -> None:
    finished = []

    async def fail() -> None:
        raise RuntimeError("broken")

    async def finish_later() -> None:
        await asyncio.sleep(0.01)
        finished.append(True)

    async def run() -> None:
        tasks = BackgroundTasks(logging.getLogger("test"))
        tasks.start(finish_later())
        tasks.start(fail())
        await asyncio.sleep(0.05)

    asyncio.run(run())

    assert finished == [True]
    (record,) = caplog.records
    assert record.exc_info is not None
    assert isinstance(record.exc_info[1], RuntimeError)
