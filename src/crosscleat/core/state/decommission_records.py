"""The records of machines whose deletion is decided, many names to a value."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model.ids import ABSENT, MachineId, Version
from ..model.store_calls import Item, Put
from .keys import DECOMMISSIONED
from .placement_records import (
    FULL,
)

NAME_BYTES = 24

MAX_NAMES = 300


@dataclass(slots=True, eq=False)
class DecommissionRecord:
    """One value with the names of machines whose deletion is decided."""

    number: int
    version: Version = ABSENT
    names: dict[MachineId, None] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """Its key in the store."""
        return f"{DECOMMISSIONED}{self.number}"

    def put(self, more: Iterable[MachineId]) -> Put:
        """The write that adds these names."""
        return Put(self.key, {"machines": [*self.names, *more]})


class DecommissionRecords:
    """All records of deletions."""

    def __init__(self, value_kb: float) -> None:
        self._most = min(MAX_NAMES, int(value_kb * 1024 * FULL) // NAME_BYTES)
        self._records: dict[int, DecommissionRecord] = {}
        self._next = 1

    def load(self, items: Iterable[Item]) -> list[MachineId]:
        """Take over what an earlier leader left; the names on record."""
        for item in items:
            record = DecommissionRecord(int(item.key.removeprefix(DECOMMISSIONED)), item.version)
            record.names = dict.fromkeys(MachineId(name) for name in item.value["machines"])
            self._records[record.number] = record
            self._next = max(self._next, record.number + 1)
        return [name for record in self._records.values() for name in record.names]

    def with_capacity(self) -> tuple[DecommissionRecord, int]:
        """One with room for more names, and for how many."""
        for record in self._records.values():
            if len(record.names) < self._most // 2:
                return record, self._most - len(record.names)
        record = self._records[self._next] = DecommissionRecord(self._next)
        self._next += 1
        return record, self._most

    def remove_name(self, name: MachineId) -> DecommissionRecord | None:
        """The name need not be known any more; the record, if it holds no other."""
        for record in self._records.values():
            if name in record.names:
                del record.names[name]
                if not record.names:
                    del self._records[record.number]
                    return record
        return None
