"""Scaling out for gangs whose tasks must be in different zones."""

from __future__ import annotations

from crosscleat.core.model.ids import MachineId, Zone
from crosscleat.core.model.job_spec import Shape
from crosscleat.core.state.machine import Machine

from .fleets import job_waiting_for, make_fleet, next_request
from .world import TYPES


def test_a_spread_gang_has_a_machine_rented_in_a_zone_that_it_lacks() -> None:
    # Seen on a randomly drawn day: the gang waited forever. Both its tasks were counted into the
    # free capacity of the only machine, although its zone may hold only one of them.
    idle = Machine(MachineId("m-0"), TYPES[1], Zone("a"), True, has_sent_heartbeat=True)
    gang = job_waiting_for(30.0, tasks=2, cpus=2.0, spread=True, shape=Shape.GANG)

    request = next_request(make_fleet(), [gang], [idle])

    assert request is not None
    assert request.pool.zone != Zone("a")
