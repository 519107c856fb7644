"""A machine and its worker, as the protocol describes them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from crosscleat.core.model.cloud import MachineType
from crosscleat.core.model.heartbeats import Heartbeat, TaskStatus
from crosscleat.core.model.ids import AgentEpoch, Attempt, HeartbeatId, MachineId, TaskId, Zone
from crosscleat.core.model.job_spec import Shape
from crosscleat.core.model.worker_calls import (
    ClearOrder,
    DirectCommand,
    HeartbeatResponse,
    Order,
    StartOrder,
)

from .scenario import LEASE_S, MEMBERS, REPORT_S

if TYPE_CHECKING:
    from .world import World


@dataclass
class Task:
    attempt: int
    state: str
    cause: str | None = None
    since: float = 0.0
    """When it began to wait for its gang, or to be without a part of it."""


@dataclass
class Worker:
    """One machine and its worker, as the protocol describes them."""

    world: World
    id: str
    kind: MachineType
    zone: str
    spot: bool
    born: float
    up: bool = False
    gone: bool = False
    hung_until: float = 0.0
    session: int = 1
    tally: int = 0
    token: int = 0
    lease_from: float = 0.0
    node: int = 0
    report_number: int = 0
    notice_until: float | None = None
    faulty: bool = False
    tasks: dict[tuple[TaskId, int], Task] = field(default_factory=dict)

    def boot(self) -> None:
        if self.gone:
            return
        self.up = True
        self.lease_from = self.world.clock.now
        self.receive_heartbeat()
        self.watch_lease()

    def watch_lease(self) -> None:
        if self.gone:
            return
        left = self.lease_from + LEASE_S - self.world.clock.now
        if left <= 1e-9:
            self.tasks.clear()
            self.session += 1
            self.lease_from = self.world.clock.now
            left = LEASE_S
        self.world.clock.after(left, self.watch_lease)

    def restart(self) -> None:
        """Power lost and back at once: it counts its sessions from 1 again."""
        self.tasks.clear()
        self.session = 1
        self.tally = 0
        self.token = 0
        self.lease_from = self.world.clock.now
        self.report_number += 1
        if self.up and not self.gone:
            self.receive_heartbeat()

    @property
    def hung(self) -> bool:
        return self.world.clock.now < self.hung_until

    def hang(self, seconds: float) -> None:
        self.hung_until = self.world.clock.now + seconds

    def when_awake(self, act: Callable[[], None]) -> None:
        """A hanging machine does nothing now and everything later."""
        if self.gone:
            return
        if self.hung:
            self.world.clock.after(self.hung_until - self.world.clock.now + 1e-6,
                                   lambda: self.when_awake(act))  # fmt: skip
        else:
            act()

    def report(self) -> Heartbeat:
        self.tally += 1
        notice = self.notice_until
        return Heartbeat(
            MachineId(self.id), self.id, self.kind.name, Zone(self.zone), self.spot,
            HeartbeatId(AgentEpoch(self.session), self.tally), self.token,
            None if notice is None else max(0.0, notice - self.world.clock.now),
            tuple(TaskStatus(task, Attempt(attempt), t.state, t.cause)
                  for (task, attempt), t in self.tasks.items()),
        )  # fmt: skip

    def receive_heartbeat(self) -> None:
        if self.gone:
            return
        if self.hung:
            self.when_awake(self.receive_heartbeat)
            return
        self.report_number += 1
        number = self.report_number
        session, sent = self.session, self.world.clock.now
        report = self.report()
        member = self.world.members[self.node % len(MEMBERS)]

        def answered(answer: HeartbeatResponse | None) -> None:
            self.when_awake(lambda: self.take(number, session, sent, answer))

        self.world.worker_calls.deliver_check_in(self.id, member, report, answered)
        self.world.clock.after(4.0, lambda: self.take(number, session, sent, None))

    def take(
        self, number: int, session: int, sent: float, answer: HeartbeatResponse | None
    ) -> None:
        if self.gone or number != self.report_number:
            return
        now = self.world.clock.now
        self.report_number += 1
        if answer is None or now - sent >= 4.0:
            self.node += 1
            self.world.clock.after(1.0, self.receive_heartbeat)
            return
        rng = self.world.rng
        pause = REPORT_S * rng.uniform(0.75, 1.25)
        if session == self.session and answer.token >= self.token:
            if answer.token > self.token:
                pause = 0.5
            self.token = answer.token
            self.lease_from = max(self.lease_from, sent)
            self.execute(answer.orders)
        self.world.clock.after(pause, self.receive_heartbeat)

    def direct(self, call: DirectCommand) -> Heartbeat:
        if call.token >= self.token and call.agent_epoch == self.session:
            self.token = call.token
            self.execute(call.orders)
        return self.report()

    def execute(self, orders: tuple[Order, ...]) -> None:
        for order in orders:
            task = TaskId.parse(order.task)
            assert task is not None
            key = (task, int(order.attempt))
            if isinstance(order, StartOrder):
                self.start(key)
            elif key in self.tasks:
                held = self.tasks[key]
                if isinstance(order, ClearOrder):
                    assert held.state == "exited", "only exited tasks are cleared"
                    del self.tasks[key]
                elif held.state != "exited":
                    held.state, held.cause = "exited", "stopped"

    def start(self, key: tuple[TaskId, int]) -> None:
        if key in self.tasks:
            return
        task, attempt = key
        spec = self.world.specs.get(task.job)
        if spec is None or task.number >= spec.tasks:
            self.tasks[key] = Task(attempt, "exited", "no_such")
            return
        at_work = [t for t, held in self.tasks.items() if held.state != "exited"]
        used = sum(self.world.specs[t.job].cpus for t, _ in at_work)
        if any(t == task for t, _ in at_work):
            self.tasks[key] = Task(attempt, "exited", "busy")
        elif used + spec.cpus > self.kind.cpus:
            self.tasks[key] = Task(attempt, "exited", "no_room")
        else:
            self.world.rules.check_start(self, task, spec)
            if spec.shape is Shape.GANG:
                self.world.gangs.check_gang(task, attempt, spec)
            held = self.tasks[key] = Task(attempt, "fetching")
            self.world.clock.after(0.5, lambda: self.step_task(key, held))

    def step_task(self, key: tuple[TaskId, int], held: Task) -> None:
        if self.gone or self.tasks.get(key) is not held or held.state == "exited":
            return
        if self.hung:
            self.when_awake(lambda: self.step_task(key, held))
            return
        spec = self.world.specs[key[0].job]
        if held.state == "fetching" and key[0] not in self.world.results:
            if spec.shape is Shape.GANG:
                held.state, held.since = "waiting", self.world.clock.now
                self.world.gangs.gather(key[0].job, held.attempt)
                return
            held.state = "running"
            speed = self.world.rng.uniform(0.5, 1.5)
            self.world.clock.after(spec.estimate_s * speed, lambda: self.step_task(key, held))
            return
        held.state = "exited"
        if self.faulty or spec.job_class == "broken":
            held.cause = "error"
        else:
            held.cause = "done"
            self.world.results.add(key[0])
            self.world.users.task_done(key[0])
