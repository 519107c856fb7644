"""Messages of the cloud."""

from __future__ import annotations

import msgspec

from ..core.model.cloud import ListedMachine, MachineType
from ..core.model.cloud_calls import Rent
from ..core.model.ids import MachineId, TypeName, Zone


class Rig(msgspec.Struct):
    """A machine type."""

    sku: str
    cores: float
    memory_gb: float
    price: float
    low_price: float
    yards: list[str]
    gpus: float = 0.0
    local_gb: float = 0.0
    pull_gb_per_s: float = 1.0
    ready_s: float = 60.0

    def machine_type(self) -> MachineType:
        """As the core knows it."""
        return MachineType(
            name=TypeName(self.sku),
            cpus=self.cores,
            gpus=self.gpus,
            memory_gb=self.memory_gb,
            cache_gb=self.local_gb,
            fetch_gb_per_s=self.pull_gb_per_s,
            price=self.price,
            spot_price=self.low_price,
            boot_s=self.ready_s,
            zones=tuple(Zone(yard) for yard in self.yards),
        )


class Rigs(msgspec.Struct):
    """Answer of GET /machine_types."""

    rigs: list[Rig]


class Hired(msgspec.Struct):
    """Answer of POST /rentals."""

    boxes: list[str]


class Box(msgspec.Struct):
    """A machine in the list."""

    ref: str
    rig: str
    yard: str
    loaners: bool
    status: str
    addr: str = ""
    age_s: float = 0.0

    def machine(self) -> ListedMachine:
        """As the core knows it."""
        return ListedMachine(
            MachineId(self.ref),
            self.addr,
            TypeName(self.rig),
            Zone(self.yard),
            self.loaners,
            self.status,
            self.age_s,
        )


class Boxes(msgspec.Struct):
    """Answer of GET /rentals."""

    boxes: list[Box]
    more: bool = False


rigs = msgspec.msgpack.Decoder(Rigs)
hired = msgspec.msgpack.Decoder(Hired)
boxes = msgspec.msgpack.Decoder(Boxes)
_encoder = msgspec.msgpack.Encoder()


def rent(order: Rent) -> bytes:
    """Body of POST /rentals."""
    return _encoder.encode(
        {
            "hire": order.name,
            "rig": order.type,
            "yard": order.zone,
            "loaners": order.spot,
            "number": order.count,
        }
    )


def delete(machines: tuple[str, ...]) -> bytes:
    """Body of POST /rentals/delete."""
    return _encoder.encode({"boxes": list(machines)})
