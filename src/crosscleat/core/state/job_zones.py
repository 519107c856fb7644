"""How many of a job's tasks its zone constraints allow in each zone."""

from __future__ import annotations

from collections.abc import Mapping

from ..model.ids import Zone
from ..model.job_spec import JobSpec
from .machine import UNKNOWN_ZONE

NO_ZONES: Mapping[Zone, int] = {}
"""The zones of a job that has no tasks on machines."""


def is_zone_limited(spec: JobSpec) -> bool:
    """Whether the zone of one of the job's tasks limits the zones of the others."""
    return spec.one_zone or spec.spread


def tasks_left_in_zone(spec: JobSpec, zone: Zone, zones: Mapping[Zone, int]) -> int:
    """How many more of the job's tasks its zone constraints allow in the zone.

    `zones` has the number of tasks that may be in each zone, including those on machines that no
    longer send heartbeats. Tasks on machines of unknown zone may be in any zone, and count in each.
    """
    if spec.one_zone and any(other != zone for other in zones):
        return 0
    if not spec.spread:
        return spec.tasks
    return max(0, spec.max_per_zone() - zones.get(zone, 0) - zones.get(UNKNOWN_ZONE, 0))
