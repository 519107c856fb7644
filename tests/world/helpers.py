"""Small helpers of the world."""

from __future__ import annotations

from typing import Any

from crosscleat.core import effects as fx
from crosscleat.core.jobs import FORMAT


def is_of_upgrade(effect: Any) -> bool:
    if isinstance(effect, fx.Commit):
        return any(write.key.startswith(FORMAT) for write in effect.writes)
    return isinstance(effect, fx.Scan) and effect.prefix == FORMAT


def void(*_: object) -> None:
    """Makes a statement of an expression."""
