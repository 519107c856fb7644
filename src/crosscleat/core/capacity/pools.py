"""Pools of machines that share a capacity, and what rentals have shown of it."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.ids import LONG_AGO, Seconds, TypeName, Zone


@dataclass(frozen=True, slots=True)
class PoolKey:
    """Machines of one type, zone and kind of rental share a capacity."""

    type: TypeName
    zone: Zone
    spot: bool


@dataclass(slots=True)
class Pool:
    """What rentals from a pool have shown of its capacity."""

    refused_until: Seconds = LONG_AGO
    backoff_s: float = 8.0

    def open(self, now: Seconds) -> bool:
        """Whether to ask it again by now."""
        return self.refused_until <= now

    def refuse(self, now: Seconds) -> None:
        """It had no capacity, or too little."""
        self.refused_until = Seconds(now + self.backoff_s)
        self.backoff_s = min(60.0, self.backoff_s * 1.7)

    def granted(self) -> None:
        """It had all that was asked for."""
        self.backoff_s = 8.0
