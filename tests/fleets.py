"""A fleet by itself, and what waits for it, for the tests."""

from __future__ import annotations

from typing import Any

from crosscleat.core.capacity.fleet import Fleet, ScaleOutRequest
from crosscleat.core.capacity.pools import PoolKey
from crosscleat.core.model.deployment import TuningOptions
from crosscleat.core.model.ids import MachineId, Seconds, Team, Version, Zone
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine

from .world import TEAMS, TYPES, job

NOW = Seconds(500.0)
DUE_S = 60.0


def fleet() -> Fleet:
    made = Fleet(
        TuningOptions(headroom=0.0, swings=0.0), lambda _: DUE_S, lambda job: job.spec.estimate_s
    )
    made.types = {kind.name: kind for kind in TYPES}
    return made


def waiting(age: float, **changes: Any) -> Job:
    spec = job("job-1", team=Team("blue"), **changes)
    return Job(spec, Version(1), Seconds(NOW - age))


def want(
    made: Fleet, jobs: list[Job], machines: list[Machine] | None = None
) -> ScaleOutRequest | None:
    return made.wanted(jobs, TEAMS, {}, machines or [], NOW)


def full(count: int) -> list[Machine]:
    machines = [Machine(MachineId(f"m-{n}"), TYPES[1], Zone("a"), True) for n in range(count)]
    for one in machines:
        one.used_cpus = 8.0
        one.up = True
    return machines


def refuse_cheap(made: Fleet) -> None:
    for kind in TYPES:
        for zone in kind.zones:
            made.pool(PoolKey(kind.name, zone, True)).refuse(NOW)
