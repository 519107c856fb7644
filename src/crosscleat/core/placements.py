"""Where each attempt may be, and what proves that it is gone.

A hold stands for one attempt that may exist on a machine, seen there or not. It keeps
its room, its team's quota and its place until one of these is shown:

- a report newer than any other, of the same session, lists the attempt as exited;
- a report of a later session, since a session's end ends all its tasks;
- the cloud has confirmed the machine's deletion;
- the lease has run out since the last answer anyone could have given;
- the start can no longer be executed (`Machine.may_still_start` is false) and the newest
  report does not list the attempt.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

from .ids import (
    LONG_AGO,
    NEVER,
    Attempt,
    JobRef,
    MachineId,
    Seconds,
    Seen,
    Session,
    TaskId,
    Team,
    Token,
    TypeName,
    Zone,
)
from .model import JobSpec, MachineType, Priority
from .reports import EXITED, TaskReport

AttemptKey = tuple[TaskId, Attempt]

NEVER_ANSWERED = Seconds(-math.inf)
UNKNOWN_TYPE = MachineType(TypeName(""), 0.0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0, 0.0, ())
NOWHERE = Zone("")
"""The zone of a machine that only a record has named so far."""


@dataclass(slots=True)
class Hold:
    """The room, quota and place that one attempt takes until it is proven gone."""

    task: TaskId
    attempt: Attempt
    spec: JobSpec
    machine: MachineId
    zone: Zone
    session: Session
    recorded: bool = False
    """The store has the placement: a start may be sent."""
    listed: bool = False
    """The newest report lists it."""
    state: str = ""
    withdrawn: bool = False
    """It is to go: no start is sent any more, and a stop when it is listed."""
    replaced: bool = False
    """Withdrawn by itself: its gang waits, and another place is found for it."""
    grace_s: float = 0.0
    answered_at: int = 0
    """Tally of the last check-in whose answer carried its start."""
    sent: bool = False
    """A start may have been sent, by this leader or an earlier one."""
    placed_at: Seconds = LONG_AGO
    running_since: Seconds | None = None

    @property
    def key(self) -> AttemptKey:
        """What it is known by on its machine."""
        return (self.task, self.attempt)


@dataclass(slots=True)
class Machine:
    """A machine as the leader knows it."""

    id: MachineId
    type: MachineType
    zone: Zone
    spot: bool
    address: str | None = None
    born: Seconds = LONG_AGO
    up: bool = False
    listed: bool = False
    """The cloud's list has named it."""
    listed_running: bool = False
    """The cloud's list has named it as running: it has booted, heard of or not."""
    seen: Seen = NEVER
    checked: int = 0
    """Tally of the newest check-in; answers to direct orders count in `seen` alone."""
    shown_token: int = 0
    risk_token: int = 0
    """A direct start sent with this token or a lower one may still be executed."""
    direct_in_flight: bool = False
    last_heard: Seconds = LONG_AGO
    answered_at: Seconds = NEVER_ANSWERED
    """When we last answered a check-in of it."""
    answered_from: Seconds = LONG_AGO
    """Since when we have answered them with no long pause."""
    last_answer: Seconds = LONG_AGO
    """When anyone could last have renewed the worker's lease."""
    recall_at: Seconds | None = None
    suspect: bool = False
    surplus: bool = False
    """It is not needed any more, and returned once it is empty."""
    errors: set[str] = field(default_factory=set)
    full_until: Seconds = LONG_AGO
    dropping: bool = False
    """Its deletion is decided; nothing is placed on it again."""
    mute: bool = False
    """Its deletion was decided because nothing was heard of it."""
    drop_recorded: bool = False
    delete_sent: Seconds | None = None
    images: dict[str, Seconds] = field(default_factory=dict)
    """Images it should have, and from when on; the one used last comes last."""
    image_gb: dict[str, float] = field(default_factory=dict)
    holds: dict[AttemptKey, Hold] = field(default_factory=dict)
    exited: dict[AttemptKey, str] = field(default_factory=dict)
    """Attempts that the newest report lists as exited."""
    idle_since: Seconds | None = None
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory: float = 0.0
    direct_starts: dict[AttemptKey, Token] = field(default_factory=dict)
    """Attempts of this session whose start was sent directly, and with which token."""
    strays: set[AttemptKey] = field(default_factory=set)
    """Attempts at work on it that no record knows: to be stopped."""
    known: bool = False
    """Rented or heard of for certain in this term: what speaks for it is no old report."""
    deaf_since: Seconds | None = None
    """Its reports show that it does not take up what our answers say."""
    probed_at: Seconds = LONG_AGO
    direct_misses: int = 0
    direct_after: Seconds = LONG_AGO
    """A direct message failed: until then it hears of orders by its check-ins alone."""

    @property
    def booted(self) -> bool:
        """Whether it has come up, as its own reports or the cloud's list say."""
        return self.up or self.listed_running

    @property
    def draining(self) -> bool:
        """Whether nothing more is placed on it, and it is returned once it is empty."""
        return self.suspect or self.surplus or self.recall_at is not None

    def begin_session(self) -> None:
        """Its lease ran out: what it did and heard before means nothing any more."""
        self.exited.clear()
        self.strays.clear()
        self.direct_starts.clear()

    def take_list(self, listed: dict[AttemptKey, TaskReport]) -> None:
        """What the newest report says of tasks that no record knows, and of exited ones."""
        self.exited = {
            key: task.cause or "" for key, task in listed.items() if task.state == EXITED
        }
        if len(self.direct_starts) > 2 * len(listed) + 20:
            self.direct_starts = {
                key: token
                for key, token in self.direct_starts.items()
                if key in listed or key in self.holds
            }
        self.strays = {
            key for key, task in listed.items() if task.state != EXITED and key not in self.holds
        }

    def fits(self, job: JobSpec) -> bool:
        """Whether one task of the job fits beside what may be there."""
        return (
            self.used_cpus + job.cpus <= self.type.cpus + 1e-9
            and self.used_memory + job.memory_gb <= self.type.memory_gb + 1e-9
            and self.used_gpus + job.gpus <= self.type.gpus + 1e-9
        )

    def use_image(self, image: str, size_gb: float, ready: Seconds) -> None:
        """A task is to use the image: it is there, or will be then, and others make room."""
        self.images[image] = self.images.pop(image, ready)
        self.image_gb[image] = size_gb
        wanted = {hold.spec.image for hold in self.holds.values()}
        for old in list(self.images):
            if sum(self.image_gb.values()) <= self.type.cache_gb or old == image:
                break
            if old not in wanted:
                del self.images[old], self.image_gb[old]

    def allowed(self, job: JobSpec) -> bool:
        """Whether the job may be on this machine at all."""
        return (
            (job.types is None or self.type.name in job.types)
            and (job.zone is None or job.zone == self.zone)
            and (job.spot or not self.spot)
        )

    def may_still_start(self, hold: Hold) -> bool:
        """Whether a start of this hold that was sent could yet be executed.

        A direct start stays possible until the worker has shown a higher token. One in a
        check-in's answer is executed before the next check-in is sent, or never.
        """
        if not hold.sent:
            return False
        if self.direct_in_flight or self.shown_token <= self.risk_token:
            return True
        return self.checked <= hold.answered_at


