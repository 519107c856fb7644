"""The budget of a period: its length comes from operators, the time that has passed from the clock.

Guards against a budget that counts the periods one by one. With `--period-s 1e-9` a leader stood
still in its first rental decisions, for minutes, and with 1e-18 for ever.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from crosscleat.core.capacity.budget import Budget
from crosscleat.core.model.ids import Seconds

ROOT = Path(__file__).resolve().parent.parent
BEGAN_AT = Seconds(100.0)
RATE_PER_S = 2.0
HANG_S = 30.0
"""Ends a charge that hangs; the test does not check how long one takes."""

CHARGE_IN_SHORT_PERIODS = f"""
from crosscleat.core.capacity.budget import Budget
for period_s in (5e-324, 1e-310, 1e-18, 1e-9, 1e-6):
    budget = Budget(period_s, 10.0, {BEGAN_AT})
    for seconds in (0.0, 1.0, 3600.0):
        budget.charge({RATE_PER_S}, {BEGAN_AT} + seconds)
        assert 0.0 <= budget.spent <= {RATE_PER_S} * 1e-5, (period_s, budget.spent)
        assert 0.0 <= budget.remaining_s({BEGAN_AT} + seconds) <= 1e-5
"""


def test_charging_takes_no_longer_in_very_short_periods() -> None:
    subprocess.run(
        [sys.executable, "-c", CHARGE_IN_SHORT_PERIODS],
        env={"PYTHONPATH": str(ROOT / "src")},
        check=True,
        timeout=HANG_S,
    )


@pytest.mark.parametrize(
    ("charged_at", "spent", "remaining_s"),
    [
        ((0.0,), 0.0, 10.0),
        ((4.0,), 8.0, 6.0),
        ((4.0, 9.0), 18.0, 1.0),
        ((4.0, 10.0), 0.0, 10.0),
        ((4.0, 13.0), 6.0, 7.0),
        ((4.0, 47.0), 14.0, 3.0),
        ((47.0,), 14.0, 3.0),
    ],
)
def test_each_period_begins_at_nothing_spent(
    charged_at: tuple[float, ...], spent: float, remaining_s: float
) -> None:
    budget = Budget(10.0, 10.0, BEGAN_AT)

    for seconds in charged_at:
        budget.charge(RATE_PER_S, Seconds(BEGAN_AT + seconds))

    assert budget.spent == spent
    assert budget.remaining_s(Seconds(BEGAN_AT + charged_at[-1])) == remaining_s
