"""Test helper for scaling out: a leader with machines, waiting jobs and rentals."""

from __future__ import annotations

from typing import Any

from crosscleat.core.model.cloud_calls import Rent, RentalRefused, Rented
from crosscleat.core.model.ids import AgentEpoch, MachineId, Seconds, Version, Zone
from crosscleat.core.state.allocations import Allocation
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine

from .term import Term
from .world import TYPES, job

DISCOVERY_S = 5.0
"""Seconds after which a new leader rents: its machines have had time to report."""


class ScaleOut(Term):
    """A leader with machines and jobs, whose rentals the test answers."""

    def __init__(self) -> None:
        super().__init__()
        self.step(DISCOVERY_S)
        self.rented: list[Machine] = []

    def add_machine(
        self, name: str, zone: str = "a", type_index: int = 1, spot: bool = True
    ) -> Machine:
        """Add a machine that is up and empty."""
        machine = Machine(MachineId(name), TYPES[type_index], Zone(zone), spot)
        self.leader.cluster.machines[machine.id] = machine
        self._report(machine)
        machine.created_at = Seconds(self.now - 100.0)
        return machine

    def _report(self, machine: Machine) -> None:
        machine.has_sent_heartbeat = machine.confirmed_in_term = True
        machine.last_heartbeat_at = machine.idle_since = self.now

    def add_job(self, ref: str, waited_s: float = 30.0, **changes: Any) -> Job:
        """Add a job that was submitted `waited_s` seconds ago."""
        new_job = Job(job(ref, **changes), Version(1), Seconds(self.now - waited_s))
        self.leader.jobs[new_job.ref] = new_job
        return new_job

    def place(self, waiting: Job, machine: Machine) -> Allocation:
        """Place the job's next task on the machine, where it runs at once."""
        task, attempt = waiting.place(machine.id, AgentEpoch(1))
        allocation = Allocation(
            task, attempt, waiting.spec, machine.id, machine.zone, AgentEpoch(1)
        )
        allocation.running_since = self.now
        self.leader.cluster.add(machine, allocation)
        machine.idle_since = None
        return allocation

    def request_rentals(self, after_s: float = 1.5) -> list[Rent]:
        """Let `after_s` seconds pass, and return the rentals that the autoscaler then requests."""
        self.step(after_s)
        self.outbox.take()
        self.leader.autoscaler.adjust(self.now)
        return [effect for effect in self.outbox.take() if isinstance(effect, Rent)]

    def grant(self, request: Rent, up_at_once: bool = True) -> list[Machine]:
        """Answer with all machines that were requested; with `up_at_once` they run at once."""
        names = [f"{request.name}-{number}" for number in range(request.count)]
        request.continuation(Rented(list(names)))
        machines = [self.leader.cluster.machines[MachineId(name)] for name in names]
        for machine in machines if up_at_once else ():
            self._report(machine)
        self.rented += machines
        return machines

    def refuse(self, request: Rent) -> None:
        request.continuation(RentalRefused())

    def answer_rentals(self, seconds: int, refused: tuple[str, ...] = ()) -> list[Rent]:
        """Answer the rentals of the next seconds: refuse those in `refused` zones, grant others."""
        requests = []
        for _ in range(seconds):
            for request in self.request_rentals(1.0):
                requests.append(request)
                if request.zone in refused:
                    self.refuse(request)
                else:
                    self.grant(request)
        return requests
