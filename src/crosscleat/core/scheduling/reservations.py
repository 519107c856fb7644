"""Reserves machines so that they empty for large tasks and gangs.

Small tasks take any capacity that is freed. Without reservations, a task that needs much of a
machine, or a gang that needs several places at once, would wait as long as small tasks arrive.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..model.ids import TypeName, Zone
from ..state.jobs import Job
from ..state.machine import Machine
from .assignments import Reservation
from .feasibility import LARGE_TASK_SHARE, Feasibility
from .free_capacity import FreeCapacity, count_fitting, group_by_zone
from .scoring import Scorer

RESERVE_AFTER_S = 5.0
"""Machines are reserved for a job that has waited at least this many seconds."""

RESERVED_SHARE = 0.3
"""Maximum share of the machines suitable for a job that may be reserved. Reservations for all jobs
count, and one machine may always be reserved."""


@dataclass(slots=True)
class MachineGroup:
    """Candidates with the same machine type and zone, all spot or all on-demand.

    They are alike for every job.
    """

    machine: Machine
    """Any machine of the group, as an example."""
    candidates: list[FreeCapacity] = field(default_factory=list)
    reserved: int = 0


Unreserved = tuple[float, float, int, FreeCapacity, MachineGroup]
"""Three sort keys (negated CPUs, negated memory, a unique number), a candidate and its group."""


class SmallestMachine(NamedTuple):
    """The smallest amount of each resource among the machine types."""

    cpus: float
    memory_gb: float


def reserve_machines(feasibility: Feasibility, waiting: Iterable[Job], scorer: Scorer) -> None:
    """Reserve machines for large tasks and gangs that have waited, for the oldest job first."""
    groups = _groups(feasibility.candidates)
    now = feasibility.now
    waited = [job for job in waiting if now - job.submitted >= RESERVE_AFTER_S]
    smallest = _smallest(groups)
    eligible = [job for job in waited if job.is_gang or _may_be_large(job, smallest)]
    for job in sorted(eligible, key=lambda job: job.submitted):
        if not feasibility.quota_admits(job):
            continue
        suitable = [
            group
            for group in groups
            if _is_large_on(job, group.machine, scorer)
            and feasibility.tasks_left_in_zone(job, group.machine.zone) > 0
        ]
        if job.is_gang:
            suitable = _groups_for_whole_gang(job, suitable, feasibility)
        max_reserved = max(
            1, int(RESERVED_SHARE * sum(len(group.candidates) for group in suitable))
        )
        count = max_reserved - sum(group.reserved for group in suitable)
        count = min(count, _machines_needed(job, suitable, scorer, job.waiting_count()))
        if count > 0 and job.spec.spread:
            _reserve_by_zone(job, suitable, count, feasibility, scorer)
        elif count > 0:
            _reserve(job, suitable, count)


def reserve_on_demand(candidates: Iterable[FreeCapacity], cpus: float) -> None:
    """Keep this many CPUs of on-demand machines for jobs that may not use spot machines.

    All of them are kept in the zone with the most free on-demand CPUs, as the tasks of a gang often
    have to be in one zone.
    """
    if cpus <= 0.0:
        return
    on_demand = (
        candidate for candidate in candidates if not candidate.machine.spot and candidate.cpus > 0.0
    )
    best = max(
        group_by_zone(on_demand),
        key=lambda zone: sum(candidate.cpus for candidate in zone),
        default=[],
    )
    # Keep small machines first, so that large ones remain for large tasks.
    for candidate in sorted(
        best, key=lambda candidate: (candidate.machine.type.cpus, -candidate.cpus)
    ):
        if cpus <= 0.0:
            return
        candidate.kept_for_on_demand = True
        cpus -= candidate.cpus


def _groups(candidates: Iterable[FreeCapacity]) -> list[MachineGroup]:
    """Group alike machines, so that each job is compared with each group only once."""
    groups: dict[tuple[TypeName, Zone, bool], MachineGroup] = {}
    for candidate in candidates:
        machine = candidate.machine
        key = (machine.type.name, machine.zone, machine.spot)
        group = groups.get(key)
        if group is None:
            group = groups[key] = MachineGroup(machine)
        group.candidates.append(candidate)
    return list(groups.values())


def _smallest(groups: list[MachineGroup]) -> SmallestMachine:
    types = [group.machine.type for group in groups]
    return SmallestMachine(
        min((machine_type.cpus for machine_type in types), default=math.inf),
        min((machine_type.memory_gb for machine_type in types), default=math.inf),
    )


def _may_be_large(job: Job, smallest: SmallestMachine) -> bool:
    """Whether the job's tasks may be large on any machine; a cheap check that most jobs fail."""
    spec = job.spec
    return (
        spec.gpus > 0.0
        or spec.cpus >= LARGE_TASK_SHARE * smallest.cpus
        or spec.memory_gb >= LARGE_TASK_SHARE * smallest.memory_gb
    )


