"""The client of the cloud."""

from __future__ import annotations

import asyncio
import logging

import aiohttp
import msgspec

from ..core.model.cloud import ListedMachine, MachineType
from ..core.model.cloud_calls import (
    DeleteMachines,
    Rent,
    RentalOutcome,
    RentalRefused,
    RentalUnanswered,
    Rented,
)
from ..wire import cloud as wire

TIMEOUT_S = 5.0
PAGE = 500

log = logging.getLogger("crosscleat.cloud")


class CloudClient:
    """Calls to the cloud API, within its rate limit."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f"http://{address}"

    async def _call(self, method: str, path: str, body: bytes | None) -> tuple[int, bytes] | None:
        try:
            async with asyncio.timeout(TIMEOUT_S):
                async with self._session.request(method, self._base + path, data=body) as response:
                    return response.status, await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.debug("%s %s: no answer (%s)", method, path, error or type(error).__name__)
            return None

    async def types(self) -> list[MachineType] | None:
        """The machine types with their present prices; None: no answer."""
        response = await self._call("GET", "/machine_types", None)
        if response is None or response[0] != 200:
            return None
        try:
            return [rig.kind() for rig in wire.rigs.decode(response[1]).rigs]
        except msgspec.DecodeError as error:
            log.error("unreadable machine types: %s", error)
            return None

    async def machines(self) -> list[ListedMachine] | None:
        """The whole machine list, page by page; None: no answer."""
        found: list[ListedMachine] = []
        after = ""
        while True:
            path = f"/rentals?limit={PAGE}" + (f"&after={after}" if after else "")
            response = await self._call("GET", path, None)
            if response is None or response[0] != 200:
                return None
            try:
                page = wire.boxes.decode(response[1])
            except msgspec.DecodeError as error:
                log.error("unreadable machine list: %s", error)
                return None
            found.extend(box.machine() for box in page.boxes)
            if not page.more or not page.boxes:
                return found
            after = page.boxes[-1].ref

    async def rent(self, call: Rent) -> RentalOutcome:
        """Rent machines; unanswered if the request failed, timed out or met an unknown status."""
        response = await self._call("POST", "/rentals", wire.rent(call))
        if response is None:
            return RentalUnanswered()
        status, body = response
        if status == 200:
            try:
                return Rented(wire.hired.decode(body).boxes)
            except msgspec.DecodeError as error:
                log.error("unreadable rental: %s", error)
                return RentalUnanswered()
        if status == 503 and b"no capacity" in body:
            return RentalRefused()
        if status == 400:
            log.error("rental refused as malformed: %s", call)
            return RentalRefused()
        await asyncio.sleep(0.5)
        return RentalUnanswered()

    async def delete(self, call: DeleteMachines) -> bool:
        """Whether the cloud confirmed that the machines are gone."""
        response = await self._call("POST", "/rentals/delete", wire.delete(call.machines))
        return response is not None and response[0] == 200
