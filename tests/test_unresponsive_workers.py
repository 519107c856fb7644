"""Machines that are heard but do not hear, old copies of reports, and names that begin anew."""

from __future__ import annotations

import msgspec
import pytest

from crosscleat.core.model.cloud import ListedMachine
from crosscleat.core.model.cloud_calls import DeleteMachines
from crosscleat.core.model.effects import LogRecord, Response
from crosscleat.core.model.heartbeats import TaskStatus
from crosscleat.core.model.ids import (
    AgentEpoch,
    Attempt,
    JobRef,
    MachineId,
    TaskId,
    Team,
    Token,
    Zone,
)
from crosscleat.core.model.worker_calls import ClearOrder, DirectCommand, HeartbeatResponse
from crosscleat.core.state.allocations import Allocation
from crosscleat.core.state.cluster import ClusterState
from crosscleat.core.state.machine import NOWHERE, UNKNOWN_TYPE, Machine

from .term import TOKEN, Term, held
from .world import LEASE_S, MEMBERS, TYPES, World, at_work, job


def test_a_machine_of_which_only_an_old_copy_speaks_gets_no_work() -> None:
    term = Term()
    # It may have been deleted long ago: no tombstone of ours tells.
    term.hear((1, 40), token=TOKEN - 2)
    term.leader.tick(term.now)
    asked = term.out.take()
    assert any(isinstance(a, DirectCommand) and a.orders == () for a in asked), "asks it directly"
    assert not term.usable
    term.step(0.5)
    term.hear((1, 41))
    assert term.usable, "it has seen our token, so it lives"


def test_an_old_report_does_not_bring_back_a_machine_that_we_deleted() -> None:
    term = Term()
    term.hear((1, 40))
    machine = term.leader.cluster.machines[MachineId("m-0")]
    term.leader.decommissioner.decommission(machine, "test")
    machine.decommission_recorded = True
    term.leader.tick(term.now)
    (delete,) = [e for e in term.out.take() if isinstance(e, DeleteMachines)]
    delete.continuation(True)
    # It was on its way when the machine was deleted, and shows our token.
    assert term.hear((1, 41)) == [Response(1, 503, None, 1)]
    assert term.leader.cluster.machines == {}


def test_a_late_copy_renews_nothing() -> None:
    term = Term()
    term.hear((1, 40))
    term.step(3.0)
    machine = term.leader.cluster.machines[MachineId("m-0")]
    before = (machine.last_heard, machine.last_answer, machine.heartbeat_id)
    for seen in ((1, 40), (1, 7)):
        assert term.hear(seen) == [Response(1, 503, None, 1)]
    assert (machine.last_heard, machine.last_answer, machine.heartbeat_id) == before


def test_a_session_that_ended_though_it_was_answered_shows_a_machine_that_is_deaf() -> None:
    term = Term()
    for sequence in range(1, 6):
        (answer,) = term.hear((1, sequence))
        assert isinstance(answer, HeartbeatResponse)
        term.step(2.0)
    assert term.usable
    term.hear((2, 6))
    assert term.decommissioning


def test_a_session_that_ended_in_a_cut_is_no_sign_of_deafness() -> None:
    term = Term()
    term.hear((1, 1))
    term.step(LEASE_S + 1.0)
    term.hear((2, 2))
    assert not term.decommissioning


def test_reports_held_up_in_a_cut_are_no_sign_of_deafness() -> None:
    term = Term()
    for sequence in range(1, 6):
        term.hear((1, sequence))
        term.step(2.0)
    term.step(LEASE_S + 1.0)
    # All at once, when the cut ends: we answer the old ones too, but nobody waits for that.
    for seen in ((1, 6), (1, 7), (2, 8)):
        term.hear(seen)
    assert not term.decommissioning


@pytest.mark.parametrize("agent_epoch", [1, 4])
def test_a_machine_that_counts_its_sessions_anew_is_returned(agent_epoch: int) -> None:
    live, work = held(agent_epoch=4)
    term = Term(live, work)
    term.hear((agent_epoch, 1), token=TOKEN - 1)
    assert not term.decommissioning, "it may be an old copy"
    term.step(0.5)
    term.hear((agent_epoch, 2))
    assert term.decommissioning == (agent_epoch == 1)


