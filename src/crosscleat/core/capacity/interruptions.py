"""How often spot machines are reclaimed, and which jobs one such loss would make late."""

from __future__ import annotations

import math

from ..model.cloud import HOUR_S
from ..model.ids import Seconds
from ..scheduling.scoring import Scorer
from ..state.jobs import Job

PRIOR_UPTIME_S = 1800.0

PRIOR_RATE_PER_S = 1.0 / HOUR_S
"""The rate until more was observed: one an hour, as if seen on one machine for half an hour."""

MAX_AT_ONCE = 2
"""Of the interruptions between two records only so many count: a wave of them says little of the
usual rate."""

FORGET_S = 600.0
"""Time in which the weight of an observation falls to 1/e."""

DETECTION_S = 8.0
"""Roughly the time until a loss is noticed and the task starts again."""

MIN_RISK = 0.25
"""A job is at risk from this probability of being late."""


class InterruptionStats:
    """The rate at which spot machines are reclaimed, as far as this term has observed it."""

    def __init__(self) -> None:
        self._uptime_s = PRIOR_UPTIME_S
        self._interruptions = PRIOR_UPTIME_S * PRIOR_RATE_PER_S
        self._unrecorded = 0
        """Interruptions since the last record of uptime."""

    def record_interruption(self) -> None:
        """A spot machine was reclaimed, or is about to be."""
        self._unrecorded += 1

    def record_uptime(self, seconds: float, machines: int) -> None:
        """So many spot machines were up for so long; called once a second."""
        keep = math.exp(-seconds / FORGET_S)
        self._uptime_s = max(PRIOR_UPTIME_S, self._uptime_s * keep) + machines * seconds
        self._interruptions = self._interruptions * keep + min(self._unrecorded, MAX_AT_ONCE)
        self._unrecorded = 0

    @property
    def rate(self) -> float:
        """Interruptions per machine and second."""
        return self._interruptions / self._uptime_s

    def at_risk(self, job: Job, scorer: Scorer, now: Seconds) -> bool:
        """Whether a loss may well make the job late, were all its tasks on spot machines.

        Late means for the next completion target that it can still meet. A job is late with its
        last task, and each of them may be lost.
        """
        spec = job.spec
        if not spec.spot or spec.checkpoint_s > 0.0:
            return False
        run_s = scorer.run_s(spec)
        age_s = now - job.submitted
        targets = scorer.completion_targets_s(spec)
        target_s = next((found for found in targets if found >= age_s + run_s), None)
        if target_s is None:
            return False
        # A task that is lost before this time of its run can still be repeated by the target.
        harmless_s = max(0.0, target_s - age_s - run_s - DETECTION_S)
        late_if_lost = max(0.0, 1.0 - harmless_s / run_s)
        loss = 1.0 - math.exp(-self.rate * run_s * (spec.tasks - job.done_count))
        return late_if_lost * loss >= MIN_RISK
