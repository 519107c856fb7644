"""Gangs in a world, and gangs of a leader by itself, for the tests."""

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
from crosscleat.core.model.worker_calls import StartOrder
from crosscleat.core.state.job_records import live_record
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine
from crosscleat.core.state.placement_records import PlacementRecords

from .term import Term
from .world import World, job

seeds = pytest.mark.parametrize("seed", range(3))


def with_gangs(seed: int, estimate_s: float = 10.0, count: int = 3, zone: bool = True) -> World:
    world = World(seed)
    world.boot_fails = 0.0
    world.clock.advance(3.0)
    for number in range(count):
        world.users.submit(
            job(
                f"job-{number}",
                tasks=3,
                estimate_s=estimate_s,
                team=Team("blue"),
                shape=Shape.GANG,
                one_zone=zone,
            )
        )
    world.clock.advance(15.0)
    for worker in world.workers.values():
        worker.faulty = False
    return world


def done(world: World) -> set[str]:
    return {ref for ref, status in world.final_statuses.items() if status == "done"}


def gang_term(tasks: int = 2) -> Term:
    """A leader to which a machine has reported, with a gang that waits."""
    term = Term()
    term.hear((1, 1))
    spec = job("job-g", tasks=tasks, cpus=1.0, estimate_s=30.0, shape=Shape.GANG)
    gang = Job(spec, Version(3), term.now)
    term.leader.jobs[JobRef("job-g")] = gang
    return term


def on_record(gang: Job, one: Machine) -> None:
    """The store has all its places."""
    for allocation in one.allocations.values():
        allocation.recorded = True
    for chunk in gang.chunks.values():
        chunk.recorded = chunk.known_placements()


def starts_for(term: Term, one: Machine) -> list[StartOrder]:
    orders = term.leader.commands.orders(one, term.now, 1)
    return [order for order in orders if isinstance(order, StartOrder)]


def taken_over(on_record: int, tasks: int = 2) -> Term:
    """A new leader that finds so many tasks of a gang on m-0, by the records."""
    before = Job(job("job-g", tasks=tasks, cpus=1.0, shape=Shape.GANG), Version(3), Seconds(0.0))
    records = PlacementRecords(16.0, 8, True)
    for _ in range(on_record):
        task, _ = before.place(MachineId("m-0"), AgentEpoch(1))
        records.record_for(before, before.chunk_of(task.number))
    live = Item(
        "live/job-g", live_record(before.spec, WallTime(-40.0), cancelled=False), Version(3)
    )
    return Term([live], [Item(r.key, r.value(), Version(4)) for r in records])


def reported(number: int, state: str, cause: str | None = None, attempt: int = 1) -> TaskStatus:
    return TaskStatus(TaskId(JobRef("job-g"), number), Attempt(attempt), state, cause)


def placed_on_two(tasks: int = 2) -> tuple[Term, Job]:
    """A gang with its first task on m-0, the others on m-1, all on record and waiting."""
    term = gang_term(tasks)
    term.hear((1, 1), machine="m-1")
    gang = term.leader.jobs[JobRef("job-g")]
    machines = [term.leader.cluster.machines[MachineId(f"m-{n}")] for n in range(2)]
    term.leader.placer.place_gang(gang, [machines[0], *[machines[1]] * (tasks - 1)])
    for one in machines:
        for allocation in one.allocations.values():
            allocation.recorded = allocation.start_sent = True
    for chunk in gang.chunks.values():
        chunk.recorded = chunk.known_placements()
    term.hear((1, 2), tasks=(reported(0, "waiting"),))
    term.hear((1, 2), machine="m-1", tasks=(reported(1, "fetching"),))
    machines[0].used_cpus = machines[0].type.cpus
    return term, gang


def places(term: Term) -> dict[str, list[tuple[int, int]]]:
    """Number and attempt of each task that may be on a machine, withdrawn ones left out."""
    return {
        machine.id: [
            (h.task.number, h.attempt) for h in machine.allocations.values() if not h.stopping
        ]
        for machine in term.leader.cluster.machines.values()
    }


def notice(
    term: Term, machine: str, seen: int, left_s: float, tasks: tuple[TaskStatus, ...]
) -> None:
    heartbeat = msgspec.structs.replace(
        term.heartbeat(machine, (1, seen), tasks=tasks), notice_s=left_s
    )
    term.leader.receive_heartbeat(1, heartbeat, term.now, False)


def stops(term: Term) -> dict[str, float]:
    """The grace of each task that is stopped."""
    return {
        str(allocation.task): allocation.grace_s
        for machine in term.leader.cluster.machines.values()
        for allocation in machine.allocations.values()
        if allocation.stopping
    }


def running_on_two(**changes: Any) -> tuple[Term, Job]:
    term, gang = placed_on_two()
    given = {"checkpoint_s": 10.0, "save_s": 2.0, "estimate_s": 60.0, **changes}
    object.__setattr__(gang, "spec", msgspec.structs.replace(gang.spec, **given))
    for number in range(2):
        term.hear((1, 3), machine=f"m-{number}", tasks=(reported(number, "running"),))
    return term, gang
