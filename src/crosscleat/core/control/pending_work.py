"""What the parts of a leader have marked to be done at the end of a step or in a later one.

The parts share this record instead of calling each other: whoever finds that something is to be
written, sent or planned marks it here, and the part whose work it is looks here when its turn
comes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from ..model.ids import JobRef, MachineId
from ..state.jobs import Job
from ..state.machine import Machine


class PendingWork:
    """Marks set by any part, and cleared by the part whose work it is."""

    def __init__(self) -> None:
        self.cycle_wanted = True
        """A scheduling cycle may find something to place."""
        self.unwritten = True
        """Starts, ends or decommissions may wait to be written; progress has its own interval."""
        self.ending: dict[JobRef, Job] = {}
        """Jobs that are over, but for the transaction that records it."""
        self.rotation_wanted = False
        """Only a higher token rules out that a lost direct command is executed after all."""
        self.direct_targets: dict[MachineId, None] = {}
        """Machines with orders that are worth a direct command, in the order of their marks."""
        self.heartbeat_requests: deque[Machine] = deque()
        """Machines to ask for a heartbeat, a few in each tick."""

        self.incomplete_gangs: dict[JobRef, Job] = {}
        """Gangs that may still wait for a lost member: decided in the next scheduling cycle."""

    def write_soon(self) -> None:
        """Something is to be written with the next transaction."""
        self.unwritten = True

    def record_end_if_over(self, job: Job) -> None:
        """Write the job's end, if nothing more can happen to it."""
        if job.is_over():
            self.ending[job.ref] = job

    def send_soon(self, machine: MachineId) -> None:
        """Send the machine's orders at the end of this step, not with its next heartbeat."""
        self.direct_targets[machine] = None

    def queue_heartbeat_requests(self, machines: Iterable[Machine]) -> None:
        """Ask these machines for a heartbeat, in this order and after those queued before."""
        self.heartbeat_requests.extend(machines)
