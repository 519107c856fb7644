"""Helpers that several modules of the simulated world use."""

from __future__ import annotations

from typing import Any

from crosscleat.core.model.store_calls import Commit, Scan
from crosscleat.core.state.keys import FORMAT


def accesses_format_keys(effect: Any) -> bool:
    """Whether the call scans or writes the format keys, which only the new version knows."""
    if isinstance(effect, Commit):
        return any(write.key.startswith(FORMAT) for write in effect.writes)
    return isinstance(effect, Scan) and effect.prefix == FORMAT


def discard(*_: object) -> None:
    """Ignore the arguments: a callback for results that are not needed."""
