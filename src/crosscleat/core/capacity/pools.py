"""Pools: groups of machines that share a capacity limit, which the cloud does not publish."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.ids import LONG_AGO, Seconds, TypeName, Zone

MAX_PER_RENTAL = 50
"""Maximum number of machines in one rental request, a limit of the cloud's protocol."""

FIRST_BACKOFF_S = 8.0

MAX_BACKOFF_S = 60.0

BACKOFF_FACTOR = 1.7

REPEATED_REFUSAL_BACKOFF_S = 20.0
"""A pool whose next backoff is longer than this has refused at least twice in a row."""


@dataclass(frozen=True, slots=True)
class PoolKey:
    """Identifies a pool: machines of one type and zone, on-demand or spot."""

    type: TypeName
    zone: Zone
    spot: bool


@dataclass(frozen=True, slots=True)
class ScaleOutRequest:
    """Machines to rent from one pool."""

    pool: PoolKey
    count: int
    overdue: bool = False
    """The work has waited for so long that the budget does not apply to it."""


@dataclass(slots=True)
class Pool:
    """The results of past rentals from a pool."""

    closed_until: Seconds = LONG_AGO
    backoff_s: float = FIRST_BACKOFF_S

    def is_open(self, now: Seconds) -> bool:
        """Whether machines may be requested from the pool now."""
        return self.closed_until <= now

    @property
    def refuses_repeatedly(self) -> bool:
        """Whether the pool has refused several times in a row."""
        return self.backoff_s > REPEATED_REFUSAL_BACKOFF_S

    def record_refusal(self, now: Seconds) -> None:
        """Close the pool for a while, as a rental from it was not filled.

        Each further refusal in a row closes it for longer, up to `MAX_BACKOFF_S`.
        """
        self.closed_until = Seconds(now + self.backoff_s)
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * BACKOFF_FACTOR)

    def record_success(self) -> None:
        """Reset the backoff, as the pool had all machines that were requested."""
        self.backoff_s = FIRST_BACKOFF_S
