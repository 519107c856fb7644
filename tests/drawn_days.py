"""Draws days of the tests' world from a seed, outside the suite: `python -m tests.drawn_days`.

A day that breaks a rule is printed with its actions; the same seed, number of days and steps draw
the same days again. The exit status is 1 if a day broke a rule.
"""

from __future__ import annotations

import argparse
import sys
import traceback

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from .test_rules import Rules


def draw(number: int, days: int, steps: int) -> str | None:
    """Play days that this seed draws; what broke a rule and on which day, None if nothing did."""
    begun = 0

    class CountedRules(Rules):
        """The rules, with the days counted."""

        def __init__(self) -> None:
            nonlocal begun
            begun += 1
            super().__init__()

    seed(number)(CountedRules)
    chosen = settings(
        max_examples=days,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        derandomize=False,
        phases=[Phase.generate],
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(CountedRules, settings=chosen)
    except Exception:  # what is raised is the result
        return f"day {begun}\n{traceback.format_exc()}"
    return None


def main() -> int:
    """Draw the days that the arguments ask for."""
    parser = argparse.ArgumentParser(description="Draw days of the tests' world.")
    parser.add_argument("--seed", type=int, required=True, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after the other")
    parser.add_argument("--days", type=int, default=90, help="days of each seed")
    parser.add_argument("--steps", type=int, default=40, help="actions of a day")
    arguments = parser.parse_args()
    failed = 0
    for number in range(arguments.seed, arguments.seed + arguments.seeds):
        broken = draw(number, arguments.days, arguments.steps)
        failed += broken is not None
        print(f"seed {number}, {arguments.days} days of {arguments.steps} actions:", broken or "ok")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
