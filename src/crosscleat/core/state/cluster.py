"""The allocations of all machines, with the capacity, quota and zones that they use.

An allocation represents one attempt that may exist on a machine, whether or not the heartbeats list
it. It holds its capacity, its team's quota and its zone until one of these proves that the attempt
has ended:

- the newest heartbeat, of the same agent epoch, lists the attempt as exited;
- a heartbeat of a later agent epoch arrives, since the end of an epoch ends all its tasks;
- the cloud has confirmed the machine's deletion;
- the worker's lease has expired since the last response that any controller could have sent;
- the start order can no longer be executed (`Machine.may_still_start` is false) and the newest
  heartbeat does not list the attempt.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from ..model.ids import (
    AgentEpoch,
    Attempt,
    JobRef,
    MachineId,
    TaskId,
    Team,
    Zone,
)
from ..model.job_spec import JobSpec, Priority
from .allocations import Allocation
from .job_zones import NO_ZONES, is_zone_limited, tasks_left_in_zone
from .jobs import Job
from .machine import Machine


class ClusterState:
    """All machines and their allocations, with the capacity, quota and zones in use."""

    def __init__(self) -> None:
        self.machines: dict[MachineId, Machine] = {}
        self.team_cpus: dict[str, float] = {}
        self.team_gpus: dict[str, float] = {}
        self.job_zones: dict[str, dict[Zone, int]] = {}
        self._machines_by_team: dict[tuple[Team, Priority], dict[MachineId, int]] = {}
        """Number of allocations on each machine, by team and priority."""

    def machines_by_team(self) -> Iterator[tuple[Team, Priority, Collection[MachineId]]]:
        """Yield each team and priority that has allocations, with the machines that they are on."""
        for (team, priority), machines in self._machines_by_team.items():
            if machines:
                yield team, priority, machines.keys()

    def add(self, machine: Machine, allocation: Allocation) -> None:
        """Add an allocation and the resources that it uses."""
        machine.allocations[allocation.task, allocation.attempt] = allocation
        self._update_usage(machine, allocation, 1)

    def remove(self, machine: Machine, allocation: Allocation) -> None:
        """Release an allocation whose attempt is proven to have ended; repeats have no effect."""
        if machine.allocations.pop((allocation.task, allocation.attempt), None) is not None:
            self._update_usage(machine, allocation, -1)

    def find(
        self, job: JobRef, number: int, attempt: Attempt, machine_id: MachineId
    ) -> tuple[Machine, Allocation] | None:
        """Return the machine and this attempt's allocation on it; None if there is none."""
        machine = self.machines.get(machine_id)
        allocation = machine and machine.allocations.get((TaskId(job, number), attempt))
        return (machine, allocation) if machine and allocation else None

    def allocations_of(
        self, job: Job, except_number: int | None = None
    ) -> Iterator[tuple[Machine, Allocation]]:
        """Yield the allocations of the job's tasks, except that of task `except_number`."""
        for chunk in job.chunks.values():
            for number, placed in list(chunk.placed.items()):
                located = self.find(job.ref, number, placed.attempt, placed.machine)
                if located is not None and number != except_number:
                    yield located

    def _update_usage(self, machine: Machine, allocation: Allocation, sign: int) -> None:
        job = allocation.spec
        if machine.allocations:
            machine.used_cpus += sign * job.cpus
            machine.used_gpus += sign * job.gpus
            machine.used_memory += sign * job.memory_gb
        else:
            machine.used_cpus = machine.used_gpus = machine.used_memory = 0.0
        self.team_cpus[job.team] = self.team_cpus.get(job.team, 0.0) + sign * job.cpus
        self.team_gpus[job.team] = self.team_gpus.get(job.team, 0.0) + sign * job.gpus
        machine_counts = self._machines_by_team.setdefault((job.team, job.priority), {})
        machine_counts[machine.id] = machine_counts.get(machine.id, 0) + sign
        if machine_counts[machine.id] <= 0:
            del machine_counts[machine.id]
        zones = self.job_zones.setdefault(job.ref, {})
        zones[allocation.zone] = zones.get(allocation.zone, 0) + sign
        if zones[allocation.zone] <= 0:
            del zones[allocation.zone]
            if not zones:
                del self.job_zones[job.ref]

    def zone_allows(self, job: JobSpec, zone: Zone) -> bool:
        """Whether the job's zone constraints allow one more of its tasks in this zone."""
        return (
            not is_zone_limited(job)
            or tasks_left_in_zone(job, zone, self.job_zones.get(job.ref, NO_ZONES)) > 0
        )

    def allocations_before_epoch(
        self, machine: Machine, agent_epoch: AgentEpoch
    ) -> list[Allocation]:
        """The allocations whose attempts a heartbeat of this agent epoch proves to have ended."""
        return [
            allocation
            for allocation in machine.allocations.values()
            if allocation.agent_epoch < agent_epoch
        ]
