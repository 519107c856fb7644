"""The rate limiter.

Guards against a share that is exceeded because tokens are refilled too early, or because an amount
above the bucket's capacity is not charged in full, and against such an amount waiting forever.
"""

from __future__ import annotations

import asyncio

from crosscleat.adapters.pacer import Pacer


def test_spent_tokens_are_not_refilled_at_once() -> None:
    # At this rate practically nothing is refilled while the test runs.
    pacer = Pacer(1e-6)
    assert pacer.try_take(1.0)
    assert not pacer.try_take(1.0)


def test_an_amount_above_the_capacity_is_taken_once_the_bucket_is_full() -> None:
    async def run() -> bool:
        pacer = Pacer(50.0)
        await pacer.take(60.0)
        return pacer.try_take(49.0)

    assert not asyncio.run(run())
