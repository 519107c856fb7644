"""Pauses that double with each failure in a row."""

from __future__ import annotations

MAX_DOUBLINGS = 64
"""Further failures no longer lengthen a pause: a power of two overflows from 1,024 on."""


def doubled_pause_s(base_s: float, doublings: int, max_s: float) -> float:
    """Double the pause `base_s` this many times, up to `max_s`; all pauses are in seconds."""
    return min(max_s, base_s * 2.0 ** min(doublings, MAX_DOUBLINGS))
