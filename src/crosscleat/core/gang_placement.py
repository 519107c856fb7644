"""Places for all tasks of a gang at once, or none (DESIGN: a gang commits whole or not at all)."""

from __future__ import annotations

from .capacity import Room
from .feasibility import Feasibility
from .jobs import Job


def place_gang(job: Job, ranked: list[Room], feasible: Feasibility) -> list[Room]:
    """The best machines for the gang, zone by zone where all its tasks must be in one."""
    for rooms in _options(job, ranked):
        taken = _take_all(job, rooms, feasible)
        if taken:
            return taken
    return []


def _options(job: Job, ranked: list[Room]) -> list[list[Room]]:
    if not job.spec.one_zone:
        return [ranked]
    # In the order in which a task alone would choose.
    zones = list(dict.fromkeys(room.machine.zone for room in ranked))
    return [[room for room in ranked if room.machine.zone == zone] for zone in zones]


def _take_all(job: Job, rooms: list[Room], feasible: Feasibility) -> list[Room]:
    """Rooms for all tasks, the better ones filled first; or none is taken."""
    taken: list[Room] = []
    for room in rooms:
        while (
            len(taken) < job.spec.tasks and feasible.admits(job, room) and feasible.team_admits(job)
        ):
            feasible.take(job, room)
            taken.append(room)
    if len(taken) == job.spec.tasks:
        return taken
    for room in taken:
        feasible.give_back(job, room)
    return []
