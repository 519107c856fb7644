"""A leader by itself, whose clock and calls are in the test's hands."""

from __future__ import annotations

from random import Random

from crosscleat.core.control.leader import Leader
from crosscleat.core.election.election import Election
from crosscleat.core.model.effects import Effect, Outbox
from crosscleat.core.model.heartbeats import Report, TaskReport
from crosscleat.core.model.ids import (
    MachineId,
    Member,
    Seconds,
    Seen,
    Session,
    Token,
    Version,
    WallTime,
    Zone,
)
from crosscleat.core.model.store_calls import Item
from crosscleat.core.state.job_records import live_record
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.keys import live_key
from crosscleat.core.state.placement_records import WorkRecords

from .world import TYPES, deployment, job

BEGAN = Seconds(50.0)
TOKEN = 9


class Term:
    """A leader by itself, whose clock and calls are in the test's hands."""

    def __init__(self, live: list[Item] | None = None, work: list[Item] | None = None) -> None:
        self.out = Outbox()
        self.now = BEGAN
        self.lost: list[str] = []
        election = Election(
            Member("c0"), "boot", self.out, Random(1), lambda: self.now,
            lambda _delay, _then: None, lambda _token: None, self.lost.append,
        )  # fmt: skip
        election.token = Token(TOKEN)
        election.contact = BEGAN
        types = {kind.name: kind for kind in TYPES}
        self.leader = Leader(
            deployment("c0"), election, self.out, Random(1), types, BEGAN, WallTime(0.0)
        )
        self.leader.load(live or [], work or [], [], BEGAN)

    def step(self, seconds: float) -> None:
        self.now = self.leader.term.now = Seconds(self.now + seconds)
        self.leader.election.contact = self.leader.term.watched = self.now

    def report(
        self,
        machine: str,
        seen: tuple[int, int],
        token: int = TOKEN,
        tasks: tuple[TaskReport, ...] = (),
    ) -> Report:
        return Report(
            MachineId(machine), machine, TYPES[1].name, Zone("a"), True,
            Seen(Session(seen[0]), seen[1]), token, None, tasks,
        )  # fmt: skip

    def hear(
        self,
        seen: tuple[int, int],
        token: int = TOKEN,
        relayed: bool = False,
        machine: str = "m-0",
        tasks: tuple[TaskReport, ...] = (),
    ) -> list[Effect]:
        self.out.take()
        self.leader.check_in(1, self.report(machine, seen, token, tasks), self.now, relayed)
        return list(self.out.take())

    @property
    def usable(self) -> bool:
        return self.leader.machines.usable(self.leader.ledger.machines[MachineId("m-0")], self.now)

    @property
    def dropping(self) -> bool:
        return self.leader.ledger.machines[MachineId("m-0")].dropping


def held(session: int, estimate_s: float = 6.0) -> tuple[list[Item], list[Item]]:
    """What the store holds of one job with a task on m-0, in that session."""
    spec = job("job-1", tasks=1, estimate_s=estimate_s)
    before = Job(spec, Version(3), Seconds(0.0))
    before.place(MachineId("m-0"), Session(session))
    record = WorkRecords(16.0, 8, True).of(before, before.chunk_of(0))
    live = Item(live_key(spec.ref), live_record(spec, WallTime(-40.0), aborted=False), Version(3))
    return [live], [Item(record.key, record.value(), Version(4))]
