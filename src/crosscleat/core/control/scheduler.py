"""When scheduling cycles run, and what becomes of what they choose.

A full cycle comes at fixed intervals, and shard owners plan their shards of it; a prompt cycle
follows as soon as something has changed that may let a task be placed.
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

PROMPT_MACHINES = 1_500
"""With more machines, prompt cycles follow each other less closely: each looks at all of them."""

PROMPT_JOBS = 250
"""With more jobs, prompt cycles follow each other less closely, for the same reason."""


class Scheduler:
    """Runs scheduling cycles, dispatches shards and commits the assignments of both."""

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
        self._cycle_at = term.now
        self._preempt_at = term.now
        self._preemption_deferred = False
        """The last cycle left tasks waiting, too soon after the last preemption for another."""

    def run_if_due(self, now: Seconds) -> None:
        """Run a cycle if something has changed, and not too soon after the last one."""
        preempts = self._preemption_deferred and now >= self._preempt_at
        if (self._pending.cycle_wanted or preempts) and now >= self._cycle_at:
            self._cycle_at = Seconds(now + self._min_interval_s())
            self._pending.cycle_wanted = False
            self._run_cycle(now)

    def _min_interval_s(self) -> float:
        """The least time between two cycles, which bounds their share of the processor."""
        machines = len(self._cluster.machines) / PROMPT_MACHINES
        factor = max(1.0, machines, len(self._jobs) / PROMPT_JOBS)
        return factor * self._term.deployment.tuning.prompt_round_s

    def _run_cycle(self, now: Seconds) -> None:
        if not self._cycles.may_place(now):
            return
        self._gangs.complete(now)
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
        """Stop work of a lower priority where the cycle found no free capacity."""
        self._preemption_deferred = now < self._preempt_at
        if self._preemption_deferred:
            return
        self._preempt_at = Seconds(now + PREEMPTION_INTERVAL_S)
        context = CycleContext(self._cluster, self._term.deployment.teams, now)
        victims = choose_victims(context, self._jobs, jobs, machines, self._rng)
        for machine, allocation in victims:
            self._attempts.preempt(machine, allocation)
        if victims:
            self._term.outbox.log("debug", f"{len(victims)} tasks stopped for more urgent work")

    def dispatch_shards(self, now: Seconds) -> None:
        """In a full cycle, send the other shard owners their shards."""
        if not self._cycles.may_place(now):
            return
        shards = self._shards.shards(self._cycles.plannable_jobs())
        if not shards:
            return
        machines = self._cycles.usable_machines(now)
        kept = self._cycles.new_cycle(now).machines_kept_for_on_demand(machines)
        machines = [machine for machine in machines if machine.id not in kept]
        reservations = self._cycles.new_cycle(now).reservations(
            self._cycles.plannable_jobs(), machines
        )
        reserve = self._cycles.urgent_reserve_cpus()
        inputs = ShardInputs(machines, reservations, reserve, self._run_times.factors, now)
        self._shards.dispatch(shards, inputs)

    def commit_proposal(self, member: Member, proposal: ShardProposal, now: Seconds) -> None:
        """Commit a shard owner's assignments as far as possible, if they are not outdated."""
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
