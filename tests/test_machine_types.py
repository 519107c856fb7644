"""Machine types as the cloud lists them, with amounts that quotients can't be computed with.

Guards against one machine type that stops the service. With `cores` = 5e-324 the number of machines
to rent was an infinite quotient, whose conversion to an integer ended each leader with an
OverflowError; amounts that are no numbers made the scores of all jobs meaningless.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
from typing import Any

import aiohttp
import msgspec
import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from crosscleat.adapters.cloud_client import CloudClient
from crosscleat.core.capacity.pool_catalog import PoolCatalog
from crosscleat.core.capacity.pools import MAX_PER_RENTAL
from crosscleat.core.model.cloud import MAX_AMOUNT, MIN_DIVISOR, MachineType

from .fleets import NOW, FixedTarget
from .standins import serve
from .world import TYPES

SMALLEST = 5e-324
ENTRY: dict[str, Any] = {
    "sku": "small", "cores": 4.0, "memory_gb": 16.0, "gpus": 0.0, "price": 0.2, "low_price": 0.1,
    "yards": ["a"], "local_gb": 20.0, "pull_gb_per_s": 1.0, "ready_s": 4.0,
}  # fmt: skip
AMOUNTS = [name for name, value in ENTRY.items() if isinstance(value, float)]
DIVISORS = ("cores", "memory_gb", "gpus", "pull_gb_per_s")


def listed_types(*entries: dict[str, Any]) -> list[MachineType] | None:
    """What the client makes of the cloud's list with these entries."""

    async def read() -> list[MachineType] | None:
        body = msgspec.msgpack.encode({"rigs": entries})

        async def answer(_: web.Request) -> web.Response:
            return web.Response(body=body)

        app = web.Application()
        app.add_routes([web.get("/machine_types", answer)])
        address = await serve(app)
        async with aiohttp.ClientSession() as session:
            return await CloudClient(session, address).list_machine_types()

    return asyncio.run(read())


@pytest.mark.parametrize(
    ("name", "amount"),
    [(name, amount) for name in AMOUNTS for amount in (math.nan, math.inf, -1.0, 1e200)]
    + [(name, amount) for name in DIVISORS for amount in (SMALLEST, 1e-310, 1e-9)],
)
def test_a_type_with_an_invalid_amount_is_left_out_and_the_others_are_read(
    name: str, amount: float
) -> None:
    types = listed_types({**ENTRY, "sku": "odd", name: amount}, ENTRY)

    assert types is not None
    assert [machine_type.name for machine_type in types] == ["small"]


@pytest.mark.parametrize("name", AMOUNTS)
def test_a_type_without_an_amount_is_read(name: str) -> None:
    types = listed_types({**ENTRY, name: 0.0})

    assert types is not None
    assert len(types) == 1


@given(
    cpus=st.sampled_from((MIN_DIVISOR, MAX_AMOUNT)) | st.floats(MIN_DIVISOR, MAX_AMOUNT),
    price=st.floats(0.0, MAX_AMOUNT),
    lacking_cpus=st.floats(0.0, 1e17),
)
def test_capacity_of_valid_types_is_counted_in_machines(
    cpus: float, price: float, lacking_cpus: float
) -> None:
    machine_type = dataclasses.replace(TYPES[0], cpus=cpus, price=price)
    catalog = PoolCatalog({machine_type.name: machine_type}, FixedTarget(60.0))

    request = catalog.cheapest_capacity(lacking_cpus, NOW, lambda _, key: not key.spot)

    assert machine_type.has_valid_amounts()
    assert request is None or 1 <= request.count <= MAX_PER_RENTAL
