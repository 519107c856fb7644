"""Calls to the cloud: machine types, the machine list, rental and deletion."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from .cloud import ListedMachine, MachineType


class ListTypes(msgspec.Struct, frozen=True):
    """Read the machine types and current prices; the result is None if the cloud did not answer."""

    continuation: Callable[[list[MachineType] | None], None]


class ListMachines(msgspec.Struct, frozen=True):
    """Read the whole machine list; the result is None if the cloud did not answer."""

    continuation: Callable[[list[ListedMachine] | None], None]


class Rented(msgspec.Struct, frozen=True):
    """The cloud rented machines, possibly fewer than requested."""

    machines: list[str]


class RentalRefused(msgspec.Struct, frozen=True):
    """The cloud rented no machines: the pool has no capacity, or the request was malformed."""


class RentalUnanswered(msgspec.Struct, frozen=True):
    """No readable answer: machines may have been rented, and the call may be retried."""


RentalOutcome = Rented | RentalRefused | RentalUnanswered
"""Possible outcomes of a rental."""


class Rent(msgspec.Struct, frozen=True):
    """Rent machines; `name` is the idempotency key: a retry with it rents no further machines."""

    name: str
    type: str
    zone: str
    spot: bool
    count: int
    continuation: Callable[[RentalOutcome], None]


class DeleteMachines(msgspec.Struct, frozen=True):
    """Delete machines permanently."""

    machines: tuple[str, ...]
    continuation: Callable[[bool], None]
    """Called with True if the cloud confirmed the deletion."""
