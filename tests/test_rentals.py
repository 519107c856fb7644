"""How the cloud's answers to a rental are read, and what the leader does then.

The tests guard against an answer that is taken for another outcome: only an unanswered rental is
repeated, under its name so that nothing is rented twice, and a pool that had too few machines is
not asked again at once.
"""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from crosscleat.adapters import cloud_client
from crosscleat.adapters.cloud_client import CloudClient
from crosscleat.core.capacity.pools import Pool, PoolKey, ScaleOutRequest
from crosscleat.core.capacity.scaling import MAX_RENTAL_ATTEMPTS
from crosscleat.core.model.cloud_calls import (
    Rent,
    RentalOutcome,
    RentalRefused,
    RentalUnanswered,
    Rented,
)

from .term import Term
from .world import TYPES

POOL = PoolKey(TYPES[0].name, TYPES[0].zones[0], True)


async def outcome_of(status: int, body: bytes) -> RentalOutcome:
    """The outcome that the client derives from an answer of the cloud."""

    async def answer(_: web.Request) -> web.Response:
        return web.Response(status=status, body=body)

    app = web.Application()
    app.add_routes([web.post("/rentals", answer)])
    async with TestServer(app) as server, aiohttp.ClientSession() as session:
        client = CloudClient(session, f"{server.host}:{server.port}")
        return await client.rent(Rent("r-1-1", POOL.type, POOL.zone, True, 2, lambda _: None))


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, {"boxes": ["m-1", "m-2"]}, Rented(["m-1", "m-2"])),
        (200, {"boxes": 7}, RentalUnanswered()),
        (503, {"error": "no capacity"}, RentalRefused()),
        (503, {"error": "busy"}, RentalUnanswered()),
        (400, {"error": "malformed"}, RentalRefused()),
        (500, {}, RentalUnanswered()),
    ],
)
def test_each_answer_of_the_cloud_is_one_of_three_outcomes(
    monkeypatch: pytest.MonkeyPatch, status: int, body: object, expected: RentalOutcome
) -> None:
    monkeypatch.setattr(cloud_client, "RETRY_PAUSE_S", 0.0)
    assert asyncio.run(outcome_of(status, msgspec.msgpack.encode(body))) == expected


def test_without_a_connection_a_rental_is_unanswered() -> None:
    async def unreachable() -> RentalOutcome:
        async with aiohttp.ClientSession() as session:
            client = CloudClient(session, "127.0.0.1:1")
            return await client.rent(Rent("r-1-1", POOL.type, POOL.zone, True, 2, lambda _: None))

    assert asyncio.run(unreachable()) == RentalUnanswered()


def rental(term: Term) -> Rent:
    """The only rental call that the leader has sent."""
    (call,) = [effect for effect in term.outbox.take() if isinstance(effect, Rent)]
    return call


def pool(term: Term) -> Pool:
    return term.leader.fleet.catalog.pool(POOL)


def test_an_unanswered_rental_is_repeated_under_its_name_and_then_given_up() -> None:
    term = Term()
    term.leader.autoscaler.rent(ScaleOutRequest(POOL, 2))
    calls = [rental(term)]
    for _ in range(MAX_RENTAL_ATTEMPTS - 1):
        calls[-1].continuation(RentalUnanswered())
        calls.append(rental(term))
    assert {call.name for call in calls} == {calls[0].name}
    assert pool(term).is_open(term.now)

    calls[-1].continuation(RentalUnanswered())
    assert not [effect for effect in term.outbox.take() if isinstance(effect, Rent)]
    assert not pool(term).is_open(term.now)


def test_a_refused_rental_is_not_repeated_and_closes_the_pool_for_a_while() -> None:
    term = Term()
    term.leader.autoscaler.rent(ScaleOutRequest(POOL, 2))
    rental(term).continuation(RentalRefused())
    assert not [effect for effect in term.outbox.take() if isinstance(effect, Rent)]
    assert not pool(term).is_open(term.now)

    term.step(10.0)
    assert pool(term).is_open(term.now)


@pytest.mark.parametrize(("machines", "open_after"), [(["m-1"], False), (["m-1", "m-2"], True)])
def test_rented_machines_are_added_and_a_pool_that_had_too_few_closes(
    machines: list[str], open_after: bool
) -> None:
    term = Term()
    term.leader.autoscaler.rent(ScaleOutRequest(POOL, 2))

    rental(term).continuation(Rented(machines))

    assert list(term.leader.cluster.machines) == machines
    assert pool(term).is_open(term.now) == open_after


def test_an_outcome_after_the_term_changes_nothing() -> None:
    term = Term()
    term.leader.autoscaler.rent(ScaleOutRequest(POOL, 1))
    call = rental(term)
    term.leader.term.retire()

    call.continuation(Rented(["m-1"]))

    assert not term.leader.cluster.machines
