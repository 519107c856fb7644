"""Test helpers that build jobs and machines and plan single scheduling cycles, without a leader."""

from __future__ import annotations

from random import Random
from typing import Any

from crosscleat.core.model.ids import MachineId, Seconds, Version, Zone
from crosscleat.core.scheduling.assignments import Assignment
from crosscleat.core.scheduling.cycle import SchedulingCycle
from crosscleat.core.scheduling.feasibility import CycleContext, CycleReserves
from crosscleat.core.scheduling.scoring import RunTimes, Scorer
from crosscleat.core.state.cluster import ClusterState
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine

from .world import TEAMS, TYPES, deployment, job

NOW = Seconds(100.0)


def make_job(ref: str, **changes: Any) -> Job:
    return Job(job(ref, **changes), Version(1), NOW)


def make_machine(name: str, type_index: int = 1, zone: str = "a", spot: bool = True) -> Machine:
    return Machine(MachineId(name), TYPES[type_index], Zone(zone), spot)


def plan_cycle(
    jobs: list[Job],
    machines: list[Machine],
    max_assignments: int = 100,
    urgent_reserve: float = 0.0,
    backfill_reserve: float = 0.0,
) -> list[Assignment]:
    scorer = Scorer(deployment("c0"), RunTimes())
    reserves = CycleReserves(urgent_cpus=urgent_reserve, backfill_cpus=backfill_reserve)
    context = CycleContext(ClusterState(), TEAMS, NOW, reserves)
    return SchedulingCycle(context, scorer, Random(1)).plan(jobs, machines, max_assignments)
