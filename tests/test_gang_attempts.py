"""Attempts of gangs: their numbers, when their starts are sent, and how they end.

A gang's tasks find each other by the number of their attempt. If members had different numbers, or
some were started before all placements are recorded, a part of the gang could run on its own.
"""

from __future__ import annotations

import pytest

from crosscleat.core.model.effects import Response
from crosscleat.core.model.ids import JobRef, MachineId, Seconds, Team, Token, Version
from crosscleat.core.model.job_spec import Shape
from crosscleat.core.model.worker_calls import DirectReply, StartOrder, StopOrder
from crosscleat.core.state.jobs import Job

from .gangs import (
    gang_term,
    new_leader_with_gang,
    record_all,
    send_direct_start,
    start_orders,
    task_status,
)
from .planning import make_job, make_machine, plan_cycle
from .term import TOKEN
from .world import job


def test_a_gang_with_a_task_in_backoff_is_not_placed() -> None:
    gang = make_job("job-g", tasks=2, cpus=1.0, shape=Shape.GANG, team=Team("blue"))
    machines = [make_machine("m-0")]
    assert len(plan_cycle([gang], machines)) == 2

    for _ in range(2):
        gang.place(machines[0].id, machines[0].heartbeat_id.agent_epoch)
    gang.requeue(0, None)
    gang.requeue(1, type(gang.submitted)(1e6))
    assert plan_cycle([gang], machines) == []


def test_all_tasks_of_an_attempt_have_one_number() -> None:
    gang = Job(job("job-g", tasks=3, shape=Shape.GANG), Version(1), Seconds(0.0))
    machine = make_machine("m-0")
    assert {gang.place(machine.id, machine.heartbeat_id.agent_epoch)[1] for _ in range(3)} == {1}

    # Only one member was placed in attempt 2, which then ended; the others never had that number.
    for index in range(3):
        gang.requeue(index, None)
    gang.place(machine.id, machine.heartbeat_id.agent_epoch)
    gang.requeue(2, None)
    assert {gang.place(machine.id, machine.heartbeat_id.agent_epoch)[1] for _ in range(3)} == {3}


def test_no_start_is_sent_before_all_allocations_are_recorded() -> None:
    term = gang_term()
    gang = term.leader.jobs[JobRef("job-g")]
    machine = next(iter(term.leader.cluster.machines.values()))
    term.leader.placer.place_gang(gang, [machine, machine])
    allocations = list(machine.allocations.values())
    assert len(allocations) == 2

    allocations[0].recorded = True
    assert not [
        o
        for o in term.leader.commands.build_orders(machine, term.now, 1)
        if isinstance(o, StartOrder)
    ]

    record_all(gang, machine)
    assert len(start_orders(term, machine)) == 2


def test_a_gang_gets_no_allocation_if_one_of_its_machines_is_not_up() -> None:
    term = gang_term(tasks=3)
    gang = term.leader.jobs[JobRef("job-g")]
    machine = next(iter(term.leader.cluster.machines.values()))
    other = make_machine("m-9")

    term.leader.placer.place_gang(gang, [machine, machine, other])

    assert gang.placed_count() == 0, "the third machine is not known to be up"
    assert not machine.allocations
    assert term.leader.cluster.team_cpus.get("red", 0.0) == 0.0


def test_all_gang_members_are_stopped_at_once_with_time_for_a_checkpoint() -> None:
    term = gang_term()
    gang = term.leader.jobs[JobRef("job-g")]
    machine = next(iter(term.leader.cluster.machines.values()))
    term.leader.placer.place_gang(gang, [machine, machine])
    for allocation in machine.allocations.values():
        allocation.recorded = allocation.start_sent = allocation.in_last_heartbeat = True

    term.leader.attempts.stop_gang(gang, 5.0)
    stops = [
        o
        for o in term.leader.commands.build_orders(machine, term.now, 1)
        if isinstance(o, StopOrder)
    ]

    assert [stop.grace_s for stop in stops] == [5.0, 5.0]
    assert not any(isinstance(effect, Response) for effect in term.outbox.take())


def test_a_lost_start_keeps_its_allocation_until_it_cannot_arrive_any_more() -> None:
    term = gang_term()
    gang = term.leader.jobs[JobRef("job-g")]
    machine = next(iter(term.leader.cluster.machines.values()))
    start = send_direct_start(term, gang, machine)
    assert len(start.orders) == 2

    start.continuation(DirectReply(None, True))
    term.leader.attempts.stop_gang(gang, 0.0)
    term.step(2.0)
    term.receive_heartbeat((1, 3))
    term.receive_heartbeat((1, 4))
    assert gang.placed_count() == 2, "the start may still arrive"

    # The start can't be executed any more once the worker has seen a higher fencing token.
    term.leader.term.election.token = Token(TOKEN + 5)
    term.receive_heartbeat((1, 5), token=TOKEN + 5)
    assert gang.placed_count() == 0
    assert gang.waiting_count() == 2


@pytest.mark.parametrize("recorded", [1, 2])
def test_a_new_leader_continues_a_gang_only_if_all_members_are_recorded(recorded: int) -> None:
    term = new_leader_with_gang(recorded)
    machine = term.leader.cluster.machines[MachineId("m-0")]
    if recorded == 1:
        # The first heartbeat shows whether the gang still waits; it runs, so it is stopped.
        assert not any(allocation.stopping for allocation in machine.allocations.values())
        term.receive_heartbeat((1, 1), tasks=(task_status(0, "running"),))

    term.leader.finish_step(term.now)
    allocations = list(machine.allocations.values())

    assert [allocation.stopping for allocation in allocations] == [recorded == 1] * recorded
