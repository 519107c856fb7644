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
from crosscleat.core.model.cloud_calls import DeleteMachines, ListMachines, ListTypes, Rent
from crosscleat.core.model.effects import (
    BroadcastProgress,
    Delay,
    Effect,
    LogRecord,
    ProposeShard,
    Response,
    ShardRequest,
)
from crosscleat.core.model.heartbeats import Heartbeat
from crosscleat.core.model.ids import LeaseId, Member, Seconds, TaskId, Team, Version, WallTime
from crosscleat.core.model.inputs import (
    CallCompleted,
    HeartbeatReceived,
    PeerUnreachable,
    ProbeReply,
    ProgressReceived,
    ShardProposed,
    ShardRequested,
    Started,
    Tick,
)
from crosscleat.core.model.job_spec import JobSpec
from crosscleat.core.model.store_calls import (
    Commit,
    Found,
    GrantLease,
    Listing,
    Read,
    RenewLease,
    RevokeLease,
    Scan,
    Watch,
    WatchResult,
)
from crosscleat.core.model.worker_calls import DirectCommand, HeartbeatResponse, IndirectProbe

from .clock import Clock
from .cloud import Cloud
from .gangs import Gangs
from .helpers import is_of_upgrade, void
from .network import Network
from .rules import Rules
from .scenario import (
    HOMES,
    LIMITS,
    MEMBERS,
    NEXT_LIMITS,
    PATIENCE_S,
    REGION,
    TICK_S,
    deployment,
    job,
)
from .store import Store
from .users import Users
from .worker import Worker


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
                self.carry_out(member, process, effect)

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

    def carry_out(self, member: str, process: Process, effect: Effect) -> None:  # noqa: C901 - one case a message
        def back(*results: Any) -> None:
            call: Any = effect
            self.feed(member, process, CallCompleted(call.continuation, results))

        match effect:
            case Response() | HeartbeatResponse():
                continuation = process.requests.pop(effect.request, None)
                if continuation is not None:
                    continuation(effect)
            case Delay():
                self.clock.after(effect.delay_s, lambda: back())
            case BroadcastProgress():
                counts = ProgressReceived(effect.message)
                for other in MEMBERS:
                    if other != member and self.network.whole(member, other):
                        self.clock.after(0.01, partial(self.hear, other, counts))
            case LogRecord():
                pass
            case IndirectProbe():
                for other in MEMBERS:
                    if other != member:
                        self.network.send(member, other, partial(self.probe, member, other, effect))
            case ShardRequest():
                other = effect.member
                self.network.send(
                    member,
                    other,
                    lambda: self.hear(other, ShardRequested(Member(member), effect.view)),
                )
            case ProposeShard():
                other = effect.member
                told = ShardProposed(Member(member), effect.proposal)

                def propose() -> None:
                    self.network.send(member, other, lambda: self.hear(other, told))

                # An owner may be slow, and its proposal outdated when it comes.
                self.clock.after(self.rng.choice((0.0, 0.0, 0.0, 0.3, 5.2)), propose)
            case RevokeLease():
                self.state(member, effect, lambda *_: None)
            case DirectCommand():
                self.direct(member, effect, back)
            case Rent() | DeleteMachines() | ListMachines() | ListTypes():
                self.clouds.cloud(member, effect, back)
            case _:
                self.state(member, effect, back)

    def probe(self, member: str, other: str, asked: IndirectProbe) -> None:
        if self.processes[other] is None:
            return

        def found(report: Heartbeat | None, _perhaps: bool) -> None:
            if report is not None:
                self.network.send(other, member, lambda: self.hear(member, ProbeReply(report)))

        call = DirectCommand(asked.address, asked.token, asked.agent_epoch, (), void)
        self.direct(other, call, found)

    def hear(self, member: str, told: Any) -> None:
        process = self.processes[member]
        if process is not None:
            self.feed(member, process, told)

    # State service

    def state(self, member: str, effect: Any, back: Callable[..., None]) -> None:
        delay = self.rng.uniform(0.002, 0.02)
        if member in self.old and is_of_upgrade(effect):
            # The version before neither writes such keys nor reads them.
            listing = Listing([], Version(self.store.revision))
            result = listing if isinstance(effect, Scan) else None
            self.clock.after(delay, lambda: back(result))
            return
        if isinstance(effect, Watch):
            self.clock.after(delay, lambda: self.watch(member, effect, back, effect.block_s))
            return
        if isinstance(effect, Commit) and self.rng.random() < self.flaky:
            self.clock.after(delay, lambda: self.flaky_commit(effect, back))
            return
        if not isinstance(effect, (Read, Scan)) and self.rng.random() < self.late_writes:
            # Also the end or the renewal of a lease, which is harmless only while it is ours.
            self.clock.after(self.rng.uniform(2.0, 12.0), lambda: void(self.serve(effect)))
            self.clock.after(1.0, lambda: back(None))
            return
        if self.slow_store_s:
            delay = self.rng.uniform(0.0, self.slow_store_s) / 2.0
        back_s = delay
        if isinstance(effect, Scan):
            back_s += self.slow_scans.get(effect.prefix, 0.0)
        patience_s = PATIENCE_S[type(effect)]

        def arrive() -> None:
            if not self.reaches_store(member):
                patience = 0.0 if getattr(effect, "for_user", False) else 0.5
                self.clock.after(patience, lambda: back(None))
                return
            result = self.serve(effect)
            if delay + back_s > patience_s:
                # It was carried out; only nobody waits for the answer any more.
                self.clock.after(max(0.0, patience_s - delay), lambda: back(None))
            else:
                self.clock.after(back_s, lambda: back(result))

        self.clock.after(delay, arrive)

    def reaches_store(self, member: str) -> bool:
        return self.store.serves(member) and self.network.whole(member, REGION)

    def flaky_commit(self, effect: Commit, back: Callable[..., None]) -> None:
        """No answer: executed now, or minutes later, and perhaps tried again meanwhile."""
        late = self.rng.choice((0.0, 0.3, 5.0, 60.0))
        # Only once the service is back can it execute what was held up.
        self.clock.after(late, lambda: self.store.commit(effect, True))
        if self.rng.random() < 0.5:
            self.clock.after(1.0, lambda: back(None))
        else:
            self.clock.after(0.2, lambda: back(self.store.commit(effect, True)))

    def serve(self, effect: Any) -> Any:
        match effect:
            case Commit():
                return self.store.commit(effect, False)
            case Read():
                self.store.expire()
                return Found(self.store.item(effect.key), Version(self.store.revision))
            case Scan():
                return self.store.listing(effect.prefix)
            case GrantLease():
                return LeaseId(self.store.grant(effect.life_s))
            case RenewLease():
                self.store.expire()
                return self.store.touch(effect.lease)
            case RevokeLease():
                return self.store.revoke(effect.lease)
        raise TypeError(effect)

    def watch(self, member: str, effect: Watch, back: Callable[..., None], left: float) -> None:
        news = self.store.news(effect.prefix, effect.after) if self.store.serves(member) else []
        if not self.network.whole(member, REGION) or member in self.slow_watches:
            self.clock.after(0.5, lambda: back(None))
        elif not self.store.serves(member) and left <= 0.0:
            back(None)
        elif news or left <= 0.0:
            back(WatchResult(Version(self.store.revision), news))
        else:
            pause = min(0.05, max(0.01, left))
            self.clock.after(pause, lambda: self.watch(member, effect, back, left - pause))

    # Workers

    def deliver_check_in(
        self, worker: str, member: str, report: Heartbeat, answered: Callable[[Any], None]
    ) -> None:
        def answer(result: Any) -> None:
            orders = result if isinstance(result, HeartbeatResponse) else None
            self.network.send(member, worker, lambda: answered(orders))

        if worker in self.mute:
            self.clock.after(0.5, lambda: answered(None))
            return
        if self.rng.random() < self.copies:
            # The copy may come to another controller, and to one of a later term.
            other = self.rng.choice(MEMBERS)
            late = self.rng.choice((0.5, 3.0, 12.0, 40.0))
            self.clock.after(late, lambda: self.hear_report(other, report, void))
        if not self.network.send(worker, member, lambda: self.hear_report(member, report, answer)):
            self.clock.after(0.01, lambda: answered(None))

    def hear_report(self, member: str, report: Heartbeat, answer: Callable[[Any], None]) -> None:
        process = self.processes[member]
        if process is None:
            return
        leader = process.controller.election.leader
        if process.controller.leader is not None:
            self.ask(member, lambda n: HeartbeatReceived(n, report), answer)
        elif leader is None or leader == member:
            answer(None)
        else:
            self.relay(member, leader, report, answer)

    def relay(
        self, member: str, leader: str, report: Heartbeat, answer: Callable[[Any], None]
    ) -> None:
        sent = self.clock.now

        def returned(result: Any) -> None:
            if self.clock.now - sent < 2.5:
                answer(result)

        self.network.send(
            member,
            leader,
            lambda: self.ask(
                leader,
                lambda n: HeartbeatReceived(n, report, relayed=True),
                lambda result: void(self.network.send(leader, member, lambda: returned(result))),
            ),
        )

    def direct(self, member: str, call: DirectCommand, back: Callable[..., None]) -> None:
        state = {"open": True}

        def close(report: Heartbeat | None, perhaps: bool) -> None:
            if state["open"]:
                state["open"] = False
                back(report, perhaps)

        def execute() -> None:
            self.execute_direct(member, call, lambda report: close(report, True))

        if self.copies and self.rng.random() < self.copies:
            # Carried out, and repeated later.
            self.clock.after(self.rng.choice((0.5, 3.0, 12.0, 40.0)), execute)
        if self.rng.random() < self.flaky:
            # Held up on the way: executed late, and so perhaps after other orders.
            self.clock.after(self.rng.choice((0.5, 6.0, 40.0)), execute)
        elif call.address in self.no_direct:
            self.clock.after(0.8, lambda: close(None, self.rng.random() < 0.5))
        elif not self.network.send(member, call.address, execute):
            self.clock.after(0.01, lambda: close(None, False))
        self.clock.after(2.0, lambda: close(None, True))

    def execute_direct(
        self, member: str, call: DirectCommand, answer: Callable[[Heartbeat], None]
    ) -> None:
        """The worker does what it is told, now or when it wakes; its answer may be lost."""
        worker = self.workers.get(call.address)
        if worker is None or worker.gone or not worker.up:
            return

        def act() -> None:
            report = worker.direct(call)
            if self.rng.random() >= self.flaky:
                self.network.send(call.address, member, lambda: answer(report))

        worker.when_awake(act)

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
