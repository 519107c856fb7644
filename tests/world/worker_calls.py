"""Heartbeats and direct commands between workers and controllers, with their faults."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from crosscleat.core.model.heartbeats import Heartbeat
from crosscleat.core.model.inputs import HeartbeatReceived
from crosscleat.core.model.worker_calls import DirectCommand, DirectReply, HeartbeatResponse

from .helpers import discard
from .scenario import MEMBERS

if TYPE_CHECKING:
    from .world import World


class WorkerCalls:
    """Delivers heartbeats and direct commands, subject to the faults that are active."""

    def __init__(self, world: World) -> None:
        self.world = world

    def deliver_heartbeat(
        self, worker: str, member: str, heartbeat: Heartbeat, on_response: Callable[[Any], None]
    ) -> None:
        def respond(result: Any) -> None:
            response = result if isinstance(result, HeartbeatResponse) else None
            self.world.network.send(member, worker, lambda: on_response(response))

        if worker in self.world.heartbeats_blocked:
            self.world.clock.after(0.5, lambda: on_response(None))
            return
        if self.world.rng.random() < self.world.duplicates:
            # The copy may reach another controller, or one of a later term.
            other = self.world.rng.choice(MEMBERS)
            delay = self.world.rng.choice((0.5, 3.0, 12.0, 40.0))
            self.world.clock.after(delay, lambda: self.receive_heartbeat(other, heartbeat, discard))
        if not self.world.network.send(
            worker, member, lambda: self.receive_heartbeat(member, heartbeat, respond)
        ):
            self.world.clock.after(0.01, lambda: on_response(None))

    def receive_heartbeat(
        self, member: str, heartbeat: Heartbeat, respond: Callable[[Any], None]
    ) -> None:
        """Process a heartbeat on the leader, or relay it to the leader that the member knows."""
        process = self.world.processes[member]
        if process is None:
            return
        leader = process.controller.election.leader
        if process.controller.leader is not None:
            self.world.request(member, lambda n: HeartbeatReceived(n, heartbeat), respond)
        elif leader is None or leader == member:
            respond(None)
        else:
            self.relay(member, leader, heartbeat, respond)

    def relay(
        self, member: str, leader: str, heartbeat: Heartbeat, respond: Callable[[Any], None]
    ) -> None:
        sent_at = self.world.clock.now

        def on_relayed_response(result: Any) -> None:
            if self.world.clock.now - sent_at < 2.5:
                respond(result)

        self.world.network.send(
            member,
            leader,
            lambda: self.world.request(
                leader,
                lambda n: HeartbeatReceived(n, heartbeat, relayed=True),
                lambda result: discard(
                    self.world.network.send(leader, member, lambda: on_relayed_response(result))
                ),
            ),
        )

    def send_direct_command(
        self, member: str, call: DirectCommand, reply: Callable[..., None]
    ) -> None:
        state = {"open": True}

        def complete(heartbeat: Heartbeat | None, may_execute: bool) -> None:
            """Reply to the controller; only the first call has an effect."""
            if state["open"]:
                state["open"] = False
                reply(DirectReply(heartbeat, may_execute))

        def execute() -> None:
            self.receive_direct_command(member, call, lambda heartbeat: complete(heartbeat, True))

        if self.world.duplicates and self.world.rng.random() < self.world.duplicates:
            # Executed now, and a second time later.
            self.world.clock.after(self.world.rng.choice((0.5, 3.0, 12.0, 40.0)), execute)
        if self.world.rng.random() < self.world.flaky_call_chance:
            # Executed late, possibly after newer commands.
            self.world.clock.after(self.world.rng.choice((0.5, 6.0, 40.0)), execute)
        elif call.address in self.world.direct_commands_blocked:
            self.world.clock.after(0.8, lambda: complete(None, self.world.rng.random() < 0.5))
        elif not self.world.network.send(member, call.address, execute):
            self.world.clock.after(0.01, lambda: complete(None, False))
        self.world.clock.after(2.0, lambda: complete(None, True))

    def receive_direct_command(
        self, member: str, call: DirectCommand, on_reply: Callable[[Heartbeat], None]
    ) -> None:
        """Execute the command now or when the worker stops hanging; its reply may be lost."""
        worker = self.world.workers.get(call.address)
        if worker is None or worker.dead or not worker.up:
            return

        def execute() -> None:
            heartbeat = worker.execute_direct_command(call)
            if self.world.rng.random() >= self.world.flaky_call_chance:
                self.world.network.send(call.address, member, lambda: on_reply(heartbeat))

        worker.run_when_not_hung(execute)
