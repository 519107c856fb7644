"""How many more of a job's tasks may be placed, zone by zone.

Scheduling cycles, scale-out, preemption and reservations ask this one question, each of its own
`ZoneLimits`, in which it counts what it plans on top of what is placed.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..model.ids import Zone
from ..model.job_spec import JobSpec
from ..state.job_zones import NO_ZONES, is_zone_limited, tasks_left_in_zone


class ZoneLimits:
    """What the constraints of jobs to one zone, or to several, leave of each zone."""

    def __init__(self, placed: Mapping[str, Mapping[Zone, int]]) -> None:
        """`placed`: for each job how many of its tasks may be in which zone; it is not changed."""
        self._placed = placed
        self._planned: dict[str, dict[Zone, int]] = {}
        """The same with what was counted in, for jobs of which anything was."""

    def tasks_left(self, spec: JobSpec, zone: Zone) -> int:
        """How many more tasks of the job may be in the zone; all, if it has no such constraint."""
        if not is_zone_limited(spec):
            return spec.tasks
        zones = self._planned.get(spec.ref) or self._placed.get(spec.ref, NO_ZONES)
        return tasks_left_in_zone(spec, zone, zones)

    def admits(self, spec: JobSpec, zone: Zone) -> bool:
        """Whether one more task of the job may be in the zone."""
        return self.tasks_left(spec, zone) > 0

    def count_in(self, spec: JobSpec, zone: Zone, tasks: int = 1) -> None:
        """Count so many more tasks of the job as placed in the zone."""
        if tasks <= 0 or not is_zone_limited(spec):
            return
        zones = self._planned.get(spec.ref)
        if zones is None:
            zones = self._planned[spec.ref] = dict(self._placed.get(spec.ref, NO_ZONES))
        zones[zone] = zones.get(zone, 0) + tasks