def test_a_leader_whom_no_worker_can_reach_lets_a_follower_lead() -> None:
    term = Term()
    listed = [
        ListedMachine(MachineId(f"m-{n}"), f"m-{n}", TYPES[1].name, Zone("a"), True, "running", 9)
        for n in range(5)
    ]
    term.leader.machines.listed(listed)
    term.leader.tick(term.now)
    greetings = [effect for effect in term.out.take() if isinstance(effect, DirectCommand)]
    assert len(greetings) == 5
    for greeting in greetings[:4]:
        greeting.continuation(None, False)
    # A single one that hears us speaks against it.
    term.step(6.0)
    term.hear((1, 1), relayed=False)
    term.leader.tick(term.now)
    assert term.lost == []
    for greeting in greetings[:4]:
        greeting.continuation(None, False)
    term.step(6.0)
    term.hear((1, 2), relayed=True)
    term.leader.tick(term.now)
    assert term.lost == ["no worker reaches us"]


def test_a_leader_of_many_machines_notices_soon_that_it_hears_none() -> None:
    term = Term()
    types = term.leader.fleet.types
    for n in range(100):
        one = Machine(MachineId(f"m-{n}"), types[TYPES[0].name], Zone("a"), True)
        one.up = True
        one.last_heard = one.created_at = term.now
        term.leader.cluster.machines[one.id] = one
    # A process that stood still for a while has not listened: that is no silence.
    term.step(4.0)
    term.leader.tick(term.now)
    assert term.lost == []
    for _ in range(9):
        term.step(0.01)
        term.leader.tick(term.now)
    assert term.lost == ["no worker reaches us"]


def test_a_leader_whose_answers_reach_no_worker_returns_none_and_resigns() -> None:
    term = Term()
    for n in range(10):
        one = Machine(MachineId(f"m-{n}"), TYPES[0], Zone("a"), True)
        one.up = True
        one.last_heard = one.created_at = term.now
        one.unresponsive_since = term.now
        term.leader.cluster.machines[one.id] = one
    term.step(2.5)
    for one in term.leader.cluster.machines.values():
        one.last_heard = term.now
    term.leader.tick(term.now)
    assert term.lost == ["no worker hears us"]
    assert not any(one.decommissioning for one in term.leader.cluster.machines.values())


@pytest.fixture
def busy() -> World:
    return at_work(estimate_s=60.0, for_s=15.0)


def hosts(world: World) -> list[str]:
    return [name for name, worker in world.workers.items() if worker.tasks]


def test_work_on_a_machine_that_hears_nothing_is_done_elsewhere(busy: World) -> None:
    name = hosts(busy)[0]
    busy.network.unheard.update((member, name) for member in MEMBERS)
    busy.clock.advance(LEASE_S + 10.0)
    assert busy.workers[name].gone, "returned, so that it holds nothing any more"
    busy.clock.advance(120.0)
    busy.users.query("job-long")
    busy.clock.advance(1.0)
    assert busy.told_final == {"job-long": "done"}


def test_a_machine_that_only_direct_messages_do_not_reach_stays_of_use(busy: World) -> None:
    name = hosts(busy)[0]
    busy.no_direct.update(busy.workers)
    for number in range(4):
        busy.users.submit(job(f"job-{number}", tasks=2, estimate_s=3.0, team=Team("blue")))
        busy.clock.advance(12.0)
    assert not busy.workers[name].gone
    for number in range(4):
        busy.users.query(f"job-{number}")
    busy.clock.advance(1.0)
    assert set(busy.told_final) >= {f"job-{number}" for number in range(4)}


def test_a_machine_that_looks_for_a_controller_is_asked_after_before_it_is_given_up(
    busy: World,
) -> None:
    leader = next(m for m, p in busy.processes.items() if p and p.controller.leader)
    name = hosts(busy)[0]
    worker = busy.workers[name]
    # It waits for answers of two controllers in turn: longer than silence is borne with, but not
    # yet longer than its lease.
    reachable = next(m for m in MEMBERS if m != leader)
    worker.node = MEMBERS.index(reachable) + 1
    for member in MEMBERS:
        if member != reachable:
            busy.network.cut(name, member, "hold")
    held = set(worker.tasks)
    busy.clock.advance(8.0)
    assert not worker.gone and held <= set(worker.tasks)


