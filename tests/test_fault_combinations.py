"""Combinations of faults in the simulated world, each with several seeds.

Guards against rules that are broken, and jobs that are lost or never end, only when faults overlap,
such as a failover during an outage of the store. The world checks the rules throughout;
`World.finish` then ends all faults, and requires that queries for each accepted job succeed and
that the job ends in time.
"""

from __future__ import annotations

import pytest

from crosscleat.core.model.ids import Team, Zone
from crosscleat.core.model.job_spec import Priority

from .world import CANCEL_S, HEARTBEAT_S, LEASE_S, MEMBERS, REGION, World, job, leader_of, running

seeds = pytest.mark.parametrize("seed", range(3))


def world_with_jobs(seed: int, jobs: int = 4, estimate_s: float = 12.0, tasks: int = 3) -> World:
    """A world in which this number of jobs have been running or waiting for some seconds."""
    world = World(seed)
    world.clock.advance(3.0)
    for number in range(jobs):
        world.users.submit(
            job(
                f"job-{number}",
                tasks=tasks,
                estimate_s=estimate_s,
                team=Team("blue" if number % 2 else "red"),
                priority=list(Priority)[number % 4],
            )
        )
    world.clock.advance(9.0)
    return world


def busy_machines(world: World) -> list[str]:
    """Names of the machines that have tasks."""
    return [name for name, w in world.workers.items() if w.tasks and not w.dead]


@seeds
@pytest.mark.parametrize("apart_s", [0.02, 0.3, 4.0])
def test_two_failovers_then_all_controllers_crash_and_one_restarts(
    seed: int, apart_s: float
) -> None:
    world = world_with_jobs(seed)
    for _ in range(2):
        world.end_leader(0.05)
        world.clock.advance(apart_s)
    for restart_delay_s, member in zip((0.2, 5.0, 30.0), MEMBERS, strict=True):
        world.crash(member, restart_delay_s)
    world.clock.advance(apart_s)
    world.end_leader(0.1)
    world.clock.advance(6.0)
    world.finish()


@seeds
def test_a_heartbeat_delayed_until_a_new_leader_has_acted(seed: int) -> None:
    world = world_with_jobs(seed)
    for name in busy_machines(world):
        for member in MEMBERS:
            world.network.cut(name, member, "hold")
    world.clock.advance(3.0)
    world.end_leader(0.2)
    world.duplicates = 0.6
    # The new leader gives up the silent machines and places their tasks elsewhere before the
    # delayed heartbeats arrive.
    world.clock.advance(2.0 * LEASE_S)
    world.network.heal()
    world.clock.advance(5.0)
    world.finish()


@seeds
@pytest.mark.parametrize("refuse_leader", [False, True])
def test_cancellations_and_queries_while_the_store_is_slow_and_then_unavailable(
    seed: int, refuse_leader: bool
) -> None:
    world = world_with_jobs(seed, estimate_s=60.0)
    world.slow_store_s = 3.0
    for ref in ("job-0", "job-1"):
        world.users.poll_for(ref, 60.0)
        world.users.cancel(ref)
    world.clock.advance(4.0)
    if refuse_leader:
        for member in world.leading():
            world.store.refused_until[member] = world.clock.now + 20.0
        world.clock.advance(1.0)
        world.users.cancel("job-2")
        world.clock.advance(1.0)
    world.store.outage(CANCEL_S + 10.0)
    world.users.cancel("job-3")
    world.clock.advance(CANCEL_S + 15.0)
    world.finish()


@seeds
def test_a_team_at_its_limit_during_a_failover_with_cancellations(seed: int) -> None:
    world = world_with_jobs(seed, jobs=0)
    for number in range(5):
        world.users.submit(job(f"job-{number}", tasks=4, estimate_s=30.0))
    world.clock.advance(14.0)
    for name in busy_machines(world)[::2]:
        for member in MEMBERS:
            world.network.cut(name, member, "hold" if seed % 2 else "reset")
    world.end_leader(5.0)
    world.clock.advance(0.5)
    world.users.cancel("job-0")
    world.clock.advance(8.0)
    world.users.cancel("job-1")
    world.clock.advance(LEASE_S)
    world.finish()


@seeds
@pytest.mark.parametrize("after_s", [0.0, 0.05, 1.0])
def test_a_cancellation_while_the_store_refuses_the_leader_before_an_outage(
    seed: int, after_s: float
) -> None:
    world = world_with_jobs(seed, estimate_s=90.0)
    world.cloud_down = True
    for member in world.leading():
        world.store.refused_until[member] = world.clock.now + 14.0
    world.clock.advance(after_s)
    for number in range(4):
        world.users.cancel(f"job-{number}")
    world.clock.advance(1.0)
    world.store.outage(CANCEL_S + 15.0)
    world.clock.advance(CANCEL_S + 20.0)

    world.finish()

    # Some cancellations may have been confirmed only after the outage; no task may run any more.
    assert all(running(world, f"job-{number}") == 0 for number in range(4))


