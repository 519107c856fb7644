"""Small helpers of the world."""

from __future__ import annotations

from typing import Any

from crosscleat.core.model.store_calls import Commit, Scan
from crosscleat.core.state.keys import FORMAT


def is_of_upgrade(effect: Any) -> bool:
    if isinstance(effect, Commit):
        return any(write.key.startswith(FORMAT) for write in effect.writes)
    return isinstance(effect, Scan) and effect.prefix == FORMAT


def void(*_: object) -> None:
    """Takes any arguments and does nothing: a callback for results that nobody needs."""
