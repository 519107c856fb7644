"""How many tasks of each job are done and running, for display only."""

from __future__ import annotations

from collections import Counter

from ..model import heartbeats
from ..model.ids import JobRef
from ..state.cluster import ClusterState
from ..state.jobs import Job

MAX_COUNTS = 5_000
"""Jobs whose counts one message contains; others follow with the next."""


class Progress:
    """Remembers which counts were shown last."""

    def __init__(self, jobs: dict[JobRef, Job], cluster: ClusterState) -> None:
        self._jobs = jobs
        self._cluster = cluster
        self._shown: dict[JobRef, tuple[int, int]] = {}

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
            if self._shown.get(job.ref) != counts:
                self._shown[job.ref] = changed[job.ref] = counts
        return changed

    def forget(self, job: JobRef) -> None:
        """The job is over."""
        self._shown.pop(job, None)
