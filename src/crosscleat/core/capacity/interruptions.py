"""The rate at which spot machines are reclaimed, and the jobs that a loss would make late."""

from __future__ import annotations

import math

from ..model.cloud import HOUR_S
from ..model.ids import Seconds
from ..scheduling.scoring import Scorer
from ..state.jobs import Job

PRIOR_UPTIME_S = 1800.0
"""Weight of the prior rate: as if one machine had been observed for this time."""

PRIOR_RATE_PER_S = 1.0 / HOUR_S
"""Rate that is assumed until more has been observed: one interruption per machine and hour."""

MAX_INTERRUPTIONS_PER_RECORD = 2
"""Maximum number of interruptions counted per record of uptime: many at once say little about the
usual rate."""

DECAY_S = 600.0
"""Time in seconds in which the weight of an observation falls to 1/e."""

DETECTION_S = 8.0
"""Approximate time in seconds until a loss is detected and the task starts again."""

MIN_RISK = 0.25
"""Probability of being late from which a job counts as at risk."""


class InterruptionStats:
    """Estimates the rate at which spot machines are reclaimed, as observed in this term."""

    def __init__(self) -> None:
        self._uptime_s = PRIOR_UPTIME_S
        self._interruptions = PRIOR_UPTIME_S * PRIOR_RATE_PER_S
        self._unrecorded = 0
        """Interruptions since the last call of `record_uptime`."""

    def record_interruption(self) -> None:
        """Count a spot machine that was reclaimed, or is about to be."""
        self._unrecorded += 1

    def record_uptime(self, seconds: float, machines: int) -> None:
        """Record that `machines` spot machines were up for `seconds`; called once a second."""
        decay = math.exp(-seconds / DECAY_S)
        self._uptime_s = max(PRIOR_UPTIME_S, self._uptime_s * decay) + machines * seconds
        self._interruptions = self._interruptions * decay + min(
            self._unrecorded, MAX_INTERRUPTIONS_PER_RECORD
        )
        self._unrecorded = 0

    @property
    def rate(self) -> float:
        """Interruptions per machine and second."""
        return self._interruptions / self._uptime_s

    def at_risk(self, job: Job, scorer: Scorer, now: Seconds) -> bool:
        """Whether a loss makes the job late with a probability of at least `MIN_RISK`.

        It is assumed that all tasks of the job run on spot machines.

        The job is late if it misses the next completion target that it can still meet. It completes
        with its last task, so the loss of any task counts.
        """
        spec = job.spec
        if not spec.spot or spec.checkpoint_s > 0.0:
            return False
        run_s = scorer.run_s(spec)
        age_s = now - job.submitted
        targets = scorer.completion_targets_s(spec)
        target_s = next((target for target in targets if target >= age_s + run_s), None)
        if target_s is None:
            return False
        # A task lost within this time from its start can still be rerun before the target.
        rerun_margin_s = max(0.0, target_s - age_s - run_s - DETECTION_S)
        late_if_lost = max(0.0, 1.0 - rerun_margin_s / run_s)
        loss_probability = 1.0 - math.exp(-self.rate * run_s * (spec.tasks - job.done_count))
        return late_if_lost * loss_probability >= MIN_RISK
