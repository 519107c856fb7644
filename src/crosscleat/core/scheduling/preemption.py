"""Which running tasks are stopped to make room for others.

Work yields to work of a higher priority if its own is the lowest, or if its team has no guarantee;
and work of a team without a guarantee yields to a team that is within its own.
A task that was told to stop keeps its room until it is proven gone, so the room that is being
freed is reckoned with before more tasks are stopped, and a later round places what waits.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from ..model.deployment import TeamLimits, has_guarantee
from ..model.ids import JobRef, MachineId, Seconds, Team
from ..model.job_spec import Priority, Shape
from ..state.allocations import AttemptKey, Hold
from ..state.cluster import Ledger
from ..state.jobs import Job
from ..state.machine import Machine
from .free_capacity import Room, fitting, troubled

INTERVAL_S = 0.5
"""How often tasks are chosen to be stopped."""

MOST_STOPPED = 64
"""Tasks that are told to stop at a time."""

MOST_MACHINES = 400
"""Machines that are looked at for one job; beyond it a sample of them."""

COUNTED_START_S = 30.0
"""A start counts for its job's user only if the task is not stopped for so long."""


class Victim(NamedTuple):
    """A task that is to be stopped, and its machine."""

    machine: Machine
    hold: Hold


@dataclass(slots=True, order=True)
class Option:
    """What would have to be stopped on a machine for one more task of a job."""

    loss: float
    room: Room = field(compare=False)
    victims: list[Hold] = field(compare=False)


