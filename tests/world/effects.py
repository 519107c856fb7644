"""Executes the effects that controllers return."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial, singledispatchmethod
from typing import TYPE_CHECKING, Any

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
from crosscleat.core.model.ids import Member
from crosscleat.core.model.inputs import (
    CallCompleted,
    ProbeReply,
    ProgressReceived,
    ShardProposed,
    ShardRequested,
)
from crosscleat.core.model.store_calls import RevokeLease
from crosscleat.core.model.worker_calls import (
    DirectCommand,
    DirectReply,
    HeartbeatResponse,
    IndirectProbe,
)

from .helpers import discard
from .scenario import MEMBERS

if TYPE_CHECKING:
    from .world import Process, World


CloudCall = Rent | DeleteMachines | ListMachines | ListTypes


@dataclass(frozen=True)
class Caller:
    """The controller process that returned an effect, and so receives its results."""

    world: World
    member: str
    process: Process

    def reply_callback(self, call: Any) -> Callable[..., None]:
        """Return a callback that delivers the results of the call to the process."""

        def reply(*results: Any) -> None:
            self.world.deliver(self.member, self.process, CallCompleted(call.continuation, results))

        return reply


class Effects:
    """Executes the effects that controllers return."""

    def __init__(self, world: World) -> None:
        self.world = world

    def execute(self, member: str, process: Process, effect: Effect) -> None:
        """Execute an effect; its results are delivered to the process as `CallCompleted` inputs."""
        self._execute(effect, Caller(self.world, member, process))

    @singledispatchmethod
    def _execute(self, effect: Effect, caller: Caller) -> None:
        """The default: effects without a registered method are calls to the store."""
        self.world.store_calls.call(caller.member, effect, caller.reply_callback(effect))

    @_execute.register(Response)
    @_execute.register(HeartbeatResponse)
    def _respond(self, effect: Response | HeartbeatResponse, caller: Caller) -> None:
        continuation = caller.process.requests.pop(effect.request, None)
        if continuation is not None:
            continuation(effect)

    @_execute.register
    def _delay(self, effect: Delay, caller: Caller) -> None:
        self.world.clock.after(effect.delay_s, caller.reply_callback(effect))

    @_execute.register
    def _broadcast(self, effect: BroadcastProgress, caller: Caller) -> None:
        progress = ProgressReceived(effect.counts)
        for other in MEMBERS:
            if other != caller.member and self.world.network.connected(caller.member, other):
                self.world.clock.after(0.01, partial(self.world.receive, other, progress))

    @_execute.register
    def _log(self, effect: LogRecord, caller: Caller) -> None:
        pass

    @_execute.register
    def _probe_indirectly(self, effect: IndirectProbe, caller: Caller) -> None:
        member = caller.member
        for other in MEMBERS:
            if other != member:
                self.world.network.send(member, other, partial(self.probe, member, other, effect))

    @_execute.register
    def _request_shard(self, effect: ShardRequest, caller: Caller) -> None:
        request = ShardRequested(Member(caller.member), effect.view)
        other = effect.member
        self.world.network.send(caller.member, other, lambda: self.world.receive(other, request))

    @_execute.register
    def _propose_shard(self, effect: ProposeShard, caller: Caller) -> None:
        proposal = ShardProposed(Member(caller.member), effect.proposal)
        other = effect.member

        def send_proposal() -> None:
            self.world.network.send(
                caller.member, other, lambda: self.world.receive(other, proposal)
            )

        # The owner of a shard may be slow, so that its proposal is outdated when it arrives.
        self.world.clock.after(self.world.rng.choice((0.0, 0.0, 0.0, 0.3, 5.2)), send_proposal)

    @_execute.register
    def _revoke(self, effect: RevokeLease, caller: Caller) -> None:
        self.world.store_calls.call(caller.member, effect, discard)

    @_execute.register
    def _command(self, effect: DirectCommand, caller: Caller) -> None:
        self.world.worker_calls.send_direct_command(
            caller.member, effect, caller.reply_callback(effect)
        )

    @_execute.register(Rent)
    @_execute.register(DeleteMachines)
    @_execute.register(ListMachines)
    @_execute.register(ListTypes)
    def _call_cloud(self, effect: CloudCall, caller: Caller) -> None:
        self.world.cloud.call(caller.member, effect, caller.reply_callback(effect))

    def probe(self, member: str, other: str, probe: IndirectProbe) -> None:
        """Let `other` probe a worker, and send the worker's heartbeat to `member`."""
        if self.world.processes[other] is None:
            return

        def forward_heartbeat(reply: DirectReply) -> None:
            heartbeat = reply.heartbeat
            if heartbeat is not None:
                self.world.network.send(
                    other, member, lambda: self.world.receive(member, ProbeReply(heartbeat))
                )

        call = DirectCommand(probe.address, probe.token, probe.agent_epoch, (), discard)
        self.world.worker_calls.send_direct_command(other, call, forward_heartbeat)
