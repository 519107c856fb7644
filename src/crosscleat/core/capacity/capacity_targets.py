"""How much capacity to keep ready for work that has not come yet."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model.deployment import TuningOptions
from ..model.ids import Seconds, Zone
from ..model.job_spec import Priority
from ..state.jobs import Job
from .demand import Demand


@dataclass(frozen=True, slots=True)
class CapacityUse:
    """What is in use, and the CPUs that special kinds of work use or wait for."""

    by_team: Mapping[str, float] = field(default_factory=dict)
    """CPUs in use, by every team's allocations."""
    gpus_by_team: Mapping[str, float] = field(default_factory=dict)
    """GPUs in use, by every team's allocations."""
    job_zones: Mapping[str, Mapping[Zone, int]] = field(default_factory=dict)
    """How many tasks of each job may be in which zone."""
    at_risk: float = 0.0
    """In use or waited for by jobs that the loss of a spot machine may make late."""
    on_demand_only: float = 0.0
    """In use or waited for by jobs that may not use spot machines."""
    backfill: float = 0.0
    """In use by backfill: no capacity is kept for it."""


class CapacityTargets:
    """Sizes the warm capacity and the on-demand reserve by the demand of the last minutes."""

    def __init__(self, tuning: TuningOptions) -> None:
        self._tuning = tuning
        self.demand = Demand()
        """Of all work but backfill."""
        self.at_risk = Demand()
        """Of jobs that the loss of a spot machine may make late."""
        self.on_demand_only = Demand()
        """Of jobs that may not use spot machines."""

    def record_arrival(self, job: Job, now: Seconds) -> None:
        """Count an arrived job in the demand that capacity is kept for."""
        if job.spec.priority >= Priority.HIGH:
            self.demand.record_job(job, now)
        if not job.spec.spot:
            self.on_demand_only.record_job(job, now)

    def sample(self, requested_cpus: float, use: CapacityUse, now: Seconds) -> None:
        """Record the present demand; `requested_cpus` are in use or waited for."""
        self.demand.sample(requested_cpus, now)
        self.at_risk.sample(use.at_risk, now)
        self.on_demand_only.sample(use.on_demand_only, now)

    def warm_cpus(self) -> float:
        """Capacity to keep in all: the mean demand, and its variation or a large urgent job.

        Not the present demand: a machine rented for a burst is up when most of it has passed,
        and costs at least a minute.
        """
        return self._warm(self.demand, self.demand.mean())

    def spare_cpus(self) -> float:
        """Capacity beside the mean demand, for its variation."""
        return self._spare(self.demand, self.demand.mean())

    def on_demand_cpus(self, now: Seconds) -> float:
        """Capacity to keep on on-demand machines.

        That is the base load of jobs at risk, and for jobs that may not use others their mean
        demand and its variation, as the warm capacity holds them for all work.
        """
        usual = max(self.on_demand_only.mean(), self.on_demand_only.recent_mean(now))
        return self.at_risk.base_load(now) + self._warm(self.on_demand_only, usual)

    def _warm(self, demand: Demand, usual_cpus: float) -> float:
        return usual_cpus + self._spare(demand, usual_cpus)

    def _spare(self, demand: Demand, usual_cpus: float) -> float:
        variation = self._tuning.swings * demand.deviation()
        return max(variation, self._tuning.headroom * usual_cpus, demand.large_job_cpus())
