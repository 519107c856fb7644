"""Calls to the cloud: machine types, the machine list, rental and deletion."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from .cloud import ListedMachine, MachineType


class ListTypes(msgspec.Struct, frozen=True):
    """Read the machine types with their present prices; None: the cloud did not answer."""

    continuation: Callable[[list[MachineType] | None], None]


class ListMachines(msgspec.Struct, frozen=True):
    """Read the whole machine list; None: the cloud did not answer."""

    continuation: Callable[[list[ListedMachine] | None], None]


class Rented(msgspec.Struct, frozen=True):
    """The cloud rented machines, perhaps fewer than it was asked for."""

    machines: list[str]


class RentalRefused(msgspec.Struct, frozen=True):
    """The cloud rented nothing: the pool has no capacity, or the request was malformed."""


class RentalUnanswered(msgspec.Struct, frozen=True):
    """No readable answer: whether machines were rented is unknown, and the call may be repeated."""


RentalOutcome = Rented | RentalRefused | RentalUnanswered
"""The outcomes of a rental."""


class Rent(msgspec.Struct, frozen=True):
    """Rent machines; a repeat under the same name rents nothing more."""

    name: str
    type: str
    zone: str
    spot: bool
    count: int
    continuation: Callable[[RentalOutcome], None]


class DeleteMachines(msgspec.Struct, frozen=True):
    """Return machines for good."""

    machines: tuple[str, ...]
    continuation: Callable[[bool], None]
    """True: the cloud confirmed it."""