def test_a_copy_from_before_a_machine_began_anew_proves_nothing_gone() -> None:
    # It had come to session 3, lost power, and counts from 1 again; a task was placed there since.
    term = Term(*held(agent_epoch=1))
    term.hear((1, 9))
    machine = term.leader.cluster.machines[MachineId("m-0")]
    assert machine.allocations
    assert term.hear((3, 52), token=TOKEN - 1) == [Response(1, 503, None, 1)]
    assert machine.allocations


def test_a_later_session_proves_the_end_of_tasks_once_it_shows_our_token() -> None:
    term = Term(*held(agent_epoch=1))
    term.hear((3, 52), token=TOKEN - 1)
    machine = term.leader.cluster.machines[MachineId("m-0")]
    assert machine.allocations, "it may be a copy from before the machine lost power"
    term.step(0.5)
    term.hear((3, 53))
    assert not machine.allocations


@pytest.mark.parametrize(("cause", "cleared"), [("done", True), ("error", False)])
def test_what_was_started_directly_is_not_cleared_while_a_repeat_could_start_it_again(
    cause: str, cleared: bool
) -> None:
    term = Term(*held(agent_epoch=1))
    term.hear((1, 1))
    machine = term.leader.cluster.machines[MachineId("m-0")]
    term.leader.pending.send_soon(machine.id)
    term.leader.finish_step(term.now)
    (start,) = [e for e in term.out.take() if isinstance(e, DirectCommand) and e.orders]
    task = TaskStatus(TaskId(JobRef("job-1"), 0), Attempt(1), "running", None)
    start.continuation(term.heartbeat("m-0", (1, 2), tasks=(task,)), True)
    # The store has it no longer; only what may still be on its way speaks against clearing.
    ended = msgspec.structs.replace(task, state="exited", cause=cause)
    term.hear((1, 3), tasks=(ended,))
    for chunk in term.leader.jobs[JobRef("job-1")].chunks.values():
        chunk.recorded = frozenset()
    (answer,) = term.hear((1, 4), tasks=(ended,))
    assert isinstance(answer, HeartbeatResponse)
    assert any(isinstance(order, ClearOrder) for order in answer.orders) == cleared
    # A higher token rules the repeat out.
    term.leader.election.token = Token(TOKEN + 5)
    (answer,) = term.hear((1, 5), token=TOKEN + 5, tasks=(ended,))
    assert isinstance(answer, HeartbeatResponse)
    assert any(isinstance(order, ClearOrder) for order in answer.orders)


def busy_term(machines: int) -> Term:
    """A leader to which many machines have reported; what it sent meanwhile is forgotten."""
    term = Term()
    for number in range(machines):
        term.hear((1, 1), machine=f"m-{number}")
    term.leader.tick(term.now)
    term.out.take()
    return term


def seconds_alone(term: Term, seconds: float, answers: bool) -> int:
    """Time passes without check-ins; how many machines were greeted."""
    greeted = 0
    for _ in range(int(seconds / 0.1)):
        term.step(0.1)
        term.leader.tick(term.now)
        for effect in term.out.take():
            if isinstance(effect, DirectCommand) and effect.orders == ():
                greeted += 1
                if answers:
                    effect.continuation(term.heartbeat(effect.address, (1, 1 + greeted)), True)
    return greeted


def test_a_leader_that_workers_answer_waits_for_them_to_find_it() -> None:
    # All were with a controller that ended; each takes up to 5 s to turn to another.
    term = busy_term(100)
    assert seconds_alone(term, 4.5, answers=True) > 0
    assert term.lost == []
    # But a leader that nobody turns to is of no use, whatever they answer.
    seconds_alone(term, LEASE_S, answers=True)
    assert term.lost[:1] == ["no worker reaches us"]


def test_a_leader_that_no_worker_answers_resigns_soon() -> None:
    term = busy_term(100)
    seconds_alone(term, 1.5, answers=False)
    assert term.lost[:1] == ["no worker reaches us"]


