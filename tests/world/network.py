"""Delivery of messages between hosts, and the cuts that prevent it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from .clock import Clock


class Network:
    """Delivers messages between two hosts with a random delay, or holds, refuses or drops them."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._cuts: dict[frozenset[str], str] = {}
        self.one_way_cuts: set[tuple[str, str]] = set()
        """Pairs of source and target whose messages are dropped; the opposite direction works."""
        self.extra_delay_s = 0.0
        """Maximum additional delay of each message in seconds."""
        self._held: list[tuple[frozenset[str], Callable[[], None]]] = []

    def cut(self, host: str, other_host: str, mode: str) -> None:
        """Stop messages in both directions.

        With mode "hold" they are delivered after the cut, with "reset" `send` refuses them.
        """
        self._cuts[frozenset((host, other_host))] = mode

    def heal(self) -> None:
        """End all cuts and deliver the messages that were held."""
        self._cuts.clear()
        self.one_way_cuts.clear()
        held, self._held = self._held, []
        for _, deliver in held:
            self._clock.after(self._rng.uniform(0.001, 0.05), deliver)

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> bool:
        """Send a message; False if it was refused.

        An accepted message arrives after a short delay or when the cut ends, or is lost.
        """
        if (source, target) in self.one_way_cuts:
            return True
        pair = frozenset((source, target))
        mode = self._cuts.get(pair)
        if mode == "reset":
            return False
        if mode == "hold":
            self._held.append((pair, deliver))
        else:
            self._clock.after(self._rng.uniform(0.001, 0.02 + self.extra_delay_s), deliver)
        return True

    def connected(self, host: str, other_host: str) -> bool:
        return frozenset((host, other_host)) not in self._cuts
