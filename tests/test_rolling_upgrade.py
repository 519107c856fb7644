"""Rolling upgrades of the controllers in the simulated world, also with faults.

Guards against records of one version that the other cannot read, and against records that exceed
the new store limits: both versions may lead in turn until all controllers are upgraded, and the
limits drop afterwards.
"""

from __future__ import annotations

import msgspec
import pytest

from crosscleat.core.model.effects import Response
from crosscleat.core.model.ids import Team
from crosscleat.core.model.inputs import SubmitJob
from crosscleat.core.model.job_spec import JobSpec, Shape
from crosscleat.core.state.placement_records import chunk_length_for

from .world import MEMBERS, NEXT_LIMITS, World, job

SMALL_KB, _ = NEXT_LIMITS


def busy_world(seed: int) -> World:
    """A world of the old version in which several jobs run, one with many tasks."""
    world = World(seed, upgrade=True)
    world.boot_failure_chance = 0.0
    world.clock.advance(3.0)
    for number in range(4):
        world.users.submit(
            job(
                f"job-{number}",
                tasks=3,
                estimate_s=12.0,
                team=Team("blue" if number % 2 else "red"),
            )
        )
    world.users.submit(
        job("job-many", tasks=120, cpus=0.1, memory_gb=0.1, team=Team("blue"), estimate_s=9.0)
    )
    world.clock.advance(9.0)
    return world


def inject_fault(world: World, fault: str, number: int) -> None:
    """Inject the fault that precedes the upgrade of this controller."""
    if fault == "crashes":
        # A controller that crashes before its turn restarts as the old version.
        world.end_leader(0.3)
        world.clock.advance(1.0)
    if fault == "outage" and number == 1:
        world.store.outage(15.0)
    if fault == "cut" and number == 1:
        world.cut_zone("a", "hold")


def large_values(world: World) -> list[str]:
    """The keys of the values that exceed the new size limit."""
    return [
        key
        for key, (value, _, _) in world.store.items.items()
        if len(msgspec.json.encode(value)) > SMALL_KB * 1024
    ]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("fault", ["none", "crashes", "outage", "late", "cut"])
def test_controllers_are_upgraded_one_after_the_other_during_faults(seed: int, fault: str) -> None:
    world = busy_world(seed)
    if fault == "late":
        world.late_writes = world.duplicates = 0.3
    for number, member in enumerate(MEMBERS):
        inject_fault(world, fault, number)
        world.upgrade(member, 0.5)
        world.clock.advance(4.0)
        if number == 1:
            world.users.cancel("job-1")
    world.network.heal()
    world.clock.advance(1.0 + 3.0 * seed)
    if fault == "none":
        # The term in which the last controller was upgraded has ended, and the next uses shorter
        # chunks.
        (leader,) = [
            p.controller.leader for p in world.processes.values() if p and p.controller.leader
        ]
        assert leader.placement_records.chunk_length == chunk_length_for(SMALL_KB)
    world.drop_limits()
    world.users.submit(job("job-g", tasks=3, estimate_s=6.0, team=Team("blue"), shape=Shape.GANG))
    world.users.submit(
        job("job-more", tasks=100, cpus=0.1, memory_gb=0.1, team=Team("blue"), estimate_s=5.0)
    )
    world.clock.advance(20.0)
    world.finish()
    assert world.final_statuses["job-g"] == "done"
    assert world.final_statuses["job-more"] == "done"

    assert not large_values(world)
    assert world.store.rejected_for_size <= 1


@pytest.mark.parametrize("seed", range(3))
def test_leadership_passes_between_the_versions(seed: int) -> None:
    world = busy_world(seed)
    world.upgrade(MEMBERS[seed % 3], 0.1)
    world.clock.advance(2.0)
    for _ in range(5):
        world.end_leader(0.2)
        world.clock.advance(3.0)
    values = [v for key, (v, _, _) in world.store.items.items() if key.startswith("work/")]
    assert all(set(value) == {"jobs"} for value in values), "both versions can read this form"

    world.finish()


