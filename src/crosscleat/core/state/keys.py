"""The keys and key prefixes of what controllers keep in the store."""

from __future__ import annotations

from ..model.ids import (
    JobRef,
)

LIVE = "live/"

ENDED = "ended/"

FORMAT = "format/"


def live_key(ref: JobRef) -> str:
    """Key of the record of a job that is not over."""
    return LIVE + ref


def ended_key(ref: JobRef) -> str:
    """Key of the record of a job's outcome."""
    return ENDED + ref


PLACEMENTS = "work/"

DECOMMISSIONED = "drop/"

LEADER = "leader"
