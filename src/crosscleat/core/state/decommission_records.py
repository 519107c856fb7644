"""Store records that list machines to be deleted; each value holds many machine ids."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ..model.ids import ABSENT, MachineId, Version
from ..model.store_calls import Item, Put
from .keys import DECOMMISSIONED
from .placement_records import MAX_FILL

MACHINE_ID_BYTES = 24
"""Upper bound for the encoded size of a machine id in a record."""

MAX_MACHINE_IDS = 300
"""Maximum number of machine ids in one record, even if more would fit into its value."""


class StoredDecommissions(msgspec.Struct, frozen=True):
    """The stored form of a decommission record."""

    machines: list[MachineId]


@dataclass(slots=True, eq=False)
class DecommissionRecord:
    """One decommission record: the value of the key `drop/<number>`."""

    number: int
    version: Version = ABSENT
    machine_ids: dict[MachineId, None] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """The record's key in the store."""
        return f"{DECOMMISSIONED}{self.number}"

    def put_with(self, added: Iterable[MachineId]) -> Put:
        """Return the write that adds these ids to the stored record; this object is not changed."""
        return Put(self.key, {"machines": [*self.machine_ids, *added]})


class DecommissionRecords:
    """All decommission records."""

    def __init__(self, value_kb: float) -> None:
        self._max_machine_ids = min(
            MAX_MACHINE_IDS, int(value_kb * 1024 * MAX_FILL) // MACHINE_ID_BYTES
        )
        self._records: dict[int, DecommissionRecord] = {}
        self._next = 1

    def load(self, items: Iterable[Item]) -> list[MachineId]:
        """Load the records that an earlier leader wrote; returns the machine ids in them."""
        for item in items:
            record = DecommissionRecord(int(item.key.removeprefix(DECOMMISSIONED)), item.version)
            stored = msgspec.convert(item.value, StoredDecommissions)
            record.machine_ids = dict.fromkeys(stored.machines)
            self._records[record.number] = record
            self._next = max(self._next, record.number + 1)
        return [
            machine_id for record in self._records.values() for machine_id in record.machine_ids
        ]

    def record_with_capacity(self) -> tuple[DecommissionRecord, int]:
        """Return a record that can hold more ids, and how many more; creates one if needed."""
        for record in self._records.values():
            if len(record.machine_ids) < self._max_machine_ids // 2:
                return record, self._max_machine_ids - len(record.machine_ids)
        record = self._records[self._next] = DecommissionRecord(self._next)
        self._next += 1
        return record, self._max_machine_ids

    def remove_machine_id(self, machine_id: MachineId) -> DecommissionRecord | None:
        """Remove an id that is no longer needed; returns its record if that is now empty."""
        for record in self._records.values():
            if machine_id in record.machine_ids:
                del record.machine_ids[machine_id]
                if not record.machine_ids:
                    del self._records[record.number]
                    return record
        return None
