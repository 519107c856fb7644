"""A transaction while it is composed: what it writes, and the versions that it compares."""

from __future__ import annotations

from ..model.ids import Version
from ..model.store_calls import Put, Remove
from .decommission_records import DecommissionRecord
from .job_records import ended_record
from .jobs import Chunk, Job, RecordedPlacement
from .keys import LEADER, ended_key, live_key
from .machine import Machine
from .placement_records import PlacementRecord

MAX_BYTES = 48 * 1024
"""Of placement records in one transaction: the limit for all of it is 64 KiB, and conditions and
ends of jobs need the rest."""


class Batch:
    """Writes, conditions and bytes of one transaction, within the limits of the store."""

    def __init__(self, token: int, max_writes: int) -> None:
        """The transaction is carried out only if the leader key still has the version `token`."""
        self.conditions: dict[str, Version] = {LEADER: Version(token)}
        self.writes: list[Put | Remove] = []
        self.decommissioned: list[Machine] = []
        self.decommission_record: DecommissionRecord | None = None
        self.compared_jobs: dict[Job, None] = {}
        """Jobs whose live record is compared; the order is that of their conditions."""
        self.ended_jobs: list[Job] = []
        self.placement_records: list[PlacementRecord] = []
        self.removed_records: list[PlacementRecord] = []
        self.chunks: list[tuple[Job, Chunk, frozenset[RecordedPlacement]]] = []
        self._max_writes = max_writes
        self._max_conditions = 4 * max_writes
        self._bytes_left = MAX_BYTES

    def has_capacity(self, writes: int, conditions: int) -> bool:
        """Whether so many more writes, and conditions besides theirs, are within the limits."""
        return (
            len(self.writes) + writes <= self._max_writes
            and len(self.conditions) + writes + conditions <= self._max_conditions
        )

    def limit_writes(self, more: int) -> None:
        """Admit at most so many writes from here on."""
        self._max_writes = min(self._max_writes, len(self.writes) + more)

    def put(self, write: Put, version: Version) -> None:
        """Write a value, if its key still has this version."""
        self.conditions[write.key] = version
        self.writes.append(write)

    def remove(self, key: str, version: Version) -> None:
        """Remove a key that still has this version."""
        self.conditions[key] = version
        self.writes.append(Remove(key))

    def _compare_job(self, job: Job) -> None:
        self.conditions[live_key(job.ref)] = job.version
        self.compared_jobs[job] = None

    def end_job(self, job: Job) -> None:
        """Replace the live record by the ended record, if the live one is as we know it."""
        self._compare_job(job)
        record = ended_record(job.spec.tasks, cancelled=job.cancelled)
        self.writes.append(Put(ended_key(job.ref), record))
        self.writes.append(Remove(live_key(job.ref)))
        self.ended_jobs.append(job)

    def add_record(self, record: PlacementRecord) -> None:
        """Write the record if the limits admit it, and compare each job that has a new attempt."""
        starting = [job for job, chunk in record.entries.values() if chunk.has_unrecorded()]
        if record in self.placement_records or record.size > self._bytes_left:
            return
        if not self.has_capacity(1, len(starting)):
            return
        self._bytes_left -= record.size
        for job in starting:
            self._compare_job(job)
        self.put(Put(record.key, record.value()), record.version)
        self.placement_records.append(record)
        for job, chunk in record.entries.values():
            self.chunks.append((job, chunk, chunk.known_placements()))
        record.dirty = False
        record.start_priority = None
