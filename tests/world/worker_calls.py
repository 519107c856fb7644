"""What workers and controllers send each other, on a network that fails."""

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
    """What workers and controllers send each other, on a network that fails."""

    def __init__(self, world: World) -> None:
        self.world = world

    def deliver_check_in(
        self, worker: str, member: str, report: Heartbeat, answered: Callable[[Any], None]
    ) -> None:
        def answer(result: Any) -> None:
            orders = result if isinstance(result, HeartbeatResponse) else None
            self.world.network.send(member, worker, lambda: answered(orders))

        if worker in self.world.mute:
            self.world.clock.after(0.5, lambda: answered(None))
            return
        if self.world.rng.random() < self.world.copies:
            # The copy may come to another controller, and to one of a later term.
            other = self.world.rng.choice(MEMBERS)
            late = self.world.rng.choice((0.5, 3.0, 12.0, 40.0))
            self.world.clock.after(late, lambda: self.hear_report(other, report, void))
        if not self.world.network.send(
            worker, member, lambda: self.hear_report(member, report, answer)
        ):
            self.world.clock.after(0.01, lambda: answered(None))

    def hear_report(self, member: str, report: Heartbeat, answer: Callable[[Any], None]) -> None:
        process = self.world.processes[member]
        if process is None:
            return
        leader = process.controller.election.leader
        if process.controller.leader is not None:
            self.world.ask(member, lambda n: HeartbeatReceived(n, report), answer)
        elif leader is None or leader == member:
            answer(None)
        else:
            self.relay(member, leader, report, answer)

    def relay(
        self, member: str, leader: str, report: Heartbeat, answer: Callable[[Any], None]
    ) -> None:
        sent = self.world.clock.now

        def returned(result: Any) -> None:
            if self.world.clock.now - sent < 2.5:
                answer(result)

        self.world.network.send(
            member,
            leader,
            lambda: self.world.ask(
                leader,
                lambda n: HeartbeatReceived(n, report, relayed=True),
                lambda result: void(
                    self.world.network.send(leader, member, lambda: returned(result))
                ),
            ),
        )

    def direct(self, member: str, call: DirectCommand, back: Callable[..., None]) -> None:
        state = {"open": True}

        def close(report: Heartbeat | None, perhaps: bool) -> None:
            if state["open"]:
                state["open"] = False
                back(DirectReply(report, perhaps))

        def execute() -> None:
            self.execute_direct(member, call, lambda report: close(report, True))

        if self.world.copies and self.world.rng.random() < self.world.copies:
            # Carried out, and repeated later.
            self.world.clock.after(self.world.rng.choice((0.5, 3.0, 12.0, 40.0)), execute)
        if self.world.rng.random() < self.world.flaky:
            # Held up on the way: executed late, and so perhaps after other orders.
            self.world.clock.after(self.world.rng.choice((0.5, 6.0, 40.0)), execute)
        elif call.address in self.world.no_direct:
            self.world.clock.after(0.8, lambda: close(None, self.world.rng.random() < 0.5))
        elif not self.world.network.send(member, call.address, execute):
            self.world.clock.after(0.01, lambda: close(None, False))
        self.world.clock.after(2.0, lambda: close(None, True))

    def execute_direct(
        self, member: str, call: DirectCommand, answer: Callable[[Heartbeat], None]
    ) -> None:
        """The worker does what it is told, now or when it wakes; its answer may be lost."""
        worker = self.world.workers.get(call.address)
        if worker is None or worker.gone or not worker.up:
            return

        def act() -> None:
            report = worker.direct(call)
            if self.world.rng.random() >= self.world.flaky:
                self.world.network.send(call.address, member, lambda: answer(report))

        worker.when_awake(act)
