"""What a worker is to do: which attempts to start, to stop and to forget."""

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
"""Most orders in one message; the rest follows with the next."""


class Orders:
    """Makes out the orders for workers, from the allocations on their machines."""

    def __init__(self, term: LeadingTerm, jobs: dict[JobRef, Job], pending: PendingWork) -> None:
        self._term = term
        self._jobs = jobs
        self._pending = pending
        self._gangs_complete: dict[JobRef, bool] = {}
        """Of gangs met since `begin`: whether the placements of all members are on record."""

    def begin(self) -> None:
        """Begin a series of messages between which nothing is recorded."""
        self._gangs_complete.clear()

    def make(self, machine: Machine, now: Seconds, answering: int | None) -> list[Order]:
        """What the worker is to do, as far as one message may say it; its starts count as sent.

        `answering` is the sequence number of the heartbeat answered; None: a direct command.
        """
        orders: list[Order] = []
        may_start = self._term.may_start(now)
        for allocation in machine.allocations.values():
            if allocation.stopping:
                if allocation.in_last_heartbeat:
                    orders.append(
                        StopOrder(str(allocation.task), allocation.attempt, allocation.grace_s)
                    )
                elif machine.shown_token <= machine.direct.pending_start_token:
                    self._want_rotation(machine)
            elif may_start and self._is_startable(machine, allocation):
                orders.append(StartOrder(str(allocation.task), allocation.attempt))
                allocation.start_sent = True
                if answering is not None:
                    allocation.start_sent_at_sequence = answering
        for task, attempt in machine.orphans:
            orders.append(StopOrder(str(task), attempt, 0.0))
        orders.extend(
            ClearOrder(str(key[0]), key[1])
            for key in machine.exited
            if self._is_clearable(machine, key)
        )
        return orders[:MAX_ORDERS]

    def _is_startable(self, machine: Machine, allocation: Allocation) -> bool:
        """Whether the attempt is on record and the worker's agent epoch is the one it is for."""
        if (
            not allocation.recorded
            or allocation.in_last_heartbeat
            or allocation.agent_epoch != machine.heartbeat_id.agent_epoch
        ):
            return False
        if allocation.spec.shape is not Shape.GANG:
            return True
        # No member of a gang is started before the store has the placements of all.
        complete = self._gangs_complete.get(allocation.task.job)
        if complete is None:
            job = self._jobs.get(allocation.task.job)
            complete = self._gangs_complete[allocation.task.job] = (
                job is not None and job.fully_recorded
            )
        return complete

    def _is_clearable(self, machine: Machine, key: AttemptKey) -> bool:
        """Whether the worker may forget the exited attempt.

        A late start would then start it again. So no start may still arrive, and the store must
        not name the attempt any more, or the next leader would send a start.
        """
        if machine.direct.in_flight:
            return False
        # A direct start may come twice even if it was answered. A result is kept, so a task that
        # is done can be started again without harm.
        harmless = machine.exited[key] == heartbeats.DONE
        repeated = NO_TOKEN if harmless else machine.direct.starts.get(key, NO_TOKEN)
        if machine.shown_token <= max(machine.direct.pending_start_token, repeated):
            self._want_rotation(machine)
            return False
        task, attempt = key
        job = self._jobs.get(task.job)
        if job is None:
            return True
        chunk = job.chunks.get(task.number // job.chunk_length)
        return chunk is None or (task.number, attempt, machine.id) not in chunk.recorded

    def _want_rotation(self, machine: Machine) -> None:
        if machine.shown_token >= self._term.initial_token:
            self._pending.token_rotation_wanted = True