@seeds
@pytest.mark.parametrize("slow_s", [0.0, 1.0])
def test_requests_that_arrive_as_the_last_task_ends(seed: int, slow_s: float) -> None:
    world = world_with_jobs(seed, jobs=0)
    world.cancel_at_end = 0.6
    # On a slow store the end of the job is written between a cancellation's read and write.
    world.slow_store_s = slow_s
    for number in range(8):
        world.users.submit(job(f"job-{number}", tasks=1 + number % 3, estimate_s=4.0))
    for _ in range(120):
        world.clock.advance(0.25)
        for ref in sorted(world.specs):
            world.users.query(ref)
            if world.rng.random() < 0.1:
                world.users.submit(world.specs[ref], retries=0)
    world.finish()


@seeds
@pytest.mark.parametrize("outage_s", [0.0, 40.0])
def test_ten_failovers_in_two_minutes(seed: int, outage_s: float) -> None:
    world = world_with_jobs(seed, estimate_s=20.0)
    world.duplicates = 0.2
    for number in range(10):
        if number == 3 and outage_s:
            world.store.outage(outage_s)
        world.end_leader((0.1, 5.0)[number % 2])
        if number == 5:
            world.users.cancel("job-0")
        world.clock.advance(world.rng.uniform(2.0, 12.0))
    world.finish()


@seeds
@pytest.mark.parametrize("crash", [False, True])
def test_workers_whose_heartbeats_are_lost_are_reached_by_direct_commands(
    seed: int, crash: bool
) -> None:
    world = world_with_jobs(seed, estimate_s=30.0)
    world.heartbeats_blocked.update(world.workers if seed % 2 else busy_machines(world))
    world.clock.advance(3.0)
    world.users.cancel("job-0")
    if crash:
        world.end_leader(0.3)
    world.clock.advance(2.0 * LEASE_S)
    world.heartbeats_blocked.clear()
    world.finish()


@seeds
@pytest.mark.parametrize("outage_s", [0.0, 4.0])
def test_tasks_of_a_job_that_end_far_apart_across_a_failover(seed: int, outage_s: float) -> None:
    world = world_with_jobs(seed, jobs=0)
    for number in range(4):
        world.users.submit(job(f"job-{number}", tasks=2 + number % 2, cpus=1.0, estimate_s=16.0))
    world.clock.advance(4.0)
    # Run times vary by a factor of three: leaders crash between the ends of the first and the
    # last task.
    for _ in range(6):
        world.clock.advance(3.0)
        world.store.outage(outage_s)
        world.end_leader(0.3)
    for number in range(4):
        world.users.poll_for(f"job-{number}", 30.0)
    world.finish()


@seeds
def test_more_work_than_capacity_over_slow_links(seed: int) -> None:
    world = world_with_jobs(seed, jobs=0)
    world.network.extra_delay_s = 1.5
    for number in range(24):
        world.users.submit(
            job(
                f"job-{number}",
                tasks=6,
                estimate_s=5.0,
                team=Team(("red", "blue")[number % 2]),
                priority=list(Priority)[number % 4],
            )
        )
        world.clock.advance(1.0)
    world.users.cancel("job-3")
    world.end_leader(0.5)
    world.clock.advance(60.0)
    world.finish()


@seeds
@pytest.mark.parametrize("crash", [False, True])
def test_writes_carried_out_after_newer_ones(seed: int, crash: bool) -> None:
    world = world_with_jobs(seed, jobs=2)
    world.late_writes = 0.3
    for number in range(2, 8):
        world.users.submit(job(f"job-{number}", tasks=2, estimate_s=4.0, team=Team("blue")))
        world.clock.advance(3.0)
        if number % 3 == 0:
            world.users.cancel(f"job-{number}")
            world.users.submit(world.specs["job-0"], retries=0)
        if crash and number % 2:
            world.end_leader(0.2)
    world.clock.advance(15.0)
    world.finish()


@seeds
@pytest.mark.parametrize("mode", ["hold", "reset"])
def test_a_zone_with_a_controller_is_cut_off_for_longer_than_a_lease(seed: int, mode: str) -> None:
    world = world_with_jobs(seed, estimate_s=30.0)
    world.cut_zone("ab"[seed % 2], mode)
    world.clock.advance(4.0)
    world.users.cancel("job-0")
    world.clock.advance(LEASE_S + 15.0)
    world.network.heal()
    world.clock.advance(3.0)
    world.finish()


