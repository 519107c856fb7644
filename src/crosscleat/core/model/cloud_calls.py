"""Calls to the cloud: machine types, the machine list, rental and deletion."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec


class ListTypes(msgspec.Struct, frozen=True):
    """Read the machine types."""

    continuation: Callable[[Any], None]


class ListMachines(msgspec.Struct, frozen=True):
    """Read the machine list."""

    continuation: Callable[[Any], None]


class Rent(msgspec.Struct, frozen=True):
    """Rent machines; a repeat under the same name rents nothing more."""

    name: str
    type: str
    zone: str
    spot: bool
    count: int
    continuation: Callable[[list[str] | bool | None], None]
    """Names of the machines; False: refused for lack of capacity; None: unknown."""


class DeleteMachines(msgspec.Struct, frozen=True):
    """Return machines for good."""

    machines: tuple[str, ...]
    continuation: Callable[[bool], None]
