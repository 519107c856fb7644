"""Machines that are emptied for tasks which otherwise never find a place.

Small tasks take whatever is freed, so a task that needs much of a machine, or a gang that needs
several places at once, would wait for as long as small ones come.
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
from .feasibility import LARGE_SHARE, Feasibility
from .free_capacity import FreeCapacity, by_zone, count_fitting
from .scoring import Scorer

RESERVE_AFTER_S = 5.0
"""A job has machines reserved when it has waited so long."""

RESERVED_SHARE = 0.3
"""The share of the machines that could hold a job's tasks that is reserved at the most."""


@dataclass(slots=True)
class MachineGroup:
    """The free capacities of machines of one type, zone and price: alike to every job."""

    machine: Machine
    """Any of them."""
    candidates: list[FreeCapacity] = field(default_factory=list)
    reserved: int = 0


Unreserved = tuple[float, float, int, FreeCapacity, MachineGroup]
"""A free capacity behind what it is ordered by, and its group."""


class SmallestMachine(NamedTuple):
    """The smallest amounts that any of the machines has."""

    cpus: float
    memory_gb: float


def reserve_machines(feasibility: Feasibility, waiting: Iterable[Job], scorer: Scorer) -> None:
    """Reserve a few machines for large tasks and gangs that have waited, the oldest job first."""
    groups = _groups(feasibility.candidates)
    now = feasibility.now
    waited = [job for job in waiting if now - job.submitted >= RESERVE_AFTER_S]
    smallest = _smallest(groups)
    found = [job for job in waited if job.is_gang or _may_be_large(job, smallest)]
    for job in sorted(found, key=lambda job: job.submitted):
        if not feasibility.team_admits(job):
            continue
        able = [
            group
            for group in groups
            if _large_on(job, group.machine, scorer)
            and feasibility.tasks_left_in_zone(job, group.machine.zone) > 0
        ]
        if job.is_gang:
            able = _able_to_hold_all(job, able, feasibility)
        max_reserved = max(1, int(RESERVED_SHARE * sum(len(group.candidates) for group in able)))
        count = max_reserved - sum(group.reserved for group in able)
        count = min(count, _machines_needed(job, able, scorer, job.waiting_count()))
        if count > 0 and job.spec.spread:
            _reserve_by_zone(job, able, count, feasibility, scorer)
        elif count > 0:
            _reserve(job, able, count)


def reserve_on_demand(candidates: Iterable[FreeCapacity], cpus: float) -> None:
    """Keep so many CPUs of on-demand machines for work that may use no others.

    In the zone where most are free: a gang often has to be in one.
    """
    if cpus <= 0.0:
        return
    on_demand = (
        candidate for candidate in candidates if not candidate.machine.spot and candidate.cpus > 0.0
    )
    best = max(
        by_zone(on_demand), key=lambda zone: sum(candidate.cpus for candidate in zone), default=[]
    )
    # Small machines first: large ones are left to large tasks.
    for candidate in sorted(
        best, key=lambda candidate: (candidate.machine.type.cpus, -candidate.cpus)
    ):
        if cpus <= 0.0:
            return
        candidate.kept_for_on_demand = True
        cpus -= candidate.cpus


def _groups(candidates: Iterable[FreeCapacity]) -> list[MachineGroup]:
    """Machines of a group are alike to a job, which is compared with each group once."""
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
    """Whether its tasks would be large on a machine of these amounts: most jobs' are on none."""
    spec = job.spec
    return (
        spec.gpus > 0.0
        or spec.cpus >= LARGE_SHARE * smallest.cpus
        or spec.memory_gb >= LARGE_SHARE * smallest.memory_gb
    )


def _large_on(job: Job, machine: Machine, scorer: Scorer) -> bool:
    """Whether it needs a machine that is emptied for it, or, as a gang, several places at once."""
    if not machine.type.has_capacity_for(job.spec) or not machine.allows(job.spec):
        return False
    share = scorer.share(job.spec, machine.type)
    return (share * job.spec.tasks if job.is_gang else share) >= LARGE_SHARE


def _able_to_hold_all(
    job: Job, groups: list[MachineGroup], feasibility: Feasibility
) -> list[MachineGroup]:
    """The groups where the whole gang would fit if all were empty.

    If it must be in one zone, those of the zone with the most free CPUs; of a zone in which it may
    have only some of its tasks, no more are counted. Nothing is reserved for a gang that fits
    nowhere.
    """
    held = [(zone, _max_tasks_in_zone(job, zone, feasibility)) for zone in by_zone(groups)]
    if not job.spec.one_zone:
        return groups if sum(tasks for _, tasks in held) >= job.waiting_count() else []
    enough = [zone for zone, tasks in held if tasks >= job.waiting_count()]
    return max(enough, key=_free_cpus, default=[])


def _max_tasks_in_zone(job: Job, groups: list[MachineGroup], feasibility: Feasibility) -> int:
    """How many of the job's tasks these machines of one zone would hold and may have."""
    admitted = feasibility.tasks_left_in_zone(job, groups[0].machine.zone)
    return min(_max_tasks(job, groups), admitted)


def _max_tasks(job: Job, groups: list[MachineGroup]) -> int:
    """How many of the job's tasks the machines would hold if they were empty."""
    types = ((group.machine.type, len(group.candidates)) for group in groups)
    return sum(
        count
        * count_fitting(job.spec, machine_type.cpus, machine_type.memory_gb, machine_type.gpus)
        for machine_type, count in types
    )


def _free_cpus(groups: list[MachineGroup]) -> float:
    return sum(candidate.cpus for group in groups for candidate in group.candidates)


def _machines_needed(job: Job, able: list[MachineGroup], scorer: Scorer, tasks: int) -> int:
    """How many of them, emptied, so many of the job's tasks would take."""
    if not job.is_gang:
        return tasks
    share = max((scorer.share(job.spec, group.machine.type) for group in able), default=0.0)
    return math.ceil(tasks * share)


def _reserve(job: Job, able: list[MachineGroup], count: int) -> None:
    """Reserve the emptiest of these machines that are not reserved for another job."""
    reservation = Reservation(job.ref, job.spec.priority, job.submitted, job.is_gang)
    for *_, candidate, group in _emptiest(able, count):
        candidate.reservation = reservation
        group.reserved += 1


def _reserve_by_zone(
    job: Job, able: list[MachineGroup], count: int, feasibility: Feasibility, scorer: Scorer
) -> None:
    """The same, evenly, in zones of each of which the job may have only a share of its tasks."""
    zones = by_zone(able)
    for zones_left, groups in zip(range(len(zones), 0, -1), zones, strict=True):
        admitted = feasibility.tasks_left_in_zone(job, groups[0].machine.zone)
        needed = _machines_needed(job, able, scorer, admitted)
        reserved = min(math.ceil(count / zones_left), needed)
        _reserve(job, groups, reserved)
        count -= reserved


def _emptiest(able: list[MachineGroup], count: int) -> list[Unreserved]:
    free = (
        (-candidate.cpus, -candidate.memory_gb, number, candidate, group)
        for number, (candidate, group) in enumerate(
            (candidate, group) for group in able for candidate in group.candidates
        )
        if candidate.reservation is None
    )
    return heapq.nsmallest(count, free)
