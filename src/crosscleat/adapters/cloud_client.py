"""Client of the cloud API: lists machine types and machines, rents and deletes machines."""

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
from .http_calls import HttpEndpoint, HttpResponse

TIMEOUT_S = 5.0
MACHINES_PER_PAGE = 500
RETRY_PAUSE_S = 0.5
"""Wait before a rental with an unexpected status is reported as unanswered, because the controller
repeats an unanswered rental immediately."""

log = logging.getLogger("crosscleat.cloud")


class CloudClient:
    """Calls to the cloud API; each is one request, except for the paged machine list."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._endpoint = HttpEndpoint(session, address, log)

    async def _request(
        self, method: str, path: str, body: bytes | None = None
    ) -> HttpResponse | None:
        return await self._endpoint.request(method, path, body, TIMEOUT_S)

    async def list_machine_types(self) -> list[MachineType] | None:
        """The machine types with their current prices; None if they could not be read.

        Types with invalid amounts are left out.
        """
        response = await self._request("GET", "/machine_types")
        if response is None or response.status != 200:
            return None
        try:
            machine_types = wire.decode_machine_types(response.body)
        except msgspec.DecodeError as error:
            log.error("cannot decode the machine types: %s", error)
            return None
        return _without_invalid(machine_types)

    async def list_machines(self) -> list[ListedMachine] | None:
        """The complete machine list, read page by page; None if any page could not be read."""
        machines: list[ListedMachine] = []
        after = ""
        while True:
            path = f"/rentals?limit={MACHINES_PER_PAGE}" + (f"&after={after}" if after else "")
            response = await self._request("GET", path)
            if response is None or response.status != 200:
                return None
            try:
                page = wire.decode_machine_page(response.body)
            except msgspec.DecodeError as error:
                log.error("cannot decode the machine list: %s", error)
                return None
            machines.extend(page.machines)
            if not page.more or not page.machines:
                return machines
            after = page.machines[-1].id

    async def rent(self, call: Rent) -> RentalOutcome:
        """Rent machines; unanswered after an error, a timeout or an unexpected status."""
        response = await self._request("POST", "/rentals", wire.encode_rental(call))
        if response is None:
            return RentalUnanswered()
        if response.status == 200:
            try:
                return Rented(wire.decode_rental(response.body))
            except msgspec.DecodeError as error:
                log.error("cannot decode the rental response: %s", error)
                return RentalUnanswered()
        if response.status == 503 and b"no capacity" in response.body:
            return RentalRefused()
        if response.status == 400:
            log.error("the cloud rejected a rental request as malformed: %s", call)
            return RentalRefused()
        await asyncio.sleep(RETRY_PAUSE_S)
        return RentalUnanswered()

    async def delete(self, call: DeleteMachines) -> bool:
        """Delete machines; True if the cloud confirmed the deletion."""
        response = await self._request(
            "POST", "/rentals/delete", wire.encode_deletion(call.machines)
        )
        return response is not None and response.status == 200


def _without_invalid(machine_types: list[MachineType]) -> list[MachineType]:
    """The types with valid amounts; a type that is known already keeps its last description."""
    valid = [machine_type for machine_type in machine_types if machine_type.has_valid_amounts()]
    if len(valid) < len(machine_types):
        invalid = [machine_type for machine_type in machine_types if machine_type not in valid]
        log.error("machine types with invalid amounts are left out: %s", invalid)
    return valid
