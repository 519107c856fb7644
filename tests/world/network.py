"""Messages between two hosts, and the cuts that keep them from arriving."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from .clock import Clock


class Network:
    """Delivers messages between two hosts, or delays, refuses or loses them."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._cuts: dict[frozenset[str], str] = {}
        self.one_way_cuts: set[tuple[str, str]] = set()
        """Pairs of source and target: what the source sends is lost, the other direction works."""
        self.slow_s = 0.0
        self._held: list[tuple[frozenset[str], Callable[[], None]]] = []

    def cut(self, one: str, other: str, mode: str) -> None:
        self._cuts[frozenset((one, other))] = mode

    def heal(self) -> None:
        self._cuts.clear()
        self.one_way_cuts.clear()
        held, self._held = self._held, []
        for _, deliver in held:
            self._clock.after(self._rng.uniform(0.001, 0.05), deliver)

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> bool:
        """Whether it was accepted: then it arrives now, after the cut, or never."""
        if (source, target) in self.one_way_cuts:
            return True
        pair = frozenset((source, target))
        mode = self._cuts.get(pair)
        if mode == "reset":
            return False
        if mode == "hold":
            self._held.append((pair, deliver))
        else:
            self._clock.after(self._rng.uniform(0.001, 0.02 + self.slow_s), deliver)
        return True

    def connected(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self._cuts
