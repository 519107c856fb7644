"""The cloud: rents machines late, refuses some, lists them late."""

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


NOT_ANSWERED: dict[type, Any] = {DeleteMachines: False, Rent: RentalUnanswered()}
"""What a call results in that the cloud does not answer; None for the others."""


class Cloud:
    """The cloud: rents machines late, refuses some, lists them late."""

    def __init__(self, world: World) -> None:
        self.world = world

    def cloud(self, member: str, effect: Any, back: Callable[..., None]) -> None:
        if self.world.cloud_down or not self.world.network.whole(member, REGION):
            unanswered = NOT_ANSWERED.get(type(effect))
            self.world.clock.after(2.0, lambda: back(unanswered))
            return
        if isinstance(effect, ListTypes):
            self.world.clock.after(0.1, lambda: back(list(TYPES)))
        elif isinstance(effect, ListMachines):
            listed = [
                ListedMachine(
                    MachineId(w.id), w.id, w.kind.name, Zone(w.zone), w.spot,
                    "running" if w.up else "starting", self.world.clock.now - w.born,
                )
                for w in self.world.workers.values()
                if not w.gone and self.world.clock.now - w.born > 2.0
            ]  # fmt: skip
            self.world.clock.after(self.world.rng.uniform(0.1, 3.0), lambda: back(listed))
        elif isinstance(effect, Rent):
            self.rent(effect, back)
        else:
            self.delete(effect, back)

    def rent(self, effect: Rent, back: Callable[..., None]) -> None:
        def serve() -> RentalOutcome:
            if effect.name in self.world.hires:
                return Rented(self.world.hires[effect.name])
            same = [w for w in self.world.workers.values()
                    if not w.gone and (w.kind.name, w.zone, w.spot)
                    == (effect.type, effect.zone, effect.spot)]  # fmt: skip
            count = min(effect.count, 2 - len(same))
            if count <= 0:
                return RentalRefused()
            names = [self.add_machine(effect.type, effect.zone, effect.spot) for _ in range(count)]
            self.world.hires[effect.name] = names
            return Rented(names)

        if self.world.rng.random() < self.world.flaky:
            # Executed late, after we gave it up.
            self.world.clock.after(self.world.rng.choice((0.1, 20.0)), lambda: serve())
            self.world.clock.after(1.0, lambda: back(RentalUnanswered()))
        else:
            self.world.clock.after(0.2, lambda: back(serve()))

    def add_machine(self, kind: str, zone: str, spot: bool) -> str:
        name = f"m-{len(self.world.workers):06d}"
        found = next(t for t in TYPES if t.name == kind)
        worker = Worker(self.world, name, found, zone, spot, self.world.clock.now)
        worker.faulty = self.world.rng.random() < 0.05
        self.world.workers[name] = worker
        if self.world.rng.random() > self.world.boot_fails:
            self.world.clock.after(self.world.rng.uniform(1.0, 8.0), worker.boot)
        return name

    def delete(self, effect: DeleteMachines, back: Callable[..., None]) -> None:
        def execute() -> None:
            for name in effect.machines:
                if name in self.world.workers:
                    self.world.workers[name].gone = True
                    self.world.workers[name].tasks.clear()

        if self.world.rng.random() < self.world.flaky:
            self.world.clock.after(self.world.rng.choice((0.1, 30.0)), execute)
            self.world.clock.after(2.0, lambda: back(False))
        else:
            self.world.clock.after(0.2, execute)
            self.world.clock.after(0.25, lambda: back(True))
