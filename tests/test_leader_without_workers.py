"""When a leader that workers do not reach, or that does not reach them, resigns."""

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
    greetings = [effect for effect in term.outbox.take() if isinstance(effect, DirectCommand)]
    assert len(greetings) == 5
    for greeting in greetings[:4]:
        greeting.continuation(DirectReply(None, False))
    # A single one that hears us speaks against it.
    term.step(6.0)
    term.receive_heartbeat((1, 1), relayed=False)
    term.leader.tick(term.now)
    assert term.resignations == []
    for greeting in greetings[:4]:
        greeting.continuation(DirectReply(None, False))
    term.step(6.0)
    term.receive_heartbeat((1, 2), relayed=True)
    term.leader.tick(term.now)
    assert term.resignations == ["no worker reaches us"]


def test_a_leader_of_many_machines_resigns_soon_without_heartbeats() -> None:
    term = Term()
    types = term.leader.fleet.types
    for n in range(100):
        one = Machine(MachineId(f"m-{n}"), types[TYPES[0].name], Zone("a"), True)
        one.has_sent_heartbeat = True
        one.last_heartbeat_at = one.created_at = term.now
        term.leader.cluster.machines[one.id] = one
    # A process that stood still for a while has not listened: that is no silence.
    term.step(4.0)
    term.leader.tick(term.now)
    assert term.resignations == []
    for _ in range(9):
        term.step(0.01)
        term.leader.tick(term.now)
    assert term.resignations == ["no worker reaches us"]


def test_a_leader_whose_responses_reach_no_worker_resigns_and_returns_no_machine() -> None:
    term = Term()
    for n in range(10):
        one = Machine(MachineId(f"m-{n}"), TYPES[0], Zone("a"), True)
        one.has_sent_heartbeat = True
        one.last_heartbeat_at = one.created_at = term.now
        one.unresponsive_since = term.now
        term.leader.cluster.machines[one.id] = one
    term.step(2.5)
    for one in term.leader.cluster.machines.values():
        one.last_heartbeat_at = term.now
    term.leader.tick(term.now)
    assert term.resignations == ["no worker receives our answers"]
    assert not any(one.decommissioning for one in term.leader.cluster.machines.values())


def busy_term(machines: int) -> Term:
    """A leader to which many machines have reported; what it sent meanwhile is forgotten."""
    term = Term()
    for number in range(machines):
        term.receive_heartbeat((1, 1), machine=f"m-{number}")
    term.leader.tick(term.now)
    term.outbox.take()
    return term


def seconds_alone(term: Term, seconds: float, answers: bool) -> int:
    """Time passes without check-ins; how many machines were greeted."""
    greeted = 0
    for _ in range(int(seconds / 0.1)):
        term.step(0.1)
        term.leader.tick(term.now)
        for effect in term.outbox.take():
            if isinstance(effect, DirectCommand) and effect.orders == ():
                greeted += 1
                if answers:
                    report = term.heartbeat(effect.address, (1, 1 + greeted))
                    effect.continuation(DirectReply(report, True))
    return greeted


def test_a_leader_that_workers_answer_waits_for_their_heartbeats() -> None:
    # All were with a controller that ended; each takes up to 5 s to turn to another.
    term = busy_term(100)
    assert seconds_alone(term, 4.5, answers=True) > 0
    assert term.resignations == []
    # But a leader that nobody turns to is of no use, whatever they answer.
    seconds_alone(term, LEASE_S, answers=True)
    assert term.resignations[:1] == ["no worker reaches us"]


def test_a_leader_that_no_worker_answers_resigns_soon() -> None:
    term = busy_term(100)
    seconds_alone(term, 1.5, answers=False)
    assert term.resignations[:1] == ["no worker reaches us"]


def test_a_new_leader_requests_heartbeats_in_batches_with_free_machines_first() -> None:
    live, work = recorded_job(agent_epoch=1)
    term = Term(live, work)
    listed = [
        ListedMachine(MachineId(f"m-{n}"), f"m-{n}", TYPES[1].name, Zone("a"), True, "running", 9)
        for n in range(1000)
    ]
    term.leader.machine_list.receive(listed)
    assert not any(isinstance(effect, DirectCommand) for effect in term.outbox.take())
    greeted = []
    for _ in range(50):
        term.step(0.1)
        term.leader.tick(term.now)
        batch = [e.address for e in term.outbox.take() if isinstance(e, DirectCommand)]
        assert len(batch) <= 50
        greeted += batch
    assert sorted(greeted) == sorted(machine.address for machine in listed)
    assert greeted[-1] == "m-0", "the only one that is known to hold a task"
