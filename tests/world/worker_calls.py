"""Messages between workers and controllers, over a network that fails."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from crosscleat.core.model.heartbeats import Heartbeat
from crosscleat.core.model.inputs import HeartbeatReceived
from crosscleat.core.model.worker_calls import DirectCommand, DirectReply, HeartbeatResponse

from .helpers import void
from .scenario import MEMBERS

if TYPE_CHECKING:
    from .world import World


class WorkerCalls:
    """Messages between workers and controllers, over a network that fails."""

    def __init__(self, world: World) -> None:
        self.world = world

    def deliver_heartbeat(
        self, worker: str, member: str, heartbeat: Heartbeat, answered: Callable[[Any], None]
    ) -> None:
        def answer(result: Any) -> None:
            orders = result if isinstance(result, HeartbeatResponse) else None
            self.world.network.send(member, worker, lambda: answered(orders))

        if worker in self.world.silenced:
            self.world.clock.after(0.5, lambda: answered(None))
            return
        if self.world.rng.random() < self.world.duplicates:
            # The copy may reach another controller, or one of a later term.
            other = self.world.rng.choice(MEMBERS)
            late = self.world.rng.choice((0.5, 3.0, 12.0, 40.0))
            self.world.clock.after(late, lambda: self.receive_heartbeat(other, heartbeat, void))
        if not self.world.network.send(
            worker, member, lambda: self.receive_heartbeat(member, heartbeat, answer)
        ):
            self.world.clock.after(0.01, lambda: answered(None))

    def receive_heartbeat(
        self, member: str, heartbeat: Heartbeat, answer: Callable[[Any], None]
    ) -> None:
        process = self.world.processes[member]
        if process is None:
            return
        leader = process.controller.election.leader
        if process.controller.leader is not None:
            self.world.request(member, lambda n: HeartbeatReceived(n, heartbeat), answer)
        elif leader is None or leader == member:
            answer(None)
        else:
            self.relay(member, leader, heartbeat, answer)

    def relay(
        self, member: str, leader: str, heartbeat: Heartbeat, answer: Callable[[Any], None]
    ) -> None:
        sent = self.world.clock.now

        def returned(result: Any) -> None:
            if self.world.clock.now - sent < 2.5:
                answer(result)

        self.world.network.send(
            member,
            leader,
            lambda: self.world.request(
                leader,
                lambda n: HeartbeatReceived(n, heartbeat, relayed=True),
                lambda result: void(
                    self.world.network.send(leader, member, lambda: returned(result))
                ),
            ),
        )

    def direct(self, member: str, call: DirectCommand, reply: Callable[..., None]) -> None:
        state = {"open": True}

        def close(heartbeat: Heartbeat | None, perhaps: bool) -> None:
            if state["open"]:
                state["open"] = False
                reply(DirectReply(heartbeat, perhaps))

        def execute() -> None:
            self.execute_direct(member, call, lambda heartbeat: close(heartbeat, True))

        if self.world.duplicates and self.world.rng.random() < self.world.duplicates:
            # Carried out now, and once more later.
            self.world.clock.after(self.world.rng.choice((0.5, 3.0, 12.0, 40.0)), execute)
        if self.world.rng.random() < self.world.flaky:
            # Delayed: carried out late, and so perhaps after other commands.
            self.world.clock.after(self.world.rng.choice((0.5, 6.0, 40.0)), execute)
        elif call.address in self.world.no_direct:
            self.world.clock.after(0.8, lambda: close(None, self.world.rng.random() < 0.5))
        elif not self.world.network.send(member, call.address, execute):
            self.world.clock.after(0.01, lambda: close(None, False))
        self.world.clock.after(2.0, lambda: close(None, True))

    def execute_direct(
        self, member: str, call: DirectCommand, answer: Callable[[Heartbeat], None]
    ) -> None:
        """The worker carries it out, now or when it stops hanging; its reply may be lost."""
        worker = self.world.workers.get(call.address)
        if worker is None or worker.dead or not worker.up:
            return

        def act() -> None:
            heartbeat = worker.direct(call)
            if self.world.rng.random() >= self.world.flaky:
                self.world.network.send(call.address, member, lambda: answer(heartbeat))

        worker.when_awake(act)
