"""The saved progress of gangs, and the run times that are learned from them."""

from __future__ import annotations

import msgspec
import pytest

from crosscleat.core.model.ids import Attempt, Seconds
from crosscleat.core.model.job_spec import Shape
from crosscleat.core.scheduling.scoring import RunTimes, Scorer
from crosscleat.core.state.gangs import GangProgress

from .gangs import gang_on_two_machines
from .planning import make_job
from .world import deployment, job


def test_progress_counts_up_to_a_saved_exit_or_the_last_checkpoint() -> None:
    spec = job("job-g", shape=Shape.GANG, checkpoint_s=10.0, save_s=2.0)
    progress = GangProgress()
    progress.mark_running(Seconds(100.0))
    progress.mark_stopping(Seconds(117.0))
    progress.end_attempt(spec, Seconds(121.0), saved=True)
    assert progress.saved_s == 17.0, "the run ends with the first stop"

    progress.end_attempt(spec, Seconds(122.0), saved=True)
    progress.begin_attempt(spec)
    assert progress.saved_s == 17.0, "the exits of the other members add nothing"

    progress.mark_running(Seconds(130.0))
    progress.mark_stopping(Seconds(136.0))
    progress.begin_attempt(spec)
    assert progress.saved_s == 20.0, "checkpoints are at multiples of the job's own progress"

    progress.mark_running(Seconds(140.0))
    progress.mark_stopping(Seconds(145.0))
    progress.begin_attempt(spec)
    assert progress.saved_s == 20.0


@pytest.mark.parametrize("checkpoint_s", [5e-324, 1e-310, 1e-300, 1e-9])
def test_checkpoints_without_a_pause_between_them_save_all_progress(checkpoint_s: float) -> None:
    """The number of checkpoints was an infinite quotient: stopping the gang ended its leader."""
    spec = job("job-g", shape=Shape.GANG, checkpoint_s=checkpoint_s)
    progress = GangProgress()
    progress.mark_running(Seconds(100.0))
    progress.mark_stopping(Seconds(117.0))

    progress.begin_attempt(spec)

    assert progress.saved_s == pytest.approx(17.0)


def test_remaining_run_time_counts_from_the_checkpoint() -> None:
    gang = make_job("job-g", shape=Shape.GANG, estimate_s=60.0, checkpoint_s=10.0)
    scorer = Scorer(deployment("c0"), RunTimes())
    assert scorer.remaining_s(gang) == 60.0
    gang.progress.saved_s = 45.0
    assert scorer.remaining_s(gang) == 15.0


@pytest.mark.parametrize(("attempt", "learned"), [(1, (2.0 + 2.0 / 3.0) / 3.0), (2, 1.0)])
def test_a_gang_run_time_is_learned_once_and_only_from_a_complete_run(
    attempt: int, learned: float
) -> None:
    """One observed ratio of 20 s to 30 s, averaged with two assumed ratios of 1.0."""
    term, gang = gang_on_two_machines()
    checkpoints = msgspec.structs.replace(gang.spec, checkpoint_s=10.0)
    for _, allocation in list(term.leader.cluster.allocations_of(gang)):
        allocation.spec, allocation.attempt = checkpoints, Attempt(attempt)
        allocation.running_since = Seconds(term.now - 20.0)
        allocation.placed_at = Seconds(term.leader.term.began_at + 0.1)
        term.leader.task_statuses.learn_run_time(allocation, term.now)
        gang.done_count += 1

    assert term.leader.run_times.estimate(gang.spec) == pytest.approx(30.0 * learned)
