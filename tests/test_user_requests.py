"""How a controller answers submissions and status queries; the tests supply the store's results."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from crosscleat.core.control.user_requests import UserRequests
from crosscleat.core.model.effects import Delay, Outbox, Response
from crosscleat.core.model.ids import JobRef, TypeName, Version, WallTime
from crosscleat.core.model.job_spec import Shape
from crosscleat.core.model.store_calls import (
    ChangesLost,
    Commit,
    Conflict,
    Item,
    Put,
    Read,
    ReadResult,
    Scan,
    ScanResult,
    Unanswered,
    Watch,
    WatchResult,
)
from crosscleat.core.state.job_records import live_record

from .effects import only, only_response
from .user_requests import user_requests
from .world import TYPES, job


def live(ref: str, version: int, cancelled: bool = False) -> Item:
    return Item(f"live/{ref}", live_record(job(ref), WallTime(0.0), cancelled), Version(version))


def submit(**changes: Any) -> list[Any]:
    requests, outbox = user_requests()
    requests.submit(1, job("job-1", **changes), WallTime(0.0))
    return list(outbox.take())


def test_a_long_list_of_unknown_types_is_not_stored() -> None:
    """A job may name any number of types; the store refuses a value that is too large."""
    names = (*(TypeName(f"nothing-{n}") for n in range(3000)), TYPES[0].name)
    (commit,) = submit(types=names)
    assert isinstance(commit, Commit)

    (put,) = commit.writes
    assert isinstance(put, Put)
    assert len(msgspec.json.encode(put.value)) < 1000


@pytest.mark.parametrize(
    "changes", [{"team": "green"}, {"cpus": 9.0}, {"cpus": 8.5, "team": "blue"}, {"zone": "x"}]
)
def test_a_job_that_can_never_run_is_refused_only_if_it_is_unknown(changes: dict[str, Any]) -> None:
    (read,) = submit(**changes)

    assert isinstance(read, Scan), "a repeat of an accepted job must never get 422"


@pytest.mark.parametrize(
    ("shape", "tasks", "accepted"),
    [(Shape.ARRAY, 8, True), (Shape.GANG, 8, False), (Shape.GANG, 7, True)],
)
def test_a_gang_over_its_teams_quota_is_rejected(shape: Shape, tasks: int, accepted: bool) -> None:
    """A job array may run one task at a time; all tasks of a gang must fit the quota of 14 CPUs."""
    (effect,) = submit(tasks=tasks, cpus=2.0, shape=shape)

    assert isinstance(effect, Commit) == accepted


@pytest.mark.parametrize("changes", [{"one_zone": True}, {"zone": "a"}])
def test_a_gang_whose_zone_constraints_forbid_its_start_is_accepted(
    changes: dict[str, Any],
) -> None:
    """The protocol defines no refusal for such a job; its user can cancel it."""
    (effect,) = submit(tasks=2, spread=True, shape=Shape.GANG, **changes)

    assert isinstance(effect, Commit)


def test_without_machine_types_a_submission_is_neither_accepted_nor_refused() -> None:
    requests, outbox = user_requests(with_types=False)
    requests.submit(1, job("job-1"), WallTime(0.0))

    only(outbox, Scan).continuation(Unanswered())
    (answer,) = outbox.take()

    assert answer == Response(1, 503, None, 1)


def test_a_submission_that_finds_the_job_stored_is_answered_with_its_status() -> None:
    requests, outbox = user_requests()
    requests.submit(1, job("job-1"), WallTime(0.0))
    only(outbox, Commit).continuation(Conflict(frozenset({"live/job-1"}), False))

    only(outbox, Scan).continuation(ScanResult([live("job-1", 3)], Version(3)))

    assert only_response(outbox).body["status"] == "queued"


def requests_with_copy() -> tuple[UserRequests, Outbox]:
    """A controller whose copy of the live jobs has job-1 and job-2, as of revision 5."""
    requests, outbox = user_requests()
    requests.query(1, JobRef("job-1"))
    only(outbox, Scan).continuation(ScanResult([live("job-1", 4), live("job-2", 5)], Version(5)))
    assert outbox.take() == [
        Response(1, 200, {"ref": "job-1", "status": "queued", "done": 0, "running": 0})
    ]
    return requests, outbox


def test_queries_share_a_read_that_began_after_them() -> None:
    requests, outbox = requests_with_copy()
    requests.query(2, JobRef("job-1"))
    # The refresh is delayed, which limits the controller's share of the store's requests.
    delay = only(outbox, Delay)
    requests.query(3, JobRef("job-2"))
    delay.continuation()
    read_changes = only(outbox, Watch)
    assert read_changes.after == 5
    assert read_changes.block_s == 0.0

    requests.query(4, JobRef("job-2"))
    assert outbox.take() == [], "the query came after the read began"

    read_changes.continuation(WatchResult(Version(7), [live("job-1", 7, cancelled=True)]))
    *answers, next_delay = outbox.take()
    assert [a.body["status"] for a in answers if isinstance(a, Response) and a.body] == [
        "aborted",
        "queued",
    ]
    assert len(answers) == 2
    assert isinstance(next_delay, Delay)

    next_delay.continuation()
    read_changes = only(outbox, Watch)
    assert read_changes.after == 7

    read_changes.continuation(WatchResult(Version(9), [Item("live/job-2", None, Version(0))]))
    read = only(outbox, Read)
    assert read.key == "ended/job-2"
    assert not read.for_user, "it is not taken from the allowance for queries of unknown jobs"

    read.continuation(
        ReadResult(Item("ended/job-2", {"tasks": 3, "aborted": False}, Version(9)), Version(9))
    )
    answer = only_response(outbox)
    assert answer.request == 4
    assert answer.body["status"] == "done"


def test_a_failed_read_is_answered_at_once_and_an_outdated_copy_is_reloaded() -> None:
    requests, outbox = requests_with_copy()
    requests.query(2, JobRef("job-1"))
    only(outbox, Delay).continuation()
    only(outbox, Watch).continuation(Unanswered())
    assert outbox.take() == [Response(2, 503, None, 1)]

    requests.query(3, JobRef("job-2"))
    only(outbox, Delay).continuation()
    only(outbox, Watch).continuation(ChangesLost())
    only(outbox, Scan).continuation(ScanResult([live("job-2", 99, cancelled=True)], Version(99)))
    assert only_response(outbox).body["status"] == "aborted"


def test_an_unknown_job_is_answered_with_404() -> None:
    requests, outbox = requests_with_copy()
    requests.query(2, JobRef("job-nobody"))
    only(outbox, Delay).continuation()
    only(outbox, Watch).continuation(WatchResult(Version(6), []))
    read = only(outbox, Read)
    assert read.for_user

    read.continuation(ReadResult(None, Version(6)))
    assert outbox.take() == [Response(2, 404, None, None)]
