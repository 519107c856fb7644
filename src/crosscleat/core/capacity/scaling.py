"""Scales out and in during a term: one rental call at a time, within the period's budget."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from ..election.term import LeadingTerm
from ..model.cloud import HOUR_S
from ..model.cloud_calls import Rent, RentalOutcome, RentalUnanswered, Rented
from ..model.ids import LONG_AGO, JobRef, MachineId, Seconds
from ..scheduling.scoring import Scorer
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from .budget import Budget
from .capacity_targets import CapacityUse
from .decommissioning import Decommissioner
from .fleet import Fleet
from .interruptions import InterruptionStats
from .machines import Machines
from .pool_catalog import price_per_cpu
from .pools import ScaleOutRequest
from .waiting_reasons import WaitingReport

ADJUST_INTERVAL_S = 1.0
"""Seconds between two scaling decisions; a rental that returned machines allows one at once."""

REPORT_INTERVAL_S = 30.0
"""Seconds between two log reports of why nothing is rented for waiting jobs."""

MAX_RENTAL_ATTEMPTS = 4
"""Maximum number of times that an unanswered rental is sent, each under the same name."""

MAX_DISCOVERY_S = 3.0
"""Maximum time in seconds that a new leader rents nothing, while machines report to it."""

DISCOVERY_HEARTBEATS = 1.3
"""The same time in heartbeat intervals; the shorter of the two applies."""


class SurplusMachines(Protocol):
    """Stops the tasks on machines that are to be returned (`control.evacuation.Evacuation`)."""

    def release_surplus(self, machine: Machine) -> None:
        """Stop all attempts on the machine, which is returned once it has none left."""


class Autoscaler:
    """Rents machines for waiting work and the warm capacity, and returns unneeded machines."""

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
        """Created once the machine types are known, as their prices determine the allowance."""
        self._rental_pending = False
        self._rental_count = 0
        """Number of rental requests in this term, repeats not included."""
        self._next_adjust_at = term.now
        self._next_report_at = term.now
        self._budget_logged_at = LONG_AGO
        self._risks_updated_at = term.now
        self._expects_machines = True
        """Machines that were rented before this term may still be rented."""

    def expect_no_machines(self) -> None:
        """Rent without waiting for reports: no record existed when the term began."""
        self._expects_machines = False

    def adjust(self, now: Seconds) -> None:
        """Request the next rental, if any, and return unneeded machines; acts once a second."""
        if now < self._next_adjust_at or not self._fleet.types or not self._term.may_start(now):
            return
        self._update_risks(now)
        self._next_adjust_at = Seconds(now + ADJUST_INTERVAL_S)
        machines = list(self._cluster.machines.values())
        self._scale_out(machines, now)
        self._scale_in(machines, now)

    def _scale_out(self, machines: list[Machine], now: Seconds) -> None:
        """Request the next rental, unless one is pending or the budget does not allow it."""
        rate_per_s = sum(machine.type.price_for(machine.spot) for machine in machines) / HOUR_S
        budget = self._charged_budget(rate_per_s, now)
        jobs = [job for job in self._jobs.values() if not job.cancelled]
        teams = self._term.deployment.teams
        report = WaitingReport(now, wanted=now >= self._next_report_at)
        use = self._capacity_use()
        request = self._fleet.next_scale_out(jobs, machines, teams, use, now, report)
        self._log_waiting(report, now)
        if request is None or self._rental_pending or not self._machines_discovered(now):
            return
        added_per_s = self._rate_per_s(request)
        waiting_cost = self._waiting_cost(jobs)
        if request.overdue or budget.admits(rate_per_s, added_per_s, waiting_cost, now):
            self.rent(request)
        elif now >= self._budget_logged_at + REPORT_INTERVAL_S:
            self._budget_logged_at = now
            pool = request.pool
            self._log(f"over budget, not rented: {request.count} of {pool.type} in {pool.zone}")

    def _log_waiting(self, report: WaitingReport, now: Seconds) -> None:
        """Log why jobs that have waited for long have no machine rented for them."""
        if now < self._next_report_at:
            return
        self._next_report_at = Seconds(now + REPORT_INTERVAL_S)
        for waiting in report.oldest():
            self._log(str(waiting))

    def _log(self, text: str) -> None:
        self._term.outbox.log("info", text)

    def _scale_in(self, machines: list[Machine], now: Seconds) -> None:
        teams = self._term.deployment.teams
        for machine in self._fleet.scale_in_candidates(machines, teams, now):
            if machine.allocations:
                self._surplus.release_surplus(machine)
            else:
                self._decommissioner.decommission(machine, "idle")

    def _update_risks(self, now: Seconds) -> None:
        """Update which jobs the loss of a spot machine would make late; it changes with age."""
        spot_machines = sum(
            1 for m in self._cluster.machines.values() if m.has_sent_heartbeat and m.spot
        )
        elapsed_s = min(ADJUST_INTERVAL_S, now - self._risks_updated_at)
        self._interruptions.record_uptime(elapsed_s, spot_machines)
        self._risks_updated_at = now
        for job in self._jobs.values():
            job.at_risk = not job.cancelled and self._interruptions.at_risk(job, self._scorer, now)

    def _capacity_use(self) -> CapacityUse:
        """Capacity used and requested, by the classes of work that capacity is kept for."""
        return CapacityUse(
            cpus_by_team=self._cluster.team_cpus,
            gpus_by_team=self._cluster.team_gpus,
            job_zones=self._cluster.job_zones,
            at_risk_cpus=self._cpus_of(lambda job: job.at_risk),
            on_demand_only_cpus=self._cpus_of(lambda job: not job.spec.spot and not job.cancelled),
            backfill_cpus=sum(
                job.spec.cpus * job.placed_count() for job in self._jobs.values() if job.backfill
            ),
        )

    def _cpus_of(self, selects: Callable[[Job], bool]) -> float:
        """CPUs that the selected jobs use or wait for."""
        return sum(
            job.spec.cpus * (job.waiting_count() + job.placed_count())
            for job in self._jobs.values()
            if selects(job)
        )

    def _machines_discovered(self, now: Seconds) -> bool:
        """Whether the rented machines have had time to report to a new leader.

        A leader that rented earlier would rent the same machines a second time. If no record
        existed when the term began, no work has started and hardly any machine is rented, so it
        need not wait.
        """
        interval_s = self._term.deployment.heartbeat_interval_s
        wait_s = min(MAX_DISCOVERY_S, interval_s * DISCOVERY_HEARTBEATS)
        return not self._expects_machines or now - self._term.began_at > wait_s

    # Budget

    def _charged_budget(self, rate_per_s: float, now: Seconds) -> Budget:
        """The budget, charged with the cost of the rented machines up to now."""
        if self._budget is None:
            period_s = self._term.deployment.tuning.period_s
            self._budget = Budget(period_s, self._allowance(), now)
        self._budget.charge(rate_per_s, now)
        return self._budget

    def _allowance(self) -> float:
        """A period's allowance.

        It is `budget_factor` times the cost of the CPUs guaranteed to all teams, on the cheapest
        on-demand machines.
        """
        per_cpu = min(
            (t.price / t.cpus for t in self._fleet.types.values() if t.cpus > 0), default=0.0
        )
        deployment = self._term.deployment
        cpus = sum(limits.cpus for limits in deployment.teams.values())
        tuning = deployment.tuning
        return tuning.budget_factor * cpus * per_cpu * tuning.period_s / HOUR_S

    def _rate_per_s(self, request: ScaleOutRequest) -> float:
        """Price per second of the requested machines."""
        machine_type = self._fleet.types[request.pool.type]
        return machine_type.price_for(request.pool.spot) * request.count / HOUR_S

    def _waiting_cost(self, jobs: Iterable[Job]) -> float:
        """Cost of all waiting tasks on on-demand machines of the type with the costliest CPUs."""
        costliest = max(
            self._fleet.types.values(),
            key=lambda machine_type: price_per_cpu(machine_type, False),
        )
        return sum(
            job.waiting_count() * self._scorer.cost(job, costliest, False, 0.0) for job in jobs
        )

    # Rental calls

    def rent(self, request: ScaleOutRequest) -> None:
        """Send one rental request."""
        self._rental_pending = True
        self._rental_count += 1
        # The token belongs to this term alone: no other controller, and no earlier process of this
        # one, uses the same name.
        self._send(f"r-{self._term.initial_token}-{self._rental_count}", request, 1)

    def _send(self, name: str, request: ScaleOutRequest, attempt: int) -> None:
        pool = request.pool
        self._term.outbox.add(
            Rent(
                name,
                pool.type,
                pool.zone,
                pool.spot,
                request.count,
                lambda outcome: self._receive_outcome(name, request, attempt, outcome),
            )
        )

    def _receive_outcome(
        self, name: str, request: ScaleOutRequest, attempt: int, outcome: RentalOutcome
    ) -> None:
        if self._term.retired:
            return
        if isinstance(outcome, RentalUnanswered) and attempt < MAX_RENTAL_ATTEMPTS:
            self._send(name, request, attempt + 1)
            return
        now = self._term.now
        key = request.pool
        pool = self._fleet.catalog.pool(key)
        self._rental_pending = False
        if not isinstance(outcome, Rented):
            pool.record_refusal(now)
            self._log(f"rental refused or unanswered: {request.count} of {key.type} in {key.zone}")
            return
        for machine_id in outcome.machines:
            self._machines.add_rented(key, MachineId(machine_id))
        rented = len(outcome.machines)
        self._log(f"scaled out by {rented} of {key.type} in {key.zone}")
        if rented < request.count:
            pool.record_refusal(now)
        else:
            pool.record_success()
        self._next_adjust_at = now
