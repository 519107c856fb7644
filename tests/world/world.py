"""The state of the world, its controllers' processes, and the end of a simulated day."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from crosscleat.core.control.controller import Controller
from crosscleat.core.model.effects import Effect
from crosscleat.core.model.ids import Member, Seconds, TaskId, Team, WallTime
from crosscleat.core.model.inputs import PeerUnreachable, Started, Tick
from crosscleat.core.model.job_spec import JobSpec

from .clock import Clock
from .cloud import Cloud
from .effects import Effects
from .faults import Faults
from .gangs import Gangs
from .network import Network
from .rules import Rules
from .scenario import LIMITS, MEMBER_ZONES, MEMBERS, NEXT_LIMITS, REGION, TICK_S, deployment, job
from .store import Store
from .store_calls import StoreCalls
from .users import Users
from .worker import Worker
from .worker_calls import WorkerCalls


@dataclass
class Process:
    """One run of a controller, from its start to its crash."""

    controller: Controller
    alive: bool = True
    drift: float = 1.0
    free_at: float = 0.0
    """Until this time it is frozen, or busy with earlier inputs."""
    cost_s: float = 0.0
    """Seconds that it takes for each input."""
    stalls_s: float = 0.0
    """Seconds for which it freezes after its next decision, before that is carried out."""
    requests: dict[int, Callable[[Any], None]] = field(default_factory=dict)


class World(Faults):
    """What all of its parts share, and the switches of its faults."""

    def __init__(self, seed: int, upgrade: bool = False) -> None:
        """With `upgrade` all controllers begin as the old version, under the present limits."""
        super().__init__()
        self.rng = Random(seed)
        self.old_version: set[str] = set(MEMBERS) if upgrade else set()
        self.next_limits = NEXT_LIMITS if upgrade else LIMITS
        self.clock = Clock()
        self.network = Network(self.clock, self.rng)
        self.store = Store(self.clock)
        self.members = list(MEMBERS)
        self.serving = list(MEMBERS)
        """Controllers to which users send cancellations."""
        self.workers: dict[str, Worker] = {}
        self.specs: dict[str, JobSpec] = {}
        self.results: set[TaskId] = set()
        self.accepted: set[str] = set()
        self.cancel_confirmed_at: dict[str, float] = {}
        self.cancel_requested: set[str] = set()
        self.final_statuses: dict[str, str] = {}
        self.final_since: dict[str, float] = {}
        self.last_answered_at: dict[str, float] = {}
        """When a query of the job was last answered."""
        self.cloud = Cloud(self)
        self.effects = Effects(self)
        self.store_calls = StoreCalls(self)
        self.worker_calls = WorkerCalls(self)
        self.rules = Rules(self)
        self.users = Users(self)
        self.gangs = Gangs(self)
        self.rentals: dict[str, list[str]] = {}
        self.started = 0
        self._numbers = itertools.count(1)
        self.processes: dict[str, Process | None] = dict.fromkeys(MEMBERS)
        for member in MEMBERS:
            self.start_controller(member)
        self.clock.after(0.5, self.rules.check_running)
        self.clock.after(0.5, self.gangs.watch_gangs)

    def cut_zone(self, zone: str, mode: str) -> None:
        """No message passes between the zone and the outside; inside it all of them do."""
        inside = [m for m, home in zip(MEMBERS, MEMBER_ZONES, strict=True) if home == zone]
        inside += [w.id for w in self.workers.values() if w.zone == zone]
        others = [*MEMBERS, *self.workers, REGION]
        for one in inside:
            for other in others:
                if other not in inside:
                    self.network.cut(one, other, mode)

    # Controllers

    def start_controller(self, member: str) -> None:
        rng = Random(self.rng.random())
        limits = LIMITS if member in self.old_version else self.next_limits
        process = Process(Controller(deployment(member, limits), str(rng.random()), rng))
        process.drift = self.rng.choice((0.9995, 1.0, 1.0005))
        self.processes[member] = process
        self.deliver(member, process, Started())
        self.tick(member, process)

    def crash(self, member: str, back_s: float) -> None:
        process = self.processes[member]
        if process is None:
            return
        process.alive = False
        self.processes[member] = None
        for other in MEMBERS:
            if other != member:
                self.network.send(other, member, partial(self.report_unreachable, other, member))
        self.clock.after(back_s, lambda: self.start_controller(member))

    def leading(self) -> list[str]:
        return [m for m, p in self.processes.items() if p and p.controller.election.leading]

    def end_leader(self, back_s: float) -> None:
        """Whoever leads, if anyone does, crashes and comes back."""
        for member in self.leading():
            self.crash(member, back_s)

    def upgrade(self, member: str, back_s: float) -> None:
        """It restarts with the new version; a crash before this call leaves it the old one."""
        self.old_version.discard(member)
        self.crash(member, back_s)

    def drop_limits(self) -> None:
        """The new limits apply from now on, if all controllers have the new version."""
        if not self.old_version:
            self.store.limits = self.next_limits

    def report_unreachable(self, member: str, peer: str) -> None:
        process = self.processes[member]
        if process is not None:
            self.deliver(member, process, PeerUnreachable(Member(peer)))

    def tick(self, member: str, process: Process) -> None:
        if process.alive:
            self.deliver(member, process, Tick())
            # Timers that elapsed while it was frozen or busy fire once.
            pause = max(TICK_S, process.free_at - self.clock.now)
            self.clock.after(pause, lambda: self.tick(member, process))

    def deliver(self, member: str, process: Process, event: Any) -> None:
        """An input, processed later if the controller is frozen or busy; the order is kept."""
        if process.cost_s or self.clock.now < process.free_at:
            begins = max(self.clock.now, process.free_at)
            process.free_at = begins + process.cost_s
            wait = process.free_at - self.clock.now
            self.clock.after(wait, lambda: self.process_input(member, process, event))
        else:
            self.process_input(member, process, event)

    def process_input(self, member: str, process: Process, event: Any) -> None:
        if not process.alive:
            return
        now = Seconds(self.clock.now * process.drift)
        effects = process.controller.step(event, now, WallTime(self.clock.now))
        stalls, process.stalls_s = process.stalls_s, 0.0
        if stalls and effects:
            # What it has just decided is carried out only when it goes on, whatever happened since.
            self.freeze(member, stalls)
            self.clock.after(stalls, lambda: self.carry_out_all(member, process, effects))
        else:
            process.stalls_s = stalls
            self.carry_out_all(member, process, effects)

    def carry_out_all(self, member: str, process: Process, effects: list[Effect]) -> None:
        if process.alive:
            for effect in effects:
                self.effects.carry_out(member, process, effect)

    def freeze(self, member: str, seconds: float) -> None:
        """It does nothing while its clocks run on; inputs wait for it."""
        process = self.processes[member]
        if process is not None:
            process.free_at = max(process.free_at, self.clock.now + seconds)

    def request(
        self, member: str, make: Callable[[int], Any], continuation: Callable[[Any], None]
    ) -> None:
        """A request to a controller; without a response the continuation is not called."""
        process = self.processes[member]
        if process is None:
            return
        number = next(self._numbers)
        process.requests[number] = continuation
        self.deliver(member, process, make(number))

    def receive(self, member: str, event: Any) -> None:
        process = self.processes[member]
        if process is not None:
            self.deliver(member, process, event)

    # The end of all faults

    def heal(self) -> None:
        self.end_faults()
        self.network.slow_s = 0.0
        self.network.heal()
        for process in self.processes.values():
            if process is not None:
                process.cost_s = process.stalls_s = 0.0
        self.store.out_until = 0.0
        self.store.refused_until.clear()

    def finish(self) -> None:
        """All faults end; then each accepted job must be answered for, and done in time."""
        self.heal()
        for member in sorted(self.old_version):
            self.upgrade(member, 0.5)
            self.clock.advance(4.0)
        self.drop_limits()
        over = self.clock.now
        known = sorted(self.accepted)
        for ref in known:
            self.users.poll_for(ref, 75.0)
        self.clock.advance(75.0)
        for ref in known:
            assert self.last_answered_at.get(ref, 0.0) > over, f"no query of {ref} is answered"
        for worker in self.workers.values():
            worker.faulty = False
        self.rules.watch_waiting({})
        for ref in sorted(self.accepted):
            if self.specs[ref].job_class == "broken":
                self.users.cancel(ref)
        self.clock.advance(150.0)
        for ref in sorted(self.accepted):
            self.users.query(ref)
        self.clock.advance(2.0)
        for ref in sorted(self.accepted):
            if self.specs[ref].job_class != "broken":
                assert ref in self.final_statuses, f"{ref} never ends"


def at_work(estimate_s: float, for_s: float, seed: int = 3) -> World:
    """A world whose machines have worked on one job for a while, and none of them is faulty."""
    world = World(seed)
    world.clock.advance(3.0)
    world.users.submit(job("job-long", tasks=3, estimate_s=estimate_s, team=Team("blue")))
    world.clock.advance(for_s)
    for worker in world.workers.values():
        worker.faulty = False
    return world


def leader_of(world: World) -> str:
    found = [m for m, p in world.processes.items() if p and p.controller.leader]
    assert len(found) == 1
    return found[0]


def running(world: World, ref: str) -> int:
    return sum(
        1
        for worker in world.workers.values()
        for (task, _), worker_task in worker.tasks.items()
        if task.job == ref and worker_task.state == "running"
    )