@pytest.mark.parametrize("after_s", [0.0, 0.01, 0.03, 0.1, 0.3])
def test_a_controller_that_crashes_while_it_writes_its_format_key(after_s: float) -> None:
    world = busy_world(2)
    for member in MEMBERS:
        world.upgrade(member, 0.2)
        for _ in range(3):
            # It restarts with the new version, whether or not its format key was written.
            world.clock.advance(0.2 + after_s)
            world.crash(member, 0.2)
        world.clock.advance(3.0)
    assert all(f"format/{member}" in world.store.items for member in MEMBERS)
    assert all(p is not None and p.controller.upgrade.complete for p in world.processes.values())

    world.users.submit(job("job-g", tasks=3, estimate_s=6.0, team=Team("blue"), shape=Shape.GANG))
    world.finish()
    assert world.final_statuses["job-g"] == "done"


def submit_to(world: World, member: str, spec: JobSpec) -> list[Response]:
    """Submit a job to this controller; its responses within one second."""
    responses: list[Response] = []
    world.specs[spec.ref] = spec
    world.users.accept_once_stored(spec.ref)
    world.request(member, lambda number: SubmitJob(number, spec), responses.append)
    world.clock.advance(1.0)
    return responses


@pytest.mark.parametrize("missing", MEMBERS)
def test_arrays_continue_but_gangs_are_refused_while_a_controller_is_missing(missing: str) -> None:
    world = busy_world(4)
    world.crash(missing, 1e6)
    others = [member for member in MEMBERS if member != missing]
    for member in others:
        world.upgrade(member, 0.5)
        world.clock.advance(4.0)
    for number in range(10, 13):
        # Jobs are submitted to the running controllers.
        spec = job(f"job-{number}", tasks=3, estimate_s=5.0, team=Team("blue"))
        (answer,) = submit_to(world, others[number % 2], spec)
        assert answer.status == 201
        gang = job(f"job-g{number}", tasks=2, team=Team("blue"), shape=Shape.GANG)
        (refusal,) = submit_to(world, others[number % 2], gang)
        assert refusal.status == 503
        assert refusal.retry_after_s == 1
        world.clock.advance(40.0)
    world.clock.advance(60.0)
    done = {task.job for task in world.results}
    assert {"job-10", "job-11", "job-12"} <= done
    assert all("span" not in value for key, (value, _, _) in world.store.items.items()
               if key.startswith("work/")), "the missing one may restart with old code"  # fmt: skip

    world.start_controller(missing)
    world.finish()
    assert "job-g12" not in world.accepted


@pytest.mark.parametrize("seed", range(3))
def test_leadership_alternates_between_versions_with_tasks_in_every_state(seed: int) -> None:
    world = busy_world(seed)
    new = MEMBERS[seed]
    world.upgrade(new, 0.1)
    world.clock.advance(2.0)
    for turn in range(4):
        # There are waiting and running jobs, a cancelled one, and a machine that hangs.
        world.users.submit(job(f"job-t{turn}", tasks=4, estimate_s=8.0, team=Team("blue")))
        world.clock.advance(0.3 * turn)
        expected = {new} if turn % 2 else set(MEMBERS) - {new}
        for _ in range(30):
            leading = world.leading()
            if leading and leading[0] in expected:
                break
            world.end_leader(0.5)
            world.clock.advance(1.0)
        assert world.leading()
        assert world.leading()[0] in expected
        if turn == 1:
            world.users.cancel(f"job-t{turn}")
        worker = next(w for w in world.workers.values() if w.up and not w.dead)
        worker.hang(3.0)
        world.clock.advance(4.0)
    world.finish()


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("moment", ["before", "during", "after", "as the leader crashes"])
def test_the_limits_drop_around_an_outage_or_a_failover(seed: int, moment: str) -> None:
    world = busy_world(seed)
    for member in MEMBERS:
        world.upgrade(member, 0.5)
        world.clock.advance(3.0)
    world.users.submit(job("job-g", tasks=3, estimate_s=20.0, team=Team("blue"), shape=Shape.GANG))
    if moment == "before":
        world.drop_limits()
    elif moment == "as the leader crashes":
        world.end_leader(0.3)
        world.drop_limits()
    world.clock.advance(0.5)
    if moment != "as the leader crashes":
        world.store.outage(12.0)
    world.clock.advance(6.0)
    if moment == "during":
        world.drop_limits()
    world.clock.advance(6.5)
    if moment == "after":
        world.drop_limits()
    world.clock.advance(1.0)

    world.finish()

    assert world.final_statuses["job-g"] == "done"
    assert world.final_statuses["job-many"] == "done"
    assert world.store.rejected_for_size <= 1
