"""What the leader does with gangs: complete those that wait, and stop those that can't go on."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ..election.term import LeadingTerm
from ..model.ids import JobRef, Seconds
from ..scheduling.free_capacity import Assignment
from ..scheduling.scoring import Scorer
from ..state.allocations import Allocation
from ..state.cluster import ClusterState
from ..state.gangs import OnNotice, Phase, may_replace, on_notice, phase_of
from ..state.jobs import Job
from ..state.machine import Machine


def allocations_of(
    cluster: ClusterState, job: Job, but: int | None = None
) -> Iterator[tuple[Machine, Allocation]]:
    """Where the job's tasks may be, leaving out the one with the number `but`."""
    for chunk in job.chunks.values():
        for number, placed in list(chunk.placed.items()):
            found = cluster.find(job.ref, number, placed.attempt, placed.machine)
            if found is not None and number != but:
                yield found


class GangControl:
    """Gangs whose attempt lost a task, or is to end."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        scorer: Scorer,
        stop_attempt: Callable[[Machine, Allocation, float], None],
        find_places: Callable[[Job, float], list[Assignment]],
        place: Callable[[Job, Machine], None],
    ) -> None:
        """`withdraw`: stop an attempt with so much time to save; `find_places`: for the tasks that
        a gang lacks, startable in so many seconds; `place`: commit one of them."""
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._scorer = scorer
        self._stop_attempt = stop_attempt
        self._find_places = find_places
        self._place = place
        self._incomplete: dict[JobRef, Job] = {}
        """Gangs that may still wait for a task that was lost."""

    @property
    def any_incomplete(self) -> bool:
        """Whether a round has gangs to complete."""
        return bool(self._incomplete)

    def resume(self, job: Job) -> None:
        """A gang as an earlier leader left it: whole, it goes on; else it is completed or ended.

        Of one that is not whole on record no start was sent, or a part of it is gone.
        """
        if job.done_count:
            job.finish_unplaced()
        elif job.partly_placed:
            # Its tasks may wait yet: decided once all its machines are heard of.
            self._incomplete[job.ref] = job

    def lost(self, job: Job, number: int, machine: Machine, cause: str | None) -> None:
        """A task of the gang ended without result: it is replaced, or the attempt ends."""
        if may_replace(cause, allocations_of(self._cluster, job, but=number)):
            job.progress.lost_on.add(machine.id)
            self._incomplete[job.ref] = job
        elif job.progress.stopped_at is None:
            self._end_attempt(job)

    def _end_attempt(self, job: Job) -> None:
        """With no grace: progress since the last checkpoint is lost, or saved already."""
        self.stop(job, 0.0)

    def stop(self, job: Job, grace_s: float) -> None:
        """All that is left of it is stopped at once, and placed anew together when the last is
        proven gone."""
        self._incomplete.pop(job.ref, None)
        job.progress.stops(self._term.now)
        going_on = [
            (m, allocation)
            for m, allocation in allocations_of(self._cluster, job)
            if not allocation.stopping
        ]
        for _, allocation in going_on:
            # All before any is found gone: the end of one must not end the attempt once more.
            allocation.stopping = True
        for machine, allocation in going_on:
            self._stop_attempt(machine, allocation, grace_s)

    def complete(self, now: Seconds) -> None:
        """Replace lost tasks of gangs that still wait, under the number of their attempt."""
        for job in list(self._incomplete.values()):
            if job.cancelled or not job.partly_placed:
                self._incomplete.pop(job.ref, None)
                continue
            phase = phase_of(allocations_of(self._cluster, job))
            if phase is Phase.UNHEARD or job.needs_reread:
                continue
            self._incomplete.pop(job.ref, None)
            if phase is not Phase.WAITING or not self._complete(job, now):
                self._end_attempt(job)

    def _complete(self, job: Job, now: Seconds) -> bool:
        """Place the missing tasks where they can start while the others still wait."""
        missing = job.spec.tasks - job.placed_count()
        if missing != job.waiting_count():
            return False
        since = job.progress.waiting_since
        waited_s = 0.0 if since is None else now - since
        left_s = self._term.deployment.gang_wait_s - waited_s
        for assignment in self._find_places(job, left_s):
            self._place(job, self._cluster.machines[assignment.machine])
        if job.placed_count() < job.spec.tasks:
            return False
        log = f"job {job.ref}: {missing} lost tasks of a waiting gang replaced"
        self._term.outbox.log("info", log)
        return True

    def evacuate(self, machine: Machine, now: Seconds) -> None:
        """Decide what becomes of the gangs on a machine that is to be taken back."""
        if machine.reclaim_at is None:
            return
        for allocation in list(machine.allocations.values()):
            job = self._jobs.get(allocation.task.job)
            if job is not None and job.gang and not job.cancelled and not allocation.replaced:
                self._evacuate(job, machine, allocation, machine.reclaim_at - now, now)

    def _evacuate(
        self, job: Job, machine: Machine, allocation: Allocation, notice_s: float, now: Seconds
    ) -> None:
        decision = on_notice(
            job.spec,
            list(allocations_of(self._cluster, job)),
            self._scorer.remaining_s(job) - job.progress.ran_s(now),
            notice_s,
            self._term.deployment,
            now,
        )
        match decision:
            case OnNotice.REPLACE:
                allocation.replaced = True
                self._stop_attempt(machine, allocation, 0.0)
            case OnNotice.STOP_AND_SAVE:
                self.stop(job, job.spec.save_s)
            case OnNotice.STOP:
                self.stop(job, 0.0)
            case OnNotice.KEEP:
                pass
