"""Builds one store transaction: its writes and the key versions that it requires."""

from __future__ import annotations

from ..model.ids import Version
from ..model.store_calls import Put, Remove
from .decommission_records import DecommissionRecord
from .job_records import ended_record
from .jobs import Chunk, Job, RecordedPlacement
from .keys import LEADER, ended_key, live_key
from .machine import Machine
from .placement_records import PlacementRecord

MAX_RECORD_BYTES = 48 * 1024
"""Limit for the placement records in one transaction.

A whole transaction may have 64 KiB; conditions and the records of ended jobs need the rest.
"""


class Batch:
    """The writes and conditions of one transaction, kept within the limits of the store."""

    def __init__(self, token: int, max_writes: int) -> None:
        """Begin a transaction that requires that the leader key still has the version `token`."""
        self.conditions: dict[str, Version] = {LEADER: Version(token)}
        self.writes: list[Put | Remove] = []
        self.decommissioned: list[Machine] = []
        self.decommission_record: DecommissionRecord | None = None
        self.compared_jobs: dict[Job, None] = {}
        """Jobs whose live record must be unchanged, in the order of their conditions."""
        self.ended_jobs: list[Job] = []
        self.placement_records: list[PlacementRecord] = []
        self.removed_records: list[PlacementRecord] = []
        self.chunks: list[tuple[Job, Chunk, frozenset[RecordedPlacement]]] = []
        self._max_writes = max_writes
        self._max_conditions = 4 * max_writes
        self._bytes_left = MAX_RECORD_BYTES

    def has_capacity(self, writes: int, conditions: int) -> bool:
        """Whether the limits allow this many more writes and additional conditions.

        Each write already counts as one condition.
        """
        return (
            len(self.writes) + writes <= self._max_writes
            and len(self.conditions) + writes + conditions <= self._max_conditions
        )

    def limit_writes(self, count: int) -> None:
        """Allow at most `count` more writes."""
        self._max_writes = min(self._max_writes, len(self.writes) + count)

    def put(self, write: Put, version: Version) -> None:
        """Write a value, on condition that its key still has this version."""
        self.conditions[write.key] = version
        self.writes.append(write)

    def remove(self, key: str, version: Version) -> None:
        """Remove a key, on condition that it still has this version."""
        self.conditions[key] = version
        self.writes.append(Remove(key))

    def _compare_job(self, job: Job) -> None:
        self.conditions[live_key(job.ref)] = job.version
        self.compared_jobs[job] = None

    def end_job(self, job: Job) -> None:
        """Replace the job's live record by its ended record, if the live record is unchanged."""
        self._compare_job(job)
        record = ended_record(job.spec.tasks, cancelled=job.cancelled)
        self.writes.append(Put(ended_key(job.ref), record))
        self.writes.append(Remove(live_key(job.ref)))
        self.ended_jobs.append(job)

    def add_record(self, record: PlacementRecord) -> None:
        """Write the record if the limits allow it.

        The transaction then also requires that the live record of each job that has an attempt
        which is not stored yet is unchanged.
        """
        starting_jobs = [job for job, chunk in record.entries.values() if chunk.has_unrecorded()]
        if record in self.placement_records or record.size > self._bytes_left:
            return
        if not self.has_capacity(1, len(starting_jobs)):
            return
        self._bytes_left -= record.size
        for job in starting_jobs:
            self._compare_job(job)
        self.put(Put(record.key, record.value()), record.version)
        self.placement_records.append(record)
        for job, chunk in record.entries.values():
            self.chunks.append((job, chunk, chunk.known_placements()))
        record.dirty = False
        record.start_priority = None
