"""Free capacity of machines, and the number of tasks that a team's limit admits.

The tests guard against rounding errors that make a task not fit, trial plans that change the
original amounts, and wrong counts at the limits.
"""

from __future__ import annotations

import pytest

from crosscleat.core.model.ids import MachineId, Zone
from crosscleat.core.scheduling.free_capacity import FreeCapacity, group_by_zone
from crosscleat.core.scheduling.quota import tasks_within_limit, within_limit
from crosscleat.core.state.machine import Machine

from .planning import make_machine
from .world import TYPES, job


def free(cpus: float, memory_gb: float = 8.0, gpus: float = 0.0) -> FreeCapacity:
    return FreeCapacity(make_machine("m-0"), cpus, gpus, memory_gb)


def test_free_capacity_is_what_allocations_leave() -> None:
    used = Machine(MachineId("m-0"), TYPES[1], Zone("a"), True, used_cpus=2.5, used_memory=1.0)
    free_capacity = FreeCapacity.of(used)

    assert free_capacity.cpus == TYPES[1].cpus - 2.5
    assert free_capacity.memory_gb == TYPES[1].memory_gb - 1.0
    assert free_capacity.gpus == TYPES[1].gpus


@pytest.mark.parametrize(("max_count", "taken"), [(2, 2), (9, 4), (0, 0)])
def test_take_up_to_takes_as_many_tasks_as_fit_and_are_requested(
    max_count: int, taken: int
) -> None:
    free_capacity = free(cpus=4.5)
    spec = job("job-1", cpus=1.0, memory_gb=0.5)

    assert free_capacity.take_up_to(spec, max_count) == taken
    assert free_capacity.cpus == 4.5 - taken * 1.0
    assert free_capacity.memory_gb == 8.0 - taken * 0.5


def test_a_trial_on_copied_amounts_leaves_the_original_unchanged() -> None:
    free_capacity = free(cpus=4.0)
    free_capacity.kept_for_on_demand = True
    trial = free_capacity.copy_amounts()

    trial.give_back(job("job-1", cpus=1.0, memory_gb=0.5))

    assert (free_capacity.cpus, trial.cpus) == (4.0, 5.0)
    assert not trial.kept_for_on_demand


def test_tasks_fit_up_to_rounding() -> None:
    spec = job("job-1", cpus=0.1, memory_gb=0.5)
    free_capacity = free(cpus=0.3)
    for _ in range(2):
        free_capacity.take(spec)

    assert free_capacity.cpus < 0.1, "floating-point rounding leaves slightly less than 0.1"
    assert free_capacity.fits(spec)


def test_grouping_by_zone_keeps_the_order_of_items() -> None:
    machines = [make_machine(f"m-{n}", zone=zone) for n, zone in enumerate("abab")]
    zones = group_by_zone([FreeCapacity.of(machine) for machine in machines])

    assert [[item.machine.id for item in zone] for zone in zones] == [
        ["m-0", "m-2"],
        ["m-1", "m-3"],
    ]


@pytest.mark.parametrize(
    ("cpu_limit", "used_cpus", "admitted"),
    [(0.0, 100.0, 5), (8.0, 0.0, 4), (8.0, 5.0, 1), (8.0, 9.0, 0), (100.0, 0.0, 5)],
)
def test_a_cpu_limit_admits_whole_tasks(cpu_limit: float, used_cpus: float, admitted: int) -> None:
    assert tasks_within_limit(job("job-1", cpus=2.0), 5, used_cpus, cpu_limit) == admitted


def test_tasks_without_cpus_are_within_any_limit() -> None:
    assert tasks_within_limit(job("job-1", cpus=0.0), 5, 9.0, 8.0) == 5


def test_an_amount_is_within_its_limit_up_to_rounding() -> None:
    assert within_limit(0.1 + 0.2, 0.3)
    assert not within_limit(0.31, 0.3)
    assert within_limit(5.0, 0.0), "0 means no limit"
