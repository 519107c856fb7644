"""How a leader treats the tasks that a heartbeat lists.

Clearing an exited task too early makes the worker forget it, so that a repeated start runs it
again. Unknown states and causes, which newer workers may send, must not end a task.
"""

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
    # The store no longer records it; only the start that may be repeated prevents clearing it.
    ended = msgspec.structs.replace(task, state="exited", cause=cause)
    term.receive_heartbeat((1, 3), tasks=(ended,))
    for chunk in term.leader.jobs[JobRef("job-1")].chunks.values():
        chunk.recorded = frozenset()
    (answer,) = term.receive_heartbeat((1, 4), tasks=(ended,))
    assert isinstance(answer, HeartbeatResponse)
    assert any(isinstance(order, ClearOrder) for order in answer.orders) == cleared

    # A higher fencing token rules out the repeat.
    term.leader.term.election.token = Token(TOKEN + 5)
    (answer,) = term.receive_heartbeat((1, 5), token=TOKEN + 5, tasks=(ended,))
    assert isinstance(answer, HeartbeatResponse)
    assert any(isinstance(order, ClearOrder) for order in answer.orders)


def test_a_task_that_the_store_still_records_is_not_cleared() -> None:
    """Otherwise the next leader would start it again on a worker that has forgotten it."""
    term = Term(*recorded_job(agent_epoch=1))
    ended = TaskStatus(TaskId(JobRef("job-1"), 0), Attempt(1), "exited", "done")
    for sequence, recorded_in_store in ((1, True), (2, True), (3, False)):
        if not recorded_in_store:
            for chunk in term.leader.jobs[JobRef("job-1")].chunks.values():
                chunk.recorded = frozenset()
        (answer,) = term.receive_heartbeat((1, sequence), tasks=(ended,))
        assert isinstance(answer, HeartbeatResponse)
        assert any(isinstance(order, ClearOrder) for order in answer.orders) != recorded_in_store


def test_unknown_states_causes_and_fields_are_logged_once_and_end_nothing() -> None:
    term = Term(*recorded_job(agent_epoch=1))
    term.receive_heartbeat((1, 1))
    unknown_state = TaskStatus(TaskId(JobRef("job-1"), 0), Attempt(1), "dreaming", None)
    ended = TaskStatus(TaskId(JobRef("job-9"), 0), Attempt(1), "exited", "eaten")
    log_texts = []
    for sequence in range(2, 6):
        effects = term.receive_heartbeat((1, sequence), tasks=(unknown_state, ended))
        log_texts += [effect.text for effect in effects if isinstance(effect, LogRecord)]
        assert any(isinstance(effect, HeartbeatResponse) for effect in effects)
    assert [text for text in log_texts if "unknown task states" in text] == [
        "machine m-0 reports unknown task states or causes: 'dreaming', 'eaten'"
    ]

    machine = term.leader.cluster.machines[MachineId("m-0")]
    assert machine.allocations, "a task in an unknown state keeps its allocation"


def test_a_task_on_a_machine_known_only_from_a_record_may_be_in_any_zone() -> None:
    cluster = ClusterState()
    spec = job("job-1", tasks=2, spread=True)
    unknown_machine = Machine(MachineId("m-0"), UNKNOWN_TYPE, UNKNOWN_ZONE, False)
    task = TaskId(spec.ref, 0)
    allocation = Allocation(
        task,
        Attempt(1),
        spec,
        unknown_machine.id,
        UNKNOWN_ZONE,
        AgentEpoch(1),
        recorded=True,
        start_sent=True,
    )
    cluster.add(unknown_machine, allocation)
    assert not cluster.zone_allows(spec, Zone("a"))
    assert not cluster.zone_allows(spec, Zone("b"))

    cluster.remove(unknown_machine, allocation)
    allocation.zone = unknown_machine.zone = Zone("a")
    cluster.add(unknown_machine, allocation)
    assert not cluster.zone_allows(spec, Zone("a"))
    assert cluster.zone_allows(spec, Zone("b"))
