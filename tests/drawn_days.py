"""Runs random days of the simulated world outside the suite: `python -m tests.drawn_days`.

The days are drawn from a seed: the same seed, number of days and steps draw the same days again. A
day that breaks a rule is printed with its actions, and the exit status is then 1.
"""

from __future__ import annotations

import argparse
import sys
import traceback

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from .test_rules import Rules


def run_days(seed_number: int, days: int, steps: int) -> str | None:
    """Run the days drawn from this seed; return the first failure and its day, or None."""
    days_begun = 0

    class CountedRules(Rules):
        """The state machine of `test_rules.py`, which also counts its days."""

        def __init__(self) -> None:
            nonlocal days_begun
            days_begun += 1
            super().__init__()

    seed(seed_number)(CountedRules)
    run_settings = settings(
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
        run_state_machine_as_test(CountedRules, settings=run_settings)
    except Exception:  # the exception is the result
        return f"day {days_begun}\n{traceback.format_exc()}"
    return None


def main() -> int:
    """Run the days of the seeds that the arguments name."""
    parser = argparse.ArgumentParser(description="Run random days of the simulated world.")
    parser.add_argument("--seed", type=int, required=True, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds")
    parser.add_argument("--days", type=int, default=90, help="number of days of each seed")
    parser.add_argument("--steps", type=int, default=40, help="number of actions of each day")
    arguments = parser.parse_args()
    failed = 0
    for seed_number in range(arguments.seed, arguments.seed + arguments.seeds):
        failure = run_days(seed_number, arguments.days, arguments.steps)
        failed += failure is not None
        print(
            f"seed {seed_number}, {arguments.days} days of {arguments.steps} actions:",
            failure or "ok",
        )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
