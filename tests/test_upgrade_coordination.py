"""How a controller learns that all controllers run the new version.

Controllers of the previous version do not support gangs. If an upgrade counted as complete too
early, for example after a restart or an unanswered call, one of them would have to handle a gang.
"""

from __future__ import annotations

import pytest

from crosscleat.core.election.upgrade import Upgrade
from crosscleat.core.model.effects import Delay, Outbox, Response
from crosscleat.core.model.ids import ABSENT, Member, Version, WallTime
from crosscleat.core.model.job_spec import Shape
from crosscleat.core.model.store_calls import (
    Commit,
    Committed,
    Conflict,
    Item,
    Read,
    ReadResult,
    Scan,
    ScanResult,
    Unanswered,
)

from .user_requests import user_requests
from .world import MEMBERS, job


class Store:
    """A store that answers an upgrade's calls at once, or not at all if `answers` is False."""

    def __init__(self) -> None:
        self.keys: set[str] = set()
        self.outbox = Outbox()
        self.completed = 0
        self.answers = True

    def controller(self, member: str) -> Upgrade:
        def completed() -> None:
            self.completed += 1

        return Upgrade(Member(member), tuple(map(Member, MEMBERS)), self.outbox, completed)

    def run(self, steps: int = 20) -> None:
        for _ in range(steps):
            for effect in self.outbox.take():
                if isinstance(effect, Delay):
                    effect.continuation()
                elif isinstance(effect, Commit):
                    ((key, version),) = effect.conditions
                    assert version == ABSENT
                    assert effect.writes[0].key == key
                    new = key not in self.keys
                    if self.answers:
                        self.keys.add(key)
                    done = Committed(Version(1)) if new else Conflict(frozenset((key,)), False)
                    effect.continuation(done if self.answers else Unanswered())
                elif isinstance(effect, Scan):
                    items = [Item(key, {"version": 2}, Version(1)) for key in sorted(self.keys)]
                    effect.continuation(
                        ScanResult(items, Version(1)) if self.answers else Unanswered()
                    )


def test_the_upgrade_is_complete_once_each_controller_has_written_its_key_despite_restarts() -> (
    None
):
    store = Store()
    first = store.controller("c0")
    first.start()
    store.answers = False
    store.run()
    store.answers = True
    store.run()
    assert store.keys == {"format/c0"}
    assert not first.complete

    # The controller restarts, and its key is already stored.
    restarted = store.controller("c0")
    restarted.start()
    store.controller("c1").start()
    store.run()
    assert not restarted.complete

    store.controller("c2").start()
    store.run()
    assert restarted.complete

    late = store.controller("c1")
    late.start()
    store.run()
    assert late.complete


@pytest.mark.parametrize("complete", [False, True])
def test_a_gang_is_rejected_at_once_until_all_controllers_run_the_new_version(
    complete: bool,
) -> None:
    requests, outbox = user_requests()
    requests._all_support_gangs = lambda: complete
    requests.submit(1, job("job-g", tasks=2, shape=Shape.GANG), WallTime(0.0))
    effects = outbox.take()
    if complete:
        assert any(isinstance(effect, Commit) for effect in effects)
        return
    assert not any(isinstance(effect, Commit) for effect in effects)

    # A repeated submission of an accepted job gets its answer; for an unknown job, the user is
    # told to retry.
    (scan,) = [effect for effect in effects if isinstance(effect, Scan)]
    scan.continuation(ScanResult([], Version(1)))
    (read,) = [effect for effect in outbox.take() if isinstance(effect, Read)]
    read.continuation(ReadResult(None, Version(1)))
    (answer,) = [effect for effect in outbox.take() if isinstance(effect, Response)]
    assert answer.status == 503
    assert answer.retry_after_s == 1
