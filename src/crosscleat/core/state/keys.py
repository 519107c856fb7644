"""The keys and key prefixes that controllers use in the store."""

from __future__ import annotations

from ..model.ids import JobRef

LIVE = "live/"
"""Prefix of the records of jobs that are not over."""

ENDED = "ended/"
"""Prefix of the records of jobs' outcomes, which are kept permanently."""

FORMAT = "format/"
"""Prefix of the keys by which each controller announces that it can read shortened chunks."""


def live_key(ref: JobRef) -> str:
    """Key of the record of a job that is not over."""
    return LIVE + ref


def ended_key(ref: JobRef) -> str:
    """Key of the record of a job's outcome."""
    return ENDED + ref


PLACEMENTS = "work/"
"""Prefix of placement records."""

DECOMMISSIONED = "drop/"
"""Prefix of the records that list machines to be deleted."""

LEADER = "leader"
"""Key that the leader holds; its version is the fencing token."""
