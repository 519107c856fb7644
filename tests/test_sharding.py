"""Sharding: shard owners plan their shards, the leader checks their proposals and commits them.

The tests guard against shards that together exceed a quota or ignore reservations, jobs that wait
for an owner that does not answer, and outdated, repeated or invalid proposals that take effect.
"""

from __future__ import annotations

from random import Random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from crosscleat.core.model.effects import ShardRequest
from crosscleat.core.model.ids import (
    JobRef,
    MachineId,
    Member,
    Seconds,
    Team,
    Version,
    WallTime,
    Zone,
)
from crosscleat.core.model.job_spec import Priority
from crosscleat.core.model.shards import ShardProposal, ShardView
from crosscleat.core.model.store_calls import Item
from crosscleat.core.scheduling.assignments import Reservation
from crosscleat.core.scheduling.shard_planning import plan_shard
from crosscleat.core.scheduling.sharding import (
    ShardInputs,
    build_shard_view,
    quota_shares,
    shard_owner,
)
from crosscleat.core.state.cluster import ClusterState
from crosscleat.core.state.job_records import live_record
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.keys import live_key
from crosscleat.core.state.machine import Machine

from .term import Term
from .world import MEMBERS, TEAMS, TYPES, deployment, job

NOW = Seconds(100.0)
OWNERS = tuple(Member(member) for member in MEMBERS)


def live_item(ref: str, tasks: int = 1) -> Item:
    spec = job(ref, tasks=tasks, cpus=1.0, memory_gb=1.0, team=Team("blue"))
    return Item(live_key(spec.ref), live_record(spec, WallTime(0.0), cancelled=False), Version(3))


def refs_of(member: str, count: int) -> list[str]:
    refs = (f"job-{n}" for n in range(1000))
    return [ref for ref in refs if shard_owner(JobRef(ref), OWNERS) == member][:count]


@given(
    st.lists(
        st.tuples(st.integers(1, 9), st.sampled_from((0.5, 2.0)), st.sampled_from(("red", "blue"))),
        min_size=1,
        max_size=8,
    ),
    st.lists(st.floats(0.0, 8.0), min_size=1, max_size=6),
    st.floats(0.0, 14.0),
)
def test_all_shards_together_respect_the_quotas(
    drawn_jobs: list[tuple[int, float, str]],
    used_cpus_by_machine: list[float],
    red_used_cpus: float,
) -> None:
    cluster = ClusterState()
    cluster.team_cpus["red"] = red_used_cpus
    jobs = [
        Job(job(f"job-{n}", tasks=tasks, cpus=cpus, team=Team(team)), Version(1), NOW)
        for n, (tasks, cpus, team) in enumerate(drawn_jobs)
    ]
    machines = [
        Machine(MachineId(f"m-{n}"), TYPES[1], Zone("a"), True)
        for n in range(len(used_cpus_by_machine))
    ]
    for machine, cpus_used in zip(machines, used_cpus_by_machine, strict=True):
        machine.used_cpus = cpus_used
    shards: dict[Member, list[Job]] = {}
    for waiting_job in jobs:
        shards.setdefault(shard_owner(waiting_job.ref, OWNERS), []).append(waiting_job)
    shares = quota_shares(shards, TEAMS, cluster)
    taken_cpus = {"red": red_used_cpus, "blue": 0.0}
    for member, shard_jobs in shards.items():
        inputs = ShardInputs(machines, {}, 0.0, {}, NOW)
        view = build_shard_view(4, shard_jobs, shares[member], inputs, cluster, Random(1))
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(view), type=ShardView)
        proposal = plan_shard(
            decoded,
            deployment(member),
            {machine_type.name: machine_type for machine_type in TYPES},
            Random(1),
            Seconds(7.0),
        )
        assert proposal.number == 4
        specs_by_ref = {waiting_job.ref: waiting_job.spec for waiting_job in shard_jobs}
        for machine in machines:
            specs_on_machine = [
                specs_by_ref[ref]
                for ref, machine_id in proposal.assignments
                if machine_id == machine.id
            ]
            assert machine.used_cpus + sum(spec.cpus for spec in specs_on_machine) <= 8.0 + 1e-6
        for ref, _ in proposal.assignments:
            taken_cpus[specs_by_ref[ref].team] += specs_by_ref[ref].cpus

    for team, limits in TEAMS.items():
        assert (
            taken_cpus[team] <= max(limits.cpus_max, red_used_cpus if team == "red" else 0.0) + 1e-6
        )


