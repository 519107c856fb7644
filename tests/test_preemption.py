"""Preemption for more urgent work, and backfill that only uses idle capacity.

The tests guard against two kinds of failures: waiting work that gets no capacity although tasks may
be stopped for it, and tasks that are stopped in vain because the work cannot use their capacity.
"""

from __future__ import annotations

from random import Random
from typing import Any

from crosscleat.core.capacity.capacity_targets import CapacityUse
from crosscleat.core.model.deployment import TeamLimits, is_backfill
from crosscleat.core.model.ids import (
    AgentEpoch,
    Attempt,
    JobRef,
    MachineId,
    Seconds,
    TaskId,
    Team,
    Version,
)
from crosscleat.core.model.job_spec import JobSpec, Priority
from crosscleat.core.scheduling.feasibility import CycleContext
from crosscleat.core.scheduling.preemption import MIN_COUNTED_RUN_S, Victim, choose_victims
from crosscleat.core.state.allocations import Allocation
from crosscleat.core.state.cluster import ClusterState
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine

from .fleets import full_machines, job_waiting_for, make_fleet, next_request, refuse_spot
from .planning import NOW, make_job, make_machine, plan_cycle
from .world import TEAMS, job

GUEST = TeamLimits(Team("guest"), 0.0, 0.0, 0.0, 0.0)


class Cluster:
    """Machines of 8 CPUs, and attempts that run on them."""

    def __init__(self, machines: int) -> None:
        self.cluster = ClusterState()
        self.jobs: dict[JobRef, Job] = {}
        self.machines = [make_machine(f"m-{number}") for number in range(machines)]

    def run(
        self, ref: str, on: Machine, run_time_s: float = 100.0, **changes: Any
    ) -> list[Allocation]:
        """Places all tasks of a new job on the machine."""
        fields: dict[str, Any] = {"priority": Priority.LOW, "tasks": 2, "cpus": 4.0}
        running = Job(job(ref, **{**fields, **changes}), Version(1), Seconds(0.0))
        self.jobs[running.ref] = running
        allocations = []
        for _ in range(running.spec.tasks):
            task, attempt = running.place(on.id, AgentEpoch(1))
            allocation = Allocation(task, attempt, running.spec, on.id, on.zone, AgentEpoch(1))
            allocation.running_since = Seconds(NOW - run_time_s)
            self.cluster.add(on, allocation)
            allocations.append(allocation)
        return allocations

    def preempt(self, *waiting_jobs: Job, teams: dict[Team, TeamLimits] = TEAMS) -> list[Victim]:
        context = CycleContext(self.cluster, teams, NOW)
        return choose_victims(context, self.jobs, waiting_jobs, self.machines, Random(1))


def urgent(tasks: int = 1, cpus: float = 4.0, **changes: Any) -> Job:
    fields: dict[str, Any] = {"priority": Priority.HIGH, "team": Team("blue")}
    return make_job("job-u", tasks=tasks, cpus=cpus, **{**fields, **changes})


def test_no_more_is_preempted_than_the_more_urgent_work_needs() -> None:
    # Seen before: the operators' guest teams held 3,000 of 5,500 CPUs for minutes while all other
    # work waited.
    cluster = Cluster(2)
    for number, machine in enumerate(cluster.machines):
        cluster.run(f"job-{number}", machine)

    assert len(cluster.preempt(urgent(tasks=3))) == 3
    assert len(cluster.preempt(urgent(tasks=1, cpus=8.0))) == 2
    assert len(cluster.preempt(urgent(tasks=9))) == 4, "all that can be preempted"


def test_capacity_that_is_being_freed_is_counted() -> None:
    # Stopping tasks keep their allocations. If their capacity were not counted, each pass would
    # stop more tasks for the same job.
    cluster = Cluster(1)
    first, _ = cluster.run("job-0", cluster.machines[0])
    first.stopping = True

    assert cluster.preempt(urgent(tasks=1)) == []
    assert len(cluster.preempt(urgent(tasks=2))) == 1


def test_work_of_a_team_with_a_guarantee_is_preempted_only_at_the_lowest_priority() -> None:
    cluster = Cluster(1)
    cluster.run("job-0", cluster.machines[0], priority=Priority.NORMAL)
    assert cluster.preempt(urgent()) == []

    lowest = Cluster(1)
    lowest.run("job-0", lowest.machines[0], priority=Priority.LOW)
    assert lowest.preempt(urgent(priority=Priority.LOW)) == []
    assert len(lowest.preempt(urgent(priority=Priority.NORMAL))) == 1


