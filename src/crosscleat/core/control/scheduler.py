"""When rounds are planned, and how what they choose becomes placements."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import groupby
from random import Random

from ..capacity.fleet import Fleet
from ..capacity.machines import Machines
from ..election.term import LeadingTerm
from ..model.ids import JobRef, Member, Seconds
from ..model.shards import ShardProposal
from ..scheduling.cycle import MAX_ASSIGNMENTS, SchedulingCycle
from ..scheduling.feasibility import CycleContext, CycleReserves
from ..scheduling.free_capacity import Assignment, fetch_time
from ..scheduling.preemption import INTERVAL_S, choose_victims
from ..scheduling.quota import within_limit
from ..scheduling.scoring import RunTimes, Scorer
from ..scheduling.shard_dispatch import ShardDispatcher
from ..state.allocations import Allocation
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from ..state.placement_records import PlacementRecords
from .attempts import Attempts
from .gang_control import GangControl
from .pending_work import PendingWork

PROMPT_MACHINES = 1_500
"""With more machines rounds follow each other less closely, as each looks at all of them."""

PROMPT_JOBS = 250
"""The same with more jobs."""


class Scheduler:
    """Plans rounds, gives parts of them to other controllers and commits what is chosen."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        fleet: Fleet,
        scorer: Scorer,
        run_times: RunTimes,
        machines: Machines,
        gangs: GangControl,
        placement_records: PlacementRecords,
        pending: PendingWork,
        attempts: Attempts,
        rng: Random,
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._fleet = fleet
        self._scorer = scorer
        self._run_times = run_times
        self._machines = machines
        self._gangs = gangs
        self._placement_records = placement_records
        self._pending = pending
        self._attempts = attempts
        self._rng = rng
        self._shards = ShardDispatcher(term, cluster, rng)
        self._cycle_at = term.now
        self._preempt_at = term.now
        self._preempt_later = False
        """What waits was not looked at because this was done just before."""

    def run_if_due(self, now: Seconds) -> None:
        """Plan a round if something has changed, and not too soon after the one before."""
        preempts = self._preempt_later and now >= self._preempt_at
        if (self._pending.cycle_wanted or preempts) and now >= self._cycle_at:
            self._cycle_at = Seconds(now + self._prompt_s())
            self._pending.cycle_wanted = False
            self._run_cycle(now)

    def _prompt_s(self) -> float:
        """The least time between two rounds: it bounds their part of the processor."""
        machines = len(self._cluster.machines) / PROMPT_MACHINES
        stretched = max(1.0, machines, len(self._jobs) / PROMPT_JOBS)
        return stretched * self._term.deployment.tuning.prompt_round_s

    def _may_place(self, now: Seconds) -> bool:
        return self._term.may_start(now) and bool(self._fleet.types)

    def _run_cycle(self, now: Seconds) -> None:
        if not self._may_place(now):
            return
        self._gangs.complete(now, self)
        jobs = list(self._plannable())
        machines = self._usable(now)
        mine = [job for job in jobs if not self._shards.is_planned_elsewhere(job, now)]
        reservations = None
        if len(mine) < len(jobs):
            reservations = self._new_cycle(now).reservations(jobs, machines)
        planned = self._new_cycle(now).plan(mine, machines, MAX_ASSIGNMENTS, reservations)
        self._commit(planned, now)
        if len(planned) >= MAX_ASSIGNMENTS:
            self._pending.cycle_wanted = True
        else:
            self._preempt(mine, machines, now)

    def _commit(self, planned: list[Assignment], now: Seconds) -> None:
        for ref, assignments in groupby(planned, key=lambda assignment: assignment.job):
            chosen = [self._cluster.machines[assignment.machine] for assignment in assignments]
            if self._jobs[ref].gang:
                self.place_gang(self._jobs[ref], chosen, now)
                continue
            for machine in chosen:
                self.place(self._jobs[ref], machine)

    def _preempt(self, jobs: list[Job], machines: list[Machine], now: Seconds) -> None:
        """Stop work of a lower priority for what the round found no room for."""
        self._preempt_later = now < self._preempt_at
        if self._preempt_later:
            return
        self._preempt_at = Seconds(now + INTERVAL_S)
        context = CycleContext(self._cluster, self._term.deployment.teams, now)
        victims = choose_victims(context, self._jobs, jobs, machines, self._rng)
        for machine, allocation in victims:
            self._attempts.preempt(machine, allocation)
        if victims:
            self._term.outbox.log("debug", f"{len(victims)} tasks stopped for more urgent work")

    def _new_cycle(self, now: Seconds) -> SchedulingCycle:
        reserves = CycleReserves(
            urgent_cpus=self._urgent_reserve(),
            on_demand_cpus=self._fleet.targets.on_demand_only.large_job_cpus(),
            backfill_cpus=self._fleet.targets.spare_cpus(),
        )
        context = CycleContext(self._cluster, self._term.deployment.teams, now, reserves)
        return SchedulingCycle(context, self._scorer, self._rng)

    def _plannable(self) -> Iterator[Job]:
        return (job for job in self._jobs.values() if not job.cancelled and not job.needs_reread)

    def _usable(self, now: Seconds) -> list[Machine]:
        return [m for m in self._cluster.machines.values() if self._machines.usable(m, now)]

    def _urgent_reserve(self) -> float:
        """Room that work below urgent leaves free for urgent work to come."""
        return 0.5 * self._fleet.targets.demand.large_job_cpus()

    def places_to_complete(self, job: Job, left_s: float) -> list[Assignment]:
        """Places for the tasks that a waiting gang lacks, startable in so many seconds."""
        now = self._term.now
        machines = [m for m in self._usable(now) if m.id not in job.progress.lost_on]
        return self._new_cycle(now).complete_gang(job, machines, left_s)

    def dispatch_shards(self, now: Seconds) -> None:
        """At a full round, give the other owners their part of what waits."""
        if not self._may_place(now):
            return
        shards = self._shards.shards(self._plannable())
        if not shards:
            return
        machines = self._usable(now)
        left = self._new_cycle(now).machines_kept_for_on_demand(machines)
        machines = [machine for machine in machines if machine.id not in left]
        reservations = self._new_cycle(now).reservations(self._plannable(), machines)
        factors = self._run_times.factors
        self._shards.dispatch(shards, machines, reservations, self._urgent_reserve(), factors, now)

    def proposed(self, member: Member, proposal: ShardProposal, now: Seconds) -> None:
        """Commit what still holds of an owner's choices; an outdated proposal is worth nothing."""
        assignments = self._shards.accept(member, proposal)
        if assignments is None:
            return
        self._pending.cycle_wanted = True
        if not self._term.may_start(now):
            return
        for assignment in assignments:
            job = self._jobs.get(assignment.job)
            machine = self._cluster.machines.get(assignment.machine)
            if (
                job is not None
                and machine is not None
                and not job.cancelled
                and not job.needs_reread
            ):
                self.place(job, machine)

    def _admits(self, job: Job, machine: Machine, now: Seconds) -> bool:
        spec = job.spec
        limits = self._term.deployment.teams.get(spec.team)
        return (
            limits is not None
            and job.peek() is not None
            and self._machines.usable(machine, now)
            and machine.fits(spec)
            and machine.allowed(spec)
            and self._cluster.zone_allows(spec, machine.zone)
            and within_limit(
                self._cluster.team_cpus.get(spec.team, 0.0) + spec.cpus, limits.cpus_max
            )
            and within_limit(
                self._cluster.team_gpus.get(spec.team, 0.0) + spec.gpus, limits.gpus_max
            )
        )

    def place_gang(self, job: Job, machines: list[Machine], now: Seconds) -> None:
        """All tasks of a gang, or none."""
        if job.placed_count() or len(machines) != job.spec.tasks:
            return
        for machine in machines:
            self.place(job, machine)
        if job.placed_count() < job.spec.tasks:
            # Nothing of it was sent or written: it is as if it had not been placed.
            for machine, allocation in list(self._cluster.allocations_of(job)):
                self._attempts.ended(machine, allocation)

    def place(self, job: Job, machine: Machine) -> None:
        """Commit a choice, ours or proposed, if everything that may be there still admits it."""
        now = self._term.now
        if not self._admits(job, machine, now):
            return
        spec = job.spec
        task, attempt = job.place(machine.id, machine.heartbeat_id.agent_epoch)
        self._placement_records.of(job, job.chunk_of(task.number)).want(spec.priority, now)
        self._pending.write_soon()
        allocation = Allocation(
            task,
            attempt,
            spec,
            machine.id,
            machine.zone,
            machine.heartbeat_id.agent_epoch,
            placed_at=now,
        )
        self._cluster.add(machine, allocation)
        last = max(machine.images.values(), default=now)
        ready = Seconds(max(now, last) + fetch_time(spec, machine.type))
        machine.use_image(spec.image, spec.image_gb, ready)
