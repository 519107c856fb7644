"""What a single leader learns from heartbeats, and what it sends to workers and the cloud.

Guards against acting on incomplete knowledge: on attempts of earlier terms, delayed heartbeats,
stale contact with the store, or decisions that are not recorded yet.
"""

from __future__ import annotations

from crosscleat.core.capacity.pools import PoolKey, ScaleOutRequest
from crosscleat.core.control.leader import Leader
from crosscleat.core.election.term import MAX_START_CONTACT_AGE_S
from crosscleat.core.model.cloud_calls import DeleteMachines, Rent
from crosscleat.core.model.effects import Effect
from crosscleat.core.model.heartbeats import Heartbeat, TaskStatus
from crosscleat.core.model.ids import (
    AgentEpoch,
    Attempt,
    HeartbeatId,
    JobRef,
    MachineId,
    Seconds,
    TaskId,
    Token,
    Zone,
)
from crosscleat.core.model.worker_calls import HeartbeatResponse, StartOrder

from .term import TOKEN, Term, recorded_job
from .world import TYPES


def leader_with_recorded_task() -> Leader:
    """A new leader that has loaded the records of one task, with an estimate of 100 s."""
    return Term(*recorded_job(agent_epoch=1, estimate_s=100.0)).leader


def heartbeat(sequence: int, state: str, cause: str | None = None) -> Heartbeat:
    task = TaskStatus(TaskId(JobRef("job-1"), 0), Attempt(1), state, cause)
    return Heartbeat(
        MachineId("m-0"), "m-0", TYPES[0].name, Zone("a"), True,
        HeartbeatId(AgentEpoch(1), sequence), 9, None, (task,),
    )  # fmt: skip


def test_run_times_are_not_learned_from_attempts_placed_in_an_earlier_term() -> None:
    leader = leader_with_recorded_task()
    spec = leader.jobs[JobRef("job-1")].spec
    leader.receive_heartbeat(1, heartbeat(1, "running"), Seconds(50.5), relayed=False)

    leader.receive_heartbeat(2, heartbeat(2, "exited", "done"), Seconds(52.0), relayed=False)

    assert leader.jobs[JobRef("job-1")].complete
    # The task ran for far longer than the 1.5 s that this term has observed.
    assert leader.run_times.estimate(spec) == 100.0


def test_an_outdated_heartbeat_is_ignored() -> None:
    leader = leader_with_recorded_task()
    leader.receive_heartbeat(1, heartbeat(5, "running"), Seconds(50.5), relayed=False)

    leader.receive_heartbeat(2, heartbeat(4, "exited", "done"), Seconds(50.6), relayed=False)

    assert not leader.jobs[JobRef("job-1")].complete
    assert leader.jobs[JobRef("job-1")].placed_count() == 1


def count_starts(effects: list[Effect]) -> int:
    (answer,) = effects
    assert isinstance(answer, HeartbeatResponse)
    return sum(isinstance(order, StartOrder) for order in answer.orders)


def test_nothing_is_started_without_recent_contact_with_the_store() -> None:
    term = Term(*recorded_job(agent_epoch=1))
    assert count_starts(term.receive_heartbeat((1, 1))) == 1

    # The job may have been cancelled since; worker leases are still renewed until their deadline.
    term.now = term.leader.term.now = Seconds(term.now + MAX_START_CONTACT_AGE_S + 0.5)
    assert count_starts(term.receive_heartbeat((1, 2))) == 0

    term.step(0.1)
    assert count_starts(term.receive_heartbeat((1, 3))) == 1


def test_a_start_is_sent_only_to_the_agent_epoch_of_its_placement() -> None:
    term = Term(*recorded_job(agent_epoch=1))
    # A later agent epoch without the current token does not yet prove that the task has ended.
    assert count_starts(term.receive_heartbeat((2, 1), token=TOKEN - 1)) == 0
    assert term.leader.cluster.machines[MachineId("m-0")].allocations


def test_a_deletion_is_recorded_before_it_is_sent() -> None:
    term = Term()
    term.receive_heartbeat((1, 1))
    machine = term.leader.cluster.machines[MachineId("m-0")]
    term.leader.decommissioner.decommission(machine, "test")
    for recorded in (False, True):
        machine.decommission_recorded = recorded
        term.step(0.1)
        term.leader.tick(term.now)
        sent = [effect for effect in term.outbox.take() if isinstance(effect, DeleteMachines)]
        assert bool(sent) == recorded


def test_two_terms_never_use_the_same_rental_name() -> None:
    names = []
    for token in (TOKEN, TOKEN + 1):
        term = Term()
        term.leader.term.initial_token = Token(token)
        for _ in range(2):
            pool = PoolKey(TYPES[0].name, Zone("a"), True)
            term.leader.autoscaler.rent(ScaleOutRequest(pool, 1))
        names += [effect.name for effect in term.outbox.take() if isinstance(effect, Rent)]

    assert len(names) == len(set(names)) == 4
