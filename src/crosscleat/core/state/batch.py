"""One leader's transaction in the making: what it writes, and what each write compares."""

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
"""64 KiB is the limit for a whole transaction: leave room for conditions and ends."""


class Batch:
    """Room for writes, conditions and bytes, as the store limits them."""

    def __init__(self, token: int, most: int) -> None:
        self.conditions: dict[str, Version] = {LEADER: Version(token)}
        self.writes: list[Put | Remove] = []
        self.decommissioned: list[Machine] = []
        self.decommission_record: DecommissionRecord | None = None
        self.compared_jobs: dict[Job, None] = {}
        """Those whose live record is compared."""
        self.ended_jobs: list[Job] = []
        self.placement_records: list[PlacementRecord] = []
        self.removed_records: list[PlacementRecord] = []
        self.chunks: list[tuple[Job, Chunk, frozenset[RecordedPlacement]]] = []
        self._most = most
        self._most_conditions = 4 * most
        self._bytes_left = MAX_BYTES

    def has_capacity(self, writes: int, conditions: int) -> bool:
        """Whether so many more writes and conditions fit."""
        return (
            len(self.writes) + writes <= self._most
            and len(self.conditions) + writes + conditions <= self._most_conditions
        )

    def limit_writes(self, more: int) -> None:
        """From here on, only so many writes more."""
        self._most = min(self._most, len(self.writes) + more)

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
        """Record the job's end, if its live record is as we know it."""
        self._compare_job(job)
        record = ended_record(job.spec.tasks, cancelled=job.cancelled)
        self.writes.append(Put(ended_key(job.ref), record))
        self.writes.append(Remove(live_key(job.ref)))
        self.ended_jobs.append(job)

    def add_record(self, record: PlacementRecord) -> None:
        """Write it, if there is room, comparing each job of which an attempt is new."""
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
