"""Provides the inputs of a scheduling cycle: plannable jobs, usable machines and reserves."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from ..capacity.fleet import Fleet
from ..capacity.machines import Machines
from ..election.term import LeadingTerm
from ..model.ids import JobRef, Seconds
from ..scheduling.cycle import SchedulingCycle
from ..scheduling.feasibility import CycleContext, CycleReserves
from ..scheduling.scoring import Scorer
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine

URGENT_RESERVE_SHARE = 0.5
"""Free capacity reserved for urgent work, as a share of the CPUs of a large job."""


def is_plannable(job: Job) -> bool:
    """Whether tasks of the job may be placed: not if it is cancelled or its record outdated."""
    return not job.cancelled and not job.needs_reread


class CycleFactory:
    """Creates scheduling cycles from the current state of the cluster."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        fleet: Fleet,
        scorer: Scorer,
        machines: Machines,
        rng: Random,
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._fleet = fleet
        self._scorer = scorer
        self._machines = machines
        self._rng = rng

    def may_place(self, now: Seconds) -> bool:
        """Whether tasks may be placed: the leader may start tasks, and machine types are known."""
        return self._term.may_start(now) and bool(self._fleet.types)

    def plannable_jobs(self) -> Iterator[Job]:
        """Jobs whose tasks a cycle may place."""
        return (job for job in self._jobs.values() if is_plannable(job))

    def usable_machines(self, now: Seconds) -> list[Machine]:
        """Machines that a cycle may place tasks on."""
        usable = self._machines.usable
        return [machine for machine in self._cluster.machines.values() if usable(machine, now)]

    def urgent_reserve_cpus(self) -> float:
        """CPUs that work of lower priority leaves free for future urgent work."""
        return URGENT_RESERVE_SHARE * self._fleet.targets.demand.large_job_cpus()

    def new_cycle(self, now: Seconds) -> SchedulingCycle:
        """Create a cycle that plans for the current state."""
        reserves = CycleReserves(
            urgent_cpus=self.urgent_reserve_cpus(),
            on_demand_cpus=self._fleet.targets.on_demand_only.large_job_cpus(),
            backfill_cpus=self._fleet.targets.spare_cpus(),
        )
        context = CycleContext(self._cluster, self._term.deployment.teams, now, reserves)
        return SchedulingCycle(context, self._scorer, self._rng)
