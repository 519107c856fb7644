"""Test helpers: a fleet without a leader, full machines, and jobs that wait for machines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from crosscleat.core.capacity.capacity_targets import CapacityUse
from crosscleat.core.capacity.fleet import Fleet
from crosscleat.core.capacity.pools import PoolKey, ScaleOutRequest
from crosscleat.core.model.deployment import TuningOptions
from crosscleat.core.model.ids import MachineId, Seconds, Team, Version, Zone
from crosscleat.core.model.job_spec import JobSpec
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine

from .world import TEAMS, TYPES, job

NOW = Seconds(500.0)
TARGET_S = 60.0


@dataclass(frozen=True, slots=True)
class FixedTarget:
    """Estimates with the same completion target for all jobs, and the run time that users give."""

    target_s: float

    def completion_target_s(self, _spec: JobSpec, /) -> float:
        return self.target_s

    def remaining_s(self, job: Job, /) -> float:
        return job.spec.estimate_s


def make_fleet() -> Fleet:
    types = {machine_type.name: machine_type for machine_type in TYPES}
    return Fleet(TuningOptions(headroom=0.0, swings=0.0), types, FixedTarget(TARGET_S))


def job_waiting_for(waited_s: float, **changes: Any) -> Job:
    spec = job("job-1", team=Team("blue"), **changes)
    return Job(spec, Version(1), Seconds(NOW - waited_s))


def next_request(
    fleet: Fleet, jobs: list[Job], machines: list[Machine] | None = None
) -> ScaleOutRequest | None:
    return fleet.next_scale_out(jobs, machines or [], TEAMS, CapacityUse(), NOW)


def full_machines(count: int) -> list[Machine]:
    machines = [Machine(MachineId(f"m-{n}"), TYPES[1], Zone("a"), True) for n in range(count)]
    for machine in machines:
        machine.used_cpus = 8.0
        machine.has_sent_heartbeat = True
    return machines


def refuse_spot(fleet: Fleet) -> None:
    for machine_type in TYPES:
        for zone in machine_type.zones:
            fleet.catalog.pool(PoolKey(machine_type.name, zone, True)).record_refusal(NOW)