class Preemption:
    """One pass over what waits: whom to stop so that it can be placed."""

    def __init__(
        self,
        ledger: Ledger,
        teams: dict[Team, TeamLimits],
        jobs: dict[JobRef, Job],
        machines: Iterable[Machine],
        rng: Random,
        now: Seconds,
    ) -> None:
        """`machines` are those on which tasks may be placed."""
        self._ledger = ledger
        self._teams = teams
        self._jobs = jobs
        self._usable = {machine.id: machine for machine in machines}
        self._rng = rng
        self._now = now
        self._rooms: dict[MachineId, Room] = {}
        """Room that is left once all that was told to stop is gone."""
        self._running = list(ledger.running())
        self._cpus = dict(ledger.team_cpus)
        self._chosen: list[Victim] = []
        self._stopped: set[tuple[MachineId, AttemptKey]] = set()
        """What this pass has chosen."""

    def choose(self, waiting: Iterable[Job]) -> list[Victim]:
        """The tasks to stop, for the most urgent and oldest of the waiting jobs first."""
        if not any(self._ever_yields(team, priority) for team, priority, _ in self._running):
            return []
        found = [job for job in waiting if self._may_preempt(job)]
        for job in sorted(found, key=lambda job: (-job.spec.priority, job.submitted)):
            if len(self._chosen) >= MOST_STOPPED:
                break
            self._make_room(job)
        return self._chosen

    def _may_preempt(self, job: Job) -> bool:
        """Gangs are left out: they need all their room at one time."""
        return job.waiting_count() > 0 and not job.gang and not troubled(job)

    def _ever_yields(self, team: Team, priority: Priority) -> bool:
        return priority is Priority.LOW or not has_guarantee(team, self._teams)

    def _yields(self, team: Team, priority: Priority, job: Job) -> bool:
        """Whether work of that team and priority makes room for the job."""
        if priority < job.spec.priority and self._ever_yields(team, priority):
            return True
        return (
            not has_guarantee(team, self._teams)
            and team != job.spec.team
            and self._within_guarantee(job)
        )

    def _within_guarantee(self, job: Job) -> bool:
        limits = self._teams.get(job.spec.team)
        used = self._cpus.get(job.spec.team, 0.0)
        return limits is not None and used + job.spec.cpus <= limits.cpus

    def _make_room(self, job: Job) -> None:
        wanted = min(job.waiting_count(), self._within_limit(job))
        rooms = self._rooms_with_yielding_work(job)
        wanted -= self._count_freed_room(job, rooms, wanted)
        if wanted <= 0:
            return
        options = [option for room in rooms if (option := self._option(job, room)) is not None]
        heapq.heapify(options)
        while options and wanted > 0 and len(self._chosen) < MOST_STOPPED:
            option = heapq.heappop(options)
            self._stop(option)
            wanted -= self._count_freed_room(job, [option.room], wanted)
            another = self._option(job, option.room)
            if another is not None:
                heapq.heappush(options, another)

    def _within_limit(self, job: Job) -> int:
        """How many more tasks the team's limit admits; those that this pass counted use it."""
        limits = self._teams.get(job.spec.team)
        if limits is None:
            return 0
        if limits.cpus_max <= 0 or job.spec.cpus <= 0:
            return job.waiting_count()
        left = limits.cpus_max - self._cpus.get(job.spec.team, 0.0)
        return max(0, int(left / job.spec.cpus + 1e-9))

    def _rooms_with_yielding_work(self, job: Job) -> list[Room]:
        """Machines that the job may use and on which work runs that makes room for it."""
        found: dict[MachineId, None] = {}
        for team, priority, machines in self._running:
            if self._yields(team, priority, job):
                found.update(dict.fromkeys(machines))
        names = list(found)
        if len(names) > MOST_MACHINES:
            names = self._rng.sample(names, MOST_MACHINES)
        return [room for name in names if (room := self._room(job, name)) is not None]

    def _room(self, job: Job, name: MachineId) -> Room | None:
        machine = self._usable.get(name)
        if machine is None or not machine.allowed(job.spec) or name in job.failed_on:
            return None
        if not machine.type.holds(job.spec):
            return None
        if not self._ledger.zone_allows(job.spec, machine.zone):
            return None
        room = self._rooms.get(name)
        if room is None:
            room = self._rooms[name] = Room.of(machine)
            for hold in machine.holds.values():
                if hold.withdrawn:
                    room.give_back(hold.spec)
        return room

    def _count_freed_room(self, job: Job, rooms: Iterable[Room], wanted: int) -> int:
        """How many of the job's tasks go into room that is free or being freed."""
        counted = 0
        for room in rooms:
            count = fitting(job.spec, room.cpus, room.memory, room.gpus)
            count = max(0, min(count, wanted - counted))
            for _ in range(count):
                room.take(job)
            counted += count
            if counted >= wanted:
                break
        team = job.spec.team
        self._cpus[team] = self._cpus.get(team, 0.0) + counted * job.spec.cpus
        return counted

    def _option(self, job: Job, room: Room) -> Option | None:
        """The cheapest tasks to stop there so that one task of the job fits."""
        freed = Room(room.machine, room.cpus, room.gpus, room.memory)
        victims: list[Hold] = []
        loss = 0.0
        for hold_loss, hold in sorted(
            self._stoppable(job, room.machine), key=lambda found: found[0]
        ):
            if freed.fits(job):
                break
            freed.give_back(hold.spec)
            victims.append(hold)
            loss += hold_loss
        return Option(loss, room, victims) if victims and freed.fits(job) else None

    def _stoppable(self, job: Job, machine: Machine) -> Iterator[tuple[float, Hold]]:
        for hold in machine.holds.values():
            if (
                self._yields(hold.spec.team, hold.spec.priority, job)
                and not hold.withdrawn
                and not _start_under_way(hold)
                and (machine.id, hold.key) not in self._stopped
                and hold.spec.shape is not Shape.GANG
                and not self._only_counted_start(hold)
            ):
                yield self._loss(hold), hold

    def _only_counted_start(self, hold: Hold) -> bool:
        """Whether its job would not have begun for its user if this task were stopped now."""
        ran_s = 0.0 if hold.running_since is None else self._now - hold.running_since
        job = self._jobs.get(hold.task.job)
        return job is not None and ran_s <= COUNTED_START_S and job.placed_count() <= 1

    def _loss(self, hold: Hold) -> float:
        """Processor time that is lost if the task is stopped now."""
        if hold.running_since is None:
            return 0.0
        ran_s = self._now - hold.running_since
        saved = hold.spec.checkpoint_s > 0
        return hold.spec.cpus * (min(ran_s, hold.spec.save_s) if saved else ran_s)

    def _stop(self, option: Option) -> None:
        for hold in option.victims:
            self._stopped.add((hold.machine, hold.key))
            option.room.give_back(hold.spec)
            self._chosen.append(Victim(option.room.machine, hold))


def _start_under_way(hold: Hold) -> bool:
    """Whether its start was sent and is not seen yet: to be sure of its end takes a new token."""
    return hold.sent and not hold.listed
