"""How a leader treats the tasks that a heartbeat lists."""

from __future__ import annotations

import msgspec
import pytest

from crosscleat.core.model.effects import LogRecord
from crosscleat.core.model.heartbeats import TaskStatus
from crosscleat.core.model.ids import AgentEpoch, Attempt, JobRef, MachineId, TaskId, Token, Zone
from crosscleat.core.model.worker_calls import (
    ClearOrder,
    DirectCommand,
    DirectReply,
    HeartbeatResponse,
)
from crosscleat.core.state.allocations import Allocation
from crosscleat.core.state.cluster import ClusterState
from crosscleat.core.state.machine import UNKNOWN_TYPE, UNKNOWN_ZONE, Machine

from .term import TOKEN, Term, recorded_job
from .world import job


@pytest.mark.parametrize(("cause", "cleared"), [("done", True), ("error", False)])
def test_a_directly_started_task_is_not_cleared_while_a_repeat_could_start_it_again(
    cause: str, cleared: bool
) -> None:
    term = Term(*recorded_job(agent_epoch=1))
    term.receive_heartbeat((1, 1))
    machine = term.leader.cluster.machines[MachineId("m-0")]
    term.leader.pending.send_soon(machine.id)
    term.leader.finish_step(term.now)
    (start,) = [e for e in term.outbox.take() if isinstance(e, DirectCommand) and e.orders]
    task = TaskStatus(TaskId(JobRef("job-1"), 0), Attempt(1), "running", None)
    start.continuation(DirectReply(term.heartbeat("m-0", (1, 2), tasks=(task,)), True))
    # The store does not name it any more; only a start in flight speaks against clearing it.
    ended = msgspec.structs.replace(task, state="exited", cause=cause)
    term.receive_heartbeat((1, 3), tasks=(ended,))
    for chunk in term.leader.jobs[JobRef("job-1")].chunks.values():
        chunk.recorded = frozenset()
    (answer,) = term.receive_heartbeat((1, 4), tasks=(ended,))
    assert isinstance(answer, HeartbeatResponse)
    assert any(isinstance(order, ClearOrder) for order in answer.orders) == cleared

    # A higher fencing token rules the repeat out.
    term.leader.term.election.token = Token(TOKEN + 5)
    (answer,) = term.receive_heartbeat((1, 5), token=TOKEN + 5, tasks=(ended,))
    assert isinstance(answer, HeartbeatResponse)
    assert any(isinstance(order, ClearOrder) for order in answer.orders)


def test_a_task_that_the_store_still_names_is_not_cleared() -> None:
    """The next leader would send a start for it to a worker that has forgotten it."""
    term = Term(*recorded_job(agent_epoch=1))
    ended = TaskStatus(TaskId(JobRef("job-1"), 0), Attempt(1), "exited", "done")
    for sequence, named in ((1, True), (2, True), (3, False)):
        if not named:
            for chunk in term.leader.jobs[JobRef("job-1")].chunks.values():
                chunk.recorded = frozenset()
        (answer,) = term.receive_heartbeat((1, sequence), tasks=(ended,))
        assert isinstance(answer, HeartbeatResponse)
        assert any(isinstance(order, ClearOrder) for order in answer.orders) != named


def test_unknown_states_causes_and_fields_are_logged_once_and_end_nothing() -> None:
    term = Term(*recorded_job(agent_epoch=1))
    term.receive_heartbeat((1, 1))
    odd = TaskStatus(TaskId(JobRef("job-1"), 0), Attempt(1), "dreaming", None)
    ended = TaskStatus(TaskId(JobRef("job-9"), 0), Attempt(1), "exited", "eaten")
    log_texts = []
    for sequence in range(2, 6):
        effects = term.receive_heartbeat((1, sequence), tasks=(odd, ended))
        log_texts += [effect.text for effect in effects if isinstance(effect, LogRecord)]
        assert any(isinstance(effect, HeartbeatResponse) for effect in effects)
    assert [text for text in log_texts if "unknown words" in text] == [
        "machine m-0 reports unknown words: 'dreaming', 'eaten'"
    ]

    machine = term.leader.cluster.machines[MachineId("m-0")]
    assert machine.allocations, "a task in an unknown state keeps its allocation"


def test_a_task_on_a_machine_that_only_a_record_names_may_be_in_any_zone() -> None:
    cluster = ClusterState()
    spec = job("job-1", tasks=2, spread=True)
    shell = Machine(MachineId("m-0"), UNKNOWN_TYPE, UNKNOWN_ZONE, False)
    task = TaskId(spec.ref, 0)
    allocation = Allocation(
        task,
        Attempt(1),
        spec,
        shell.id,
        UNKNOWN_ZONE,
        AgentEpoch(1),
        recorded=True,
        start_sent=True,
    )
    cluster.add(shell, allocation)
    assert not cluster.zone_allows(spec, Zone("a"))
    assert not cluster.zone_allows(spec, Zone("b"))

    cluster.remove(shell, allocation)
    allocation.zone = shell.zone = Zone("a")
    cluster.add(shell, allocation)
    assert not cluster.zone_allows(spec, Zone("a"))
    assert cluster.zone_allows(spec, Zone("b"))
