"""The log gives the reason for which nothing is rented for a waiting job.

The tests guard against a job that waits without a reason in the log. For a spread gang that never
started, the log did not show whether its tasks were counted into free capacity, were over the
quota, waited for other tasks to end, or had no open pool.
"""

from __future__ import annotations

from dataclasses import replace

from crosscleat.core.capacity.pools import MAX_BACKOFF_S, PoolKey
from crosscleat.core.capacity.waiting_reasons import MAX_REPORTED, WaitingReason
from crosscleat.core.model.effects import LogRecord
from crosscleat.core.model.ids import MachineId, Team, TypeName, Zone
from crosscleat.core.model.job_spec import Priority, Shape

from .fleets import FixedTarget
from .scale_out import ScaleOut

BLUE = Team("blue")


def logged(scale_out: ScaleOut) -> list[str]:
    """The log lines of the next 31 seconds, in which a report is due at least once."""
    lines = []
    for _ in range(31):
        scale_out.step(1.0)
        scale_out.outbox.take()
        scale_out.leader.autoscaler.adjust(scale_out.now)
        lines += [
            effect.text for effect in scale_out.outbox.take() if isinstance(effect, LogRecord)
        ]
    return lines


def close_pools(scale_out: ScaleOut, zones: str = "ab", spot_only: bool = False) -> None:
    """Close the pools of these zones, as after many refusals."""
    for name in scale_out.leader.fleet.types:
        for zone in zones:
            for spot in (True,) if spot_only else (True, False):
                pool = scale_out.leader.fleet.catalog.pool(PoolKey(name, Zone(zone), spot))
                pool.backoff_s = MAX_BACKOFF_S
                pool.record_refusal(scale_out.now)


def test_the_log_says_that_tasks_are_counted_into_free_capacity() -> None:
    scale_out = ScaleOut()
    scale_out.add_machine("m-0")
    scale_out.add_job("job-1", tasks=2)

    assert (
        f"job job-1: 2 tasks wait, no rental: {WaitingReason.FITS_FREE_CAPACITY.value}"
        in logged(scale_out)
    )


def test_the_log_says_that_tasks_are_over_the_quota() -> None:
    scale_out = ScaleOut()
    scale_out.add_job("job-1", tasks=9, cpus=2.0)

    assert f"job job-1: 2 tasks wait, no rental: {WaitingReason.OVER_QUOTA.value}" in logged(
        scale_out
    )


def test_the_log_says_that_a_job_fails_everywhere() -> None:
    scale_out = ScaleOut()
    failing = scale_out.add_job("job-1", tasks=2)
    failing.failed_on |= {MachineId("m-0"), MachineId("m-1")}

    assert f"job job-1: 2 tasks wait, no rental: {WaitingReason.FAILS_REPEATEDLY.value}" in logged(
        scale_out
    )


def test_the_log_says_that_pools_are_closed() -> None:
    scale_out = ScaleOut()
    close_pools(scale_out)
    scale_out.add_job("job-1", tasks=2)

    assert f"job job-1: 2 tasks wait, no rental: {WaitingReason.POOLS_CLOSED.value}" in logged(
        scale_out
    )


def test_the_log_says_that_machines_are_too_expensive() -> None:
    scale_out = ScaleOut()
    close_pools(scale_out, spot_only=True)
    scale_out.add_job("job-1", tasks=2, estimate_s=50.0, waited_s=40.0)

    assert f"job job-1: 2 tasks wait, no rental: {WaitingReason.TOO_EXPENSIVE.value}" in logged(
        scale_out
    )


def test_the_log_says_that_no_machine_type_suits() -> None:
    scale_out = ScaleOut()
    scale_out.add_job("job-1", tasks=1, types=(TypeName("gone"),))

    assert f"job job-1: 1 tasks wait, no rental: {WaitingReason.NO_TYPE.value}" in logged(scale_out)


def test_the_log_says_that_a_spread_gang_has_too_few_zones() -> None:
    scale_out = ScaleOut()
    close_pools(scale_out, "b")
    scale_out.add_job("job-1", team=BLUE, spread=True, shape=Shape.GANG, tasks=2)

    assert f"job job-1: 2 tasks wait, no rental: {WaitingReason.TOO_FEW_ZONES.value}" in logged(
        scale_out
    )


def test_the_log_says_that_the_job_may_have_no_more_tasks_in_any_zone() -> None:
    scale_out = ScaleOut()
    machines = [scale_out.add_machine("m-0"), scale_out.add_machine("m-1", zone="b")]
    array = scale_out.add_job("job-1", team=BLUE, spread=True, tasks=2, cpus=8.0)
    for machine in machines:
        scale_out.place(array, machine)
    array.first_untried = 1

    assert f"job job-1: 1 tasks wait, no rental: {WaitingReason.NO_ZONE.value}" in logged(scale_out)


def test_the_log_says_that_other_machines_are_rented_first() -> None:
    scale_out = ScaleOut()
    scale_out.add_job("job-1", tasks=1, zone=Zone("a"), priority=Priority.HIGH)
    scale_out.add_job("job-2", tasks=1, zone=Zone("b"))

    assert (
        f"job job-2: 1 tasks wait, no rental: {WaitingReason.OTHER_RENTAL_FIRST.value}"
        in logged(scale_out)
    )


def test_the_log_says_that_the_end_of_other_tasks_is_awaited() -> None:
    scale_out = ScaleOut()
    for number in range(4):
        machine = scale_out.add_machine(f"m-{number}")
        scale_out.place(scale_out.add_job(f"job-on-{number}", tasks=1, cpus=8.0), machine)
    types = scale_out.leader.fleet.types
    types.update(
        {name: replace(machine_type, boot_s=600.0) for name, machine_type in types.items()}
    )
    scale_out.leader.fleet._estimates = FixedTarget(1_000.0)
    scale_out.add_job("job-1", team=BLUE, tasks=1, estimate_s=1.0)

    assert (
        f"job job-1: 1 tasks wait, no rental: {WaitingReason.AWAITS_OTHER_TASKS.value}"
        in logged(scale_out)
    )


def test_reports_of_waiting_jobs_are_limited_in_length_and_rate() -> None:
    scale_out = ScaleOut()
    close_pools(scale_out)
    for number in range(200):
        scale_out.add_job(f"job-{number:03d}", tasks=1, waited_s=40.0 + number)

    lines = [line for line in logged(scale_out) if "tasks wait" in line]

    assert len(lines) <= 2 * MAX_REPORTED
    assert lines[0].startswith("job job-199: "), "the one that has waited for longest"
