"""Test harness for a single leader; the test sets its clock and takes its effects."""

from __future__ import annotations

from random import Random

from crosscleat.core.control.assembly import build_leader
from crosscleat.core.control.takeover import load_records
from crosscleat.core.election.election import Election
from crosscleat.core.model.effects import Effect, Outbox
from crosscleat.core.model.heartbeats import Heartbeat, TaskStatus
from crosscleat.core.model.ids import (
    AgentEpoch,
    HeartbeatId,
    MachineId,
    Member,
    Seconds,
    Token,
    Version,
    WallTime,
    Zone,
)
from crosscleat.core.model.store_calls import Item
from crosscleat.core.state.job_records import live_record
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.keys import live_key
from crosscleat.core.state.placement_records import PlacementRecords

from .world import TYPES, deployment, job

TERM_BEGAN_AT = Seconds(50.0)
TOKEN = 9


class Term:
    """A single leader in its term; the test sets its clock and takes its effects."""

    def __init__(
        self, job_records: list[Item] | None = None, placement_records: list[Item] | None = None
    ) -> None:
        self.outbox = Outbox()
        self.now = TERM_BEGAN_AT
        self.resignations: list[str] = []
        """The reasons that the leader gave for resigning."""
        election = Election(Member("c0"), "boot", self.outbox, Random(1), lambda: self.now, self)
        election.token = Token(TOKEN)
        election.last_confirmed_at = TERM_BEGAN_AT
        types = {machine_type.name: machine_type for machine_type in TYPES}
        self.leader = build_leader(
            deployment("c0"), election, self.outbox, Random(1), types, TERM_BEGAN_AT, WallTime(0.0)
        )
        load_records(self.leader, job_records or [], placement_records or [], [], TERM_BEGAN_AT)

    def elected(self, token: Token) -> None:
        """Never called: the harness starts with a leader instead of an election."""

    def term_lost(self, reason: str) -> None:
        self.resignations.append(reason)

    def step(self, seconds: float) -> None:
        """Advance the clock, with the leader in contact with the store all the time."""
        self.now = self.leader.term.now = Seconds(self.now + seconds)
        self.leader.term.election.last_confirmed_at = self.leader.term.cancellations_known_until = (
            self.now
        )

    def heartbeat(
        self,
        machine: str,
        heartbeat_id: tuple[int, int],
        token: int = TOKEN,
        tasks: tuple[TaskStatus, ...] = (),
    ) -> Heartbeat:
        """A heartbeat with this agent epoch and sequence."""
        return Heartbeat(
            MachineId(machine), machine, TYPES[1].name, Zone("a"), True,
            HeartbeatId(AgentEpoch(heartbeat_id[0]), heartbeat_id[1]), token, None, tasks,
        )  # fmt: skip

    def receive_heartbeat(
        self,
        heartbeat_id: tuple[int, int],
        token: int = TOKEN,
        relayed: bool = False,
        machine: str = "m-0",
        tasks: tuple[TaskStatus, ...] = (),
    ) -> list[Effect]:
        """Deliver a heartbeat with this agent epoch and sequence; return the leader's effects."""
        self.outbox.take()
        self.leader.receive_heartbeat(
            1, self.heartbeat(machine, heartbeat_id, token, tasks), self.now, relayed
        )
        return list(self.outbox.take())

    @property
    def usable(self) -> bool:
        """Whether tasks may be placed on the machine m-0."""
        return self.leader.machines.usable(self.leader.cluster.machines[MachineId("m-0")], self.now)

    @property
    def decommissioning(self) -> bool:
        """Whether the machine m-0 is being decommissioned."""
        return self.leader.cluster.machines[MachineId("m-0")].decommissioning


def recorded_job(agent_epoch: int, estimate_s: float = 6.0) -> tuple[list[Item], list[Item]]:
    """Job and placement records of a job with one task, placed on m-0 in this agent epoch."""
    spec = job("job-1", tasks=1, estimate_s=estimate_s)
    before = Job(spec, Version(3), Seconds(0.0))
    before.place(MachineId("m-0"), AgentEpoch(agent_epoch))
    record = PlacementRecords(16.0, 8, True).record_for(before, before.chunk_of(0))
    live = Item(live_key(spec.ref), live_record(spec, WallTime(-40.0), cancelled=False), Version(3))
    return [live], [Item(record.key, record.value(), Version(4))]