@seeds
@pytest.mark.parametrize("hang_s", [0.0, 6.0, LEASE_S + 3.0])
def test_commands_delayed_for_seconds_while_the_machine_continues(seed: int, hang_s: float) -> None:
    world = world_with_jobs(seed, jobs=2, estimate_s=8.0)
    world.flaky_call_chance = 0.5
    for number in range(2, 7):
        world.users.submit(job(f"job-{number}", tasks=2, estimate_s=6.0, team=Team("blue")))
        world.clock.advance(2.0)
        world.users.cancel(f"job-{number}") if number % 3 == 0 else None
        for name in busy_machines(world)[:2]:
            world.workers[name].hang(hang_s)
    world.clock.advance(20.0)
    world.finish()


@seeds
@pytest.mark.parametrize("mode", ["hold", "reset"])
def test_a_cancellation_through_the_successor_of_a_leader_without_store_and_peers(
    seed: int, mode: str
) -> None:
    world = world_with_jobs(seed, estimate_s=90.0)
    world.cloud_down = True
    old = leader_of(world)
    world.network.cut(old, REGION, mode)
    for other in MEMBERS:
        if other != old:
            world.network.cut(old, other, mode)
    world.cancellation_members = [member for member in MEMBERS if member != old]
    world.clock.advance(5.0)
    for number in range(4):
        world.users.cancel(f"job-{number}")
    world.clock.advance(CANCEL_S + 8.0)
    assert set(world.cancel_confirmed_at) == {f"job-{number}" for number in range(4)}

    world.finish()


@seeds
@pytest.mark.parametrize("place", ["one_zone", "zone", "spread"])
def test_jobs_bound_to_a_zone_lose_machines(seed: int, place: str) -> None:
    world = world_with_jobs(seed, jobs=0)
    for number in range(3):
        world.users.submit(
            job(
                f"job-{number}",
                tasks=4,
                estimate_s=15.0,
                team=Team("blue"),
                one_zone=place == "one_zone",
                zone=Zone("a") if place == "zone" else None,
                spread=place == "spread",
            )
        )
    world.clock.advance(12.0)
    for name in busy_machines(world)[::2]:
        world.workers[name].dead = True
        world.workers[name].tasks.clear()
    for name in busy_machines(world)[1::2]:
        world.workers[name].hang(LEASE_S - 2.0)
    world.clock.advance(1.0)
    world.end_leader(0.3)
    world.clock.advance(2.0 * LEASE_S)
    world.finish()


@seeds
@pytest.mark.parametrize("downtime_s", [LEASE_S - 1.0, LEASE_S + 6.0, CANCEL_S + LEASE_S])
def test_all_controllers_are_down(seed: int, downtime_s: float) -> None:
    world = world_with_jobs(seed, estimate_s=40.0)
    world.users.cancel("job-0")
    world.clock.advance(0.3)
    for number, member in enumerate(MEMBERS):
        world.crash(member, downtime_s + 0.2 * number)
    world.clock.advance(downtime_s + 3.0)
    world.finish()


@seeds
def test_old_heartbeats_after_newer_ones_of_earlier_agent_epochs_and_attempts(seed: int) -> None:
    world = world_with_jobs(seed, estimate_s=10.0)
    world.duplicates = 0.7
    for number in range(6):
        for name in busy_machines(world)[number % 2 :: 3]:
            if number % 2:
                # Its lease expires: it begins a new agent epoch, and its attempts are repeated.
                for member in MEMBERS:
                    world.network.cut(name, member, "hold")
            else:
                world.workers[name].restart()
        world.clock.advance(LEASE_S + 2.0)
        world.network.heal()
        world.clock.advance(3.0)
        if number == 3:
            world.end_leader(0.2)
    world.finish()


@seeds
@pytest.mark.parametrize("cut", ["both directions", "replies only"])
def test_a_leader_crashes_while_machines_with_long_tasks_are_cut_off(seed: int, cut: str) -> None:
    world = world_with_jobs(seed, jobs=2, estimate_s=200.0)
    names = busy_machines(world)[: 1 + seed % 2]
    for name in names:
        for member in MEMBERS:
            if cut == "both directions":
                world.network.cut(name, member, "hold")
            else:
                world.network.one_way_cuts.add((member, name))
    world.end_leader(5.0)
    world.clock.advance(LEASE_S + 2.0 * HEARTBEAT_S)
    world.network.heal()
    world.clock.advance(HEARTBEAT_S)
    for number in range(2):
        world.users.cancel(f"job-{number}")
    world.finish()