def test_guests_are_preempted_for_more_urgent_work_and_for_a_team_within_its_guarantee() -> None:
    teams = {**TEAMS, GUEST.name: GUEST}
    cluster = Cluster(1)
    cluster.run("job-0", cluster.machines[0], priority=Priority.NORMAL, team=GUEST.name)
    assert len(cluster.preempt(urgent(), teams=teams)) == 1

    equal = urgent(priority=Priority.NORMAL)
    assert len(cluster.preempt(equal, teams=teams)) == 1
    assert cluster.preempt(urgent(priority=Priority.NORMAL, team=GUEST.name), teams=teams) == []

    cluster.cluster.team_cpus[Team("blue")] = TEAMS[Team("blue")].cpus
    assert cluster.preempt(equal, teams=teams) == [], "its team has its guaranteed CPUs"


def test_the_attempt_with_least_to_lose_is_preempted() -> None:
    cluster = Cluster(1)
    machine = cluster.machines[0]
    cluster.run("job-0", machine, run_time_s=50.0, tasks=1)

    (saving,) = cluster.run(
        "job-1", machine, run_time_s=90.0, tasks=1, checkpoint_s=20.0, save_s=2.0
    )

    assert cluster.preempt(urgent()) == [Victim(machine, saving)]


def test_nothing_is_preempted_for_work_that_could_not_use_the_capacity() -> None:
    cluster = Cluster(1)
    cluster.run("job-0", cluster.machines[0])
    failing = urgent()
    failing.failed_on = {MachineId("m-8"), MachineId("m-9")}
    assert cluster.preempt(failing) == [], "it fails on each machine"
    assert cluster.preempt(urgent(spot=False)) == [], "the cloud may reclaim the machine"

    cluster.cluster.team_cpus[Team("blue")] = TEAMS[Team("blue")].cpus_max
    assert cluster.preempt(urgent()) == [], "its team is at its quota"


def test_the_only_task_of_a_job_is_not_preempted_before_its_start_counts() -> None:
    # Otherwise the job would count as not started for its user: a start counts only if the task
    # then runs longer than MIN_COUNTED_RUN_S.
    cluster = Cluster(1)
    machine = cluster.machines[0]
    cluster.run("job-0", machine, run_time_s=MIN_COUNTED_RUN_S - 1.0, tasks=1)
    assert cluster.preempt(urgent(cpus=8.0)) == []

    (allocation,) = machine.allocations.values()
    allocation.running_since = Seconds(NOW - MIN_COUNTED_RUN_S - 1.0)
    assert cluster.preempt(urgent(cpus=8.0)) == [Victim(machine, allocation)]


def test_a_task_whose_start_is_in_flight_is_not_preempted() -> None:
    # No heartbeat lists the first task yet. Only a higher fencing token, which all machines would
    # have to see, would prove that its start can no longer be executed.
    cluster = Cluster(1)
    machine = cluster.machines[0]
    first, second = cluster.run("job-0", machine)
    first.start_sent = second.start_sent = second.in_last_heartbeat = True

    assert cluster.preempt(urgent(tasks=2)) == [Victim(machine, second)]


def test_a_task_that_ended_is_not_listed_as_running_work() -> None:
    # Preemption would consider the machines of ended tasks in vain if these were still listed.
    # Removing an allocation that was never added must not add an entry either.
    cluster = Cluster(1)
    machine = cluster.machines[0]
    for allocation in cluster.run("job-0", machine):
        cluster.cluster.remove(machine, allocation)
    assert list(cluster.cluster.machines_by_team()) == []

    orphan = Allocation(
        TaskId(JobRef("job-9"), 0),
        Attempt(1),
        job("job-9"),
        machine.id,
        machine.zone,
        AgentEpoch(1),
    )
    cluster.cluster.remove(machine, orphan)
    assert list(cluster.cluster.machines_by_team()) == []


# Backfill


def spec(**changes: Any) -> JobSpec:
    return job("job-1", **changes)


def test_backfill_is_the_least_urgent_work_of_a_team_without_a_guarantee() -> None:
    teams = {**TEAMS, GUEST.name: GUEST}
    assert is_backfill(spec(team=GUEST.name, priority=Priority.LOW), teams)
    assert not is_backfill(spec(team=GUEST.name, priority=Priority.NORMAL), teams)
    assert not is_backfill(spec(team=Team("red"), priority=Priority.LOW), teams)


