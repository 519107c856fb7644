"""Allowances that are counted per second."""

from __future__ import annotations

import asyncio

from crosscleat.adapters.pacer import Pacer


def test_a_spent_allowance_is_not_refilled_at_once() -> None:
    # At this rate practically nothing is refilled while the test runs.
    pacer = Pacer(1e-6)
    assert pacer.try_take(1.0)
    assert not pacer.try_take(1.0)


def test_more_than_a_seconds_allowance_passes_once_the_bucket_is_full() -> None:
    async def run() -> bool:
        pacer = Pacer(50.0)
        await pacer.take(60.0)
        return pacer.try_take(49.0)

    assert not asyncio.run(run())
