"""Messages of the cloud's API: machine types, the machine list, rental and deletion.

The structures use the protocol's field names; their methods and the functions below map them to the
core's types. Decoding a body that violates the protocol raises msgspec.DecodeError.
"""

from __future__ import annotations

import msgspec

from ..core.model.cloud import ListedMachine, MachineType
from ..core.model.cloud_calls import Rent
from ..core.model.ids import MachineId, TypeName, Zone


class MachineTypeEntry(msgspec.Struct):
    """A machine type in the list; sizes in GB, prices per hour, times in seconds."""

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
        """Convert to the core's type."""
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
    """The response body of GET /machine_types."""

    rigs: list[MachineTypeEntry]


class RentalBody(msgspec.Struct):
    """The response body of POST /rentals: the ids of the rented machines."""

    boxes: list[str]


class MachineEntry(msgspec.Struct):
    """A rented machine in the machine list."""

    ref: str
    rig: str
    yard: str
    loaners: bool
    status: str
    addr: str = ""
    age_s: float = 0.0

    def machine(self) -> ListedMachine:
        """Convert to the core's type."""
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
    """The response body of GET /rentals: one page of the machine list."""

    boxes: list[MachineEntry]
    more: bool = False


class MachinePage(msgspec.Struct, frozen=True):
    """One page of the machine list."""

    machines: list[ListedMachine]
    more: bool
    """Whether another page follows; it starts after the id of this page's last machine."""


_machine_types_decoder = msgspec.msgpack.Decoder(MachineTypesBody)
_rental_decoder = msgspec.msgpack.Decoder(RentalBody)
_machine_list_decoder = msgspec.msgpack.Decoder(MachineListBody)
_encoder = msgspec.msgpack.Encoder()


def decode_machine_types(body: bytes) -> list[MachineType]:
    """Decode the response of GET /machine_types."""
    return [entry.machine_type() for entry in _machine_types_decoder.decode(body).rigs]


def decode_machine_page(body: bytes) -> MachinePage:
    """Decode the response of GET /rentals."""
    page = _machine_list_decoder.decode(body)
    return MachinePage([entry.machine() for entry in page.boxes], page.more)


def decode_rental(body: bytes) -> list[str]:
    """Decode the response of POST /rentals: the ids of the rented machines."""
    return _rental_decoder.decode(body).boxes


def encode_rental(rental: Rent) -> bytes:
    """Encode the request body of POST /rentals."""
    return _encoder.encode(
        {
            "hire": rental.name,
            "rig": rental.type,
            "yard": rental.zone,
            "loaners": rental.spot,
            "number": rental.count,
        }
    )


def encode_deletion(machines: tuple[str, ...]) -> bytes:
    """Encode the request body of POST /rentals/delete."""
    return _encoder.encode({"boxes": list(machines)})
