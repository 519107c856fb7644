"""Decides when scheduling cycles run, and commits their assignments.

A full cycle runs at fixed intervals, and shard owners plan their shards of it. A prompt cycle runs
as soon as something has changed that may allow a task to be placed.
"""

from __future__ import annotations

from itertools import groupby
from random import Random

from ..election.term import LeadingTerm
from ..model.ids import JobRef, Member, Seconds
from ..model.shards import ShardProposal
from ..scheduling.assignments import Assignment
from ..scheduling.cycle import MAX_ASSIGNMENTS
from ..scheduling.feasibility import CycleContext
from ..scheduling.preemption import PREEMPTION_INTERVAL_S, choose_victims
from ..scheduling.scoring import RunTimes
from ..scheduling.shard_dispatch import ShardDispatcher
from ..scheduling.sharding import ShardInputs
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from .attempts import Attempts
from .cycle_factory import CycleFactory, is_plannable
from .gang_control import GangControl
from .pending_work import PendingWork
from .placer import Placer

MACHINES_AT_FULL_RATE = 1_500
"""Number of machines above which prompt cycles run less often: each cycle looks at all machines."""

JOBS_AT_FULL_RATE = 250
"""Number of jobs above which prompt cycles run less often: each cycle looks at all jobs."""


class Scheduler:
    """Runs scheduling cycles, dispatches shards, and commits the assignments of both."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        run_times: RunTimes,
        cycles: CycleFactory,
        placer: Placer,
        gangs: GangControl,
        attempts: Attempts,
        pending: PendingWork,
        rng: Random,
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._run_times = run_times
        self._cycles = cycles
        self._placer = placer
        self._gangs = gangs
        self._attempts = attempts
        self._pending = pending
        self._rng = rng
        self._shards = ShardDispatcher(term, cluster, rng)
        self._next_cycle_at = term.now
        self._next_preemption_at = term.now
        self._preemption_deferred = False
        """The last cycle skipped preemption, because the last preemption was too recent."""

    def run_if_due(self, now: Seconds) -> None:
        """Run a cycle if something has changed or a deferred preemption is due.

        No cycle runs while the last one is too recent.
        """
        preemption_due = self._preemption_deferred and now >= self._next_preemption_at
        if (self._pending.cycle_wanted or preemption_due) and now >= self._next_cycle_at:
            self._next_cycle_at = Seconds(now + self._min_interval_s())
            self._pending.cycle_wanted = False
            self._run_cycle(now)

    def _min_interval_s(self) -> float:
        """Minimum time between two cycles, which limits their share of CPU time."""
        machine_factor = len(self._cluster.machines) / MACHINES_AT_FULL_RATE
        factor = max(1.0, machine_factor, len(self._jobs) / JOBS_AT_FULL_RATE)
        return factor * self._term.deployment.tuning.prompt_round_s

    def _run_cycle(self, now: Seconds) -> None:
        if not self._cycles.may_place(now):
            return
        self._gangs.complete_waiting(now)
        jobs = list(self._cycles.plannable_jobs())
        machines = self._cycles.usable_machines(now)
        own_jobs = [job for job in jobs if not self._shards.is_planned_elsewhere(job, now)]
        reservations = None
        if len(own_jobs) < len(jobs):
            reservations = self._cycles.new_cycle(now).reservations(jobs, machines)
        cycle = self._cycles.new_cycle(now)
        assignments = cycle.plan(own_jobs, machines, MAX_ASSIGNMENTS, reservations)
        self._commit(assignments)
        if len(assignments) >= MAX_ASSIGNMENTS:
            self._pending.cycle_wanted = True
        else:
            self._preempt(own_jobs, machines, now)

    def _commit(self, planned: list[Assignment]) -> None:
        for ref, assignments in groupby(planned, key=lambda assignment: assignment.job):
            job = self._jobs[ref]
            chosen = [self._cluster.machines[assignment.machine] for assignment in assignments]
            if job.is_gang:
                self._placer.place_gang(job, chosen)
                continue
            for machine in chosen:
                self._placer.place(job, machine)

    def _preempt(self, jobs: list[Job], machines: list[Machine], now: Seconds) -> None:
        """Stop running tasks, chosen by `choose_victims`, for jobs that got no free capacity."""
        self._preemption_deferred = now < self._next_preemption_at
        if self._preemption_deferred:
            return
        self._next_preemption_at = Seconds(now + PREEMPTION_INTERVAL_S)
        context = CycleContext(self._cluster, self._term.deployment.teams, now)
        victims = choose_victims(context, self._jobs, jobs, machines, self._rng)
        for machine, allocation in victims:
            self._attempts.preempt(machine, allocation)
        if victims:
            self._term.outbox.log("debug", f"{len(victims)} tasks preempted for more urgent work")

    def dispatch_shards(self, now: Seconds) -> None:
        """Send the other shard owners their shards of a full cycle."""
        if not self._cycles.may_place(now):
            return
        shards = self._shards.shards(self._cycles.plannable_jobs())
        if not shards:
            return
        machines = self._cycles.usable_machines(now)
        kept_for_on_demand = self._cycles.new_cycle(now).machines_kept_for_on_demand(machines)
        machines = [machine for machine in machines if machine.id not in kept_for_on_demand]
        reservations = self._cycles.new_cycle(now).reservations(
            self._cycles.plannable_jobs(), machines
        )
        urgent_reserve_cpus = self._cycles.urgent_reserve_cpus()
        inputs = ShardInputs(
            machines, reservations, urgent_reserve_cpus, self._run_times.factors, now
        )
        self._shards.dispatch(shards, inputs)

    def commit_proposal(self, member: Member, proposal: ShardProposal, now: Seconds) -> None:
        """Commit a shard owner's assignments, unless the proposal is outdated.

        Assignments that the current state no longer allows are skipped.
        """
        if not self._shards.expects(member, proposal):
            return
        assignments = self._shards.accept(member, proposal)
        self._pending.cycle_wanted = True
        if not self._term.may_start(now):
            return
        for assignment in assignments:
            job = self._jobs.get(assignment.job)
            machine = self._cluster.machines.get(assignment.machine)
            if job is not None and machine is not None and is_plannable(job):
                self._placer.place(job, machine)
