"""What a job's constraint to one zone, or to several, leaves of each zone."""

from __future__ import annotations

from collections.abc import Mapping

from ..model.ids import Zone
from ..model.job_spec import JobSpec
from .machine import NOWHERE

NO_ZONES: Mapping[Zone, int] = {}
"""The zones of a job without tasks on machines."""


def is_zone_limited(spec: JobSpec) -> bool:
    """Whether where one task is limits where others may be."""
    return spec.one_zone or spec.spread


def tasks_left_in_zone(spec: JobSpec, zone: Zone, zones: Mapping[Zone, int]) -> int:
    """How many more of the job's tasks its constraint admits in the zone.

    `zones` says how many may be where, also after silence. Tasks on machines not yet described may
    be in any zone, and count in each.
    """
    if spec.one_zone and any(other != zone for other in zones):
        return 0
    if not spec.spread:
        return spec.tasks
    return max(0, spec.per_zone() - zones.get(zone, 0) - zones.get(NOWHERE, 0))
