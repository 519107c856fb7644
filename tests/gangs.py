"""Sets up gangs for the tests, in the simulated world or with a leader on its own."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from crosscleat.core.model.heartbeats import TaskStatus
from crosscleat.core.model.ids import (
    AgentEpoch,
    Attempt,
    JobRef,
    MachineId,
    Seconds,
    TaskId,
    Team,
    Version,
    WallTime,
)
from crosscleat.core.model.job_spec import Shape
from crosscleat.core.model.store_calls import Item
from crosscleat.core.model.worker_calls import DirectCommand, StartOrder
from crosscleat.core.state.job_records import live_record
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine
from crosscleat.core.state.placement_records import PlacementRecords

from .term import Term
from .world import World, job

seeds = pytest.mark.parametrize("seed", range(3))


def world_with_gangs(
    seed: int, estimate_s: float = 10.0, count: int = 3, one_zone: bool = True
) -> World:
    world = World(seed)
    world.boot_failure_chance = 0.0
    world.clock.advance(3.0)
    for number in range(count):
        world.users.submit(
            job(
                f"job-{number}",
                tasks=3,
                estimate_s=estimate_s,
                team=Team("blue"),
                shape=Shape.GANG,
                one_zone=one_zone,
            )
        )
    world.clock.advance(15.0)
    for worker in world.workers.values():
        worker.faulty = False
    return world


def finished_jobs(world: World) -> set[str]:
    return {ref for ref, status in world.final_statuses.items() if status == "done"}


def gang_term(tasks: int = 2) -> Term:
    """A leader with a gang that waits to be placed, and one machine that has sent a heartbeat."""
    term = Term()
    term.receive_heartbeat((1, 1))
    spec = job("job-g", tasks=tasks, cpus=1.0, estimate_s=30.0, shape=Shape.GANG)
    gang = Job(spec, Version(3), term.now)
    term.leader.jobs[JobRef("job-g")] = gang
    return term


def record_all(gang: Job, machine: Machine) -> None:
    """Mark all allocations of the gang as recorded; all of them are on this machine."""
    for allocation in machine.allocations.values():
        allocation.recorded = True
    for chunk in gang.chunks.values():
        chunk.recorded = chunk.known_placements()


def start_orders(term: Term, machine: Machine) -> list[StartOrder]:
    orders = term.leader.commands.build_orders(machine, term.now, 1)
    return [order for order in orders if isinstance(order, StartOrder)]


def new_leader_with_gang(recorded: int, tasks: int = 2) -> Term:
    """A new leader that has read placements of `recorded` tasks of a gang, all on m-0."""
    earlier_job = Job(
        job("job-g", tasks=tasks, cpus=1.0, shape=Shape.GANG), Version(3), Seconds(0.0)
    )
    records = PlacementRecords(16.0, 8, True)
    for _ in range(recorded):
        task, _ = earlier_job.place(MachineId("m-0"), AgentEpoch(1))
        records.record_for(earlier_job, earlier_job.chunk_of(task.number))
    live = Item(
        "live/job-g", live_record(earlier_job.spec, WallTime(-40.0), cancelled=False), Version(3)
    )
    return Term([live], [Item(r.key, r.value(), Version(4)) for r in records])


def task_status(number: int, state: str, cause: str | None = None, attempt: int = 1) -> TaskStatus:
    return TaskStatus(TaskId(JobRef("job-g"), number), Attempt(attempt), state, cause)


def send_direct_start(term: Term, gang: Job, machine: Machine) -> DirectCommand:
    """Place the two tasks of the gang on the machine and send their start as a direct command."""
    term.leader.placer.place_gang(gang, [machine, machine])
    record_all(gang, machine)
    term.outbox.take()
    term.leader.pending.send_soon(machine.id)
    term.leader.commands.send_direct(term.now)
    (start,) = [effect for effect in term.outbox.take() if isinstance(effect, DirectCommand)]
    return start


def gang_on_two_machines(tasks: int = 2) -> tuple[Term, Job]:
    """A gang with its first task on m-0 and the others on m-1, all recorded and waiting."""
    term = gang_term(tasks)
    term.receive_heartbeat((1, 1), machine="m-1")
    gang = term.leader.jobs[JobRef("job-g")]
    machines = [term.leader.cluster.machines[MachineId(f"m-{n}")] for n in range(2)]
    term.leader.placer.place_gang(gang, [machines[0], *[machines[1]] * (tasks - 1)])
    for machine in machines:
        for allocation in machine.allocations.values():
            allocation.recorded = allocation.start_sent = True
    for chunk in gang.chunks.values():
        chunk.recorded = chunk.known_placements()
    term.receive_heartbeat((1, 2), tasks=(task_status(0, "waiting"),))
    term.receive_heartbeat((1, 2), machine="m-1", tasks=(task_status(1, "fetching"),))
    machines[0].used_cpus = machines[0].type.cpus
    return term, gang


def placements(term: Term) -> dict[str, list[tuple[int, int]]]:
    """Number and attempt of the tasks on each machine, without those that are being stopped."""
    return {
        machine.id: [
            (allocation.task.number, allocation.attempt)
            for allocation in machine.allocations.values()
            if not allocation.stopping
        ]
        for machine in term.leader.cluster.machines.values()
    }


def send_reclaim_notice(
    term: Term, machine: str, sequence: int, notice_s: float, tasks: tuple[TaskStatus, ...]
) -> None:
    heartbeat = msgspec.structs.replace(
        term.heartbeat(machine, (1, sequence), tasks=tasks), notice_s=notice_s
    )
    term.leader.receive_heartbeat(1, heartbeat, term.now, False)


def stopping_tasks(term: Term) -> dict[str, float]:
    """The grace period, in seconds, of each task that is being stopped."""
    return {
        str(allocation.task): allocation.grace_s
        for machine in term.leader.cluster.machines.values()
        for allocation in machine.allocations.values()
        if allocation.stopping
    }


def running_gang(**changes: Any) -> tuple[Term, Job]:
    term, gang = gang_on_two_machines()
    fields = {"checkpoint_s": 10.0, "save_s": 2.0, "estimate_s": 60.0, **changes}
    object.__setattr__(gang, "spec", msgspec.structs.replace(gang.spec, **fields))
    for number in range(2):
        term.receive_heartbeat(
            (1, 3), machine=f"m-{number}", tasks=(task_status(number, "running"),)
        )
    return term, gang
