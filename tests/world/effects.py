"""Carries out the effects that a controller decides on."""

from __future__ import annotations

from functools import partial
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


class Effects:
    """Carries out the effects that a controller decides on."""

    def __init__(self, world: World) -> None:
        self.world = world

    def carry_out(self, member: str, process: Process, effect: Effect) -> None:  # noqa: C901, PLR0912 - one case an effect
        def reply(*results: Any) -> None:
            call: Any = effect
            self.world.deliver(member, process, CallCompleted(call.continuation, results))

        match effect:
            case Response() | HeartbeatResponse():
                continuation = process.requests.pop(effect.request, None)
                if continuation is not None:
                    continuation(effect)
            case Delay():
                self.world.clock.after(effect.delay_s, reply)
            case BroadcastProgress():
                progress = ProgressReceived(effect.counts)
                for other in MEMBERS:
                    if other != member and self.world.network.connected(member, other):
                        self.world.clock.after(0.01, partial(self.world.receive, other, progress))
            case LogRecord():
                pass
            case IndirectProbe():
                for other in MEMBERS:
                    if other != member:
                        self.world.network.send(
                            member, other, partial(self.probe, member, other, effect)
                        )
            case ShardRequest():
                other = effect.member
                self.world.network.send(
                    member,
                    other,
                    lambda: self.world.receive(other, ShardRequested(Member(member), effect.view)),
                )
            case ProposeShard():
                other = effect.member
                proposal = ShardProposed(Member(member), effect.proposal)

                def propose() -> None:
                    self.world.network.send(
                        member, other, lambda: self.world.receive(other, proposal)
                    )

                # A shard owner may be slow, and its proposal outdated when it arrives.
                self.world.clock.after(self.world.rng.choice((0.0, 0.0, 0.0, 0.3, 5.2)), propose)
            case RevokeLease():
                self.world.store_calls.call(member, effect, lambda *_: None)
            case DirectCommand():
                self.world.worker_calls.direct(member, effect, reply)
            case Rent() | DeleteMachines() | ListMachines() | ListTypes():
                self.world.cloud.call(member, effect, reply)
            case _:
                self.world.store_calls.call(member, effect, reply)

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
