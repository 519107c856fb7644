"""Retry pauses of tasks, and the quarantine of machines on which several jobs fail.

Without a pause, a task that fails or is refused could be placed again in the very next cycle.
Without the quarantine, tasks of further jobs would be placed on a faulty machine.
"""

from __future__ import annotations

import pytest

from crosscleat.core.control.retries import (
    DEFAULT_PAUSE_S,
    FULL_MACHINE_PAUSE_S,
    MAX_FAILURE_PAUSE_S,
    REFUSED_PAUSE_S,
    Retries,
)
from crosscleat.core.model.heartbeats import (
    ERROR,
    GANG_MEMBER_LOST,
    INCOMPLETE,
    NO_CAPACITY,
    STOPPED,
)
from crosscleat.core.model.ids import JobRef, MachineId, Seconds, Version, Zone
from crosscleat.core.model.job_spec import Shape
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.machine import Machine

from .term import TERM_BEGAN_AT, Term
from .world import TYPES, job


def machine_of(number: int) -> Machine:
    return Machine(MachineId(f"m-{number}"), TYPES[0], Zone("a"), spot=False)


def job_of(number: int, shape: Shape = Shape.ARRAY) -> Job:
    return Job(job(f"job-{number}", shape=shape), Version(1), Seconds(0.0))


def retries_of(*jobs: Job) -> Retries:
    return Retries(Term().leader.term, {JobRef(job.ref): job for job in jobs})


@pytest.mark.parametrize("cause", [None, STOPPED, GANG_MEMBER_LOST, INCOMPLETE])
def test_a_task_that_ended_without_a_fault_is_retried_at_once(cause: str | None) -> None:
    failing_job = job_of(1)

    assert retries_of(failing_job).plan_retry(machine_of(0), failing_job, 0, cause) is None


def test_a_task_that_ended_for_an_unknown_cause_pauses() -> None:
    failing_job = job_of(1)

    assert (
        retries_of(failing_job).plan_retry(machine_of(0), failing_job, 0, "odd")
        == TERM_BEGAN_AT + DEFAULT_PAUSE_S
    )


def test_a_refused_task_pauses_briefly_and_the_full_machine_for_longer() -> None:
    failing_job, machine = job_of(1), machine_of(0)

    assert (
        retries_of(failing_job).plan_retry(machine, failing_job, 0, NO_CAPACITY)
        == TERM_BEGAN_AT + REFUSED_PAUSE_S
    )
    assert machine.placement_paused_until == TERM_BEGAN_AT + FULL_MACHINE_PAUSE_S


def test_a_refused_gang_member_is_placed_again_at_once_as_the_others_may_wait() -> None:
    gang, machine = job_of(1, Shape.GANG), machine_of(0)

    assert retries_of(gang).plan_retry(machine, gang, 0, NO_CAPACITY) is None
    assert machine.placement_paused_until == TERM_BEGAN_AT + FULL_MACHINE_PAUSE_S


def test_pauses_double_with_each_failure_up_to_a_limit() -> None:
    failing_job = job_of(1)
    retries = retries_of(failing_job)

    pauses = [
        (retries.plan_retry(machine_of(number), failing_job, 0, ERROR) or TERM_BEGAN_AT)
        - TERM_BEGAN_AT
        for number in range(9)
    ]

    assert pauses == [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, *[MAX_FAILURE_PAUSE_S] * 3]


def test_a_task_that_has_failed_for_a_day_still_pauses() -> None:
    """From 1,024 failures on, after 17 hours, the power of two overflowed.

    The exception left the task placed on a machine that no longer had it, so it never ran again.
    """
    failing_job = job_of(1)
    failing_job.failures[0] = 1022
    retries = retries_of(failing_job)

    pauses = {
        (retries.plan_retry(machine_of(0), failing_job, 0, ERROR) or TERM_BEGAN_AT) - TERM_BEGAN_AT
        for _ in range(500)
    }

    assert pauses == {MAX_FAILURE_PAUSE_S}


def test_a_machine_is_quarantined_once_two_jobs_failed_on_it() -> None:
    failing_job, other, machine = job_of(1), job_of(2), machine_of(0)
    retries = retries_of(failing_job, other)

    retries.plan_retry(machine, failing_job, 0, ERROR)
    retries.plan_retry(machine, failing_job, 1, ERROR)
    assert not machine.quarantined
    retries.plan_retry(machine, other, 0, ERROR)
    assert machine.quarantined