class Ledger:
    """All holds, by machine, with the room, quota and zones that they take."""

    def __init__(self) -> None:
        self.machines: dict[MachineId, Machine] = {}
        self.team_cpus: dict[str, float] = {}
        self.team_gpus: dict[str, float] = {}
        self.job_zones: dict[str, dict[Zone, int]] = {}
        self._running: dict[tuple[Team, Priority], dict[MachineId, int]] = {}
        """How many holds of each team and priority a machine has."""

    def running(self) -> Iterator[tuple[Team, Priority, Collection[MachineId]]]:
        """Teams and priorities of which there are holds, and the machines that have them."""
        for (team, priority), machines in self._running.items():
            if machines:
                yield team, priority, machines.keys()

    def add(self, machine: Machine, hold: Hold) -> None:
        """Count what the hold takes."""
        machine.holds[hold.task, hold.attempt] = hold
        self._count(machine, hold, 1)

    def remove(self, machine: Machine, hold: Hold) -> None:
        """The attempt is proven gone."""
        if machine.holds.pop((hold.task, hold.attempt), None) is not None:
            self._count(machine, hold, -1)

    def find(
        self, job: JobRef, number: int, attempt: Attempt, machine_id: MachineId
    ) -> tuple[Machine, Hold] | None:
        """The hold of this attempt on this machine."""
        machine = self.machines.get(machine_id)
        hold = machine and machine.holds.get((TaskId(job, number), attempt))
        return (machine, hold) if machine and hold else None

    def _count(self, machine: Machine, hold: Hold, sign: int) -> None:
        job = hold.spec
        if machine.holds:
            machine.used_cpus += sign * job.cpus
            machine.used_gpus += sign * job.gpus
            machine.used_memory += sign * job.memory_gb
        else:
            machine.used_cpus = machine.used_gpus = machine.used_memory = 0.0
        self.team_cpus[job.team] = self.team_cpus.get(job.team, 0.0) + sign * job.cpus
        self.team_gpus[job.team] = self.team_gpus.get(job.team, 0.0) + sign * job.gpus
        running = self._running.setdefault((job.team, job.priority), {})
        running[machine.id] = running.get(machine.id, 0) + sign
        if running[machine.id] <= 0:
            del running[machine.id]
        zones = self.job_zones.setdefault(job.ref, {})
        zones[hold.zone] = zones.get(hold.zone, 0) + sign
        if zones[hold.zone] <= 0:
            del zones[hold.zone]
            if not zones:
                del self.job_zones[job.ref]

    def zone_allows(self, job: JobSpec, zone: Zone) -> bool:
        """Whether the job's own tasks leave room for one more in this zone."""
        if not job.one_zone and not job.spread:
            return True
        zones = self.job_zones.get(job.ref, {})
        if job.one_zone and any(other != zone for other in zones):
            return False
        return not job.spread or self.in_zone(job, zone) < job.per_zone()

    def in_zone(self, job: JobSpec, zone: Zone) -> int:
        """The job's tasks that may be in the zone: also those on machines not yet described."""
        zones = self.job_zones.get(job.ref, {})
        return zones.get(zone, 0) + zones.get(NOWHERE, 0)

    def before_session(self, machine: Machine, session: Session) -> list[Hold]:
        """The holds that a report of this session proves gone."""
        return [h for h in machine.holds.values() if h.session < session]