def test_without_a_proposal_in_time_the_leader_plans_the_shard_itself() -> None:
    term = Term([live_item(ref) for ref in refs_of("c1", 2)])
    leader = term.leader
    term.receive_heartbeat((1, 1))
    leader.tick(term.now)
    (request,) = [effect for effect in term.outbox.take() if isinstance(effect, ShardRequest)]
    assert request.member == "c1"
    assert len(request.view.jobs) == 2

    # The owner has not proposed before, so the leader plans its jobs at once.
    leader.finish_step(term.now)
    assert [waiting_job.placed_count() for waiting_job in leader.jobs.values()] == [1, 1]

    # After a proposal in time, the leader waits for the owner's next one, until a timeout.
    leader.scheduler.commit_proposal(Member("c1"), ShardProposal(request.view.number, ()), term.now)
    new, late = refs_of("c1", 4)[2:]
    leader.apply_job_changes([live_item(new)], term.now)
    term.step(5.1)
    term.receive_heartbeat((1, 2))
    leader.tick(term.now)
    leader.finish_step(term.now)
    assert leader.jobs[JobRef(new)].placed_count() == 0

    term.step(0.5)
    leader.apply_job_changes([live_item(late)], term.now)
    leader.finish_step(term.now)
    assert leader.jobs[JobRef(new)].placed_count() == 1
    assert leader.jobs[JobRef(late)].placed_count() == 1


def test_only_valid_assignments_of_a_current_shard_proposal_are_committed() -> None:
    mine, others = refs_of("c1", 2), refs_of("c2", 1)
    term = Term([live_item(ref) for ref in (*mine, *others)])
    leader = term.leader
    term.receive_heartbeat((1, 1))
    leader.tick(term.now)
    number = next(
        effect for effect in term.outbox.take() if isinstance(effect, ShardRequest)
    ).view.number
    machine_id = MachineId("m-0")
    outdated = ShardProposal(number - 1, ((JobRef(mine[0]), machine_id),))
    leader.scheduler.commit_proposal(Member("c1"), outdated, term.now)
    assert leader.jobs[JobRef(mine[0])].placed_count() == 0

    assignments = (
        (JobRef(mine[0]), machine_id),
        (JobRef(others[0]), machine_id),
        (JobRef("job-gone"), machine_id),
        (JobRef(mine[1]), MachineId("m-gone")),
    )
    leader.scheduler.commit_proposal(Member("c1"), ShardProposal(number, assignments), term.now)
    placed = {ref: leader.jobs[JobRef(ref)].placed_count() for ref in (*mine, *others)}
    assert placed == {mine[0]: 1, mine[1]: 0, others[0]: 0}, (
        "the member may not place jobs of other shards"
    )

    leader.scheduler.commit_proposal(Member("c1"), ShardProposal(number, assignments), term.now)
    assert leader.jobs[JobRef(mine[0])].placed_count() == 1, "a repeat has no effect"


def test_a_shard_owner_leaves_reservations_of_other_shards_alone() -> None:
    machine = Machine(MachineId("m-0"), TYPES[1], Zone("a"), True)
    machine.used_cpus = 4.0
    small = Job(job("job-1", tasks=1, cpus=1.0), Version(1), NOW)
    shares = {Team("red"): (10.0, 0.0)}
    large = Reservation(JobRef("job-large"), Priority.NORMAL, Seconds(NOW - 20.0))
    for reservations, count in (({}, 1), ({machine.id: large}, 0)):
        inputs = ShardInputs([machine], reservations, 0.0, {}, NOW)
        view = build_shard_view(1, [small], shares, inputs, ClusterState(), Random(1))
        types = {machine_type.name: machine_type for machine_type in TYPES}
        assert len(plan_shard(view, deployment("c1"), types, Random(1), NOW).assignments) == count
