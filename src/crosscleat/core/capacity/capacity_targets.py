"""Targets for the capacity that is kept ready for future work."""

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
    """CPUs and GPUs in use, and CPUs that certain classes of work use or wait for."""

    cpus_by_team: Mapping[str, float] = field(default_factory=dict)
    """CPUs in use by the allocations of each team."""
    gpus_by_team: Mapping[str, float] = field(default_factory=dict)
    """GPUs in use by the allocations of each team."""
    job_zones: Mapping[str, Mapping[Zone, int]] = field(default_factory=dict)
    """Number of tasks that may be running in each zone, for each job."""
    at_risk_cpus: float = 0.0
    """CPUs used or waited for by jobs that the loss of a spot machine may make late."""
    on_demand_only_cpus: float = 0.0
    """CPUs used or waited for by jobs that may not use spot machines."""
    backfill_cpus: float = 0.0
    """CPUs in use by backfill, for which no capacity is kept ready."""


class CapacityTargets:
    """Computes the warm capacity and the on-demand reserve from the demand of the last minutes."""

    def __init__(self, tuning: TuningOptions) -> None:
        self._tuning = tuning
        self.demand = Demand()
        """Demand of all work except backfill."""
        self.at_risk = Demand()
        """Demand of jobs that the loss of a spot machine may make late."""
        self.on_demand_only = Demand()
        """Demand of jobs that may not use spot machines."""

    def record_arrival(self, job: Job, now: Seconds) -> None:
        """Record the size of an arrived job for which capacity is kept ready.

        These are urgent jobs, and jobs that may not use spot machines.
        """
        if job.spec.priority >= Priority.HIGH:
            self.demand.record_job(job, now)
        if not job.spec.spot:
            self.on_demand_only.record_job(job, now)

    def sample(self, requested_cpus: float, use: CapacityUse, now: Seconds) -> None:
        """Record the current demand; `requested_cpus` are in use or waited for."""
        self.demand.sample(requested_cpus, now)
        self.at_risk.sample(use.at_risk_cpus, now)
        self.on_demand_only.sample(use.on_demand_only_cpus, now)

    def warm_cpus(self) -> float:
        """Total capacity to keep: the mean demand plus `spare_cpus`.

        The current demand is not used: by the time that a machine rented for a burst is up, most
        of the burst has passed, and the machine costs at least a minute.
        """
        return self._warm(self.demand, self.demand.mean())

    def spare_cpus(self) -> float:
        """Capacity in addition to the mean demand, for its variation or a large urgent job."""
        return self._spare(self.demand, self.demand.mean())

    def on_demand_cpus(self, now: Seconds) -> float:
        """Capacity to keep on on-demand machines.

        It is the base load of jobs at risk, plus the usual demand of jobs that may not use spot
        machines and its variation. The variation is computed as for the warm capacity.
        """
        usual_cpus = max(self.on_demand_only.mean(), self.on_demand_only.recent_mean(now))
        return self.at_risk.base_load(now) + self._warm(self.on_demand_only, usual_cpus)

    def _warm(self, demand: Demand, usual_cpus: float) -> float:
        return usual_cpus + self._spare(demand, usual_cpus)

    def _spare(self, demand: Demand, usual_cpus: float) -> float:
        variation = self._tuning.swings * demand.deviation()
        return max(variation, self._tuning.headroom * usual_cpus, demand.large_job_cpus())
