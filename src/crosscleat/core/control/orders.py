"""Builds the orders for a worker: which attempts to start, to stop and to clear."""

from __future__ import annotations

from ..election.term import LeadingTerm
from ..model import heartbeats
from ..model.ids import NO_TOKEN, JobRef, Seconds
from ..model.job_spec import Shape
from ..model.worker_calls import ClearOrder, Order, StartOrder, StopOrder
from ..state.allocations import Allocation, AttemptKey
from ..state.jobs import Job
from ..state.machine import Machine
from .pending_work import PendingWork

MAX_ORDERS = 300
"""Maximum number of orders in one message; the rest is sent with the next message."""


class OrderBuilder:
    """Builds the orders for workers from the allocations on their machines."""

    def __init__(self, term: LeadingTerm, jobs: dict[JobRef, Job], pending: PendingWork) -> None:
        self._term = term
        self._jobs = jobs
        self._pending = pending
        self._gangs_complete: dict[JobRef, bool] = {}
        """Cache of whether the placements of all members of a gang are recorded."""

    def clear_gang_cache(self) -> None:
        """Clear the cache of complete gangs; it is valid until the next placement is recorded."""
        self._gangs_complete.clear()

    def build(self, machine: Machine, now: Seconds, answered_sequence: int | None) -> list[Order]:
        """Build at most `MAX_ORDERS` orders for the worker, and mark all due starts as sent.

        Starts beyond that limit are marked too, and are built again for the next message.
        `answered_sequence` is the sequence number of the heartbeat that the orders respond to, or
        None if they are sent as a direct command.
        """
        orders: list[Order] = []
        may_start = self._term.may_start(now)
        for allocation in machine.allocations.values():
            if allocation.stopping:
                if allocation.in_last_heartbeat:
                    orders.append(
                        StopOrder(str(allocation.task), allocation.attempt, allocation.grace_s)
                    )
                elif machine.reported_token <= machine.direct.pending_start_token:
                    self._request_token_rotation(machine)
            elif may_start and self._is_startable(machine, allocation):
                orders.append(StartOrder(str(allocation.task), allocation.attempt))
                allocation.start_sent = True
                if answered_sequence is not None:
                    allocation.start_sent_at_sequence = answered_sequence
        for task, attempt in machine.orphans:
            orders.append(StopOrder(str(task), attempt, 0.0))
        orders.extend(
            ClearOrder(str(key[0]), key[1])
            for key in machine.exited
            if self._is_clearable(machine, key)
        )
        return orders[:MAX_ORDERS]

    def _is_startable(self, machine: Machine, allocation: Allocation) -> bool:
        """Whether a start may be sent: the attempt is recorded and for the present agent epoch."""
        if (
            not allocation.recorded
            or allocation.in_last_heartbeat
            or allocation.agent_epoch != machine.heartbeat_id.agent_epoch
        ):
            return False
        if allocation.spec.shape is not Shape.GANG:
            return True
        # No member of a gang is started before the placements of all members are recorded.
        complete = self._gangs_complete.get(allocation.task.job)
        if complete is None:
            job = self._jobs.get(allocation.task.job)
            complete = self._gangs_complete[allocation.task.job] = (
                job is not None and job.fully_recorded
            )
        return complete

    def _is_clearable(self, machine: Machine, key: AttemptKey) -> bool:
        """Whether the worker may be told to forget the exited attempt.

        Once the worker has forgotten it, a start that arrives late would run it again. So no start
        may still be under way, and the stored records must no longer contain the attempt, because
        the next leader would send a start for it.
        """
        if machine.direct.in_flight:
            return False
        # A direct start may arrive twice even if it was answered. That is harmless for a task that
        # is done, because its result is kept.
        done = machine.exited[key] == heartbeats.DONE
        repeat_token = NO_TOKEN if done else machine.direct.starts.get(key, NO_TOKEN)
        if machine.reported_token <= max(machine.direct.pending_start_token, repeat_token):
            self._request_token_rotation(machine)
            return False
        task, attempt = key
        job = self._jobs.get(task.job)
        if job is None:
            return True
        chunk = job.chunks.get(task.number // job.chunk_length)
        return chunk is None or (task.number, attempt, machine.id) not in chunk.recorded

    def _request_token_rotation(self, machine: Machine) -> None:
        if machine.reported_token >= self._term.initial_token:
            self._pending.token_rotation_wanted = True
