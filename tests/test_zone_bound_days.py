"""Simulated days with jobs whose tasks must be in different zones.

The tests guard against a spread gang that waits forever beside a free machine. Scaling out counted
all its tasks into the free capacity of that machine, although the gang may only use its share of
the machine's zone, and so rented nothing in another zone; a gang needs capacity for all its tasks
at once. The log named neither the job nor a reason. `PYTHONHASHSEED=0 PYTHONPATH=src python -m
tests.drawn_days --seed 6` drew such a day, the fourth of 90: "waits: job-000000 while a machine has
free capacity for it", where job-000000 is a spread gang of six tasks. It needs no fault and also
occurs on a quiet day.
"""

from __future__ import annotations

import pytest

from crosscleat.core.model.ids import Zone
from crosscleat.core.model.job_spec import Shape

from .world import ZONES, job, quiet_world


@pytest.mark.parametrize("tasks", [2, 4, 5, 6])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_spread_gang_starts_on_a_quiet_day(seed: int, tasks: int) -> None:
    world = quiet_world(seed)
    world.users.submit(job("job-gang", tasks=tasks, spread=True, shape=Shape.GANG))

    world.finish()

    assert world.final_statuses == {"job-gang": "done"}


@pytest.mark.parametrize("seed", [1, 2])
def test_a_spread_gang_starts_where_machines_of_one_zone_are_idle(seed: int) -> None:
    world = quiet_world(seed)
    world.users.submit(job("job-first", tasks=2, zone=Zone(ZONES[0]), estimate_s=3.0))
    world.clock.advance(12.0)
    world.users.submit(job("job-gang", tasks=2, spread=True, shape=Shape.GANG))

    world.finish()

    assert world.final_statuses == {"job-first": "done", "job-gang": "done"}


@pytest.mark.parametrize("seed", [1, 2])
def test_a_spread_gang_starts_although_the_leader_ends_while_it_waits(seed: int) -> None:
    world = quiet_world(seed)
    world.users.submit(job("job-gang", tasks=2, spread=True, shape=Shape.GANG))
    world.clock.advance(1.0)
    world.end_leader(0.5)
    world.clock.advance(4.0)

    world.finish()

    assert world.final_statuses == {"job-gang": "done"}
