"""Simulated days with jobs whose amounts are drawn from the bounds that a submission may have.

Guards against a job whose numbers end a controller, or keep other jobs from running. More days are
drawn outside the suite:

    PYTHONPATH=src target/venv/bin/python -m tests.test_extreme_days --seed 1 --days 200
"""

from __future__ import annotations

import argparse
from random import Random

import pytest

from crosscleat.core.model.ids import Team
from crosscleat.core.model.job_spec import JobSpec, Priority, Shape

from .world import World, job, quiet_world

SMALLEST = 5e-324
LARGEST = 1e12
"""The largest amount of any field."""

TINY = (0.0, -0.0, SMALLEST, 1e-310, 1e-300, 1e-9)
ODD_JOBS = 4


def draw_job(random: Random, number: int) -> JobSpec:
    """A job that fits a machine; each of its amounts is ordinary or at a bound."""
    duration_s = (*TINY, 6.0, LARGEST)
    one_zone = random.random() < 0.3
    return job(
        f"job-odd-{number}",
        job_class=random.choice(("plain", "odd")),
        priority=random.choice(list(Priority)),
        shape=random.choice((Shape.ARRAY, Shape.GANG)),
        tasks=random.choice((1, 2, 6)),
        cpus=random.choice((*TINY, 2.0)),
        memory_gb=random.choice((*TINY, 2.0)),
        gpus=random.choice((0.0, -0.0)),
        image_gb=random.choice((*TINY, 0.5, LARGEST)),
        estimate_s=random.choice(duration_s),
        checkpoint_s=random.choice(duration_s),
        save_s=random.choice(duration_s),
        deadline_s=random.choice((None, *duration_s)),
        spot=random.random() < 0.7,
        one_zone=one_zone,
        spread=not one_zone and random.random() < 0.3,
    )


def play_day(seed: int) -> World:
    """Odd jobs among ordinary ones, a lost machine, a change of leader, and then cancellations."""
    random = Random(seed)
    world = quiet_world(seed)
    for number in range(ODD_JOBS):
        world.users.submit(draw_job(random, number))
        world.users.submit(job(f"job-{number}", team=Team("blue"), tasks=2))
        world.clock.advance(random.uniform(0.0, 8.0))
    busy = [worker for worker in world.workers.values() if worker.tasks]
    if busy:
        random.choice(busy).restart()
    world.clock.advance(random.uniform(0.0, 20.0))
    world.end_leader(0.5)
    world.clock.advance(30.0)
    for number in range(ODD_JOBS):
        world.users.cancel(f"job-odd-{number}")
    world.finish()
    return world


@pytest.mark.parametrize("seed", range(1, 21))
def test_ordinary_jobs_are_done_beside_jobs_with_odd_amounts(seed: int) -> None:
    world = play_day(seed)

    ordinary = [world.final_statuses.get(f"job-{number}") for number in range(ODD_JOBS)]
    assert ordinary == ["done"] * ODD_JOBS


def main() -> None:
    """Play days outside the suite, one seed after the other."""
    parser = argparse.ArgumentParser(description="Simulated days with odd amounts.")
    parser.add_argument("--seed", type=int, required=True, help="seed of the first day")
    parser.add_argument("--days", type=int, required=True, help="number of days")
    arguments = parser.parse_args()
    for seed in range(arguments.seed, arguments.seed + arguments.days):
        test_ordinary_jobs_are_done_beside_jobs_with_odd_amounts(seed)
        print(f"seed {seed}: no rule broken", flush=True)


if __name__ == "__main__":
    main()
