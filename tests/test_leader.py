"""A leader by itself: what it learns and what it says."""

from __future__ import annotations

from random import Random

from crosscleat.core.effects import Item, Outbox
from crosscleat.core.election import Election
from crosscleat.core.ids import (
    Attempt,
    JobRef,
    MachineId,
    Member,
    Seconds,
    Seen,
    Session,
    TaskId,
    Token,
    Version,
    WallTime,
    Zone,
)
from crosscleat.core.jobs import Job, live_key, live_record
from crosscleat.core.leader import Leader
from crosscleat.core.records import WorkRecords
from crosscleat.core.reports import Report, TaskReport

from .world import TYPES, deployment, job


def inherit() -> Leader:
    """A leader that takes over one running task of an estimated 100 s."""
    out = Outbox()
    election = Election(
        Member("c0"), "boot", out, Random(1), lambda: Seconds(50.0),
        lambda _delay, _then: None, lambda _token: None, lambda _why: None,
    )  # fmt: skip
    election.token = Token(9)
    election.contact = Seconds(50.0)
    leader = Leader(
        deployment("c0"),
        election,
        out,
        Random(1),
        {kind.name: kind for kind in TYPES},
        Seconds(50.0),
        WallTime(0.0),
    )
    spec = job("job-1", tasks=1, estimate_s=100.0)
    before = Job(spec, Version(3), Seconds(0.0))
    before.place(MachineId("m-0"), Session(1))
    live = Item(live_key(spec.ref), live_record(spec, WallTime(-40.0), aborted=False), Version(3))
    record = WorkRecords(16.0, 8).of(before, before.stretch_of(0))
    work = Item(record.key, record.value(), Version(4))
    leader.load([live], [work], [], Seconds(50.0))
    return leader


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
