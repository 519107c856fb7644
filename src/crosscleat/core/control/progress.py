"""Counts the done and running tasks of each job, for display only."""

from __future__ import annotations

from collections import Counter

from ..model import heartbeats
from ..model.ids import JobRef
from ..state.cluster import ClusterState
from ..state.jobs import Job

MAX_COUNTS = 5_000
"""Maximum number of jobs in one message; the others follow in the next message."""


class Progress:
    """Computes which counts have changed since they were last reported."""

    def __init__(self, jobs: dict[JobRef, Job], cluster: ClusterState) -> None:
        self._jobs = jobs
        self._cluster = cluster
        self._last_counts: dict[JobRef, tuple[int, int]] = {}

    def changed_counts(self) -> dict[str, tuple[int, int]]:
        """Done and running tasks of the jobs for which either changed since the last call."""
        running = Counter(
            allocation.task.job
            for machine in self._cluster.machines.values()
            for allocation in machine.allocations.values()
            if allocation.task_state == heartbeats.RUNNING
        )
        changed: dict[str, tuple[int, int]] = {}
        for job in self._jobs.values():
            if len(changed) >= MAX_COUNTS:
                break
            counts = (job.done_count, running[job.ref])
            if self._last_counts.get(job.ref) != counts:
                self._last_counts[job.ref] = changed[job.ref] = counts
        return changed

    def forget(self, job: JobRef) -> None:
        """Drop the counts of a job that is over."""
        self._last_counts.pop(job, None)