def test_backfill_is_placed_after_all_other_jobs() -> None:
    backfill = make_job("job-b", team=Team("blue"), tasks=4, priority=Priority.LOW)
    backfill.backfill = True
    # This job is long overdue, so that its utility is lower than that of new backfill.
    late = make_job("job-l", team=Team("red"), tasks=4)
    late.submitted = Seconds(NOW - 99.0)
    late.first_untried = 1
    chosen = [assignment.job for assignment in plan_cycle([backfill, late], [make_machine("m-0")])]
    assert chosen == ["job-l", "job-l", "job-l", "job-b"]

    backfill.submitted = Seconds(NOW - 101.0)
    chosen = [assignment.job for assignment in plan_cycle([backfill, late], [make_machine("m-0")])]
    assert chosen[0] == "job-b", "it has waited for so long that it starts next"


def test_backfill_that_has_started_rents_no_expensive_machine() -> None:
    fleet = make_fleet()
    refuse_spot(fleet)
    backfill = job_waiting_for(120.0, tasks=5)
    backfill.backfill = True
    assert next_request(fleet, [backfill], full_machines(10)) is not None, "all of its tasks start"

    backfill.place(MachineId("m-0"), AgentEpoch(1))
    assert next_request(fleet, [backfill], full_machines(10)) is None


def test_no_warm_capacity_is_kept_for_backfill() -> None:
    kept = {}
    for backfills in (False, True):
        fleet = make_fleet()
        running = job_waiting_for(30.0, tasks=10)
        running.backfill = backfills
        for second in range(60):
            use = CapacityUse({"blue": 8.0}, backfill_cpus=8.0 if backfills else 0.0)
            fleet.next_scale_out([running], full_machines(10), TEAMS, use, Seconds(NOW + second))
        kept[backfills] = fleet.targets.demand.mean()

    assert kept[True] == 0.0 < kept[False]


def test_an_expensive_machine_used_by_backfill_alone_is_returned() -> None:
    # Seen before: half-empty on-demand machines were not returned after the urgent work on them
    # had ended.
    teams = {**TEAMS, GUEST.name: GUEST}
    fleet = make_fleet()
    cluster = Cluster(1)
    spot, expensive = cluster.machines[0], make_machine("m-1", spot=False)
    for machine in (spot, expensive):
        machine.has_sent_heartbeat = True
        cluster.run(f"job-{machine.id}", machine, team=GUEST.name)
    assert fleet.scale_in_candidates([spot, expensive], teams, NOW) == [expensive]

    cluster.run("job-x", expensive, team=Team("blue"))
    assert fleet.scale_in_candidates([spot, expensive], teams, NOW) == []


def test_backfill_leaves_the_backfill_reserve_free() -> None:
    backfill = make_job("job-b", team=Team("blue"), tasks=4, cpus=2.0, priority=Priority.LOW)
    backfill.backfill = True

    assert len(plan_cycle([backfill], [make_machine("m-0")], backfill_reserve=4.0)) == 2


def two_zones() -> Cluster:
    """Two machines in zone a and one in zone b, full of work of low priority."""
    cluster = Cluster(2)
    cluster.machines.append(make_machine("m-b", zone="b"))
    for number, machine in enumerate(cluster.machines):
        cluster.run(f"job-{number}", machine)
    return cluster


def test_only_a_zones_share_of_a_spread_array_is_preempted_for_there() -> None:
    # Seen before: of four waiting tasks, at most two may be in one zone, but running tasks were
    # stopped for all four in the first zone, where two of the four could not be placed.
    cluster = two_zones()
    victims = cluster.preempt(urgent(tasks=4, spread=True))

    assert sorted(victim.machine.zone for victim in victims) == ["a", "a", "b", "b"]


def test_capacity_that_is_freed_in_a_full_zone_does_not_count_for_a_spread_array() -> None:
    # All tasks in zone a are stopping, and their capacity would hold both tasks of the array, but
    # the zone may hold only one of them. If both were counted there, no task would be stopped in
    # zone b and the other task of the array would wait.
    cluster = two_zones()
    waiting = urgent(tasks=2, spread=True)
    for machine in cluster.machines[:2]:
        for allocation in machine.allocations.values():
            allocation.stopping = True
    cluster.jobs[waiting.ref] = waiting

    assert [victim.machine.zone for victim in cluster.preempt(waiting)] == ["b"]


def test_a_one_zone_array_preempts_in_one_zone_only() -> None:
    # Seen before: tasks were also stopped in a second zone, where no task of the array could be
    # placed.
    cluster = two_zones()
    victims = cluster.preempt(urgent(tasks=6, one_zone=True))

    assert len({victim.machine.zone for victim in victims}) == 1
