"""A small world under a simulated clock: store, cloud, workers, users and a network that fails.

It holds three controller cores to every rule of the protocol, at the moment a rule could
break, and knows nothing of how they decide.
"""

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
from .gangs import Gangs
from .network import Network
from .rules import Rules
from .scenario import HOMES, LIMITS, MEMBERS, NEXT_LIMITS, REGION, TICK_S, deployment, job
from .store import Store
from .store_calls import StoreCalls
from .users import Users
from .worker import Worker
from .worker_calls import WorkerCalls


@dataclass
class Process:
    """One life of a controller."""

    controller: Controller
    alive: bool = True
    drift: float = 1.0
    free_at: float = 0.0
    """Until then it stands still, or is busy with what came before."""
    cost_s: float = 0.0
    """What it takes for each input."""
    stalls_s: float = 0.0
    """How long it will stand still right after its next decision, before that is carried out."""
    requests: dict[int, Callable[[Any], None]] = field(default_factory=dict)


class World:
    def __init__(self, seed: int, upgrade: bool = False) -> None:
        """`upgrade`: all controllers begin as the version before, under the limits of now."""
        self.rng = Random(seed)
        self.old: set[str] = set(MEMBERS) if upgrade else set()
        self.next_limits = NEXT_LIMITS if upgrade else LIMITS
        self.clock = Clock()
        self.network = Network(self.clock, self.rng)
        self.store = Store(self.clock)
        self.members = list(MEMBERS)
        self.serving = list(MEMBERS)
        """Controllers that users reach when they cancel."""
        self.workers: dict[str, Worker] = {}
        self.specs: dict[str, JobSpec] = {}
        self.results: set[TaskId] = set()
        self.accepted: set[str] = set()
        self.cancel_told: dict[str, float] = {}
        self.cancel_asked: set[str] = set()
        self.told_final: dict[str, str] = {}
        self.told_at: dict[str, float] = {}
        self.flaky = 0.0
        self.copies = 0.0
        """How often a copy of a report comes late, or a direct message is repeated."""
        self.no_direct: set[str] = set()
        """Workers that direct messages do not reach."""
        self.mute: set[str] = set()
        """Workers that reach no controller, while direct messages reach them."""
        self.boot_fails = 0.05
        """How often a machine never comes up."""
        self.late_writes = 0.0
        """How often the store gives no answer, and does what it was asked 2 to 12 s later."""
        self.slow_store_s = 0.0
        """How long an answer of the store may take."""
        self.slow_scans: dict[str, float] = {}
        """How long the scan of a prefix takes to be answered."""
        self.slow_watches: set[str] = set()
        """Controllers whose watches are not answered."""
        self.cancel_at_end = 0.0
        """How often users call a job off as its last task ends."""
        self.answered: dict[str, float] = {}
        """When a question about the job was last answered."""
        self.clouds = Cloud(self)
        self.effects = Effects(self)
        self.store_calls = StoreCalls(self)
        self.worker_calls = WorkerCalls(self)
        self.rules = Rules(self)
        self.users = Users(self)
        self.gangs = Gangs(self)
        self.cloud_down = False
        self.hires: dict[str, list[str]] = {}
        self.started = 0
        self._numbers = itertools.count(1)
        self.processes: dict[str, Process | None] = dict.fromkeys(MEMBERS)
        for member in MEMBERS:
            self.begin(member)
        self.clock.after(0.5, self.rules.patrol)
        self.clock.after(0.5, self.gangs.watch_gangs)

    def cut_zone(self, zone: str, mode: str) -> None:
        """Nothing passes between the zone and all that is outside; inside it all goes on."""
        inside = [m for m, home in zip(MEMBERS, HOMES, strict=True) if home == zone]
        inside += [w.id for w in self.workers.values() if w.zone == zone]
        others = [*MEMBERS, *self.workers, REGION]
        for one in inside:
            for other in others:
                if other not in inside:
                    self.network.cut(one, other, mode)

    # Controllers

    def begin(self, member: str) -> None:
        rng = Random(self.rng.random())
        limits = LIMITS if member in self.old else self.next_limits
        process = Process(Controller(deployment(member, limits), str(rng.random()), rng))
        process.drift = self.rng.choice((0.9995, 1.0, 1.0005))
        self.processes[member] = process
        self.feed(member, process, Started())
        self.tick(member, process)

    def crash(self, member: str, back_s: float) -> None:
        process = self.processes[member]
        if process is None:
            return
        process.alive = False
        self.processes[member] = None
        for other in MEMBERS:
            if other != member:
                self.network.send(other, member, partial(self.notice, other, member))
        self.clock.after(back_s, lambda: self.begin(member))

    def leading(self) -> list[str]:
        return [m for m, p in self.processes.items() if p and p.controller.election.leading]

    def end_leader(self, back_s: float) -> None:
        """Whoever leads, if anyone does, ends and comes back."""
        for member in self.leading():
            self.crash(member, back_s)

    def upgrade(self, member: str, back_s: float) -> None:
        """It ends and comes back with the new version; whoever ends before comes back old."""
        self.old.discard(member)
        self.crash(member, back_s)

    def drop_limits(self) -> None:
        """Without notice, at any time after all have changed."""
        if not self.old:
            self.store.limits = self.next_limits

    def notice(self, member: str, gone: str) -> None:
        process = self.processes[member]
        if process is not None:
            self.feed(member, process, PeerUnreachable(Member(gone)))

    def tick(self, member: str, process: Process) -> None:
        if process.alive:
            self.feed(member, process, Tick())
            # Timers that ran out while it stood still, or was busy, fire once.
            pause = max(TICK_S, process.free_at - self.clock.now)
            self.clock.after(pause, lambda: self.tick(member, process))

    def feed(self, member: str, process: Process, given: Any) -> None:
        """An input; one that stands still or is slow takes it up later, in the order they came."""
        if process.cost_s or self.clock.now < process.free_at:
            begins = max(self.clock.now, process.free_at)
            process.free_at = begins + process.cost_s
            wait = process.free_at - self.clock.now
            self.clock.after(wait, lambda: self.take_up(member, process, given))
        else:
            self.take_up(member, process, given)

    def take_up(self, member: str, process: Process, given: Any) -> None:
        if not process.alive:
            return
        now = Seconds(self.clock.now * process.drift)
        effects = process.controller.step(given, now, WallTime(self.clock.now))
        stalls, process.stalls_s = process.stalls_s, 0.0
        if stalls and effects:
            # What it has just decided leaves only when it goes on, whatever has happened since.
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
        """It stands still while its clocks run on; what arrives waits for it."""
        process = self.processes[member]
        if process is not None:
            process.free_at = max(process.free_at, self.clock.now + seconds)

    def ask(
        self, member: str, make: Callable[[int], Any], continuation: Callable[[Any], None]
    ) -> None:
        """A request that reached a controller; without an answer, `then` is not called."""
        process = self.processes[member]
        if process is None:
            return
        number = next(self._numbers)
        process.requests[number] = continuation
        self.feed(member, process, make(number))

    def hear(self, member: str, told: Any) -> None:
        process = self.processes[member]
        if process is not None:
            self.feed(member, process, told)

    # The end of all troubles

    def heal(self) -> None:
        self.flaky = self.copies = self.late_writes = 0.0
        self.slow_store_s = self.cancel_at_end = self.network.slow_s = 0.0
        self.slow_scans.clear()
        self.slow_watches.clear()
        self.no_direct.clear()
        self.mute.clear()
        self.cloud_down = False
        self.network.heal()
        for process in self.processes.values():
            if process is not None:
                process.cost_s = process.stalls_s = 0.0
        self.store.out_until = 0.0
        self.store.refuses.clear()

    def finish(self) -> None:
        """Once the troubles end, what was accepted gets done: safety alone is no service."""
        self.heal()
        for member in sorted(self.old):
            self.upgrade(member, 0.5)
            self.clock.advance(4.0)
        self.drop_limits()
        over = self.clock.now
        known = sorted(self.accepted)
        for ref in known:
            self.users.poll_for(ref, 75.0)
        self.clock.advance(75.0)
        for ref in known:
            assert self.answered.get(ref, 0.0) > over, f"no question about {ref} is answered"
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
                assert ref in self.told_final, f"{ref} never ends"


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
        for (task, _), held in worker.tasks.items()
        if task.job == ref and held.state == "running"
    )
