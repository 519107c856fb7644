"""The keys and key prefixes of what controllers keep in the store."""

from __future__ import annotations

from ..model.ids import JobRef

LIVE = "live/"
"""Prefix of the records of jobs that are not over."""

ENDED = "ended/"
"""Prefix of the records of jobs' outcomes, which are kept for good."""

FORMAT = "format/"
"""Prefix of the keys by which each controller shows that it reads shortened chunks."""


def live_key(ref: JobRef) -> str:
    """Key of the record of a job that is not over."""
    return LIVE + ref


def ended_key(ref: JobRef) -> str:
    """Key of the record of a job's outcome."""
    return ENDED + ref


PLACEMENTS = "work/"
"""Prefix of placement records."""

DECOMMISSIONED = "drop/"
"""Prefix of the records of machines whose deletion is decided."""

LEADER = "leader"
"""Key of the leader; its version is the fencing token."""
