"""The expected content of a worker's image cache, derived from starts and heartbeats."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from ..model.ids import Seconds


@dataclass(slots=True)
class ImageCache:
    """The images of one machine, ordered from least to most recently used."""

    ready_at: dict[str, Seconds] = field(default_factory=dict)
    """The time from which each image is present."""
    size_gb: dict[str, float] = field(default_factory=dict)

    def use(self, image: str, size_gb: float, ready: Seconds) -> None:
        """Mark an image as most recently used.

        `ready` is when it will be present; a time that is already known for it is kept.
        """
        self.ready_at[image] = self.ready_at.pop(image, ready)
        self.size_gb[image] = size_gb

    def evict(self, capacity_gb: float, needed: Collection[str], used: str) -> None:
        """Remove least recently used images until the rest fits, except those that are needed.

        `used` is the most recently used image, which is never removed.
        """
        for image in list(self.ready_at):
            if sum(self.size_gb.values()) <= capacity_gb or image == used:
                break
            if image not in needed:
                del self.ready_at[image], self.size_gb[image]

    def mark_present(self, image: str, now: Seconds) -> None:
        """Record that the image is present now, since a task runs with it."""
        self.ready_at[image] = min(now, self.ready_at[image])
