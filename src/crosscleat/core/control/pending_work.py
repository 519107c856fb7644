"""Work that the parts of a leader request from each other for the end of a step or a later step.

The parts share this object instead of calling each other. A part that finds something to write,
send or schedule records it here, and the responsible part handles it when it runs next.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from ..model.ids import JobRef, MachineId
from ..state.jobs import Job
from ..state.machine import Machine


class PendingWork:
    """Requests set by any part and cleared by the part that handles them."""

    def __init__(self) -> None:
        self.cycle_wanted = True
        """Whether a scheduling cycle may find something to place."""
        self.has_unwritten_changes = True
        """Whether starts, ends or decommissions may have to be written.

        Task progress is written at its own interval.
        """
        self.ending_jobs: dict[JobRef, Job] = {}
        """Jobs that are over, until a transaction has recorded their end."""
        self.token_rotation_wanted = False
        """Whether to raise the fencing token.

        Only a higher token ensures that a lost direct command is not executed later.
        """
        self.direct_targets: dict[MachineId, None] = {}
        """Machines whose orders are to be sent by direct command, in the order of the requests."""
        self.heartbeat_requests: deque[Machine] = deque()
        """Machines to request a heartbeat from, a few in each tick."""

        self.incomplete_gangs: dict[JobRef, Job] = {}
        """Gangs that have lost a member and may still wait for a replacement.

        The next scheduling cycle decides.
        """

    def write_soon(self) -> None:
        """Request a write with the next transaction."""
        self.has_unwritten_changes = True

    def record_end_if_over(self, job: Job) -> None:
        """Have the end of the job written if nothing more can happen to it."""
        if job.is_over():
            self.ending_jobs[job.ref] = job

    def send_soon(self, machine: MachineId) -> None:
        """Send the machine's orders at the end of this step instead of with its next heartbeat."""
        self.direct_targets[machine] = None

    def queue_heartbeat_requests(self, machines: Iterable[Machine]) -> None:
        """Append these machines, in this order, to the queue of heartbeat requests."""
        self.heartbeat_requests.extend(machines)
