"""Pools: machines that share a capacity, which the cloud does not publish."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.ids import LONG_AGO, Seconds, TypeName, Zone

MAX_PER_RENTAL = 50
"""Machines of one rental request, by the protocol."""

FIRST_BACKOFF_S = 8.0

MAX_BACKOFF_S = 60.0

BACKOFF_FACTOR = 1.7

DOUBTFUL_BACKOFF_S = 20.0
"""A pool whose next pause is longer than this has refused twice in a row, or more often."""


@dataclass(frozen=True, slots=True)
class PoolKey:
    """Machines of one type and zone, on demand or spot, share a capacity."""

    type: TypeName
    zone: Zone
    spot: bool


@dataclass(frozen=True, slots=True)
class ScaleOutRequest:
    """Machines to rent from one pool."""

    pool: PoolKey
    count: int
    overdue: bool = False
    """For work that has waited so long that the budget does not hold it back."""


@dataclass(slots=True)
class Pool:
    """What rentals from a pool have shown of its capacity."""

    refused_until: Seconds = LONG_AGO
    backoff_s: float = FIRST_BACKOFF_S

    def open(self, now: Seconds) -> bool:
        """Whether it may be asked again."""
        return self.refused_until <= now

    @property
    def doubtful(self) -> bool:
        """Whether it has refused several times in a row."""
        return self.backoff_s > DOUBTFUL_BACKOFF_S

    def refuse(self, now: Seconds) -> None:
        """Ask it later, as it had no capacity or too little: each time after a longer pause."""
        self.refused_until = Seconds(now + self.backoff_s)
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * BACKOFF_FACTOR)

    def granted(self) -> None:
        """It had all that was asked for: the next refusal begins with a short pause again."""
        self.backoff_s = FIRST_BACKOFF_S
