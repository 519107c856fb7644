"""A leader on its own; the test sets its clock and takes its effects."""

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

TERM_BEGAN = Seconds(50.0)
TOKEN = 9


class Term:
    """A leader on its own; the test sets its clock and takes its effects."""

    def __init__(self, live: list[Item] | None = None, work: list[Item] | None = None) -> None:
        self.outbox = Outbox()
        self.now = TERM_BEGAN
        self.resignations: list[str] = []
        """The reasons for which the leader gave up its term."""
        election = Election(Member("c0"), "boot", self.outbox, Random(1), lambda: self.now, self)
        election.token = Token(TOKEN)
        election.contact = TERM_BEGAN
        types = {machine_type.name: machine_type for machine_type in TYPES}
        self.leader = build_leader(
            deployment("c0"), election, self.outbox, Random(1), types, TERM_BEGAN, WallTime(0.0)
        )
        load_records(self.leader, live or [], work or [], [], TERM_BEGAN)

    def elected(self, token: Token) -> None:
        """No election is held: the term begins with the leader."""

    def term_lost(self, reason: str) -> None:
        self.resignations.append(reason)

    def step(self, seconds: float) -> None:
        """Time passes; the leader is in contact with the store all along."""
        self.now = self.leader.term.now = Seconds(self.now + seconds)
        self.leader.term.election.contact = self.leader.term.jobs_known_at = self.now

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
        """Delivers a heartbeat with this agent epoch and sequence; returns what the leader does."""
        self.outbox.take()
        self.leader.receive_heartbeat(
            1, self.heartbeat(machine, heartbeat_id, token, tasks), self.now, relayed
        )
        return list(self.outbox.take())

    @property
    def usable(self) -> bool:
        return self.leader.machines.usable(self.leader.cluster.machines[MachineId("m-0")], self.now)

    @property
    def decommissioning(self) -> bool:
        return self.leader.cluster.machines[MachineId("m-0")].decommissioning


def recorded_job(agent_epoch: int, estimate_s: float = 6.0) -> tuple[list[Item], list[Item]]:
    """The job and placement records of one job with a task on m-0, placed in that agent epoch."""
    spec = job("job-1", tasks=1, estimate_s=estimate_s)
    before = Job(spec, Version(3), Seconds(0.0))
    before.place(MachineId("m-0"), AgentEpoch(agent_epoch))
    record = PlacementRecords(16.0, 8, True).record_for(before, before.chunk_of(0))
    live = Item(live_key(spec.ref), live_record(spec, WallTime(-40.0), cancelled=False), Version(3))
    return [live], [Item(record.key, record.value(), Version(4))]
