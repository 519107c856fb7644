"""What goes between two hosts, and what keeps it from arriving."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from .clock import Clock


class Network:
    """Delivers, holds back or cuts off what goes between two hosts."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._cuts: dict[frozenset[str], str] = {}
        self.unheard: set[tuple[str, str]] = set()
        """Pairs of hosts of which the first can't make itself heard by the second."""
        self.slow_s = 0.0
        self._held: list[tuple[frozenset[str], Callable[[], None]]] = []

    def cut(self, one: str, other: str, mode: str) -> None:
        self._cuts[frozenset((one, other))] = mode

    def heal(self) -> None:
        self._cuts.clear()
        self.unheard.clear()
        held, self._held = self._held, []
        for _, deliver in held:
            self._clock.after(self._rng.uniform(0.001, 0.05), deliver)

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> bool:
        """False: refused at once. Otherwise it arrives now, or after the cut, or never."""
        if (source, target) in self.unheard:
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

    def whole(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self._cuts
