"""A follower confirms a cancellation while the store refuses the leader; then the store is down.

The leader cannot learn of the cancellation, and workers keep sending it heartbeats. Only the
deadline for its lease renewals ends the tasks in time; without it, a cancelled task keeps running
and the world raises `ran_cancelled`.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from crosscleat.core.model.ids import Team

from .world import (
    CANCEL_S,
    HEARTBEAT_S,
    LEASE_S,
    MEMBERS,
    World,
    job,
    leader_of,
    running,
    world_with_long_job,
)

RENEWAL_WINDOW_S = CANCEL_S - LEASE_S
"""How long after its last store contact a leader renews workers' leases, plus a safety margin."""
BOUNDARIES_S = (RENEWAL_WINDOW_S, CANCEL_S - HEARTBEAT_S, CANCEL_S, RENEWAL_WINDOW_S + CANCEL_S)
"""Outage durations around which the drawn ones lie."""
OFFSETS_S = st.sampled_from((-2.0, -0.6, 0.0, 0.6, 2.0))
"""Differences of the drawn outage durations from `BOUNDARIES_S`."""


def cancel_through_others(world: World, leader: str, ref: str) -> None:
    """Cancel a job through the followers, which the store serves, and not through the leader."""
    world.cancellation_members = [member for member in MEMBERS if member != leader]
    world.users.cancel(ref)


def partition_leader_then_start_outage(
    world: World, until_outage_s: float, outage_s: float, refs: list[str]
) -> str:
    """Have the store refuse the leader, cancel jobs through followers, then start an outage.

    Returns the leader.
    """
    leader = leader_of(world)
    world.store.refused_until[leader] = world.clock.now + 14.0
    world.clock.advance(0.2)
    for ref in refs:
        cancel_through_others(world, leader, ref)
    world.clock.advance(until_outage_s)
    world.store.outage(outage_s)
    return leader


example_settings = settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


@example_settings
@given(
    until_outage_s=st.floats(0.3, 4.0),
    boundary_s=st.sampled_from(BOUNDARIES_S),
    from_boundary_s=OFFSETS_S,
    another_outage=st.booleans(),
    hang_s=st.sampled_from((0.0, 0.0, LEASE_S - 1.0, LEASE_S + 5.0, CANCEL_S + 5.0)),
    drift=st.sampled_from((0.9995, 1.0, 1.0005)),
    crash=st.sampled_from((None, "leader", "other")),
)
def test_no_task_outlives_a_cancellation_that_its_leader_cannot_know(
    until_outage_s: float,
    boundary_s: float,
    from_boundary_s: float,
    another_outage: bool,
    hang_s: float,
    drift: float,
    crash: str | None,
) -> None:
    world = world_with_long_job(estimate_s=200.0, elapsed_s=20.0)
    world.users.submit(job("job-kept", tasks=2, estimate_s=200.0, team=Team("blue")))
    world.clock.advance(10.0)
    world.cloud_down = True
    leader = leader_of(world)
    process = world.processes[leader]
    assert process is not None

    process.drift = drift
    assert running(world, "job-long") == 3

    for worker in list(world.workers.values())[::2] if hang_s else ():
        worker.hang(hang_s)
    partition_leader_then_start_outage(
        world, until_outage_s, boundary_s + from_boundary_s, ["job-long"]
    )
    if crash:
        world.clock.advance(1.0)
        crashed = (
            leader if crash == "leader" else next(member for member in MEMBERS if member != leader)
        )
        world.crash(crashed, 0.2)
    confirmed_at = world.cancel_confirmed_at.get("job-long")
    world.clock.advance(boundary_s + from_boundary_s + 2.0)
    if another_outage:
        # After a crash during an outage there may be no leader yet.
        world.clock.advance(4.0)
        partition_leader_then_start_outage(
            world, until_outage_s, boundary_s + from_boundary_s, ["job-kept"]
        )
        world.clock.advance(boundary_s + from_boundary_s)
    world.clock.advance(CANCEL_S + 5.0)
    assert confirmed_at is None or running(world, "job-long") == 0


@pytest.mark.parametrize("until_outage_s", [0.5, 2.0])
def test_tasks_that_are_not_cancelled_run_until_the_renewal_deadline(
    until_outage_s: float,
) -> None:
    world = world_with_long_job(estimate_s=200.0, elapsed_s=20.0)
    world.cloud_down = True
    partition_leader_then_start_outage(world, until_outage_s, CANCEL_S, [])

    # The last contact may be as old as a watch is long, and a heartbeat may have been answered
    # immediately before.
    world.clock.advance(CANCEL_S - until_outage_s - 1.5 - HEARTBEAT_S * 1.25 - 2.0)

    assert running(world, "job-long") == 3


def test_a_short_outage_ends_no_task() -> None:
    world = world_with_long_job(estimate_s=200.0, elapsed_s=20.0)
    partition_leader_then_start_outage(world, 1.0, RENEWAL_WINDOW_S - 4.0, [])

    world.clock.advance(CANCEL_S)

    assert running(world, "job-long") == 3


def test_contact_by_a_lease_renewal_alone_extends_no_worker_lease() -> None:
    """After an outage, the leader renews its lease before it has read the cancellations."""
    world = world_with_long_job(estimate_s=200.0, elapsed_s=20.0)
    world.cloud_down = True
    leader = partition_leader_then_start_outage(world, 1.0, 12.0, ["job-long"])
    world.store.refused_until.clear()
    # Its watches get no reply; its lease renewals do.
    world.slow_watches.add(leader)

    world.clock.advance(CANCEL_S + 8.0)

    assert world.cancel_confirmed_at
    assert running(world, "job-long") == 0


@pytest.mark.parametrize("scan", ["work/", "drop/"])
def test_a_new_leader_misses_cancellations_confirmed_after_it_read_the_jobs(scan: str) -> None:
    """Followers confirm cancellations after the new leader has read the jobs.

    It is still reading the other records then, and an outage begins before its first watch gets a
    reply, so it never learns of the cancellations.
    """
    world = world_with_long_job(estimate_s=200.0, elapsed_s=20.0)
    world.cloud_down = True
    old_leader = leader_of(world)
    world.slow_scans[scan] = LEASE_S - 3.0
    world.crash(old_leader, 5.0)
    world.clock.advance(1.0)
    (new_leader,) = world.leading()
    process = world.processes[new_leader]
    assert process is not None
    assert process.controller.leader is None

    world.slow_watches.add(new_leader)
    cancel_through_others(world, new_leader, "job-long")
    while process.controller.leader is None:
        world.clock.advance(0.01)
    assert "job-long" in world.cancel_confirmed_at
    assert running(world, "job-long") > 0

    world.store.outage(2.0 * CANCEL_S)
    world.clock.advance(CANCEL_S + 5.0)
    assert running(world, "job-long") == 0
