"""Scaling out for jobs whose tasks must be in one zone or in several.

Seen on a randomly drawn day: a gang whose tasks must be in different zones waited forever beside a
free machine (`test_zone_bound_days.py`). Each step from waiting work to a rental must respect the
zones in which the job may still have tasks; otherwise the job waits because of that step. Each test
covers one case.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from crosscleat.core.model.cloud import MachineType
from crosscleat.core.model.cloud_calls import Rent
from crosscleat.core.model.deployment import TeamLimits
from crosscleat.core.model.ids import MachineId, Team, TypeName, Zone
from crosscleat.core.model.job_spec import Shape
from crosscleat.core.state.machine import UNKNOWN_TYPE, UNKNOWN_ZONE, Machine

from .scale_out import ScaleOut

BLUE = Team("blue")
LARGE_TASK = 8.0
"""CPUs of a task that needs a whole large machine."""


def tasks_held(requests: list[Rent], cpus: float) -> dict[str, int]:
    """How many tasks with this many CPUs the requested machines hold, by zone."""
    sizes = {"small": 4.0, "large": 8.0}
    held: dict[str, int] = {}
    for request in requests:
        tasks = request.count * int(sizes[request.type] / cpus)
        held[request.zone] = held.get(request.zone, 0) + tasks
    return held


def spread(gang: bool = True, **changes: Any) -> dict[str, Any]:
    shape = Shape.GANG if gang else Shape.ARRAY
    return {"team": BLUE, "spread": True, "shape": shape, **changes}


@pytest.mark.parametrize(("tasks", "lacking"), [(2, 1), (4, 2), (9, 4)])
@pytest.mark.parametrize("gang", [True, False])
def test_only_a_zones_share_of_a_spread_job_is_counted_into_its_free_capacity(
    tasks: int, lacking: int, gang: bool
) -> None:
    scale_out = ScaleOut()
    for number in range(3):
        scale_out.add_machine(f"m-{number}")
    scale_out.add_job("job-1", **spread(gang, tasks=tasks, cpus=2.0))

    held = tasks_held(scale_out.request_rentals(), 2.0)

    assert list(held) == ["b"]
    assert lacking <= held["b"] <= lacking + 3, (
        "the excess is at most the free capacity of the last machine"
    )


def test_running_tasks_of_a_spread_array_take_their_zones_share() -> None:
    scale_out = ScaleOut()
    machine = scale_out.add_machine("m-0")
    array = scale_out.add_job("job-1", **spread(gang=False, tasks=2))
    scale_out.place(array, machine)

    assert [request.zone for request in scale_out.request_rentals()] == ["b"]


def test_a_spread_gang_that_lost_a_member_lacks_it_in_the_members_zone() -> None:
    scale_out = ScaleOut()
    machines = [scale_out.add_machine("m-0"), scale_out.add_machine("m-1")]
    other = scale_out.add_machine("m-2", zone="b", type_index=0)
    gang = scale_out.add_job("job-1", **spread(tasks=4, cpus=4.0))
    for machine in (*machines, other):
        scale_out.place(gang, machine)

    assert [request.zone for request in scale_out.request_rentals()] == ["b"]


def test_a_task_on_a_machine_not_described_yet_counts_in_every_zone() -> None:
    scale_out = ScaleOut()
    unknown = Machine(MachineId("m-unknown"), UNKNOWN_TYPE, UNKNOWN_ZONE, False)
    scale_out.leader.cluster.machines[unknown.id] = unknown
    array = scale_out.add_job("job-1", **spread(gang=False, tasks=3, cpus=LARGE_TASK))
    scale_out.place(array, unknown)
    scale_out.add_machine("m-0")

    assert tasks_held(scale_out.request_rentals(), LARGE_TASK) == {"b": 1}


def test_two_spread_gangs_do_not_both_count_on_the_same_place() -> None:
    scale_out = ScaleOut()
    for number in range(2):
        scale_out.add_machine(f"m-a{number}")
    scale_out.add_machine("m-b", zone="b")
    for number in range(2):
        scale_out.add_job(f"job-{number}", **spread(tasks=2, cpus=LARGE_TASK), waited_s=30 + number)
    scale_out.leader.term.deployment.teams[BLUE] = TeamLimits(BLUE, 64.0, 64.0, 0.0, 0.0)

    assert tasks_held(scale_out.request_rentals(), LARGE_TASK) == {"b": 1}


def test_tasks_that_failed_on_machines_are_counted_into_the_only_other_one() -> None:
    scale_out = ScaleOut()
    scale_out.add_machine("m-0", zone="b")
    scale_out.add_machine("m-1")
    array = scale_out.add_job("job-1", **spread(gang=False, tasks=2))
    array.failed_on.add(MachineId("m-0"))

    assert [request.zone for request in scale_out.request_rentals()] == ["b"]


@pytest.mark.parametrize("shape", [Shape.ARRAY, Shape.GANG])
def test_what_a_one_zone_job_lacks_is_rented_where_its_tasks_are(shape: Shape) -> None:
    scale_out = ScaleOut()
    machine = scale_out.add_machine("m-0", zone="b", type_index=0)
    scale_out.add_machine("m-1")
    one_zone_job = scale_out.add_job(
        "job-1", team=BLUE, tasks=2, cpus=4.0, one_zone=True, shape=shape, waited_s=200.0
    )
    scale_out.place(one_zone_job, machine)

    assert [request.zone for request in scale_out.request_rentals()] == ["b"]


def test_nothing_is_rented_elsewhere_for_a_one_zone_job_whose_zone_has_no_machines() -> None:
    scale_out = ScaleOut()
    machine = scale_out.add_machine("m-0", zone="b", type_index=0)
    for number in range(2):
        scale_out.add_machine(f"m-idle{number}")
    one_zone_job = scale_out.add_job("job-1", team=BLUE, tasks=2, cpus=4.0, one_zone=True)
    scale_out.place(one_zone_job, machine)

    requests = scale_out.answer_rentals(30, refused=("b",))

    assert {request.zone for request in requests} == {"b"}


def test_a_one_zone_array_is_counted_into_one_zone_only() -> None:
    scale_out = ScaleOut()
    scale_out.add_machine("m-0", zone="b", type_index=0)
    scale_out.add_machine("m-1", zone="a", type_index=0)
    scale_out.add_job("job-1", team=BLUE, tasks=2, cpus=4.0, one_zone=True)

    assert sum(tasks_held(scale_out.request_rentals(), 4.0).values()) >= 1


@pytest.mark.parametrize(
    "constraint",
    [
        {"zone": Zone("b")},
        {"types": (TypeName("large"),)},
        {"spot": False},
    ],
)
def test_a_machine_that_the_job_may_not_use_is_not_counted(constraint: dict[str, Any]) -> None:
    scale_out = ScaleOut()
    scale_out.add_machine("m-0", type_index=0)
    scale_out.add_job("job-1", team=BLUE, tasks=1, **constraint)

    (request,) = scale_out.request_rentals()

    assert constraint.get("zone") in (None, request.zone)
    assert constraint.get("types") in (None, (request.type,))
    assert constraint.get("spot", True) or not request.spot


# Work that a scheduling cycle would not place


def test_nothing_is_rented_for_tasks_beyond_the_teams_gpus() -> None:
    scale_out = ScaleOut()
    with_gpus = MachineType(
        TypeName("gpu"), 8.0, 1.0, 32.0, 20.0, 1.0, 1.0, 0.4, 4.0, (Zone("a"), Zone("b"))
    )
    scale_out.leader.fleet.types[with_gpus.name] = with_gpus
    scale_out.leader.term.deployment.teams[BLUE] = TeamLimits(BLUE, 64.0, 64.0, 1.0, 1.0)
    machine = scale_out.add_machine("m-0")
    machine.type = with_gpus
    array = scale_out.add_job("job-1", team=BLUE, tasks=3, cpus=1.0, gpus=1.0)
    scale_out.place(array, machine)

    assert [request.type for request in scale_out.request_rentals()] == []


def test_nothing_is_rented_for_a_team_that_the_settings_do_not_name() -> None:
    # The settings may have changed since the job was accepted. A cycle places no task of a team
    # that is not configured, so that a rented machine would stay empty.
    scale_out = ScaleOut()
    scale_out.add_job("job-1", team=Team("gone"), tasks=3)

    assert scale_out.request_rentals() == []


# Excess rentals, and rented machines that are returned or kept wrongly

MINUTES = 10


def add_surplus_capacity(scale_out: ScaleOut) -> None:
    """Add small machines with one task each: more capacity than demand, and no idle machine."""
    for number in range(12):
        machine = scale_out.add_machine(f"m-small{number}", type_index=0)
        small = scale_out.add_job(f"job-small{number}", tasks=1, cpus=1.0)
        scale_out.place(small, machine)


def test_a_spread_gang_without_a_second_zone_does_not_rent_endlessly() -> None:
    scale_out = ScaleOut()
    add_surplus_capacity(scale_out)
    scale_out.add_job("job-1", **spread(tasks=2, cpus=LARGE_TASK))
    scale_out.answer_rentals(60, refused=("b",))
    early = len(scale_out.rented)

    scale_out.answer_rentals(60 * MINUTES, refused=("b",))

    assert early <= 3
    assert len(scale_out.rented) == early


def test_a_spread_gang_without_a_second_zone_leaves_rentals_to_other_work() -> None:
    scale_out = ScaleOut()
    scale_out.add_job("job-1", **spread(tasks=2, cpus=LARGE_TASK))
    scale_out.answer_rentals(120, refused=("b",))
    scale_out.add_job("job-2", tasks=1, cpus=LARGE_TASK, waited_s=0.0)
    for machine in scale_out.rented:
        scale_out.place(scale_out.add_job(f"job-on-{machine.id}", tasks=1, cpus=8.0), machine)

    requests = scale_out.answer_rentals(30, refused=("b",))

    assert "a" in [request.zone for request in requests]


def test_a_spread_gang_in_a_region_of_one_zone_rents_nothing() -> None:
    scale_out = ScaleOut()
    types = scale_out.leader.fleet.types
    for name, machine_type in list(types.items()):
        types[name] = replace(machine_type, zones=(Zone("a"),))
    scale_out.add_job("job-1", **spread(tasks=2, cpus=LARGE_TASK))

    requests = scale_out.request_rentals()

    assert tasks_held(requests, LARGE_TASK).get("a", 0) == 0


def test_a_gang_that_must_be_in_one_zone_and_in_several_rents_nothing() -> None:
    # Such a job is still accepted, but can never start.
    scale_out = ScaleOut()
    add_surplus_capacity(scale_out)
    scale_out.add_job("job-1", **spread(tasks=2, cpus=LARGE_TASK, one_zone=True))

    scale_out.answer_rentals(60 * MINUTES)

    assert scale_out.rented == []


def test_a_machine_that_a_gang_waits_with_is_not_returned_as_idle() -> None:
    scale_out = ScaleOut()
    add_surplus_capacity(scale_out)
    scale_out.add_job("job-1", **spread(tasks=2, cpus=LARGE_TASK), waited_s=100.0)
    (first,) = scale_out.request_rentals()
    (waiting_machine,) = scale_out.grant(first)
    (second,) = scale_out.request_rentals()
    (booting,) = scale_out.grant(second, up_at_once=False)

    for _ in range(90):
        scale_out.request_rentals(1.0)
        booting.created_at = scale_out.now

    assert {first.zone, second.zone} == {"a", "b"}
    assert not waiting_machine.decommissioning


def test_a_machine_is_not_kept_for_a_gang_that_can_have_no_other_zone() -> None:
    # The gang can never start: a machine kept for it would be paid for in vain.
    scale_out = ScaleOut()
    add_surplus_capacity(scale_out)
    scale_out.add_job("job-1", **spread(tasks=2, cpus=LARGE_TASK))

    scale_out.answer_rentals(60 * MINUTES, refused=("b",))

    assert scale_out.rented
    assert all(machine.decommissioning for machine in scale_out.rented)
