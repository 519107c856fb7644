"""What a controller makes of submissions, without the store."""

from __future__ import annotations

from typing import Any

import msgspec

from crosscleat.core.effects import Answer, Commit, Conflict, Outbox, Put, Read
from crosscleat.core.front import Front
from crosscleat.core.ids import TypeName, WallTime

from .world import TYPES, deployment, job


def front(types: bool = True) -> tuple[Front, Outbox]:
    out = Outbox()
    known = {kind.name: kind for kind in TYPES} if types else {}
    return Front(deployment("c0"), out, known), out


def submit(**changes: Any) -> list[Any]:
    door, out = front()
    door.submit(1, job("job-1", **changes), WallTime(0.0))
    return list(out.take())


def test_a_long_list_of_types_still_fits_the_store() -> None:
    names = (*(TypeName(f"nothing-{n}") for n in range(3000)), TYPES[0].name)
    (commit,) = submit(types=names)
    assert isinstance(commit, Commit)
    (put,) = commit.writes
    assert isinstance(put, Put) and len(msgspec.json.encode(put.value)) < 1000


def test_what_can_never_run_is_refused_only_if_it_is_not_known() -> None:
    for changes in ({"team": "green"}, {"cpus": 9.0}, {"cpus": 8.5, "team": "blue"}, {"zone": "x"}):
        (read,) = submit(**changes)
        assert isinstance(read, Read), "a repeat of an accepted job must never get 422"


def test_without_machine_types_nothing_is_decided() -> None:
    door, out = front(types=False)
    door.submit(1, job("job-1"), WallTime(0.0))
    (read,) = out.take()
    assert isinstance(read, Read)
    read.then(None)
    (answer,) = out.take()
    assert answer == Answer(1, 503, None, 1)


def test_an_admission_that_met_the_job_answers_with_its_state() -> None:
    door, out = front()
    door.submit(1, job("job-1"), WallTime(0.0))
    (commit,) = out.take()
    assert isinstance(commit, Commit)
    commit.then(Conflict(frozenset({"live/job-1"}), False))
    (read,) = out.take()
    assert isinstance(read, Read) and read.key == "live/job-1"
