"""The simulated world: shared state, controller processes, and the final checks of a day."""

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
    """A controller process, from its start to its crash."""

    controller: Controller
    alive: bool = True
    drift: float = 1.0
    """Rate of its clock relative to the simulated clock."""
    free_at: float = 0.0
    """The time until which it is frozen, or busy with earlier inputs."""
    input_processing_s: float = 0.0
    """Processing time of each input in seconds."""
    freeze_after_step_s: float = 0.0
    """Seconds for which it freezes after its next step with effects, before these are executed."""
    requests: dict[int, Callable[[Any], None]] = field(default_factory=dict)
    """Callbacks of the requests that have no response yet, by the number of the request."""


class World(Faults):
    """The state that all parts of the simulation share, and the fault settings."""

    def __init__(self, seed: int, upgrade: bool = False) -> None:
        """With `upgrade` all controllers start as the old version, with the old store limits."""
        super().__init__()
        self.rng = Random(seed)
        self.old_version: set[str] = set(MEMBERS) if upgrade else set()
        self.next_limits = NEXT_LIMITS if upgrade else LIMITS
        self.clock = Clock()
        self.network = Network(self.clock, self.rng)
        self.store = Store(self.clock)
        self.members = list(MEMBERS)
        """Controllers in the order in which workers try them for heartbeats."""
        self.cancellation_members = list(MEMBERS)
        """Controllers to which users send cancellations."""
        self.workers: dict[str, Worker] = {}
        self.specs: dict[str, JobSpec] = {}
        self.results: set[TaskId] = set()
        """Tasks that have completed."""
        self.accepted: set[str] = set()
        """Jobs that the store has held, or that a user was told are accepted."""
        self.cancel_confirmed_at: dict[str, float] = {}
        """When a user first received the status "aborted" of the job."""
        self.cancel_requested: set[str] = set()
        self.final_statuses: dict[str, str] = {}
        self.final_since: dict[str, float] = {}
        """When a user first received the final status of the job."""
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
        """Machines by the name of their rental; a repeated rental gets the same ones."""
        self.start_count = 0
        """Number of tasks that have started on workers, repetitions included."""
        self._request_numbers = itertools.count(1)
        self.processes: dict[str, Process | None] = dict.fromkeys(MEMBERS)
        for member in MEMBERS:
            self.start_controller(member)
        self.clock.after(0.5, self.rules.check_running)
        self.clock.after(0.5, self.gangs.monitor_gangs)

    def cut_zone(self, zone: str, mode: str) -> None:
        """Cut the zone off from all other hosts; messages within the zone still pass."""
        hosts = [m for m, home in zip(MEMBERS, MEMBER_ZONES, strict=True) if home == zone]
        hosts += [w.id for w in self.workers.values() if w.zone == zone]
        others = [*MEMBERS, *self.workers, REGION]
        for host in hosts:
            for other in others:
                if other not in hosts:
                    self.network.cut(host, other, mode)

    # Controllers

    def start_controller(self, member: str) -> None:
        rng = Random(self.rng.random())
        limits = LIMITS if member in self.old_version else self.next_limits
        process = Process(Controller(deployment(member, limits), str(rng.random()), rng))
        process.drift = self.rng.choice((0.9995, 1.0, 1.0005))
        self.processes[member] = process
        self.deliver(member, process, Started())
        self.tick(member, process)

    def crash(self, member: str, restart_delay_s: float) -> None:
        process = self.processes[member]
        if process is None:
            return
        process.alive = False
        self.processes[member] = None
        for other in MEMBERS:
            if other != member:
                self.network.send(other, member, partial(self.report_unreachable, other, member))
        self.clock.after(restart_delay_s, lambda: self.start_controller(member))

    def leading(self) -> list[str]:
        """The controllers that hold the leadership according to their own state."""
        return [m for m, p in self.processes.items() if p and p.controller.election.leading]

    def end_leader(self, restart_delay_s: float) -> None:
        """Crash the current leader, if there is one; it restarts after `restart_delay_s`."""
        for member in self.leading():
            self.crash(member, restart_delay_s)

    def upgrade(self, member: str, restart_delay_s: float) -> None:
        """Restart the controller with the new version; after a mere crash it keeps the old one."""
        self.old_version.discard(member)
        self.crash(member, restart_delay_s)

    def drop_limits(self) -> None:
        """Apply the new store limits from now on, if all controllers have the new version."""
        if not self.old_version:
            self.store.limits = self.next_limits

    def report_unreachable(self, member: str, peer: str) -> None:
        process = self.processes[member]
        if process is not None:
            self.deliver(member, process, PeerUnreachable(Member(peer)))

    def tick(self, member: str, process: Process) -> None:
        if process.alive:
            self.deliver(member, process, Tick())
            # Ticks are skipped while it is frozen or busy: timers that expired meanwhile fire once.
            pause = max(TICK_S, process.free_at - self.clock.now)
            self.clock.after(pause, lambda: self.tick(member, process))

    def deliver(self, member: str, process: Process, event: Any) -> None:
        """Process an input now, or in order once the controller is no longer frozen or busy."""
        if process.input_processing_s or self.clock.now < process.free_at:
            starts_at = max(self.clock.now, process.free_at)
            process.free_at = starts_at + process.input_processing_s
            delay = process.free_at - self.clock.now
            self.clock.after(delay, lambda: self.process_input(member, process, event))
        else:
            self.process_input(member, process, event)

    def process_input(self, member: str, process: Process, event: Any) -> None:
        if not process.alive:
            return
        now = Seconds(self.clock.now * process.drift)
        effects = process.controller.step(event, now, WallTime(self.clock.now))
        freeze_s, process.freeze_after_step_s = process.freeze_after_step_s, 0.0
        if freeze_s and effects:
            # The effects are executed once the process continues, even if outdated by then.
            self.freeze(member, freeze_s)
            self.clock.after(freeze_s, lambda: self.execute_all(member, process, effects))
        else:
            process.freeze_after_step_s = freeze_s
            self.execute_all(member, process, effects)

    def execute_all(self, member: str, process: Process, effects: list[Effect]) -> None:
        if process.alive:
            for effect in effects:
                self.effects.execute(member, process, effect)

    def freeze(self, member: str, seconds: float) -> None:
        """Suspend the controller while its clocks run on; its inputs wait."""
        process = self.processes[member]
        if process is not None:
            process.free_at = max(process.free_at, self.clock.now + seconds)

    def request(
        self, member: str, make_input: Callable[[int], Any], continuation: Callable[[Any], None]
    ) -> None:
        """Send a request to a controller; without a response the continuation is not called."""
        process = self.processes[member]
        if process is None:
            return
        number = next(self._request_numbers)
        process.requests[number] = continuation
        self.deliver(member, process, make_input(number))

    def receive(self, member: str, event: Any) -> None:
        process = self.processes[member]
        if process is not None:
            self.deliver(member, process, event)

    # End of the faults, and final checks

    def heal(self) -> None:
        self.end_faults()
        self.network.extra_delay_s = 0.0
        self.network.heal()
        for process in self.processes.values():
            if process is not None:
                process.input_processing_s = process.freeze_after_step_s = 0.0
        self.store.outage_until = 0.0
        self.store.refused_until.clear()

    def finish(self) -> None:
        """End all faults; check that each accepted job is found by a query, and ends in time.

        Controllers of the old version are upgraded first. Jobs whose tasks always fail are
        cancelled, and need not end.
        """
        self.heal()
        for member in sorted(self.old_version):
            self.upgrade(member, 0.5)
            self.clock.advance(4.0)
        self.drop_limits()
        healed_at = self.clock.now
        accepted = sorted(self.accepted)
        for ref in accepted:
            self.users.poll_for(ref, 75.0)
        self.clock.advance(75.0)
        for ref in accepted:
            assert self.last_answered_at.get(ref, 0.0) > healed_at, (
                f"no query of {ref} was answered"
            )
        for worker in self.workers.values():
            worker.faulty = False
        self.rules.check_waiting({})
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


def quiet_world(seed: int) -> World:
    """A world in which all machines boot and none is faulty."""
    world = World(seed)
    world.boot_failure_chance = 0.0
    world.clock.advance(4.0)
    return world


def world_with_long_job(estimate_s: float, elapsed_s: float, seed: int = 3) -> World:
    """A world whose machines have run "job-long" for a while, and none of them is faulty."""
    world = World(seed)
    world.clock.advance(3.0)
    world.users.submit(job("job-long", tasks=3, estimate_s=estimate_s, team=Team("blue")))
    world.clock.advance(elapsed_s)
    for worker in world.workers.values():
        worker.faulty = False
    return world


def leader_of(world: World) -> str:
    """The only controller that leads."""
    leaders = [m for m, p in world.processes.items() if p and p.controller.leader]
    assert len(leaders) == 1
    return leaders[0]


def running(world: World, ref: str) -> int:
    """The number of the job's tasks that workers are running."""
    return sum(
        1
        for worker in world.workers.values()
        for (task, _), worker_task in worker.tasks.items()
        if task.job == ref and worker_task.state == "running"
    )
