"""Replacement of a task that a gang loses while its tasks still wait for each other.

The replacement has the same attempt number, so it must be placed before the other tasks time out,
and never once the gang runs: otherwise a part of the gang would run on its own.
"""

from __future__ import annotations

import msgspec
import pytest

from crosscleat.core.model.ids import MachineId, Seconds, Version
from crosscleat.core.model.store_calls import Commit, Committed
from crosscleat.core.model.worker_calls import DirectCommand, StartOrder

from .gangs import gang_on_two_machines, new_leader_with_gang, placements, task_status
from .world import GANG_WAIT_S


def test_a_lost_task_of_a_waiting_gang_is_replaced_with_the_same_attempt_number() -> None:
    term, gang = gang_on_two_machines()
    term.receive_heartbeat((1, 1), machine="m-2")
    term.receive_heartbeat((1, 3), machine="m-1", tasks=(task_status(1, "exited", "no_room"),))
    term.leader.finish_step(term.now)
    assert placements(term) == {"m-0": [(0, 1)], "m-1": [], "m-2": [(1, 1)]}

    moved = next(iter(term.leader.cluster.machines[MachineId("m-2")].allocations.values()))
    assert not moved.recorded, "its new allocation is not recorded yet"
    assert not gang.fully_recorded

    commit = next(effect for effect in term.outbox.take() if isinstance(effect, Commit))
    commit.continuation(Committed(Version(11)))
    assert moved.recorded
    assert gang.fully_recorded

    term.leader.finish_step(term.now)
    sent = [effect for effect in term.outbox.take() if isinstance(effect, DirectCommand)]
    starts = [o for effect in sent for o in effect.orders if isinstance(o, StartOrder)]
    assert [(o.task, o.attempt) for o in starts] == [("job-g/1", 1)]


def test_a_machine_that_lost_a_task_of_the_gang_is_not_used_again() -> None:
    term, gang = gang_on_two_machines()
    term.receive_heartbeat((1, 3), machine="m-1", tasks=(task_status(1, "exited", "no_room"),))
    term.step(1.0)
    term.leader.cluster.machines[MachineId("m-1")].placement_paused_until = Seconds(0.0)

    term.leader.finish_step(term.now)

    assert gang.progress.stopped_at is not None, "there is no other machine, so the attempt ends"


@pytest.mark.parametrize("state", ["running", "waiting"])
def test_a_running_gang_ends_when_it_loses_a_task(state: str) -> None:
    term, gang = gang_on_two_machines()
    term.receive_heartbeat((1, 1), machine="m-2")
    term.receive_heartbeat((1, 3), tasks=(task_status(0, state),))
    lost = next(
        placed for placed in term.leader.cluster.allocations_of(gang) if placed[0].id == "m-1"
    )
    term.leader.attempts.handle_end(*lost)

    term.leader.finish_step(term.now)

    assert placements(term)["m-2"] == ([] if state == "running" else [(1, 1)])
    assert placements(term)["m-0"] == ([] if state == "running" else [(0, 1)])


@pytest.mark.parametrize("cause", ["error", "mates_gone", "incomplete", "done", "never heard of"])
def test_a_task_that_exits_is_replaced_only_if_it_was_stopped_or_refused_for_capacity(
    cause: str,
) -> None:
    term, _ = gang_on_two_machines()
    term.receive_heartbeat((1, 1), machine="m-2")
    term.receive_heartbeat((1, 3), machine="m-1", tasks=(task_status(1, "exited", cause),))

    term.leader.finish_step(term.now)

    assert placements(term)["m-2"] == []


@pytest.mark.parametrize("waited_s", [1.0, GANG_WAIT_S - 1.0])
def test_no_replacement_is_placed_that_would_start_after_the_others_time_out(
    waited_s: float,
) -> None:
    """Fetching the image takes 3 s, and may take a third longer.

    A replacement that starts after `gang_wait_s` finds that the other tasks have exited.
    """
    term, gang = gang_on_two_machines()
    object.__setattr__(gang, "spec", msgspec.structs.replace(gang.spec, image_gb=3.0))
    term.step(waited_s)
    for number, tasks in enumerate(
        ((task_status(0, "waiting"),), (task_status(1, "fetching"),), ())
    ):
        term.receive_heartbeat((1, 4), machine=f"m-{number}", tasks=tasks)
    term.receive_heartbeat((1, 5), machine="m-1", tasks=(task_status(1, "exited", "no_room"),))

    term.leader.finish_step(term.now)

    assert placements(term)["m-2"] == ([(1, 1)] if waited_s == 1.0 else [])


def test_a_new_leader_completes_a_gang_that_waits() -> None:
    term = new_leader_with_gang(1)
    term.receive_heartbeat((1, 1), machine="m-2")
    term.receive_heartbeat((1, 1), tasks=(task_status(0, "waiting"),))
    term.step(1.0)
    term.receive_heartbeat((1, 2), tasks=(task_status(0, "waiting"),))
    term.receive_heartbeat((1, 2), machine="m-2")
    term.leader.tick(term.now)

    term.leader.finish_step(term.now)

    assert sum(len(tasks) for tasks in placements(term).values()) == 2
    assert {attempt for tasks in placements(term).values() for _, attempt in tasks} == {1}
