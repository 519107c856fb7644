"""Which machines a gang is placed on, and how gangs compete with other work for capacity.

The tests guard against gangs that start incompletely or never, because single tasks of other jobs
take the capacity that a gang needs all at once, and against machines reserved in vain.
"""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from crosscleat.core.model.ids import Image, JobRef, MachineId, Seconds, Team
from crosscleat.core.model.job_spec import Priority, Shape
from crosscleat.core.scheduling.assignments import Reservation
from crosscleat.core.scheduling.cycle import SchedulingCycle
from crosscleat.core.scheduling.feasibility import CycleContext, CycleReserves
from crosscleat.core.scheduling.scoring import RunTimes, Scorer
from crosscleat.core.state.cluster import ClusterState
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine

from .planning import NOW, make_job, make_machine, plan_cycle
from .world import GANG_WAIT_S, TEAMS, deployment


def test_a_gang_gets_the_zone_that_fits_all_its_tasks() -> None:
    gang = make_job("job-g", tasks=4, cpus=2.0, shape=Shape.GANG, one_zone=True, team=Team("blue"))
    fleet = [make_machine("m-0", 0, "a"), make_machine("m-1", 0, "b"), make_machine("m-2", 0, "b")]

    assert {assignment.machine for assignment in plan_cycle([gang], fleet)} == {"m-1", "m-2"}
    assert plan_cycle([gang], [make_machine("m-0", 0, "a"), make_machine("m-1", 0, "b")]) == []


def test_a_waiting_gang_reserves_capacity_that_small_tasks_would_take() -> None:
    gang = make_job("job-g", tasks=4, cpus=2.0, shape=Shape.GANG, one_zone=True, team=Team("blue"))
    small = make_job("job-s", tasks=8, cpus=1.0, team=Team("blue"))
    half = make_machine("m-0")
    half.used_cpus = 4.0
    assert {assignment.job for assignment in plan_cycle([gang, small], [half])} == {"job-s"}

    gang.submitted = type(gang.submitted)(gang.submitted - 10.0)
    assert plan_cycle([gang, small], [half]) == [], "the machine is reserved for the gang"
    assert {assignment.job for assignment in plan_cycle([gang, small], [make_machine("m-0")])} == {
        "job-g"
    }


def test_a_gang_takes_the_fewest_machines_and_those_with_its_image() -> None:
    gang = make_job("job-g", tasks=4, cpus=1.0, shape=Shape.GANG, team=Team("blue"))
    halves = [make_machine("m-0"), make_machine("m-1")]
    for half in halves:
        half.used_cpus = 6.0
    whole = make_machine("m-2")
    assert {assignment.machine for assignment in plan_cycle([gang], [*halves, whole])} == {"m-2"}

    large_image_gang = make_job(
        "job-g", tasks=4, cpus=1.0, shape=Shape.GANG, team=Team("blue"), image_gb=20.0
    )
    for half in halves:
        half.images.ready_at[Image("img")] = Seconds(0.0)
    assert {
        assignment.machine for assignment in plan_cycle([large_image_gang], [*halves, whole])
    } == {"m-0", "m-1"}


def test_a_gang_starts_where_no_task_waits_too_long_for_the_last() -> None:
    """A task that has the image would give up before another task has fetched it."""
    changes = {"cpus": 8.0, "tasks": 2, "image_gb": 2.0 * GANG_WAIT_S, "team": Team("blue")}
    gang = make_job("job-g", shape=Shape.GANG, estimate_s=500.0, **changes)
    ready = make_machine("m-0")
    ready.images.ready_at[Image("img")] = Seconds(0.0)
    assert plan_cycle([gang], [ready, make_machine("m-1")]) == []

    assignments = plan_cycle([gang], [ready, make_machine("m-1"), make_machine("m-2")])
    assert {assignment.machine for assignment in assignments} == {"m-1", "m-2"}, (
        "they fetch the image at the same time"
    )


@pytest.mark.parametrize(
    ("bound", "zones"),
    [({"one_zone": True}, {"b"}), ({"spread": True}, {"a", "b"}), ({}, {"a", "b"})],
)
def test_a_gang_is_placed_together_apart_or_anywhere(
    bound: dict[str, Any], zones: set[str]
) -> None:
    gang = make_job("job-g", tasks=4, cpus=4.0, shape=Shape.GANG, team=Team("blue"), **bound)
    if not bound:
        fleet = [make_machine("m-0", 1, "a"), make_machine("m-1", 1, "b")]
    else:
        fleet = [
            make_machine("m-0", 1, "a"),
            make_machine("m-1", 1, "b"),
            make_machine("m-2", 1, "b"),
        ]
    assignments = plan_cycle([gang], fleet)
    assert len(assignments) == 4

    zones_by_machine = {machine.id: machine.zone for machine in fleet}
    assert {zones_by_machine[assignment.machine] for assignment in assignments} == zones


