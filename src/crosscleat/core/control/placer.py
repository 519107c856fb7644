"""Turns assignments into allocations, if the present state of the cluster still allows it.

Every attempt that may be running now counts against its machine, its zone and its team's quota.
"""

from __future__ import annotations

from ..capacity.machines import Machines
from ..election.term import LeadingTerm
from ..model.ids import Seconds
from ..scheduling.free_capacity import fetch_time
from ..scheduling.quota import within_limit
from ..state.allocations import Allocation
from ..state.cluster import ClusterState
from ..state.jobs import Job
from ..state.machine import Machine
from ..state.placement_records import PlacementRecords
from .attempts import Attempts
from .pending_work import PendingWork


class Placer:
    """Commits the assignments that the leader or a shard owner has planned."""

    def __init__(
        self,
        term: LeadingTerm,
        cluster: ClusterState,
        machines: Machines,
        placement_records: PlacementRecords,
        attempts: Attempts,
        pending: PendingWork,
    ) -> None:
        self._term = term
        self._cluster = cluster
        self._machines = machines
        self._placement_records = placement_records
        self._attempts = attempts
        self._pending = pending

    def place(self, job: Job, machine: Machine) -> None:
        """Place the job's next waiting task on the machine, if that is still allowed."""
        now = self._term.now
        if not self._can_place(job, machine, now):
            return
        spec = job.spec
        task, attempt = job.place(machine.id, machine.heartbeat_id.agent_epoch)
        self._placement_records.record_for(job, job.chunk_of(task.number)).mark_changed(
            spec.priority, now
        )
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
        # Assumes that a machine fetches images one after the other.
        last_ready = max(machine.images.ready_at.values(), default=now)
        ready = Seconds(max(now, last_ready) + fetch_time(spec, machine.type))
        machine.use_image(spec.image, spec.image_gb, ready)

    def place_gang(self, job: Job, machines: list[Machine]) -> None:
        """Place all tasks of a gang, or none."""
        if job.placed_count() or len(machines) != job.spec.tasks:
            return
        for machine in machines:
            self.place(job, machine)
        if job.placed_count() < job.spec.tasks:
            # No start was sent and no placement written yet, so the allocations can be released.
            for machine, allocation in list(self._cluster.allocations_of(job)):
                self._attempts.handle_end(machine, allocation)

    def _can_place(self, job: Job, machine: Machine, now: Seconds) -> bool:
        """Whether a task waits, and the machine, its zone and the team's quota allow it."""
        spec = job.spec
        limits = self._term.deployment.teams.get(spec.team)
        cpus, gpus = self._cluster.team_cpus, self._cluster.team_gpus
        return (
            limits is not None
            and job.next_task() is not None
            and self._machines.usable(machine, now)
            and machine.fits(spec)
            and machine.allows(spec)
            and self._cluster.zone_allows(spec, machine.zone)
            and within_limit(cpus.get(spec.team, 0.0) + spec.cpus, limits.cpus_max)
            and within_limit(gpus.get(spec.team, 0.0) + spec.gpus, limits.gpus_max)
        )
