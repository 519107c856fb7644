"""Jobs whose amounts are at the bounds that a submission may have.

Guards against an accepted job that ends every leader in turn. A submission with `cores` = 5e-324,
the smallest positive number, was accepted; the number of its tasks that fit was then an infinite
quotient, whose conversion to an integer ended each leader with an OverflowError. No task of any job
was started until the job was cancelled.
"""

from __future__ import annotations

import copy
import math
import sys
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from crosscleat.core.model.cloud_calls import Rent
from crosscleat.core.model.ids import Team, Version
from crosscleat.core.model.job_spec import JobSpec, Shape
from crosscleat.core.model.store_calls import Item
from crosscleat.core.scheduling.free_capacity import FreeCapacity, count_fitting
from crosscleat.core.scheduling.quota import tasks_within_limit, tasks_within_limits
from crosscleat.core.scheduling.shard_planning import plan_shard
from crosscleat.core.state.job_records import spec_of
from crosscleat.core.state.keys import live_key
from crosscleat.core.state.machine import UNKNOWN_TYPE
from crosscleat.wire import peers
from crosscleat.wire.users import parse_submission

from .planning import NOW, make_machine
from .samples_394dfe6 import LIVE_394DFE6, PART_394DFE6
from .term import Term
from .test_smoke import SUBMISSION
from .world import TEAMS, TYPES, deployment, job, quiet_world

replace = msgspec.structs.replace

SMALLEST = 5e-324
"""The smallest positive number of the type that a submission carries."""

TINY_AMOUNTS = (SMALLEST, 1e-310, sys.float_info.min, 1e-300, 1e-12)

STORED_CPUS = 5
"""Position of the CPUs of a task in a stored job."""

RESOURCES = ("cpus", "memory_gb", "gpus")

tiny_amounts = st.floats(0.0, 1e-9)
free_amounts = st.floats(-1e9, 1e9)
"""Free capacity is below zero while a machine's type is unknown, or after rounding."""


def spec_with(resource: str, amount: float, **changes: Any) -> JobSpec:
    """A job whose tasks need this amount of one resource, and nothing of the others."""
    return job("job-odd", **{**dict.fromkeys(RESOURCES, 0.0), resource: amount, **changes})


@pytest.mark.parametrize("amount", TINY_AMOUNTS)
@pytest.mark.parametrize("resource", RESOURCES)
def test_tasks_that_need_next_to_nothing_all_fit(resource: str, amount: float) -> None:
    spec = spec_with(resource, amount, tasks=100_000)
    machine = make_machine("m-0")
    free = FreeCapacity(machine, 4.0, 4.0, 4.0)

    assert count_fitting(spec, 4.0, 4.0, 4.0) >= spec.tasks
    assert free.take_up_to(spec, spec.tasks) == spec.tasks
    assert tasks_within_limits(spec, spec.tasks, 0.0, 0.0, TEAMS[Team("red")]) == spec.tasks


@pytest.mark.parametrize("amount", TINY_AMOUNTS)
@pytest.mark.parametrize("resource", RESOURCES)
def test_no_task_fits_below_zero(resource: str, amount: float) -> None:
    """The free capacity of a machine of unknown type is below zero while tasks are placed on it."""
    spec = spec_with(resource, amount)
    machine = make_machine("m-0")
    machine.type = UNKNOWN_TYPE
    machine.used_cpus = machine.used_memory = machine.used_gpus = 2.0

    assert FreeCapacity.of(machine).take_up_to(spec, 3) == 0
    assert tasks_within_limit(job("job-odd", cpus=amount), 3, used_cpus=9.0, cpu_limit=8.0) == 0


@given(need=tiny_amounts, cpus=free_amounts, memory_gb=free_amounts, used=free_amounts)
def test_counts_of_tasks_are_never_out_of_range(
    need: float, cpus: float, memory_gb: float, used: float
) -> None:
    spec = job("job-odd", cpus=need, memory_gb=need, tasks=100_000)

    fitting = FreeCapacity(make_machine("m-0"), cpus, 0.0, memory_gb).take_up_to(spec, spec.tasks)
    within_limit = tasks_within_limit(spec, spec.tasks, used, 8.0)

    assert 0 <= fitting <= spec.tasks
    assert 0 <= within_limit <= spec.tasks


