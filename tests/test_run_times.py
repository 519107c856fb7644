"""Run-time estimates, corrected by what was learned of a class of jobs.

Guards against one job whose user estimated next to nothing. The ratio of its run time to the
estimate was infinite, and so was the factor of its class: the cost of the waiting work was no
number any more, the budget admitted no rental, and the scores of all jobs lost their meaning.
"""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crosscleat.core.capacity.budget import Budget
from crosscleat.core.model.ids import Seconds
from crosscleat.core.scheduling.scoring import MIN_RUN_S, PairScorer, RunTimes, Scorer
from crosscleat.core.state.jobs import Job

from .planning import make_job
from .world import TYPES, deployment, job

LARGEST_ESTIMATE_S = 1e12
"""The largest duration that a submission may have."""
DAY_S = 86_400.0

estimates = st.sampled_from((0.0, 5e-324, 1e-310, 1e-300, 1e-9, LARGEST_ESTIMATE_S)) | st.floats(
    0.0, LARGEST_ESTIMATE_S
)


def placed_job(estimate_s: float) -> Job:
    """A job none of whose tasks waits."""
    placed = make_job("job-placed", estimate_s=estimate_s)
    placed.first_untried = placed.spec.tasks
    return placed


@pytest.mark.parametrize("estimate_s", [5e-324, 1e-310, 1e-300])
def test_an_estimate_of_next_to_nothing_does_not_stop_rentals(estimate_s: float) -> None:
    run_times = RunTimes()
    scorer = Scorer(deployment("c0"), run_times)
    other = placed_job(6.0)

    run_times.learn(job("job-odd", estimate_s=estimate_s), 10.0)
    waiting_cost = other.waiting_count() * scorer.cost(other, TYPES[0], False, 0.0)

    assert waiting_cost == 0.0
    assert Budget(600.0, 1.0, Seconds(0.0)).admits(0.0, 1e-6, waiting_cost, Seconds(0.0))


@given(estimate_s=estimates, other_estimate_s=estimates, run_time_s=st.floats(0.0, DAY_S))
def test_costs_and_scores_are_numbers_whatever_users_estimate(
    estimate_s: float, other_estimate_s: float, run_time_s: float
) -> None:
    run_times = RunTimes()
    scorer = Scorer(deployment("c0"), run_times)
    other = make_job("job-2", estimate_s=other_estimate_s)

    run_times.learn(job("job-1", estimate_s=estimate_s), run_time_s)
    cost = scorer.cost(other, TYPES[0], False, 0.0)
    score = PairScorer(scorer, max(cost, 1e-9)).score(other, Seconds(1.0), TYPES[0], False, 0.0)

    assert math.isfinite(cost)
    assert math.isfinite(score)


@pytest.mark.parametrize("factor", [math.inf, math.nan, 1e308])
def test_a_factor_of_an_older_leader_gives_a_finite_estimate(factor: float) -> None:
    """Shard owners get the factors that their leader has learned, also from an older version."""
    run_times = RunTimes({"plain": factor})

    assert math.isfinite(run_times.estimate(job("job-1", estimate_s=LARGEST_ESTIMATE_S)))


@pytest.mark.parametrize("estimate_s", [0.02, 2.0, 20.0])
def test_a_class_whose_estimates_are_in_another_unit_is_corrected(estimate_s: float) -> None:
    """Estimates that are all wrong by the same factor stay of use, however large it is."""
    run_times = RunTimes()
    for _ in range(64):
        run_times.learn(job("job-1", estimate_s=estimate_s), 20.0)

    assert run_times.estimate(job("job-2", estimate_s=estimate_s)) == pytest.approx(20.0, rel=0.05)


def test_an_estimate_has_a_lower_bound() -> None:
    assert RunTimes().estimate(job("job-1", estimate_s=0.0)) == MIN_RUN_S
