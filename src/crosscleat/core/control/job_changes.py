"""Applies submissions and cancellations of jobs to the leader's state."""

from __future__ import annotations

from collections.abc import Iterable

from ..capacity.fleet import Fleet
from ..capacity.interruptions import InterruptionStats
from ..election.term import LeadingTerm
from ..model.deployment import is_backfill
from ..model.ids import ABSENT, JobRef, Seconds, WallTime
from ..model.store_calls import Item
from ..scheduling.scoring import Scorer
from ..state.cluster import ClusterState
from ..state.job_records import is_cancelled, spec_of, submitted_at
from ..state.jobs import Job
from ..state.placement_records import PlacementRecords
from .attempts import Attempts
from .pending_work import PendingWork


class JobChanges:
    """Updates the leader's jobs from their live records in the store."""

    def __init__(
        self,
        term: LeadingTerm,
        jobs: dict[JobRef, Job],
        cluster: ClusterState,
        placement_records: PlacementRecords,
        fleet: Fleet,
        scorer: Scorer,
        interruptions: InterruptionStats,
        attempts: Attempts,
        pending: PendingWork,
        wall_time: WallTime,
    ) -> None:
        """`wall_time` is the wall-clock time at the beginning of the term."""
        self._term = term
        self._jobs = jobs
        self._cluster = cluster
        self._placement_records = placement_records
        self._fleet = fleet
        self._scorer = scorer
        self._interruptions = interruptions
        self._attempts = attempts
        self._pending = pending
        self._wall_offset_s = wall_time - term.now

    def create_job(self, live: Item, now: Seconds) -> Job:
        """Create a job from its live record.

        The record's submission time, on the wall clock, is converted to the monotonic clock.
        """
        submitted = Seconds(min(now, submitted_at(live.value) - self._wall_offset_s))
        chunk_length = self._placement_records.chunk_length
        job = Job(spec_of(live.value), live.version, submitted, chunk_length)
        job.backfill = is_backfill(job.spec, self._term.deployment.teams)
        return job

    def apply(self, changes: Iterable[Item], now: Seconds) -> None:
        """Apply live records that users' requests have created or changed."""
        for change in changes:
            ref = JobRef(change.key.partition("/")[2])
            job = self._jobs.get(ref)
            if change.version == ABSENT:
                continue
            if job is None:
                job = self._jobs[ref] = self.create_job(change, now)
                self._fleet.targets.record_arrival(job, now)
                job.at_risk = self._interruptions.at_risk(job, self._scorer, now)
                self._pending.cycle_wanted = True
                if is_cancelled(change.value):
                    self.cancel(job)
            elif change.version > job.version:
                job.version = change.version
                job.needs_reread = False
                self._pending.write_soon()
                if is_cancelled(change.value):
                    self.cancel(job)

    def cancel(self, job: Job) -> None:
        """Stop all attempts of the job; its end is recorded once all have ended."""
        if job.cancelled:
            return
        job.cancelled = True
        self._pending.write_soon()
        for machine, allocation in list(self._cluster.allocations_of(job)):
            self._attempts.stop(machine, allocation, 0.0)
        self._pending.record_end_if_over(job)
