"""A leader by itself: what it learns and what it says."""

from __future__ import annotations

from crosscleat.core.ids import (
    Attempt,
    JobRef,
    MachineId,
    Seconds,
    Seen,
    Session,
    TaskId,
    Zone,
)
from crosscleat.core.leader import Leader
from crosscleat.core.reports import Report, TaskReport

from .term import Term, held
from .world import TYPES


def inherit() -> Leader:
    """A leader that takes over one running task of an estimated 100 s."""
    return Term(*held(session=1, estimate_s=100.0)).leader


def report(tally: int, state: str, cause: str | None = None) -> Report:
    task = TaskReport(TaskId(JobRef("job-1"), 0), Attempt(1), state, cause)
    return Report(
        MachineId("m-0"), "m-0", TYPES[0].name, Zone("a"), True, Seen(Session(1), tally), 9,
        None, (task,),
    )  # fmt: skip


def test_run_times_are_not_learnt_from_attempts_that_began_in_an_earlier_term() -> None:
    leader = inherit()
    spec = leader.jobs[JobRef("job-1")].spec
    leader.check_in(1, report(1, "running"), Seconds(50.5), relayed=False)
    leader.check_in(2, report(2, "exited", "done"), Seconds(52.0), relayed=False)
    assert leader.jobs[JobRef("job-1")].complete
    # It ran for far longer than the 1.5 s that we saw of it.
    assert leader.run_times.estimate(spec) == 100.0


def test_an_old_report_changes_nothing() -> None:
    leader = inherit()
    leader.check_in(1, report(5, "running"), Seconds(50.5), relayed=False)
    leader.check_in(2, report(4, "exited", "done"), Seconds(50.6), relayed=False)
    assert not leader.jobs[JobRef("job-1")].complete
    assert leader.jobs[JobRef("job-1")].placed_count() == 1
