"""Where each attempt may be, and what proves that it has ended.

An allocation stands for one attempt that may exist on a machine, listed by its heartbeats or
not. It keeps its capacity, its team's quota and its zone until one of these is shown:

- a heartbeat newer than any other, of the same agent epoch, lists the attempt as exited;
- a heartbeat of a later agent epoch arrives, since the end of an epoch ends all its tasks;
- the cloud has confirmed the machine's deletion;
- the lease has expired since the last response that any controller could have sent;
- the start can no longer be executed (`Machine.may_still_start` is false) and the newest
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
    """All allocations, by machine, with the capacity, quota and zones that they take."""

    def __init__(self) -> None:
        self.machines: dict[MachineId, Machine] = {}
        self.team_cpus: dict[str, float] = {}
        self.team_gpus: dict[str, float] = {}
        self.job_zones: dict[str, dict[Zone, int]] = {}
        self._machines_by_team: dict[tuple[Team, Priority], dict[MachineId, int]] = {}
        """How many allocations of each team and priority a machine has."""

    def machines_by_team(self) -> Iterator[tuple[Team, Priority, Collection[MachineId]]]:
        """Teams and priorities that have allocations, and the machines that these are on."""
        for (team, priority), machines in self._machines_by_team.items():
            if machines:
                yield team, priority, machines.keys()

    def add(self, machine: Machine, allocation: Allocation) -> None:
        """Add an allocation, and count what it takes."""
        machine.allocations[allocation.task, allocation.attempt] = allocation
        self._count(machine, allocation, 1)

    def remove(self, machine: Machine, allocation: Allocation) -> None:
        """Release an allocation whose attempt is proven to have ended; repeats have no effect."""
        if machine.allocations.pop((allocation.task, allocation.attempt), None) is not None:
            self._count(machine, allocation, -1)

    def find(
        self, job: JobRef, number: int, attempt: Attempt, machine_id: MachineId
    ) -> tuple[Machine, Allocation] | None:
        """The allocation of this attempt on this machine; None if there is none."""
        machine = self.machines.get(machine_id)
        allocation = machine and machine.allocations.get((TaskId(job, number), attempt))
        return (machine, allocation) if machine and allocation else None

    def allocations_of(
        self, job: Job, except_number: int | None = None
    ) -> Iterator[tuple[Machine, Allocation]]:
        """Where the job's tasks may be, leaving out the one with the number `except_number`."""
        for chunk in job.chunks.values():
            for number, placed in list(chunk.placed.items()):
                found = self.find(job.ref, number, placed.attempt, placed.machine)
                if found is not None and number != except_number:
                    yield found

    def _count(self, machine: Machine, allocation: Allocation, sign: int) -> None:
        job = allocation.spec
        if machine.allocations:
            machine.used_cpus += sign * job.cpus
            machine.used_gpus += sign * job.gpus
            machine.used_memory += sign * job.memory_gb
        else:
            machine.used_cpus = machine.used_gpus = machine.used_memory = 0.0
        self.team_cpus[job.team] = self.team_cpus.get(job.team, 0.0) + sign * job.cpus
        self.team_gpus[job.team] = self.team_gpus.get(job.team, 0.0) + sign * job.gpus
        running = self._machines_by_team.setdefault((job.team, job.priority), {})
        running[machine.id] = running.get(machine.id, 0) + sign
        if running[machine.id] <= 0:
            del running[machine.id]
        zones = self.job_zones.setdefault(job.ref, {})
        zones[allocation.zone] = zones.get(allocation.zone, 0) + sign
        if zones[allocation.zone] <= 0:
            del zones[allocation.zone]
            if not zones:
                del self.job_zones[job.ref]

    def zone_allows(self, job: JobSpec, zone: Zone) -> bool:
        """Whether the job's zone constraints admit one more of its tasks in this zone."""
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
