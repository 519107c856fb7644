"""A simulated machine and the worker on it, as the protocol describes them."""

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

from .scenario import HEARTBEAT_S, LEASE_S, MEMBERS

if TYPE_CHECKING:
    from .world import World


@dataclass
class WorkerTask:
    """An attempt at a task, as the worker reports it in heartbeats."""

    attempt: int
    state: str
    cause: str | None = None
    since: float = 0.0
    """When it began to wait for its gang, or when a peer of its gang was lost; otherwise 0.0."""


@dataclass
class Worker:
    """A machine and the worker on it: heartbeats, lease, orders and the tasks' states.

    `token` is the highest one received; a response or command with a lower one is ignored.
    """

    world: World
    id: str
    machine_type: MachineType
    zone: str
    spot: bool
    created_at: float
    up: bool = False
    dead: bool = False
    hung_until: float = 0.0
    agent_epoch: int = 1
    sequence: int = 0
    token: int = 0
    lease_renewed_at: float = 0.0
    controller_index: int = 0
    heartbeat_number: int = 0
    """Changes with each heartbeat, response and restart, so that late responses are ignored."""
    reclaimed_at: float | None = None
    faulty: bool = False
    tasks: dict[tuple[TaskId, int], WorkerTask] = field(default_factory=dict)

    def boot(self) -> None:
        if self.dead:
            return
        self.up = True
        self.lease_renewed_at = self.world.clock.now
        self.send_heartbeat()
        self.watch_lease()

    def watch_lease(self) -> None:
        """When the lease expires, drop all tasks and begin a new agent epoch."""
        if self.dead:
            return
        remaining_s = self.lease_renewed_at + LEASE_S - self.world.clock.now
        if remaining_s <= 1e-9:
            self.tasks.clear()
            self.agent_epoch += 1
            self.lease_renewed_at = self.world.clock.now
            remaining_s = LEASE_S
        self.world.clock.after(remaining_s, self.watch_lease)

    def restart(self) -> None:
        """Lose power and boot immediately: nothing is kept, and agent epochs begin at 1 again."""
        self.tasks.clear()
        self.agent_epoch = 1
        self.sequence = 0
        self.token = 0
        self.lease_renewed_at = self.world.clock.now
        self.heartbeat_number += 1
        if self.up and not self.dead:
            self.send_heartbeat()

    @property
    def hung(self) -> bool:
        return self.world.clock.now < self.hung_until

    def hang(self, seconds: float) -> None:
        self.hung_until = self.world.clock.now + seconds

    def run_when_not_hung(self, action: Callable[[], None]) -> None:
        """Run the action now, or when the machine stops hanging; a dead machine never runs it."""
        if self.dead:
            return
        if self.hung:
            self.world.clock.after(self.hung_until - self.world.clock.now + 1e-6,
                                   lambda: self.run_when_not_hung(action))  # fmt: skip
        else:
            action()

    def heartbeat(self) -> Heartbeat:
        self.sequence += 1
        reclaimed_at = self.reclaimed_at
        return Heartbeat(
            MachineId(self.id), self.id, self.machine_type.name, Zone(self.zone), self.spot,
            HeartbeatId(AgentEpoch(self.agent_epoch), self.sequence), self.token,
            None if reclaimed_at is None else max(0.0, reclaimed_at - self.world.clock.now),
            tuple(TaskStatus(task, Attempt(attempt), t.state, t.cause)
                  for (task, attempt), t in self.tasks.items()),
        )  # fmt: skip

    def send_heartbeat(self) -> None:
        if self.dead:
            return
        if self.hung:
            self.run_when_not_hung(self.send_heartbeat)
            return
        self.heartbeat_number += 1
        number = self.heartbeat_number
        agent_epoch, sent_at = self.agent_epoch, self.world.clock.now
        heartbeat = self.heartbeat()
        member = self.world.members[self.controller_index % len(MEMBERS)]

        def respond(response: HeartbeatResponse | None) -> None:
            self.run_when_not_hung(
                lambda: self.receive_response(number, agent_epoch, sent_at, response)
            )

        self.world.worker_calls.deliver_heartbeat(self.id, member, heartbeat, respond)
        self.world.clock.after(
            4.0, lambda: self.receive_response(number, agent_epoch, sent_at, None)
        )

    def receive_response(
        self, number: int, agent_epoch: int, sent_at: float, response: HeartbeatResponse | None
    ) -> None:
        """Process the response to the latest heartbeat; None if there was none in time."""
        if self.dead or number != self.heartbeat_number:
            return
        now = self.world.clock.now
        self.heartbeat_number += 1
        if response is None or now - sent_at >= 4.0:
            self.controller_index += 1
            self.world.clock.after(1.0, self.send_heartbeat)
            return
        rng = self.world.rng
        pause = HEARTBEAT_S * rng.uniform(0.75, 1.25)
        if agent_epoch == self.agent_epoch and response.token >= self.token:
            if response.token > self.token:
                pause = 0.5
            self.token = response.token
            self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
            self.execute(response.orders)
        self.world.clock.after(pause, self.send_heartbeat)

    def execute_direct_command(self, call: DirectCommand) -> Heartbeat:
        """Execute the orders unless their token or agent epoch is outdated; return the status."""
        if call.token >= self.token and call.agent_epoch == self.agent_epoch:
            self.token = call.token
            self.execute(call.orders)
        return self.heartbeat()

    def execute(self, orders: tuple[Order, ...]) -> None:
        for order in orders:
            task = TaskId.parse(order.task)
            assert task is not None
            key = (task, int(order.attempt))
            if isinstance(order, StartOrder):
                self.start(key)
            elif key in self.tasks:
                worker_task = self.tasks[key]
                if isinstance(order, ClearOrder):
                    assert worker_task.state == "exited", "only exited tasks are cleared"
                    del self.tasks[key]
                elif worker_task.state != "exited":
                    worker_task.state, worker_task.cause = "exited", "stopped"

    def start(self, key: tuple[TaskId, int]) -> None:
        if key in self.tasks:
            return
        task, attempt = key
        spec = self.world.specs.get(task.job)
        if spec is None or task.number >= spec.tasks:
            self.tasks[key] = WorkerTask(attempt, "exited", "no_such")
            return
        active = [t for t, worker_task in self.tasks.items() if worker_task.state != "exited"]
        used = sum(self.world.specs[t.job].cpus for t, _ in active)
        if any(t == task for t, _ in active):
            self.tasks[key] = WorkerTask(attempt, "exited", "busy")
        elif used + spec.cpus > self.machine_type.cpus:
            self.tasks[key] = WorkerTask(attempt, "exited", "no_room")
        else:
            self.world.rules.check_start(self, task, spec)
            if spec.shape is Shape.GANG:
                self.world.gangs.check_gang_start(task, attempt, spec)
            worker_task = self.tasks[key] = WorkerTask(attempt, "fetching")
            self.world.clock.after(0.5, lambda: self.advance_task(key, worker_task))

    def advance_task(self, key: tuple[TaskId, int], worker_task: WorkerTask) -> None:
        """Move a task to its next state: from fetching to waiting or running, then to exited."""
        if self.dead or self.tasks.get(key) is not worker_task or worker_task.state == "exited":
            return
        if self.hung:
            self.run_when_not_hung(lambda: self.advance_task(key, worker_task))
            return
        spec = self.world.specs[key[0].job]
        if worker_task.state == "fetching" and key[0] not in self.world.results:
            if spec.shape is Shape.GANG:
                worker_task.state, worker_task.since = "waiting", self.world.clock.now
                self.world.gangs.start_when_complete(key[0].job, worker_task.attempt)
                return
            worker_task.state = "running"
            speed = self.world.rng.uniform(0.5, 1.5)
            self.world.clock.after(
                spec.estimate_s * speed, lambda: self.advance_task(key, worker_task)
            )
            return
        worker_task.state = "exited"
        if self.faulty or spec.job_class == "broken":
            worker_task.cause = "error"
        else:
            worker_task.cause = "done"
            self.world.results.add(key[0])
            self.world.users.task_completed(key[0])
