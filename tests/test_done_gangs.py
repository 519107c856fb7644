"""A gang never ended, because its last task was neither started again nor counted as ended.

Found on the 22nd of 90 drawn days of seed 83 (`tests.drawn_days --seed 83`) as "job-000001 never
ends", and reduced to the steps that are needed. Four of the gang's five tasks were done when the
machine of the fifth lost power and began its agent epochs again at the same number, so its
heartbeats no longer listed the attempt. For other jobs the start is then sent again, but a gang's
start is only sent while the placements of all its members are recorded.
"""

from __future__ import annotations

from crosscleat.core.model.job_spec import Priority, Shape

from .test_rules import Rules


def test_a_gang_ends_although_a_machine_forgets_its_last_attempt() -> None:
    day = Rules()
    day.begin(seed=10725, upgrade=False)
    day.crash_in_an_election(after_s=0.01, downtime_s=0.5)
    day.refuse(member="c1", seconds=3.0)
    day.roll(apart_s=3.0, downtime_s=2.0)
    day.roll(apart_s=0.1, downtime_s=2.0)
    for tasks in (4, 5):
        day.submit(
            kind="plain",
            place="spread",
            priority=Priority.PRODUCTION,
            shape=Shape.GANG,
            tasks=tasks,
            team="red",
        )
    day.refuse(member="c2", seconds=3.0)
    day.roll(apart_s=0.1, downtime_s=2.0)
    day.submit(
        kind="broken",
        place="spread",
        priority=Priority.HIGH,
        shape=Shape.ARRAY,
        tasks=4,
        team="blue",
    )
    day.many_leaders(apart_s=3.0, downtime_s=0.05, outage_s=0.0, times=6)
    day.die(which=5)
    day.many_machines(again=True, seconds=12.0)
    day.teardown()

    assert day.world.final_statuses["job-000001"] == "done"
