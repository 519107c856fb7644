"""The records of machines whose deletion is decided: many machine ids in each value."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ..model.ids import ABSENT, MachineId, Version
from ..model.store_calls import Item, Put
from .keys import DECOMMISSIONED
from .placement_records import MAX_FILL

NAME_BYTES = 24
"""Upper bound for a machine id in a record."""

MAX_NAMES = 300
"""Machine ids in one record, even where its value could have more."""


class StoredDecommissions(msgspec.Struct, frozen=True):
    """The stored form of a record."""

    machines: list[MachineId]


@dataclass(slots=True, eq=False)
class DecommissionRecord:
    """One record: the value under `drop/<number>`."""

    number: int
    version: Version = ABSENT
    names: dict[MachineId, None] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """Its key in the store."""
        return f"{DECOMMISSIONED}{self.number}"

    def put(self, more: Iterable[MachineId]) -> Put:
        """The write that adds these ids to the record."""
        return Put(self.key, {"machines": [*self.names, *more]})


class DecommissionRecords:
    """All records of decided deletions."""

    def __init__(self, value_kb: float) -> None:
        self._max_names = min(MAX_NAMES, int(value_kb * 1024 * MAX_FILL) // NAME_BYTES)
        self._records: dict[int, DecommissionRecord] = {}
        self._next = 1

    def load(self, items: Iterable[Item]) -> list[MachineId]:
        """Load the records of an earlier leader; returns the ids in them."""
        for item in items:
            record = DecommissionRecord(int(item.key.removeprefix(DECOMMISSIONED)), item.version)
            stored = msgspec.convert(item.value, StoredDecommissions)
            record.names = dict.fromkeys(stored.machines)
            self._records[record.number] = record
            self._next = max(self._next, record.number + 1)
        return [name for record in self._records.values() for name in record.names]

    def with_capacity(self) -> tuple[DecommissionRecord, int]:
        """A record that can take more ids, and how many."""
        for record in self._records.values():
            if len(record.names) < self._max_names // 2:
                return record, self._max_names - len(record.names)
        record = self._records[self._next] = DecommissionRecord(self._next)
        self._next += 1
        return record, self._max_names

    def remove_name(self, name: MachineId) -> DecommissionRecord | None:
        """Take out an id that is not needed any more; returns its record if that is empty now."""
        for record in self._records.values():
            if name in record.names:
                del record.names[name]
                if not record.names:
                    del self._records[record.number]
                    return record
        return None
