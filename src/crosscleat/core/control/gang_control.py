"""Replaces lost members of waiting gangs, and stops gangs that can't continue."""

from __future__ import annotations

from ..election.term import LeadingTerm
from ..model.ids import JobRef, Seconds
from ..scheduling.scoring import Scorer
from ..state.allocations import Allocation
from ..state.cluster import ClusterState
from ..state.gangs import InterruptionResponse, Phase, phase_of, respond_to_notice
from ..state.jobs import Job
from ..state.machine import Machine
from .attempts import Attempts
from .cycle_factory import CycleFactory
from .pending_work import PendingWork
from .placer import Placer


class GangControl:
    """Replaces lost gang members, and decides what to do with gangs on machines to be reclaimed."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        scorer: Scorer,
        cycles: CycleFactory,
        placer: Placer,
        attempts: Attempts,
        pending: PendingWork,
    ) -> None:
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._scorer = scorer
        self._cycles = cycles
        self._placer = placer
        self._attempts = attempts
        self._pending = pending

    def resume(self, job: Job) -> None:
        """Take over a gang from an earlier leader.

        If the placements of all members are recorded, the gang continues. Otherwise no start was
        sent, or a member was lost: `complete_waiting` replaces the missing members or stops the
        gang.
        """
        if job.done_count:
            job.finish_unplaced()
        elif job.partly_placed:
            # Whether its members still wait is known once all its machines have sent a heartbeat.
            self._pending.incomplete_gangs[job.ref] = job

    def complete_waiting(self, now: Seconds) -> None:
        """Replace lost members of gangs that still wait, with the same attempt number.

        A gang that has left the waiting phase, or can't be completed, is stopped.
        """
        incomplete = self._pending.incomplete_gangs
        for job in list(incomplete.values()):
            if job.cancelled or not job.partly_placed:
                incomplete.pop(job.ref, None)
                continue
            phase = phase_of(self._cluster.allocations_of(job))
            if phase is Phase.UNCONFIRMED or job.needs_reread:
                continue
            incomplete.pop(job.ref, None)
            if phase is not Phase.WAITING or not self._replace_missing(job, now):
                # No time to save is given: progress is lost, or has been saved already.
                self._attempts.stop_gang(job, 0.0)

    def _replace_missing(self, job: Job, now: Seconds) -> bool:
        """Place the missing members on machines where they can start while the others still wait.

        Returns whether all members are placed.
        """
        missing = job.spec.tasks - job.placed_count()
        if missing != job.waiting_count():
            return False
        waiting_since = job.progress.waiting_since
        waited_s = 0.0 if waiting_since is None else now - waiting_since
        time_left_s = self._term.deployment.gang_wait_s - waited_s
        machines = [
            machine
            for machine in self._cycles.usable_machines(now)
            if machine.id not in job.progress.lost_on
        ]
        for assignment in self._cycles.new_cycle(now).complete_gang(job, machines, time_left_s):
            self._placer.place(job, self._cluster.machines[assignment.machine])
        if job.placed_count() < job.spec.tasks:
            return False
        log = f"job {job.ref}: replaced {missing} lost tasks of its waiting gang"
        self._term.outbox.log("info", log)
        return True

    def evacuate(self, machine: Machine, now: Seconds) -> None:
        """Decide by `respond_to_notice` what to do with the gangs on a machine to be reclaimed."""
        if machine.reclaim_at is None:
            return
        for allocation in list(machine.allocations.values()):
            job = self._jobs.get(allocation.task.job)
            if (
                job is not None
                and job.is_gang
                and not job.cancelled
                and not allocation.being_replaced
            ):
                self._respond_to_notice(job, machine, allocation, machine.reclaim_at - now, now)

    def _respond_to_notice(
        self, job: Job, machine: Machine, allocation: Allocation, notice_s: float, now: Seconds
    ) -> None:
        decision = respond_to_notice(
            job.spec,
            list(self._cluster.allocations_of(job)),
            self._scorer.remaining_s(job) - job.progress.run_time_s(now),
            notice_s,
            self._term.deployment,
            now,
        )
        match decision:
            case InterruptionResponse.REPLACE:
                allocation.being_replaced = True
                self._attempts.stop(machine, allocation, 0.0)
            case InterruptionResponse.STOP_AND_SAVE:
                self._attempts.stop_gang(job, job.spec.save_s)
            case InterruptionResponse.STOP:
                self._attempts.stop_gang(job, 0.0)
            case InterruptionResponse.KEEP:
                pass
