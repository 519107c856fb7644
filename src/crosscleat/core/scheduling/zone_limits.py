"""How many more tasks of a job may be placed in each zone.

Scheduling cycles with their reservations, scale-out and preemption each use their own `ZoneLimits`,
in which they count planned tasks in addition to placed ones.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..model.ids import Zone
from ..model.job_spec import JobSpec
from ..state.job_zones import NO_ZONES, is_zone_limited, tasks_left_in_zone


class ZoneLimits:
    """Applies the zone constraints of jobs (`one_zone`, `spread`) to placed and planned tasks."""

    def __init__(self, placed: Mapping[str, Mapping[Zone, int]]) -> None:
        """`placed` counts the tasks of each job that may be in each zone; it is not modified."""
        self._placed = placed
        self._planned: dict[str, dict[Zone, int]] = {}
        """Placed and planned tasks by zone, for the jobs that have planned tasks."""

    def tasks_left(self, spec: JobSpec, zone: Zone) -> int:
        """How many more tasks of the job may be in the zone; all if it has no zone constraint."""
        if not is_zone_limited(spec):
            return spec.tasks
        zones = self._planned.get(spec.ref) or self._placed.get(spec.ref, NO_ZONES)
        return tasks_left_in_zone(spec, zone, zones)

    def admits(self, spec: JobSpec, zone: Zone) -> bool:
        """Whether one more task of the job may be in the zone."""
        return self.tasks_left(spec, zone) > 0

    def add_planned(self, spec: JobSpec, zone: Zone, tasks: int = 1) -> None:
        """Count this many more tasks of the job as planned in the zone."""
        if tasks <= 0 or not is_zone_limited(spec):
            return
        zones = self._planned.get(spec.ref)
        if zones is None:
            zones = self._planned[spec.ref] = dict(self._placed.get(spec.ref, NO_ZONES))
        zones[zone] = zones.get(zone, 0) + tasks
