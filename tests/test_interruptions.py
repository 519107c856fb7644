"""Spot machines that are reclaimed, and the work that is at risk on them.

The tests guard against a wrong estimate of the interruption rate, for instance after a burst, and
against on-demand machines that are used or kept for work that a loss would not make late.
"""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from crosscleat.core.capacity.capacity_targets import CapacityUse
from crosscleat.core.capacity.demand import Demand
from crosscleat.core.capacity.fleet import Fleet
from crosscleat.core.capacity.interruptions import MAX_INTERRUPTIONS_PER_RECORD, InterruptionStats
from crosscleat.core.capacity.pools import ScaleOutRequest
from crosscleat.core.model.deployment import TuningOptions
from crosscleat.core.model.ids import MachineId, Seconds, Team, Version, Zone
from crosscleat.core.scheduling.cycle import SchedulingCycle
from crosscleat.core.scheduling.feasibility import CycleContext
from crosscleat.core.scheduling.scoring import RunTimes, Scorer
from crosscleat.core.state.cluster import ClusterState
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine

from .fleets import FixedTarget
from .world import TEAMS, TYPES, deployment, job

NOW = Seconds(500.0)


def stats_of(per_hour: float, machines: int = 100, seconds: int = 600) -> InterruptionStats:
    """Statistics after `seconds` with that many machines and that rate of interruptions."""
    stats = InterruptionStats()
    due = 0.0
    for _ in range(seconds):
        due += machines * per_hour / 3600.0
        while due >= 1.0:
            due -= 1.0
            stats.record_interruption()
        stats.record_uptime(1.0, machines)
    return stats


def at_risk(stats: InterruptionStats, age: float = 0.0, done: int = 0, **changes: Any) -> bool:
    # The completion target of this class is 60 s.
    tested_job = Job(job("job-1", **{"tasks": 10, **changes}), Version(1), Seconds(NOW - age))
    tested_job.done_count = done
    return stats.at_risk(tested_job, Scorer(deployment("c0"), RunTimes()), NOW)


def test_work_is_at_risk_if_a_loss_is_likely_and_would_make_it_late() -> None:
    often, seldom = stats_of(per_hour=6.0), stats_of(per_hour=0.2)
    assert at_risk(often, estimate_s=45.0)
    assert not at_risk(seldom, estimate_s=45.0), "hardly any machine is lost"
    assert not at_risk(often, estimate_s=20.0, tasks=40), "a lost task can be repeated in time"
    assert at_risk(often, estimate_s=6.0, age=50.0, tasks=40), (
        "it cannot be repeated in time any more"
    )
    assert not at_risk(often, estimate_s=90.0), "the job is late in any case"
    assert not at_risk(often, estimate_s=45.0, done=9), "only one task is left"
    assert not at_risk(often, estimate_s=45.0, spot=False)
    assert not at_risk(often, estimate_s=45.0, checkpoint_s=10.0, save_s=1.0)


def test_a_burst_of_interruptions_hardly_changes_the_rate() -> None:
    stats = stats_of(per_hour=0.2)
    before = stats.rate
    for _ in range(80):
        stats.record_interruption()

    stats.record_uptime(1.0, 100)

    assert before < stats.rate <= before + MAX_INTERRUPTIONS_PER_RECORD / 10_000.0


@pytest.mark.parametrize(("at_risk", "expected"), [(True, "m-on-demand"), (False, "m-spot")])
def test_work_at_risk_takes_on_demand_machines_and_leaves_spot_ones_to_other_work(
    at_risk: bool, expected: str
) -> None:
    machines = [
        Machine(MachineId(f"m-{'spot' if spot else 'on-demand'}"), TYPES[1], Zone("a"), spot)
        for spot in (True, False)
    ]
    tested_job = Job(job("job-1", tasks=1), Version(1), NOW)
    tested_job.at_risk = at_risk
    scorer = Scorer(deployment("c0"), RunTimes())
    cycle = SchedulingCycle(CycleContext(ClusterState(), TEAMS, NOW), scorer, Random(1))

    planned = cycle.plan([tested_job], machines, 9)

    assert [assignment.machine for assignment in planned] == [expected]


def test_on_demand_machines_are_kept_for_work_that_is_nearly_always_at_risk() -> None:
    types = {machine_type.name: machine_type for machine_type in TYPES}
    fleet = Fleet(TuningOptions(headroom=0.0, swings=0.0), types, FixedTarget(60.0))
    spot = [
        Machine(MachineId(f"m-{n}"), TYPES[1], Zone("a"), True, has_sent_heartbeat=True)
        for n in range(10)
    ]

    def request(at: float, at_risk_cpus: float) -> ScaleOutRequest | None:
        use = CapacityUse({Team("blue"): 60.0}, at_risk_cpus=at_risk_cpus)
        return fleet.next_scale_out([], spot, TEAMS, use, Seconds(at))

    for second in range(100):
        # Short peaks are not worth a machine that costs several times as much.
        assert request(NOW + second, 64.0 if second % 4 == 3 else 0.0) is None
    requests = [request(NOW + 300.0 + second, 32.0) for second in range(10)]
    assert all(found is not None and not found.pool.spot for found in requests)
    on_demand = [Machine(MachineId(f"o-{n}"), TYPES[1], Zone("a"), False) for n in range(5)]
    for machine in on_demand:
        machine.has_sent_heartbeat = True
        machine.created_at = machine.idle_since = Seconds(1.0)
    fleet.targets.demand = Demand()
    fleet.targets.demand.sample(0.0, Seconds(NOW + 310.0))
    assert len(fleet.scale_in_candidates(on_demand, TEAMS, Seconds(NOW + 310.0))) == 1
