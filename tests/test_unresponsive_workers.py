"""Machines that send heartbeats but receive no responses, and machines that fall silent.

Tasks placed on a machine that receives nothing never start, so it must be returned. A network
partition or a worker that is switching controllers looks similar, and must not cost the machine.
"""

from __future__ import annotations

import pytest

from crosscleat.core.model.ids import MachineId, Team, Zone
from crosscleat.core.model.worker_calls import HeartbeatResponse
from crosscleat.core.state.machine import Machine

from .term import Term
from .world import LEASE_S, MEMBERS, TYPES, World, job, world_with_long_job


def test_an_agent_epoch_that_ended_despite_responses_shows_an_unresponsive_machine() -> None:
    term = Term()
    for sequence in range(1, 6):
        (answer,) = term.receive_heartbeat((1, sequence))
        assert isinstance(answer, HeartbeatResponse)
        term.step(2.0)
    assert term.usable
    term.receive_heartbeat((2, 6))
    assert term.decommissioning


def test_an_agent_epoch_that_ended_in_a_partition_does_not_show_an_unresponsive_machine() -> None:
    term = Term()
    term.receive_heartbeat((1, 1))
    term.step(LEASE_S + 1.0)

    term.receive_heartbeat((2, 2))

    assert not term.decommissioning


@pytest.fixture
def busy_world() -> World:
    return world_with_long_job(estimate_s=60.0, elapsed_s=15.0)


def hosts(world: World) -> list[str]:
    return [name for name, worker in world.workers.items() if worker.tasks]


def test_work_on_a_machine_that_receives_nothing_is_done_elsewhere(busy_world: World) -> None:
    name = hosts(busy_world)[0]
    busy_world.network.one_way_cuts.update((member, name) for member in MEMBERS)
    busy_world.clock.advance(LEASE_S + 10.0)
    assert busy_world.workers[name].dead, (
        "it must be returned, so that nothing more is placed on it"
    )

    busy_world.clock.advance(120.0)
    busy_world.users.query("job-long")
    busy_world.clock.advance(1.0)
    assert busy_world.final_statuses == {"job-long": "done"}


def test_a_machine_that_only_direct_commands_do_not_reach_stays_in_use(busy_world: World) -> None:
    name = hosts(busy_world)[0]
    busy_world.direct_commands_blocked.update(busy_world.workers)
    for number in range(4):
        busy_world.users.submit(job(f"job-{number}", tasks=2, estimate_s=3.0, team=Team("blue")))
        busy_world.clock.advance(12.0)
    assert not busy_world.workers[name].dead

    for number in range(4):
        busy_world.users.query(f"job-{number}")
    busy_world.clock.advance(1.0)
    assert set(busy_world.final_statuses) >= {f"job-{number}" for number in range(4)}


def test_a_machine_that_is_switching_controllers_is_probed_before_it_is_deleted(
    busy_world: World,
) -> None:
    leader = next(m for m, p in busy_world.processes.items() if p and p.controller.leader)
    name = hosts(busy_world)[0]
    worker = busy_world.workers[name]
    # The worker waits for two unreachable controllers in turn. That takes longer than a silent
    # machine is tolerated, but not longer than its lease.
    reachable = next(m for m in MEMBERS if m != leader)
    worker.controller_index = MEMBERS.index(reachable) + 1
    for member in MEMBERS:
        if member != reachable:
            busy_world.network.cut(name, member, "hold")
    tasks_before = set(worker.tasks)

    busy_world.clock.advance(8.0)

    assert not worker.dead
    assert tasks_before <= set(worker.tasks)


def test_a_cut_off_zone_is_not_returned_and_hides_no_dead_machine_in_another_zone() -> None:
    term = Term()
    for number in range(60):
        machine = Machine(MachineId(f"m-{number}"), TYPES[0], Zone("ab"[number % 2]), True)
        machine.has_sent_heartbeat = True
        machine.last_heartbeat_at = machine.created_at = term.now
        term.leader.cluster.machines[machine.id] = machine
    for _ in range(int(LEASE_S / 0.1)):
        term.step(0.1)
        for number in range(2, 60, 2):
            term.leader.cluster.machines[MachineId(f"m-{number}")].last_heartbeat_at = term.now
        term.leader.tick(term.now)
    decommissioned = {m.id for m in term.leader.cluster.machines.values() if m.decommissioning}

    assert decommissioned == {"m-0"}, (
        "only m-0 of zone a is dead; the machines of zone b may come back"
    )
