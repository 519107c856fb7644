"""Machines that are reserved for jobs whose tasks must be in one zone or in several.

The tests guard against reservations in zones that the job may not use (any more): such machines
stand idle, and the job waits on.
"""

from __future__ import annotations

from random import Random
from typing import Any

from crosscleat.core.model.ids import AgentEpoch, Seconds, Team, Version
from crosscleat.core.model.job_spec import Shape
from crosscleat.core.scheduling.cycle import SchedulingCycle
from crosscleat.core.scheduling.feasibility import CycleContext
from crosscleat.core.scheduling.scoring import RunTimes, Scorer
from crosscleat.core.state.allocations import Allocation
from crosscleat.core.state.cluster import ClusterState
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine

from .planning import NOW, make_machine
from .world import TEAMS, deployment, job


def waiting_job(ref: str, **changes: Any) -> Job:
    """A job that has waited for long enough to have machines reserved."""
    return Job(job(ref, team=Team("blue"), **changes), Version(1), Seconds(NOW - 50.0))


def reserved_zones(cluster: ClusterState, jobs: list[Job], machines: list[Machine]) -> list[str]:
    """Plan reservations and return the zone of each reserved machine."""
    cycle = SchedulingCycle(
        CycleContext(cluster, TEAMS, NOW), Scorer(deployment("c0"), RunTimes()), Random(1)
    )
    reserved = cycle.reservations(jobs, machines)
    return [machine.zone for machine in machines if machine.id in reserved]


def busy_machines(zones: str) -> list[Machine]:
    """Machines that are half full, one in each of these zones."""
    machines = [make_machine(f"m-{n}", zone=zone) for n, zone in enumerate(zones)]
    for machine in machines:
        machine.used_cpus = 4.0
    return machines


def test_nothing_is_reserved_for_a_spread_gang_that_one_zone_would_have_to_hold() -> None:
    # All machines are in one zone, which may hold only one of the two tasks. The gang can never
    # start, and the machine that was reserved for it stood idle.
    gang = waiting_job("job-g", tasks=2, cpus=8.0, spread=True, shape=Shape.GANG)

    assert reserved_zones(ClusterState(), [gang], busy_machines("aaaaaaaa")) == []


def test_machines_of_several_zones_are_reserved_for_a_spread_gang() -> None:
    # The emptiest machines are all in zone a. Reserving only these would leave the gang without a
    # machine in zone b.
    gang = waiting_job("job-g", tasks=2, cpus=8.0, spread=True, shape=Shape.GANG)
    machines = busy_machines("aaaaaabb")
    for machine in machines[6:]:
        machine.used_cpus = 6.0

    assert sorted(reserved_zones(ClusterState(), [gang], machines)) == ["a", "b"]


def test_machines_are_reserved_for_a_one_zone_array_where_its_tasks_are() -> None:
    # Zone a has more machines, but a task of the array is in zone b already.
    array = waiting_job("job-1", tasks=4, cpus=8.0, one_zone=True)
    machines = busy_machines("aaaaab")
    machines[5].used_cpus = 6.0
    cluster = ClusterState()
    home = make_machine("m-home", zone="b")
    task, attempt = array.place(home.id, AgentEpoch(1))
    cluster.add(home, Allocation(task, attempt, array.spec, home.id, home.zone, AgentEpoch(1)))

    assert set(reserved_zones(cluster, [array], machines)) == {"b"}


def test_no_more_is_reserved_for_a_spread_array_than_a_zones_share() -> None:
    # A zone may hold one of the two tasks. A second reserved machine there would stand idle.
    array = waiting_job("job-1", tasks=2, cpus=8.0, spread=True)

    assert reserved_zones(ClusterState(), [array], busy_machines("a" * 10)) == ["a"]
