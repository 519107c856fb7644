"""The same randomly generated days have the same effects under any of Python's hash seeds.

Guards against a listed failure that can't be reproduced with its command and seed. Direct commands
were sent in the iteration order of a set of machine ids, which are strings, so their order and all
random numbers drawn afterwards depended on the interpreter's hash seed. Stop orders for unknown
attempts and rewritten records had the same fault.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from crosscleat.core.control.pending_work import PendingWork
from crosscleat.core.model.heartbeats import RUNNING, TaskStatus
from crosscleat.core.model.ids import (
    AgentEpoch,
    Attempt,
    JobRef,
    MachineId,
    Seconds,
    TaskId,
    Version,
)
from crosscleat.core.model.job_spec import JobSpec
from crosscleat.core.model.store_calls import Item
from crosscleat.core.model.worker_calls import HeartbeatResponse, StopOrder
from crosscleat.core.state.jobs import Job
from crosscleat.core.state.placement_records import PlacementRecords

from .term import Term
from .world import job

ROOT = Path(__file__).parent.parent
HASH_SEEDS = ("0", "1", "2", "3")
DAYS = ("3", "6", "40")
"""Arguments of `tests.effect_trace`: the seed, the number of days, and the actions in each day."""
MIN_EFFECTS = 5_000
"""A shorter trace would cover too few of the decisions."""


def start_trace(hash_seed: str, output: Path) -> subprocess.Popen[bytes]:
    """Start a new interpreter that writes the effects of the days to the file."""
    with output.open("wb") as stdout:
        return subprocess.Popen(
            [sys.executable, "-m", "tests.effect_trace", *DAYS],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT / "src")},
            stdout=stdout,
        )


def test_the_same_days_have_the_same_effects_under_each_hash_seed(tmp_path: Path) -> None:
    outputs = [tmp_path / hash_seed for hash_seed in HASH_SEEDS]
    traces = [start_trace(*pair) for pair in zip(HASH_SEEDS, outputs, strict=True)]

    assert [process.wait() for process in traces] == [0] * len(HASH_SEEDS)
    first, *others = [output.read_text().splitlines() for output in outputs]
    assert len(first) > MIN_EFFECTS
    for other in others:
        for number, (line, expected) in enumerate(zip(other, first, strict=False)):
            assert line == expected, f"effect {number}"
        assert len(other) == len(first)


def test_stops_of_unknown_attempts_are_in_the_order_of_the_heartbeat() -> None:
    job_ids = [f"job-{number}" for number in range(20)]
    tasks = tuple(
        TaskStatus(TaskId(JobRef(job_id), 0), Attempt(1), RUNNING, None) for job_id in job_ids
    )
    term = Term()

    effects = term.receive_heartbeat((1, 1), tasks=tasks)

    (response,) = [effect for effect in effects if isinstance(effect, HeartbeatResponse)]
    stopped = [order.task for order in response.orders if isinstance(order, StopOrder)]
    assert stopped == [f"{job_id}/0" for job_id in job_ids]


def test_direct_commands_are_sent_in_the_order_of_their_requests() -> None:
    pending = PendingWork()
    machine_ids = [MachineId(f"m-{number}") for number in (3, 1, 4, 15, 9, 2, 6)]

    for machine_id in (*machine_ids, machine_ids[0]):
        pending.send_soon(machine_id)

    assert list(pending.direct_targets) == machine_ids


def test_rewritten_records_are_in_the_order_of_their_jobs() -> None:
    # A smaller limit for values gives a shorter chunk length, so that each chunk is rewritten.
    jobs = {
        spec.ref: Job(spec, Version(1), Seconds(0.0)) for spec in map(job_of_many_tasks, range(12))
    }
    before = PlacementRecords(2.0, 8, True)
    for placed_job in jobs.values():
        placed_job.place(MachineId("m-0"), AgentEpoch(1))
        before.record_for(placed_job, placed_job.chunk_of(0))
    stored = [
        Item(record.key, record.value(), Version(number)) for number, record in enumerate(before, 1)
    ]
    loaded = {
        ref: Job(placed_job.spec, Version(1), Seconds(0.0)) for ref, placed_job in jobs.items()
    }
    after = PlacementRecords(16.0, 8, True)

    after.load(stored, loaded)

    rewritten = [ref for record in after for ref, _ in record.entries]
    assert rewritten == list(jobs)


def job_of_many_tasks(number: int) -> JobSpec:
    return job(f"job-{number}", tasks=100)
