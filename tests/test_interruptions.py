"""Spot machines that are reclaimed, and the work that is at risk on them."""

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


def observed(per_hour: float, machines: int = 100, seconds: int = 600) -> InterruptionStats:
    """The statistics of that many machines with that rate of interruptions."""
    stats = InterruptionStats()
    expected = 0.0
    for _ in range(seconds):
        expected += machines * per_hour / 3600.0
        while expected >= 1.0:
            expected -= 1.0
            stats.record_interruption()
        stats.record_uptime(1.0, machines)
    return stats


def at_risk(stats: InterruptionStats, age: float = 0.0, done: int = 0, **changes: Any) -> bool:
    # The completion target of this class is 60 s.
    one_job = Job(job("job-1", **{"tasks": 10, **changes}), Version(1), Seconds(NOW - age))
    one_job.done_count = done
    return stats.at_risk(one_job, Scorer(deployment("c0"), RunTimes()), NOW)


def test_work_is_at_risk_if_a_loss_is_likely_and_would_make_it_late() -> None:
    often, seldom = observed(per_hour=6.0), observed(per_hour=0.2)
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


def test_a_burst_of_interruptions_says_little_of_the_usual_rate() -> None:
    stats = observed(per_hour=0.2)
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
    one_job = Job(job("job-1", tasks=1), Version(1), NOW)
    one_job.at_risk = at_risk
    scorer = Scorer(deployment("c0"), RunTimes())
    cycle = SchedulingCycle(CycleContext(ClusterState(), TEAMS, NOW), scorer, Random(1))

    planned = cycle.plan([one_job], machines, 9)

    assert [assignment.machine for assignment in planned] == [expected]


def test_on_demand_machines_are_kept_for_work_that_is_nearly_always_at_risk() -> None:
    types = {machine_type.name: machine_type for machine_type in TYPES}
    made = Fleet(TuningOptions(headroom=0.0, swings=0.0), types, FixedTarget(60.0))
    spot = [
        Machine(MachineId(f"m-{n}"), TYPES[1], Zone("a"), True, has_sent_heartbeat=True)
        for n in range(10)
    ]

    def request(at: float, at_risk_cpus: float) -> ScaleOutRequest | None:
        use = CapacityUse({Team("blue"): 60.0}, at_risk_cpus=at_risk_cpus)
        return made.next_scale_out([], spot, TEAMS, use, Seconds(at))

    for second in range(100):
        # Short peaks are not worth a machine that costs several times as much.
        assert request(NOW + second, 64.0 if second % 4 == 3 else 0.0) is None
    found = [request(NOW + 300.0 + second, 32.0) for second in range(10)]
    assert all(request is not None and not request.pool.spot for request in found)
    own = [Machine(MachineId(f"o-{n}"), TYPES[1], Zone("a"), False) for n in range(5)]
    for machine in own:
        machine.has_sent_heartbeat = True
        machine.created_at = machine.idle_since = Seconds(1.0)
    made.targets.demand = Demand()
    made.targets.demand.sample(0.0, Seconds(NOW + 310.0))
    assert len(made.scale_in_candidates(own, TEAMS, Seconds(NOW + 310.0))) == 1