def test_a_zone_that_is_cut_off_hides_no_end_elsewhere_and_is_not_returned() -> None:
    term = Term()
    for number in range(60):
        one = Machine(MachineId(f"m-{number}"), TYPES[0], Zone("ab"[number % 2]), True)
        one.up = True
        one.last_heard = one.created_at = term.now
        term.leader.cluster.machines[one.id] = one
    for _ in range(int(LEASE_S / 0.1)):
        term.step(0.1)
        for number in range(2, 60, 2):
            term.leader.cluster.machines[MachineId(f"m-{number}")].last_heard = term.now
        term.leader.tick(term.now)
    dropped = {m.id for m in term.leader.cluster.machines.values() if m.decommissioning}
    assert dropped == {"m-0"}, "the one in zone a; all of zone b may come back"


def test_a_new_leader_greets_its_machines_a_few_at_a_time_those_with_room_first() -> None:
    live, work = held(agent_epoch=1)
    term = Term(live, work)
    listed = [
        ListedMachine(MachineId(f"m-{n}"), f"m-{n}", TYPES[1].name, Zone("a"), True, "running", 9)
        for n in range(1000)
    ]
    term.leader.machines.listed(listed)
    assert not any(isinstance(effect, DirectCommand) for effect in term.out.take())
    greeted = []
    for _ in range(50):
        term.step(0.1)
        term.leader.tick(term.now)
        batch = [e.address for e in term.out.take() if isinstance(e, DirectCommand)]
        assert len(batch) <= 50
        greeted += batch
    assert sorted(greeted) == sorted(machine.address for machine in listed)
    assert greeted[-1] == "m-0", "the only one that is known to hold a task"


def test_what_the_store_still_names_is_not_cleared() -> None:
    """The next leader would send a start for it, and the worker would know nothing of it."""
    term = Term(*held(agent_epoch=1))
    ended = TaskStatus(TaskId(JobRef("job-1"), 0), Attempt(1), "exited", "done")
    for sequence, named in ((1, True), (2, True), (3, False)):
        if not named:
            for chunk in term.leader.jobs[JobRef("job-1")].chunks.values():
                chunk.recorded = frozenset()
        (answer,) = term.hear((1, sequence), tasks=(ended,))
        assert isinstance(answer, HeartbeatResponse)
        assert any(isinstance(order, ClearOrder) for order in answer.orders) != named


def test_a_task_on_a_machine_that_only_a_record_names_may_be_in_any_zone() -> None:
    cluster = ClusterState()
    spec = job("job-1", tasks=2, spread=True)
    shell = Machine(MachineId("m-0"), UNKNOWN_TYPE, NOWHERE, False)
    task = TaskId(spec.ref, 0)
    allocation = Allocation(
        task, Attempt(1), spec, shell.id, NOWHERE, AgentEpoch(1), recorded=True, sent=True
    )
    cluster.add(shell, allocation)
    assert not cluster.zone_allows(spec, Zone("a")) and not cluster.zone_allows(spec, Zone("b"))
    cluster.remove(shell, allocation)
    allocation.zone = shell.zone = Zone("a")
    cluster.add(shell, allocation)
    assert not cluster.zone_allows(spec, Zone("a")) and cluster.zone_allows(spec, Zone("b"))


def test_unknown_states_causes_and_fields_are_logged_once_and_end_nothing() -> None:
    term = Term(*held(agent_epoch=1))
    term.hear((1, 1))
    odd = TaskStatus(TaskId(JobRef("job-1"), 0), Attempt(1), "dreaming", None)
    ended = TaskStatus(TaskId(JobRef("job-9"), 0), Attempt(1), "exited", "eaten")
    notes = []
    for sequence in range(2, 6):
        effects = term.hear((1, sequence), tasks=(odd, ended))
        notes += [effect.text for effect in effects if isinstance(effect, LogRecord)]
        assert any(isinstance(effect, HeartbeatResponse) for effect in effects)
    assert [log for log in notes if "unknown words" in log] == [
        "machine m-0 reports unknown words: 'dreaming', 'eaten'"
    ]
    machine = term.leader.cluster.machines[MachineId("m-0")]
    assert machine.allocations, "what is in an unknown state is on its machine"
