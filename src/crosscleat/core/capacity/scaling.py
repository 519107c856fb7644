"""What is rented and returned in a term, within the period's budget, one rental call at a time."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from ..election.term import LeadingTerm
from ..model.cloud_calls import Rent, RentalOutcome, RentalUnanswered, Rented
from ..model.ids import JobRef, MachineId, Seconds
from ..scheduling.scoring import Scorer
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from .budget import Budget
from .decommissioning import Decommissioner
from .fleet import Fleet, ScaleOutRequest
from .interruptions import InterruptionStats
from .machines import Machines

ADJUST_S = 1.0
"""How often the fleet is looked at; sooner after a rental was answered."""

MAX_TRIES = 4
"""A rental without an answer is repeated so often, under its name."""

HEARD_S = 3.0
"""A new leader rents nothing for so long at the most, while machines report to it."""

HEARD_REPORTS = 1.3


class SurplusMachines(Protocol):
    """Empties machines that are to be returned (`control.evacuation.Evacuation`)."""

    def release_surplus(self, machine: Machine) -> None:
        """Stop what runs on the machine, which is returned once it is empty."""


class Autoscaler:
    """Rents for waiting work and the warm room, and returns what is idle."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        fleet: Fleet,
        scorer: Scorer,
        interruptions: InterruptionStats,
        machines: Machines,
        decommissioner: Decommissioner,
        surplus: SurplusMachines,
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._fleet = fleet
        self._scorer = scorer
        self._interruptions = interruptions
        self._machines = machines
        self._decommissioner = decommissioner
        self._surplus = surplus
        self._budget: Budget | None = None
        self._under_way = False
        self._number = 0
        self._adjust_at = term.now
        self._judged_at = term.now
        self._expects_machines = True
        """Machines may be rented from before this term."""

    def expect_no_machines(self) -> None:
        """Nothing was on record when the term began: hardly a machine is rented."""
        self._expects_machines = False

    def adjust(self, now: Seconds) -> None:
        """Rent the batch that is wanted most, if any, and return idle machines."""
        if now < self._adjust_at or not self._fleet.types or not self._term.may_start(now):
            return
        self._judge_risks(now)
        self._adjust_at = Seconds(now + ADJUST_S)
        machines = list(self._cluster.machines.values())
        rate = sum(m.type.price_for(m.spot) for m in machines) / 3600.0
        if self._budget is None:
            tuning = self._term.deployment.tuning
            self._budget = Budget(tuning.period_s, self._allowance(), now)
        self._budget.charge(rate, now)
        jobs = [job for job in self._jobs.values() if not job.cancelled]
        wanted = self._fleet.wanted(
            jobs,
            self._term.deployment.teams,
            self._cluster.team_cpus,
            machines,
            now,
            self._cpus_of(lambda job: job.at_risk),
            self._cpus_of(lambda job: not job.spec.spot and not job.cancelled),
            self._backfill_in_use(),
        )
        if wanted is not None and not self._under_way and self._heard_of_fleet(now):
            more = self._rate(wanted)
            waiting = self._waiting_cost(jobs)
            if wanted.overdue or self._budget.admits(rate, more, waiting, now):
                self.rent(wanted)
        for machine in self._fleet.scale_in_candidates(machines, self._term.deployment.teams, now):
            if machine.allocations:
                self._surplus.release_surplus(machine)
            else:
                self._decommissioner.decommission(machine, "idle")

    def _judge_risks(self, now: Seconds) -> None:
        """Once a second, whose tasks had better not be lost; which may change with their age."""
        cheap = sum(1 for m in self._cluster.machines.values() if m.up and m.spot)
        self._interruptions.passed(min(1.0, now - self._judged_at), cheap)
        self._judged_at = now
        for job in self._jobs.values():
            job.at_risk = not job.cancelled and self._interruptions.at_risk(job, self._scorer, now)

    def _cpus_of(self, those: Callable[[Job], bool]) -> float:
        return sum(
            job.spec.cpus * (job.waiting_count() + job.placed_count())
            for job in self._jobs.values()
            if those(job)
        )

    def _backfill_in_use(self) -> float:
        return sum(
            job.spec.cpus * job.placed_count() for job in self._jobs.values() if job.backfill
        )

    def _heard_of_fleet(self, now: Seconds) -> bool:
        """A new leader first hears of the machines there are, or it would rent them twice.

        Unless nothing is on record: then no work has begun, and hardly a machine is rented.
        """
        wait_s = min(HEARD_S, self._term.deployment.heartbeat_interval_s * HEARD_REPORTS)
        return not self._expects_machines or now - self._term.began > wait_s

    def _rate(self, wanted: ScaleOutRequest) -> float:
        kind = self._fleet.types[wanted.pool.type]
        return kind.price_for(wanted.pool.spot) * wanted.count / 3600.0

    def _allowance(self) -> float:
        """The starting budget: every team's guarantee on ordinary machines for a period."""
        per_cpu = min(
            (t.price / t.cpus for t in self._fleet.types.values() if t.cpus > 0), default=0.0
        )
        deployment = self._term.deployment
        cpus = sum(limits.cpus for limits in deployment.teams.values())
        tuning = deployment.tuning
        return tuning.budget_factor * cpus * per_cpu * tuning.period_s / 3600.0

    def _waiting_cost(self, jobs: Iterable[Job]) -> float:
        is_expensive = max(self._fleet.types.values(), key=lambda t: t.price / max(t.cpus, 1e-9))
        return sum(
            job.waiting_count() * self._scorer.cost(job, is_expensive, False, 0.0) for job in jobs
        )

    def rent(self, wanted: ScaleOutRequest) -> None:
        """Send one rental request."""
        self._under_way = True
        self._number += 1
        # The token is ours alone, so no controller, nor an earlier life of it, uses this name.
        name = f"r-{self._term.began_token}-{self._number}"
        self._request(name, wanted, 1)

    def _request(self, name: str, wanted: ScaleOutRequest, tries: int) -> None:
        pool = wanted.pool
        self._term.outbox.add(
            Rent(
                name,
                pool.type,
                pool.zone,
                pool.spot,
                wanted.count,
                lambda outcome: self._answered(name, wanted, tries, outcome),
            )
        )

    def _answered(
        self, name: str, wanted: ScaleOutRequest, tries: int, outcome: RentalOutcome
    ) -> None:
        if self._term.retired:
            return
        if isinstance(outcome, RentalUnanswered) and tries < MAX_TRIES:
            self._request(name, wanted, tries + 1)
            return
        now = self._term.now
        pool = self._fleet.pool(wanted.pool)
        self._under_way = False
        if not isinstance(outcome, Rented):
            pool.refuse(now)
            return
        for machine in outcome.machines:
            self._machines.enter_rented(wanted.pool, MachineId(machine))
        key = wanted.pool
        self._term.outbox.log("info", f"rented {len(outcome.machines)} of {key.type} in {key.zone}")
        if len(outcome.machines) < wanted.count:
            pool.refuse(now)
        else:
            pool.granted()
        self._adjust_at = now
