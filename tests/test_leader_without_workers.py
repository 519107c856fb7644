"""A leader resigns if it cannot reach its workers, or they cannot reach it.

Workers stop their tasks when their leases expire, so a leader that is cut off from them, but not
from the store, would lose all work. It must resign in time, but not while a worker still reaches
it, after a suspension of its own process, or while workers switch to it.
"""

from __future__ import annotations

from crosscleat.core.model.cloud import ListedMachine
from crosscleat.core.model.ids import MachineId, Zone
from crosscleat.core.model.worker_calls import DirectCommand, DirectReply
from crosscleat.core.state.machine import Machine

from .term import Term, recorded_job
from .world import LEASE_S, TYPES


def test_a_leader_that_no_worker_reaches_resigns() -> None:
    term = Term()
    listed = [
        ListedMachine(MachineId(f"m-{n}"), f"m-{n}", TYPES[1].name, Zone("a"), True, "running", 9)
        for n in range(5)
    ]
    term.leader.machine_list.receive(listed)
    term.leader.tick(term.now)
    requests = [effect for effect in term.outbox.take() if isinstance(effect, DirectCommand)]
    assert len(requests) == 5

    for request in requests[:4]:
        request.continuation(DirectReply(None, False))
    # While a single worker reaches the leader directly, it must not resign.
    term.step(6.0)
    term.receive_heartbeat((1, 1), relayed=False)
    term.leader.tick(term.now)
    assert term.resignations == []

    for request in requests[:4]:
        request.continuation(DirectReply(None, False))
    term.step(6.0)
    term.receive_heartbeat((1, 2), relayed=True)
    term.leader.tick(term.now)
    assert term.resignations == ["no worker can reach this controller"]


def test_a_leader_of_many_machines_resigns_soon_without_heartbeats() -> None:
    term = Term()
    types = term.leader.fleet.types
    for n in range(100):
        machine = Machine(MachineId(f"m-{n}"), types[TYPES[0].name], Zone("a"), True)
        machine.has_sent_heartbeat = True
        machine.last_heartbeat_at = machine.created_at = term.now
        term.leader.cluster.machines[machine.id] = machine
    # A process that was suspended has received nothing, which does not make its workers silent.
    term.step(4.0)
    term.leader.tick(term.now)
    assert term.resignations == []

    for _ in range(9):
        term.step(0.01)
        term.leader.tick(term.now)
    assert term.resignations == ["no worker can reach this controller"]


def test_a_leader_whose_responses_reach_no_worker_resigns_and_returns_no_machine() -> None:
    term = Term()
    for n in range(10):
        machine = Machine(MachineId(f"m-{n}"), TYPES[0], Zone("a"), True)
        machine.has_sent_heartbeat = True
        machine.last_heartbeat_at = machine.created_at = term.now
        machine.unresponsive_since = term.now
        term.leader.cluster.machines[machine.id] = machine
    term.step(2.5)
    for machine in term.leader.cluster.machines.values():
        machine.last_heartbeat_at = term.now

    term.leader.tick(term.now)

    assert term.resignations == ["no worker receives our responses"]
    assert not any(machine.decommissioning for machine in term.leader.cluster.machines.values())


def busy_term(machines: int) -> Term:
    """A leader with many machines that have sent heartbeats; earlier effects are discarded."""
    term = Term()
    for number in range(machines):
        term.receive_heartbeat((1, 1), machine=f"m-{number}")
    term.leader.tick(term.now)
    term.outbox.take()
    return term


def heartbeats_requested_in(term: Term, seconds: float, answers: bool) -> int:
    """Let time pass without heartbeats; return how many the leader requested directly."""
    requested = 0
    for _ in range(int(seconds / 0.1)):
        term.step(0.1)
        term.leader.tick(term.now)
        for effect in term.outbox.take():
            if isinstance(effect, DirectCommand) and effect.orders == ():
                requested += 1
                if answers:
                    report = term.heartbeat(effect.address, (1, 1 + requested))
                    effect.continuation(DirectReply(report, True))
    return requested


def test_a_leader_that_workers_answer_waits_for_their_heartbeats() -> None:
    # All workers used a controller that ended; each takes up to 5 s to switch to another.
    term = busy_term(100)
    assert heartbeats_requested_in(term, 4.5, answers=True) > 0
    assert term.resignations == []
    # But a leader to which no worker sends heartbeats must resign, even if they answer requests.
    heartbeats_requested_in(term, LEASE_S, answers=True)
    assert term.resignations[:1] == ["no worker can reach this controller"]


def test_a_leader_that_no_worker_answers_resigns_soon() -> None:
    term = busy_term(100)
    heartbeats_requested_in(term, 1.5, answers=False)

    assert term.resignations[:1] == ["no worker can reach this controller"]


def test_a_new_leader_requests_heartbeats_in_batches_with_free_machines_first() -> None:
    job_records, placement_records = recorded_job(agent_epoch=1)
    term = Term(job_records, placement_records)
    listed = [
        ListedMachine(MachineId(f"m-{n}"), f"m-{n}", TYPES[1].name, Zone("a"), True, "running", 9)
        for n in range(1000)
    ]
    term.leader.machine_list.receive(listed)
    assert not any(isinstance(effect, DirectCommand) for effect in term.outbox.take())

    requested = []
    for _ in range(50):
        term.step(0.1)
        term.leader.tick(term.now)
        batch = [e.address for e in term.outbox.take() if isinstance(e, DirectCommand)]
        assert len(batch) <= 50
        requested += batch
    assert sorted(requested) == sorted(machine.address for machine in listed)
    assert requested[-1] == "m-0", "the only machine known to have a task comes last"
