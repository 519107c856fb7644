"""Which machines the fleet rents for waiting work, and which it returns.

The tests guard against machines that are rented for work that free or booting capacity will hold,
expensive machines rented for work that they can't finish on time, work that waits for a machine
that does not come up, and the return of the wrong idle machines.
"""

from __future__ import annotations

from crosscleat.core.capacity.pools import PoolKey, ScaleOutRequest
from crosscleat.core.model.ids import MachineId, Seconds, TypeName, Zone
from crosscleat.core.state.machine import Machine

from .fleets import (
    NOW,
    TARGET_S,
    full_machines,
    job_waiting_for,
    make_fleet,
    next_request,
    refuse_spot,
)
from .world import TEAMS, TYPES


def test_one_rental_holds_all_waiting_tasks_when_free_capacity_is_scarce() -> None:
    jobs = [job_waiting_for(0.5, tasks=4, cpus=1.0) for _ in range(5)]
    request = next_request(make_fleet(), jobs)
    assert request is not None
    assert request.pool.spot

    size = next(
        machine_type.cpus for machine_type in TYPES if machine_type.name == request.pool.type
    )
    assert request.count * size >= 20


def test_a_passing_burst_rents_nothing_if_free_capacity_suffices() -> None:
    fleet = make_fleet()
    busy = full_machines(10)

    assert next_request(fleet, [job_waiting_for(0.5, tasks=4)], busy) is None
    assert next_request(fleet, [job_waiting_for(30.0, tasks=4)], busy) is not None, (
        "it has waited for long"
    )


def test_expensive_machines_are_not_rented_for_work_they_cannot_finish_in_time() -> None:
    fleet = make_fleet()
    refuse_spot(fleet)
    busy = full_machines(10)
    assert next_request(fleet, [job_waiting_for(10.0)], busy) is not None
    assert next_request(fleet, [job_waiting_for(TARGET_S - 2.0)], busy) is None

    late_request = next_request(fleet, [job_waiting_for(120.0)], busy)
    assert late_request is not None
    assert late_request.overdue, "overdue work is started at any price"

    on_demand = next_request(fleet, [job_waiting_for(TARGET_S - 2.0, spot=False)], busy)
    assert on_demand is not None
    assert not on_demand.pool.spot, "it cannot use spot machines"


def test_tasks_count_on_capacity_that_is_free_or_boots() -> None:
    booting = Machine(MachineId("m-0"), TYPES[1], Zone("a"), True, created_at=Seconds(NOW - 3.0))
    assert next_request(make_fleet(), [job_waiting_for(30.0, tasks=4, cpus=2.0)], [booting]) is None
    request = next_request(make_fleet(), [job_waiting_for(30.0, tasks=6, cpus=2.0)], [booting])
    assert request == ScaleOutRequest(PoolKey(TypeName("small"), Zone("a"), True), 1)


def test_a_machine_that_boots_for_unusually_long_is_no_free_capacity() -> None:
    slow = Machine(MachineId("m-0"), TYPES[1], Zone("a"), True, created_at=Seconds(NOW - 12.0))
    work = [job_waiting_for(30.0, tasks=4, cpus=2.0)]
    assert next_request(make_fleet(), work, [slow]) is not None
    slow.listed_as_running = True
    assert next_request(make_fleet(), work, [slow]) is None, (
        "it is up, but has sent no heartbeat in this term"
    )


def test_idle_expensive_machines_are_returned_before_warm_capacity_on_spot_ones() -> None:
    fleet = make_fleet()
    spot = Machine(MachineId("m-0"), TYPES[1], Zone("a"), True)
    expensive = Machine(MachineId("m-1"), TYPES[1], Zone("a"), False)
    for machine in (spot, expensive):
        machine.has_sent_heartbeat = True
        machine.idle_since = Seconds(NOW - 10.0)
    for at in range(100):
        fleet.targets.demand.sample(8.0, Seconds(NOW - 100.0 + at))

    assert fleet.scale_in_candidates([spot, expensive], TEAMS, NOW) == [expensive]
