"""How the leader responds when a spot machine of a gang receives a reclaim notice.

A gang loses its progress since the last checkpoint if it is stopped too late, or if the stop does
not reach all of its members in time to save.
"""

from __future__ import annotations

from crosscleat.core.model.ids import MachineId, Seconds

from .gangs import (
    gang_on_two_machines,
    placements,
    running_gang,
    send_reclaim_notice,
    stopping_tasks,
    task_status,
)


def test_a_reclaim_notice_stops_a_running_gang_with_time_for_a_checkpoint() -> None:
    term, gang = running_gang()
    send_reclaim_notice(term, "m-1", 4, 8.0, (task_status(1, "running"),))
    assert stopping_tasks(term) == {"job-g/0": 2.0, "job-g/1": 2.0}

    # A second notice, for the other machine, changes nothing: the gang is already being stopped.
    send_reclaim_notice(term, "m-0", 4, 8.0, (task_status(0, "running"),))
    assert stopping_tasks(term) == {"job-g/0": 2.0, "job-g/1": 2.0}
    assert gang.progress.stopped_at == term.now


def test_a_reclaim_notice_does_not_stop_a_gang_that_ends_in_time() -> None:
    term, _ = running_gang(estimate_s=5.0)
    send_reclaim_notice(term, "m-1", 4, 8.0, (task_status(1, "running"),))

    assert stopping_tasks(term) == {}


def test_a_reclaim_notice_too_short_for_a_checkpoint_stops_without_grace() -> None:
    term, _ = running_gang(save_s=7.5)
    send_reclaim_notice(term, "m-1", 4, 8.0, (task_status(1, "running"),))

    assert stopping_tasks(term) == {"job-g/0": 0.0, "job-g/1": 0.0}


def test_a_gang_stop_waits_for_an_unreachable_machine_while_the_reclaim_notice_lasts() -> None:
    term, _ = running_gang()
    unreachable = term.leader.cluster.machines[MachineId("m-0")]
    unreachable.direct.paused_until = Seconds(term.now + 100.0)
    unreachable.unresponsive_since = term.now
    send_reclaim_notice(term, "m-1", 4, 8.0, (task_status(1, "running"),))
    assert stopping_tasks(term) == {}, "a stop that reaches only one member saves nothing"

    term.step(2.0)
    unreachable.unresponsive_since, unreachable.direct.paused_until = None, Seconds(0.0)
    term.receive_heartbeat((1, 5), tasks=(task_status(0, "running"),))
    term.leader.watch_machines(term.now)
    assert stopping_tasks(term) == {"job-g/0": 2.0, "job-g/1": 2.0}


def test_a_gang_is_stopped_without_grace_once_the_notice_is_too_short_to_save() -> None:
    term, _ = running_gang()
    unreachable = term.leader.cluster.machines[MachineId("m-0")]
    unreachable.direct.paused_until, unreachable.unresponsive_since = (
        Seconds(term.now + 100.0),
        term.now,
    )
    send_reclaim_notice(term, "m-1", 4, 8.0, (task_status(1, "running"),))
    term.step(5.5)
    term.receive_heartbeat((1, 5), machine="m-1", tasks=(task_status(1, "running"),))

    term.leader.watch_machines(term.now)

    assert stopping_tasks(term) == {"job-g/0": 0.0, "job-g/1": 0.0}


def test_a_reclaim_notice_moves_the_tasks_of_a_waiting_gang() -> None:
    term, gang = gang_on_two_machines(tasks=3)
    term.receive_heartbeat((1, 1), machine="m-2")
    send_reclaim_notice(
        term, "m-1", 4, 8.0, (task_status(1, "fetching"), task_status(2, "fetching"))
    )
    assert stopping_tasks(term) == {"job-g/1": 0.0, "job-g/2": 0.0}

    term.receive_heartbeat((1, 5), machine="m-1", tasks=(task_status(1, "exited", "stopped"),))
    term.receive_heartbeat((1, 6), machine="m-1", tasks=(task_status(2, "exited", "stopped"),))
    term.leader.finish_step(term.now)
    assert placements(term) == {"m-0": [(0, 1)], "m-1": [], "m-2": [(2, 1), (1, 1)]}
    assert gang.progress.stopped_at is None
