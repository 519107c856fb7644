"""The simulated cloud: delayed rentals, limited capacity, and an outdated list of machines."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from crosscleat.core.model.cloud import ListedMachine
from crosscleat.core.model.cloud_calls import (
    DeleteMachines,
    ListMachines,
    ListTypes,
    Rent,
    RentalOutcome,
    RentalRefused,
    RentalUnanswered,
    Rented,
)
from crosscleat.core.model.ids import MachineId, Zone

from .scenario import REGION, TYPES
from .worker import Worker

if TYPE_CHECKING:
    from .world import World


UNANSWERED_RESULTS: dict[type, Any] = {DeleteMachines: False, Rent: RentalUnanswered()}
"""Results of unanswered calls by the type of the call; for all other types the result is None."""


class Cloud:
    """Rents, lists and deletes machines.

    There are at most two machines of the same type, zone and kind (spot or not).
    """

    def __init__(self, world: World) -> None:
        self.world = world

    def call(self, member: str, effect: Any, reply: Callable[..., None]) -> None:
        if self.world.cloud_down or not self.world.network.connected(member, REGION):
            unanswered = UNANSWERED_RESULTS.get(type(effect))
            self.world.clock.after(2.0, lambda: reply(unanswered))
            return
        if isinstance(effect, ListTypes):
            self.world.clock.after(0.1, lambda: reply(list(TYPES)))
        elif isinstance(effect, ListMachines):
            listed = [
                ListedMachine(
                    MachineId(w.id), w.id, w.machine_type.name, Zone(w.zone), w.spot,
                    "running" if w.up else "starting", self.world.clock.now - w.created_at,
                )
                for w in self.world.workers.values()
                if not w.dead and self.world.clock.now - w.created_at > 2.0
            ]  # fmt: skip
            self.world.clock.after(self.world.rng.uniform(0.1, 3.0), lambda: reply(listed))
        elif isinstance(effect, Rent):
            self.rent(effect, reply)
        else:
            self.delete(effect, reply)

    def rent(self, effect: Rent, reply: Callable[..., None]) -> None:
        def execute() -> RentalOutcome:
            if effect.name in self.world.rentals:
                return Rented(self.world.rentals[effect.name])
            existing = [w for w in self.world.workers.values()
                        if not w.dead and (w.machine_type.name, w.zone, w.spot)
                        == (effect.type, effect.zone, effect.spot)]  # fmt: skip
            count = min(effect.count, 2 - len(existing))
            if count <= 0:
                return RentalRefused()
            names = [self.add_machine(effect.type, effect.zone, effect.spot) for _ in range(count)]
            self.world.rentals[effect.name] = names
            return Rented(names)

        if self.world.rng.random() < self.world.flaky_call_chance:
            # Executed with a delay, possibly after the caller has given up.
            self.world.clock.after(self.world.rng.choice((0.1, 20.0)), execute)
            self.world.clock.after(1.0, lambda: reply(RentalUnanswered()))
        else:
            self.world.clock.after(0.2, lambda: reply(execute()))

    def add_machine(self, machine_type: str, zone: str, spot: bool) -> str:
        name = f"m-{len(self.world.workers):06d}"
        matching_type = next(t for t in TYPES if t.name == machine_type)
        worker = Worker(self.world, name, matching_type, zone, spot, self.world.clock.now)
        worker.faulty = self.world.rng.random() < 0.05
        self.world.workers[name] = worker
        if self.world.rng.random() > self.world.boot_failure_chance:
            self.world.clock.after(self.world.rng.uniform(1.0, 8.0), worker.boot)
        return name

    def delete(self, effect: DeleteMachines, reply: Callable[..., None]) -> None:
        def execute() -> None:
            for name in effect.machines:
                if name in self.world.workers:
                    self.world.workers[name].dead = True
                    self.world.workers[name].tasks.clear()

        if self.world.rng.random() < self.world.flaky_call_chance:
            self.world.clock.after(self.world.rng.choice((0.1, 30.0)), execute)
            self.world.clock.after(2.0, lambda: reply(False))
        else:
            self.world.clock.after(0.2, execute)
            self.world.clock.after(0.25, lambda: reply(True))