def test_a_gang_that_fits_no_zone_reserves_no_machine() -> None:
    # Machines that were reserved for a gang that can never start would stand idle.
    gang = make_job("job-g", tasks=5, cpus=4.0, shape=Shape.GANG, one_zone=True, team=Team("blue"))
    gang.submitted = Seconds(gang.submitted - 30.0)
    small = make_job("job-s", tasks=12, cpus=1.0)
    fleet = [make_machine("m-0", 1, "a"), make_machine("m-1", 1, "b")]

    assert len(plan_cycle([gang, small], fleet)) == 12


def machines_used_with_reserve(jobs: list[Job], fleet: list[Machine], cpus: float) -> set[str]:
    """Plan a cycle that keeps this many on-demand CPUs free; return the machines it uses."""
    scorer = Scorer(deployment("c0"), RunTimes())
    context = CycleContext(ClusterState(), TEAMS, NOW, CycleReserves(on_demand_cpus=cpus))
    assignments = SchedulingCycle(context, scorer, Random(1)).plan(jobs, fleet, 100)
    return {assignment.machine for assignment in assignments}


def test_arrays_leave_the_on_demand_reserve_of_one_zone_free() -> None:
    fleet = [make_machine(f"m-{n}", 1, zone, spot=False) for n, zone in enumerate("aab")]
    small = make_job("job-s", tasks=12, cpus=1.0)
    assert machines_used_with_reserve([small], fleet, 0.0) == {"m-0", "m-1"}
    # Zone a has the most on-demand capacity, and one machine there is enough for the reserve.
    assert machines_used_with_reserve([small], fleet, 8.0) == {"m-1", "m-2"}

    gang = make_job("job-g", tasks=4, cpus=1.0, spot=False, shape=Shape.GANG, team=Team("blue"))
    assert machines_used_with_reserve([gang], fleet[:1], 8.0) == {"m-0"}
    assert machines_used_with_reserve([small], fleet[:1], 8.0) == set()

    large = make_job("job-l", tasks=1, cpus=4.0)
    assert machines_used_with_reserve([large], fleet[:1], 8.0) == {"m-0"}, (
        "few other machines can hold it"
    )

    small.submitted = Seconds(NOW - 70.0)
    assert machines_used_with_reserve([small], fleet[:1], 8.0) == {"m-0"}, (
        "a job that has waited too long ignores the reserve"
    )


def test_the_on_demand_reserve_is_kept_on_small_machines_first() -> None:
    fleet = [make_machine("m-0", 1, "a", spot=False), make_machine("m-1", 0, "a", spot=False)]
    small = make_job("job-s", tasks=2, cpus=1.0)

    assert machines_used_with_reserve([small], fleet, 4.0) == {"m-0"}


@pytest.mark.parametrize(
    ("waited_s", "reserved_by_gang"), [(0.2, False), (10.0, False), (10.0, True)]
)
def test_a_gang_that_goes_first_uses_capacity_reserved_for_arrays(
    waited_s: float, reserved_by_gang: bool
) -> None:
    """Seen before: a gang waited 60 s beside a machine that was reserved for large tasks."""
    gang = make_job("job-g", tasks=4, cpus=1.0, shape=Shape.GANG, team=Team("blue"))
    gang.submitted = Seconds(NOW - waited_s)
    reservation = Reservation(
        JobRef("job-l"), Priority.NORMAL, Seconds(NOW - 20.0), reserved_by_gang
    )
    scorer = Scorer(deployment("c0"), RunTimes())
    cycle = SchedulingCycle(CycleContext(ClusterState(), TEAMS, NOW), scorer, Random(1))

    assignments = cycle.plan([gang], [make_machine("m-0")], 100, {MachineId("m-0"): reservation})

    assert len(assignments) == (4 if waited_s > 1.0 and not reserved_by_gang else 0)


@pytest.mark.parametrize("waited_s", [0.2, 10.0])
def test_a_gang_that_goes_first_uses_the_urgent_reserve(waited_s: float) -> None:
    gang = make_job("job-g", tasks=4, cpus=1.0, shape=Shape.GANG, team=Team("blue"))
    gang.submitted = Seconds(NOW - waited_s)

    assert len(plan_cycle([gang], [make_machine("m-0")], urgent_reserve=6.0)) == (
        4 if waited_s > 1.0 else 0
    )