def _is_large_on(job: Job, machine: Machine, scorer: Scorer) -> bool:
    """Whether the job may use such a machine and a task, or the whole gang, is large on it."""
    if not machine.type.has_capacity_for(job.spec) or not machine.allows(job.spec):
        return False
    share = scorer.machine_share(job.spec, machine.type)
    return (share * job.spec.tasks if job.is_gang else share) >= LARGE_TASK_SHARE


def _groups_for_whole_gang(
    job: Job, groups: list[MachineGroup], feasibility: Feasibility
) -> list[MachineGroup]:
    """The groups that could hold the whole gang if all their machines were empty.

    For a gang that must be in one zone, these are the groups of one zone that could hold it: the
    zone with the most free CPUs. If a zone may hold only some of the gang's tasks, no more than
    these are counted for the zone. The list is empty if the gang does not fit, so that nothing is
    reserved for it.
    """
    zone_tasks = [
        (zone, _max_tasks_in_zone(job, zone, feasibility)) for zone in group_by_zone(groups)
    ]
    if not job.spec.one_zone:
        return groups if sum(tasks for _, tasks in zone_tasks) >= job.waiting_count() else []
    sufficient = [zone for zone, tasks in zone_tasks if tasks >= job.waiting_count()]
    return max(sufficient, key=_free_cpus, default=[])


def _max_tasks_in_zone(job: Job, groups: list[MachineGroup], feasibility: Feasibility) -> int:
    """How many of the job's tasks these machines of one zone could hold and may be given."""
    admitted = feasibility.tasks_left_in_zone(job, groups[0].machine.zone)
    return min(_max_tasks(job, groups), admitted)


def _max_tasks(job: Job, groups: list[MachineGroup]) -> int:
    """How many of the job's tasks the machines could hold if they were empty."""
    types = ((group.machine.type, len(group.candidates)) for group in groups)
    return sum(
        count
        * count_fitting(job.spec, machine_type.cpus, machine_type.memory_gb, machine_type.gpus)
        for machine_type, count in types
    )


def _free_cpus(groups: list[MachineGroup]) -> float:
    return sum(candidate.cpus for group in groups for candidate in group.candidates)


def _machines_needed(job: Job, suitable: list[MachineGroup], scorer: Scorer, tasks: int) -> int:
    """How many of the suitable machines, when empty, `tasks` tasks of the job need."""
    if not job.is_gang:
        return tasks
    share = max(
        (scorer.machine_share(job.spec, group.machine.type) for group in suitable), default=0.0
    )
    return math.ceil(tasks * share)


def _reserve(job: Job, suitable: list[MachineGroup], count: int) -> None:
    """Reserve the emptiest of the suitable machines that are not reserved yet."""
    reservation = Reservation(job.ref, job.spec.priority, job.submitted, job.is_gang)
    for *_, candidate, group in _emptiest_unreserved(suitable, count):
        candidate.reservation = reservation
        group.reserved += 1


def _reserve_by_zone(
    job: Job, suitable: list[MachineGroup], count: int, feasibility: Feasibility, scorer: Scorer
) -> None:
    """Like `_reserve`, spread evenly over the zones; each may hold only a share of the tasks."""
    zones = group_by_zone(suitable)
    for zones_left, groups in zip(range(len(zones), 0, -1), zones, strict=True):
        admitted = feasibility.tasks_left_in_zone(job, groups[0].machine.zone)
        needed = _machines_needed(job, suitable, scorer, admitted)
        reserved = min(math.ceil(count / zones_left), needed)
        _reserve(job, groups, reserved)
        count -= reserved


def _emptiest_unreserved(suitable: list[MachineGroup], count: int) -> list[Unreserved]:
    free = (
        (-candidate.cpus, -candidate.memory_gb, position, candidate, group)
        for position, (candidate, group) in enumerate(
            (candidate, group) for group in suitable for candidate in group.candidates
        )
        if candidate.reservation is None
    )
    return heapq.nsmallest(count, free)
