"""Scheduling cycles, and the run-time estimates, image caches and attempt states they depend on.

The tests guard against cycles that exceed a capacity, quota or placement constraint, and against
jobs that never start because other jobs take each place or because a reserve is kept from them.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crosscleat.core.model.ids import AgentEpoch, Image, JobRef, MachineId, Seconds, Team
from crosscleat.core.model.job_spec import Priority, Shape
from crosscleat.core.scheduling.assignments import Assignment
from crosscleat.core.scheduling.scoring import RunTimes
from crosscleat.core.state.allocations import Allocation
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine

from .planning import NOW, make_job, make_machine, plan_cycle
from .world import TEAMS, job

jobs = st.builds(
    lambda n, tasks, team, cpus, priority, placement, shape: make_job(
        f"job-{n}",
        tasks=tasks,
        team=Team(team),
        cpus=cpus,
        priority=priority,
        one_zone=placement == "one_zone",
        spread=placement == "spread",
        shape=shape,
    ),
    st.integers(0, 10**6),
    st.integers(1, 9),
    st.sampled_from(("red", "blue")),
    st.sampled_from((0.5, 1.0, 2.0, 5.0)),
    st.sampled_from(Priority),
    st.sampled_from(("any", "one_zone", "spread")),
    st.sampled_from(Shape),
)
fleets = st.lists(
    st.tuples(st.integers(0, 1), st.sampled_from(("a", "b")), st.booleans()), max_size=6
).map(
    lambda drawn_machines: [
        make_machine(f"m-{n}", *properties) for n, properties in enumerate(drawn_machines)
    ]
)


@given(st.lists(jobs, max_size=6, unique_by=lambda waiting_job: waiting_job.ref), fleets)
def test_a_scheduling_cycle_respects_capacity_quota_and_placement(
    waiting_jobs: list[Job], fleet: list[Machine]
) -> None:
    assignments = plan_cycle(waiting_jobs, fleet)
    jobs_by_ref = {waiting_job.ref: waiting_job for waiting_job in waiting_jobs}
    for machine in fleet:
        specs_on_machine = [
            jobs_by_ref[assignment.job].spec
            for assignment in assignments
            if assignment.machine == machine.id
        ]
        assert sum(spec.cpus for spec in specs_on_machine) <= machine.type.cpus
        assert sum(spec.memory_gb for spec in specs_on_machine) <= machine.type.memory_gb
    zones = {machine.id: machine.zone for machine in fleet}
    for team, limits in TEAMS.items():
        team_specs = [
            jobs_by_ref[assignment.job].spec
            for assignment in assignments
            if jobs_by_ref[assignment.job].spec.team == team
        ]
        assert sum(spec.cpus for spec in team_specs) <= limits.cpus_max
    for ref, waiting_job in jobs_by_ref.items():
        task_zones = [
            zones[assignment.machine] for assignment in assignments if assignment.job == ref
        ]
        assert len(task_zones) <= waiting_job.spec.tasks
        if waiting_job.spec.one_zone:
            assert len(set(task_zones)) <= 1
        if waiting_job.spec.spread:
            assert all(
                task_zones.count(zone) <= waiting_job.spec.max_per_zone() for zone in task_zones
            )
        if waiting_job.spec.shape is Shape.GANG:
            assert len(task_zones) in (0, waiting_job.spec.tasks)


def test_a_scheduling_cycle_prefers_urgent_work_spot_machines_and_present_images() -> None:
    urgent = make_job("job-u", tasks=1, cpus=8.0, priority=Priority.HIGH)
    normal = make_job("job-n", tasks=1, cpus=8.0, team=Team("blue"))
    assert plan_cycle([normal, urgent], [make_machine("m-0")]) == [
        Assignment(JobRef("job-u"), MachineId("m-0"))
    ]

    on_demand, spot = make_machine("m-0", spot=False), make_machine("m-1")
    assert [
        assignment.machine
        for assignment in plan_cycle([make_job("job-1", tasks=1)], [on_demand, spot])
    ] == ["m-1"]

    with_image, without_image = make_machine("m-0"), make_machine("m-1")
    with_image.images.ready_at[Image("big")] = Seconds(0.0)
    large = make_job("job-1", tasks=1, image=Image("big"), image_gb=20.0)
    assert [
        assignment.machine for assignment in plan_cycle([large], [without_image, with_image])
    ] == ["m-0"]


def test_a_gang_waits_until_it_fits_whole() -> None:
    gang = make_job("job-g", tasks=4, cpus=2.0, shape=Shape.GANG, team=Team("blue"))
    assert plan_cycle([gang], [make_machine("m-0", 0)]) == []
    assert len(plan_cycle([gang], [make_machine("m-0", 0), make_machine("m-1", 0)])) == 4


def test_a_job_that_fails_repeatedly_is_tried_one_task_at_a_time() -> None:
    failing = make_job("job-f", tasks=5, cpus=1.0)
    failing.failed_on = {MachineId("m-0"), MachineId("m-1")}

    assert len(plan_cycle([failing], [make_machine("m-0"), make_machine("m-1")])) == 1


def test_an_attempt_that_may_still_start_is_not_proven_ended() -> None:
    spec = job("job-1")
    machine = make_machine("m-0")
    waiting_job = make_job("job-1")
    task, attempt = waiting_job.place(machine.id, AgentEpoch(1))
    allocation = Allocation(
        task,
        attempt,
        spec,
        machine.id,
        machine.zone,
        AgentEpoch(1),
        start_sent=True,
        start_sent_at_sequence=5,
    )
    machine.reported_token, machine.direct.pending_start_token, machine.heartbeat_sequence = 7, 6, 6
    assert not machine.may_still_start(allocation)

    # A start may be in a response that is not delivered yet, or in a direct command that was lost
    # or is in flight. The task could still start after its capacity was given to another one.
    machine.heartbeat_sequence = 5
    assert machine.may_still_start(allocation), "the response with the start may be in flight"

    machine.heartbeat_sequence, machine.direct.pending_start_token = 6, 7
    assert machine.may_still_start(allocation), "a direct start was lost under the current token"

    machine.direct.pending_start_token, machine.direct.in_flight = 6, True
    assert machine.may_still_start(allocation)

    allocation.start_sent = False
    assert not machine.may_still_start(allocation)


def test_estimates_follow_measured_run_times() -> None:
    times = RunTimes()
    spec = job("job-1", estimate_s=10.0)
    assert times.estimate(spec) == 10.0
    for _ in range(60):
        times.learn(spec, 20.0)
    assert 19.0 < times.estimate(spec) <= 20.0


def test_a_machine_evicts_the_least_recently_used_images() -> None:
    machine = make_machine("m-0")
    for image, size in (("a", 8.0), ("b", 8.0), ("a", 8.0), ("c", 8.0)):
        machine.use_image(Image(image), size, NOW)

    assert list(machine.images.ready_at) == ["a", "c"], (
        "the cache of 20 GB holds two images of 8 GB"
    )


def test_small_urgent_tasks_do_not_keep_large_ones_waiting_for_ever() -> None:
    # Small tasks took all capacity that was freed, so the large task never fitted. The machine is
    # reserved for the large task, after 60 s also against jobs of a higher priority.
    large = make_job("job-large", tasks=1, cpus=8.0)
    large.submitted = Seconds(NOW - 61.0)
    half_used = make_machine("m-0")
    half_used.used_cpus = 6.0
    small = make_job("job-small", tasks=4, cpus=1.0, priority=Priority.PRODUCTION)
    assert plan_cycle([large, small], [half_used]) == []

    large.submitted = Seconds(NOW - 10.0)
    assert len(plan_cycle([large, small], [half_used])) == 2, (
        "the reservation does not hold urgent work back yet"
    )

    equal = make_job("job-equal", tasks=4, cpus=1.0)
    assert plan_cycle([large, equal], [half_used]) == []

    large.submitted = Seconds(NOW - 61.0)
    # The large task gets the machine once it is empty. Nothing is reserved for a task that is not
    # large.
    assert [assignment.job for assignment in plan_cycle([large, small], [make_machine("m-0")])] == [
        "job-large"
    ]

    half_used.used_cpus = 7.5
    medium = make_job("job-medium", tasks=1, cpus=2.0)
    medium.submitted = Seconds(NOW - 60.0)
    tiny = make_job("job-tiny", tasks=1, cpus=0.5)
    assert [assignment.job for assignment in plan_cycle([medium, tiny], [half_used])] == [
        "job-tiny"
    ]


def test_a_scheduling_cycle_considers_every_machine_unless_there_are_too_many_pairs() -> None:
    # A random sample of the machines would often miss the only one with free capacity.
    fleet = [make_machine(f"m-{n}") for n in range(400)]
    for machine in fleet[:-1]:
        machine.used_cpus = 8.0

    assert [
        assignment.machine for assignment in plan_cycle([make_job("job-1", tasks=1)], fleet)
    ] == ["m-399"]


@pytest.mark.parametrize(("priority", "count"), [(Priority.NORMAL, 13), (Priority.HIGH, 14)])
def test_the_last_part_of_a_teams_quota_is_kept_for_its_urgent_work(
    priority: Priority, count: int
) -> None:
    fleet = [make_machine(f"m-{n}") for n in range(8)]
    many = make_job("job-1", tasks=40, cpus=1.0, memory_gb=0.1, priority=priority)

    assert len(plan_cycle([many], fleet, urgent_reserve=1.0)) == count, "red may use 14 CPUs"


def test_a_reserve_larger_than_the_quota_does_not_keep_a_job_from_starting() -> None:
    fleet = [make_machine(f"m-{n}") for n in range(8)]
    alone = make_job("job-1", tasks=1, cpus=8.0, team=Team("red"))

    assert len(plan_cycle([alone], fleet, urgent_reserve=20.0)) == 1


def test_a_late_job_starts_while_new_jobs_of_higher_utility_arrive() -> None:
    # Late jobs have a low utility. Without precedence for the first task they would never start.
    old = make_job("job-old", tasks=3, cpus=2.0, priority=Priority.LOW, team=Team("blue"))
    old.submitted = Seconds(NOW - 101.0)
    new = make_job("job-new", tasks=3, cpus=2.0, priority=Priority.HIGH, team=Team("blue"))
    fleet = [make_machine("m-0")]
    fleet[0].used_cpus = 4.0
    assert [assignment.job for assignment in plan_cycle([new, old], fleet)] == [
        "job-old",
        "job-new",
    ], "only the first task of the old job goes first"

    old.place(MachineId("m-9"), AgentEpoch(1))
    assert [assignment.job for assignment in plan_cycle([new, old], fleet)] == [
        "job-new",
        "job-new",
    ], "the old job has started"


@pytest.mark.parametrize(("reserve", "failed"), [(0.0, False), (20.0, False), (0.0, True)])
def test_no_job_waits_for_long_while_a_machine_has_free_capacity_for_it(
    reserve: float, failed: bool
) -> None:
    """After 60 s a job may use any free capacity.

    Capacity reserved for large tasks, the urgent reserve, or an earlier failure on the machine
    would otherwise keep the job waiting beside a machine that can hold it.
    """
    large = make_job("job-large", tasks=1, cpus=8.0, priority=Priority.HIGH)
    large.submitted = Seconds(NOW - 70.0)
    machine = make_machine("m-0")
    machine.used_cpus = 4.0
    small = make_job("job-small", tasks=3, cpus=1.0, priority=Priority.LOW)
    if failed:
        small.failed_on = {machine.id}
    others = [large] if not failed else []
    fleet = [machine, make_machine("m-1")] if failed else [machine]
    fleet[-1].used_cpus = 4.0 if len(fleet) == 1 else 8.0

    small.submitted = Seconds(NOW - 59.0)
    assert plan_cycle([*others, small], fleet, urgent_reserve=reserve) == []

    small.submitted = Seconds(NOW - 61.0)
    (assignment,) = plan_cycle([*others, small], fleet, urgent_reserve=reserve)
    assert assignment == Assignment(small.ref, machine.id), "only its first task"

    # The waiting time counts from the end of the job's last attempt.
    small.idle_since = Seconds(NOW - 30.0)
    assert plan_cycle([*others, small], fleet, urgent_reserve=reserve) == []
