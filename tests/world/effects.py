"""Carries out the effects that a controller decides on."""

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

from .helpers import void
from .scenario import MEMBERS

if TYPE_CHECKING:
    from .world import Process, World


CloudCall = Rent | DeleteMachines | ListMachines | ListTypes


@dataclass(frozen=True)
class Caller:
    """The controller process that decided on an effect."""

    world: World
    member: str
    process: Process

    def replies_to(self, call: Any) -> Callable[..., None]:
        """Delivers the results of the call to the process."""

        def reply(*results: Any) -> None:
            self.world.deliver(self.member, self.process, CallCompleted(call.continuation, results))

        return reply


class Effects:
    """Carries out the effects that a controller decides on."""

    def __init__(self, world: World) -> None:
        self.world = world

    def carry_out(self, member: str, process: Process, effect: Effect) -> None:
        """Results come back to the process as inputs, each with the continuation of its call."""
        self._carry_out(effect, Caller(self.world, member, process))

    @singledispatchmethod
    def _carry_out(self, effect: Effect, caller: Caller) -> None:
        """The effects without a method of their own are calls to the store."""
        self.world.store_calls.call(caller.member, effect, caller.replies_to(effect))

    @_carry_out.register(Response)
    @_carry_out.register(HeartbeatResponse)
    def _respond(self, effect: Response | HeartbeatResponse, caller: Caller) -> None:
        continuation = caller.process.requests.pop(effect.request, None)
        if continuation is not None:
            continuation(effect)

    @_carry_out.register
    def _delay(self, effect: Delay, caller: Caller) -> None:
        self.world.clock.after(effect.delay_s, caller.replies_to(effect))

    @_carry_out.register
    def _broadcast(self, effect: BroadcastProgress, caller: Caller) -> None:
        progress = ProgressReceived(effect.counts)
        for other in MEMBERS:
            if other != caller.member and self.world.network.connected(caller.member, other):
                self.world.clock.after(0.01, partial(self.world.receive, other, progress))

    @_carry_out.register
    def _log(self, effect: LogRecord, caller: Caller) -> None:
        pass

    @_carry_out.register
    def _probe_indirectly(self, effect: IndirectProbe, caller: Caller) -> None:
        member = caller.member
        for other in MEMBERS:
            if other != member:
                self.world.network.send(member, other, partial(self.probe, member, other, effect))

    @_carry_out.register
    def _request_shard(self, effect: ShardRequest, caller: Caller) -> None:
        request = ShardRequested(Member(caller.member), effect.view)
        other = effect.member
        self.world.network.send(caller.member, other, lambda: self.world.receive(other, request))

    @_carry_out.register
    def _propose_shard(self, effect: ProposeShard, caller: Caller) -> None:
        proposal = ShardProposed(Member(caller.member), effect.proposal)
        other = effect.member

        def propose() -> None:
            self.world.network.send(
                caller.member, other, lambda: self.world.receive(other, proposal)
            )

        # A shard owner may be slow, and its proposal outdated when it arrives.
        self.world.clock.after(self.world.rng.choice((0.0, 0.0, 0.0, 0.3, 5.2)), propose)

    @_carry_out.register
    def _revoke(self, effect: RevokeLease, caller: Caller) -> None:
        self.world.store_calls.call(caller.member, effect, void)

    @_carry_out.register
    def _command(self, effect: DirectCommand, caller: Caller) -> None:
        self.world.worker_calls.direct(caller.member, effect, caller.replies_to(effect))

    @_carry_out.register(Rent)
    @_carry_out.register(DeleteMachines)
    @_carry_out.register(ListMachines)
    @_carry_out.register(ListTypes)
    def _call_cloud(self, effect: CloudCall, caller: Caller) -> None:
        self.world.cloud.call(caller.member, effect, caller.replies_to(effect))

    def probe(self, member: str, other: str, probe: IndirectProbe) -> None:
        if self.world.processes[other] is None:
            return

        def found(reply: DirectReply) -> None:
            heartbeat = reply.heartbeat
            if heartbeat is not None:
                self.world.network.send(
                    other, member, lambda: self.world.receive(member, ProbeReply(heartbeat))
                )

        call = DirectCommand(probe.address, probe.token, probe.agent_epoch, (), void)
        self.world.worker_calls.direct(other, call, found)
