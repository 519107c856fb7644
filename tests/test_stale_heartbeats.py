"""What delayed heartbeats and restarted machines prove about a machine and its tasks.

A network can deliver a heartbeat late or twice, also after its machine was deleted, lost power or
restarted its agent epochs. Taking such a copy for current would place work on a machine that no
longer exists, renew a lease wrongly, or end a running task.
"""

from __future__ import annotations

import pytest

from crosscleat.core.model.cloud_calls import DeleteMachines
from crosscleat.core.model.effects import Response
from crosscleat.core.model.ids import MachineId
from crosscleat.core.model.worker_calls import DirectCommand

from .term import TOKEN, Term, recorded_job
from .world import LEASE_S


def test_a_machine_known_only_from_an_old_heartbeat_gets_no_work() -> None:
    term = Term()
    # The machine may have been deleted long ago, and this leader has no tombstone for it.
    term.receive_heartbeat((1, 40), token=TOKEN - 2)
    term.leader.tick(term.now)
    commands = term.outbox.take()
    assert any(isinstance(a, DirectCommand) and a.orders == () for a in commands), (
        "the leader requests a heartbeat directly"
    )
    assert not term.usable

    term.step(0.5)
    term.receive_heartbeat((1, 41))
    assert term.usable, "it shows the current token, so it is alive"


def test_an_old_heartbeat_does_not_bring_back_a_deleted_machine() -> None:
    term = Term()
    term.receive_heartbeat((1, 40))
    machine = term.leader.cluster.machines[MachineId("m-0")]
    term.leader.decommissioner.decommission(machine, "test")
    machine.decommission_recorded = True
    term.leader.tick(term.now)
    (delete,) = [e for e in term.outbox.take() if isinstance(e, DeleteMachines)]

    delete.continuation(True)

    # The heartbeat was in flight when the machine was deleted, and shows the current token.
    assert term.receive_heartbeat((1, 41)) == [Response(1, 503, None, 1)]
    assert term.leader.cluster.machines == {}


def test_a_late_heartbeat_copy_renews_nothing() -> None:
    term = Term()
    term.receive_heartbeat((1, 40))

    term.step(3.0)
    machine = term.leader.cluster.machines[MachineId("m-0")]
    before = (machine.last_heartbeat_at, machine.last_possible_renewal, machine.heartbeat_id)

    for heartbeat_id in ((1, 40), (1, 7)):
        assert term.receive_heartbeat(heartbeat_id) == [Response(1, 503, None, 1)]
    assert (
        machine.last_heartbeat_at,
        machine.last_possible_renewal,
        machine.heartbeat_id,
    ) == before


def test_heartbeats_delayed_by_a_partition_do_not_show_an_unresponsive_machine() -> None:
    term = Term()
    for sequence in range(1, 6):
        term.receive_heartbeat((1, sequence))
        term.step(2.0)
    term.step(LEASE_S + 1.0)
    # All arrive when the partition ends. The old ones get responses too, but no worker waits for
    # these.
    for heartbeat_id in ((1, 6), (1, 7), (2, 8)):
        term.receive_heartbeat(heartbeat_id)

    assert not term.decommissioning


@pytest.mark.parametrize("agent_epoch", [1, 4])
def test_a_machine_whose_agent_epochs_restart_is_returned(agent_epoch: int) -> None:
    job_records, placement_records = recorded_job(agent_epoch=4)
    term = Term(job_records, placement_records)
    term.receive_heartbeat((agent_epoch, 1), token=TOKEN - 1)
    assert not term.decommissioning, "the heartbeat may be an old copy"

    term.step(0.5)
    term.receive_heartbeat((agent_epoch, 2))
    assert term.decommissioning == (agent_epoch == 1)


def test_a_heartbeat_from_before_a_machine_restarted_proves_no_task_ended() -> None:
    # The machine reached epoch 3, lost power and restarted at 1; then a task was placed on it.
    term = Term(*recorded_job(agent_epoch=1))

    term.receive_heartbeat((1, 9))
    machine = term.leader.cluster.machines[MachineId("m-0")]

    assert machine.allocations
    assert term.receive_heartbeat((3, 52), token=TOKEN - 1) == [Response(1, 503, None, 1)]
    assert machine.allocations


def test_a_later_agent_epoch_proves_that_tasks_ended_once_it_shows_our_token() -> None:
    term = Term(*recorded_job(agent_epoch=1))
    term.receive_heartbeat((3, 52), token=TOKEN - 1)
    machine = term.leader.cluster.machines[MachineId("m-0")]
    assert machine.allocations, "the heartbeat may be a copy from before the machine lost power"

    term.step(0.5)
    term.receive_heartbeat((3, 53))
    assert not machine.allocations