@given(tasks=st.integers(0, 1_000), need=st.floats(0.001, 64.0))
def test_ordinary_amounts_are_counted_exactly(tasks: int, need: float) -> None:
    spec = job("job-1", cpus=need, memory_gb=0.0)

    assert count_fitting(spec, tasks * need, 0.0, 0.0) == tasks
    assert count_fitting(spec, (tasks + 0.5) * need, 0.0, 0.0) == tasks


@pytest.mark.parametrize("shape", [Shape.ARRAY, Shape.GANG])
@pytest.mark.parametrize("resource", ["cpus", "memory_gb"])
@pytest.mark.parametrize("amount", [0.0, *TINY_AMOUNTS])
def test_a_job_that_needs_next_to_nothing_runs_and_stops_no_other(
    amount: float, resource: str, shape: Shape
) -> None:
    """The leader ended with an OverflowError as soon as it decided what to rent for the job."""
    world = quiet_world(1)
    world.users.submit(job("job-odd", **{resource: amount, "shape": shape}))
    world.users.submit(job("job-ordinary", team=Team("blue")))

    world.finish()

    assert world.final_statuses == {"job-odd": "done", "job-ordinary": "done"}


@pytest.mark.parametrize("amount", TINY_AMOUNTS)
def test_a_tiny_amount_is_accepted_as_sent(amount: float) -> None:
    """Jobs with such amounts were accepted before: a repeated submission must not get 400."""
    body = msgspec.msgpack.encode({**SUBMISSION, "cores": amount})

    submission = parse_submission(body)

    assert isinstance(submission, JobSpec)
    assert submission.cpus == amount


def test_a_leader_takes_over_a_job_with_a_tiny_amount_that_an_older_version_stored() -> None:
    """The version in production accepts the same amounts, and stores the job as it was sent."""
    record: dict[str, Any] = copy.deepcopy(LIVE_394DFE6)
    record["spec"][STORED_CPUS] = SMALLEST
    spec = spec_of(record)
    assert spec.cpus == SMALLEST
    term = Term([Item(live_key(spec.ref), record, Version(3))])

    for _ in range(20):
        term.step(0.5)
        term.leader.tick(term.now)
        term.leader.finish_step(term.now)

    rentals = [effect for effect in term.outbox.take() if isinstance(effect, Rent)]
    assert [rental.type for rental in rentals] == ["small"]


@pytest.mark.parametrize("amount", TINY_AMOUNTS)
def test_a_shard_with_a_tiny_amount_that_an_older_leader_sent_is_planned(amount: float) -> None:
    request = peers.decode_message(bytes.fromhex(PART_394DFE6)[peers.LENGTH_BYTES :])
    assert isinstance(request, peers.ShardRequest)
    (odd,) = request.view.jobs
    odd = replace(odd, spec=replace(odd.spec, cpus=amount, estimate_s=amount))
    view = replace(request.view, jobs=(odd,), estimate_factors={"plain": math.inf})
    types = {machine_type.name: machine_type for machine_type in TYPES}

    proposal = plan_shard(view, deployment("c0"), types, Random(1), NOW)

    assert {machine for _, machine in proposal.assignments} == {view.machines[0].machine}


def test_a_gang_that_saves_all_the_time_and_loses_a_machine_is_placed_again() -> None:
    """Its leader ended with an OverflowError when it counted the gang's checkpoints."""
    world = quiet_world(1)
    world.users.submit(job("job-gang", shape=Shape.GANG, estimate_s=20.0, checkpoint_s=SMALLEST))
    world.clock.advance(14.0)

    next(worker for worker in world.workers.values() if worker.tasks).restart()
    world.finish()

    assert world.final_statuses == {"job-gang": "done"}
