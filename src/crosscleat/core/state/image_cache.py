"""The images that a worker's cache should have, as far as starts and heartbeats show it."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from ..model.ids import Seconds


@dataclass(slots=True)
class ImageCache:
    """The images of one machine, in the order of their last use."""

    ready_at: dict[str, Seconds] = field(default_factory=dict)
    """From when on each image is present."""
    size_gb: dict[str, float] = field(default_factory=dict)

    def use(self, image: str, size_gb: float, ready: Seconds) -> None:
        """Enter an image as present from `ready` on, if it is not entered with another time."""
        self.ready_at[image] = self.ready_at.pop(image, ready)
        self.size_gb[image] = size_gb

    def evict(self, capacity_gb: float, needed: Collection[str], used: str) -> None:
        """Remove the least recently used images beyond the capacity, but none that is needed.

        `used` is the image whose use makes this necessary: it comes last, and stays.
        """
        for image in list(self.ready_at):
            if sum(self.size_gb.values()) <= capacity_gb or image == used:
                break
            if image not in needed:
                del self.ready_at[image], self.size_gb[image]

    def mark_present(self, image: str, now: Seconds) -> None:
        """A task runs with the image, so it is present by now."""
        self.ready_at[image] = min(now, self.ready_at[image])
