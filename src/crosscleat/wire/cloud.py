"""Messages of the cloud's API: machine types, the machine list, rental and deletion.

The structures have the protocol's field names; the functions map them to the core's types. A body
that is not what the protocol says raises msgspec.DecodeError.
"""

from __future__ import annotations

import msgspec

from ..core.model.cloud import ListedMachine, MachineType
from ..core.model.cloud_calls import Rent
from ..core.model.ids import MachineId, TypeName, Zone


class Rig(msgspec.Struct):
    """A machine type: sizes in GB, prices per hour, times in seconds."""

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
        """The machine type in the core's terms."""
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


class MachineTypesBody(msgspec.Struct):
    """The answer to GET /machine_types."""

    rigs: list[Rig]


class RentalBody(msgspec.Struct):
    """The answer to POST /rentals."""

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
        """The machine in the core's terms."""
        return ListedMachine(
            MachineId(self.ref),
            self.addr,
            TypeName(self.rig),
            Zone(self.yard),
            self.loaners,
            self.status,
            self.age_s,
        )


class MachineListBody(msgspec.Struct):
    """The answer to GET /rentals."""

    boxes: list[Box]
    more: bool = False


class MachinePage(msgspec.Struct, frozen=True):
    """One page of the machine list."""

    machines: list[ListedMachine]
    more: bool
    """Whether another page follows, after the name of the last machine."""


_machine_types = msgspec.msgpack.Decoder(MachineTypesBody)
_rental = msgspec.msgpack.Decoder(RentalBody)
_machine_list = msgspec.msgpack.Decoder(MachineListBody)
_encoder = msgspec.msgpack.Encoder()


def decode_machine_types(body: bytes) -> list[MachineType]:
    """The answer to GET /machine_types."""
    return [rig.machine_type() for rig in _machine_types.decode(body).rigs]


def decode_machine_page(body: bytes) -> MachinePage:
    """The answer to GET /rentals."""
    page = _machine_list.decode(body)
    return MachinePage([box.machine() for box in page.boxes], page.more)


def decode_rental(body: bytes) -> list[str]:
    """The answer to POST /rentals: the names of the machines."""
    return _rental.decode(body).boxes


def encode_rental(order: Rent) -> bytes:
    """The body of POST /rentals."""
    return _encoder.encode(
        {
            "hire": order.name,
            "rig": order.type,
            "yard": order.zone,
            "loaners": order.spot,
            "number": order.count,
        }
    )


def encode_deletion(machines: tuple[str, ...]) -> bytes:
    """The body of POST /rentals/delete."""
    return _encoder.encode({"boxes": list(machines)})
