"""How often cheap machines are taken back, and which jobs one such loss would make late."""

from __future__ import annotations

import math

from ..model.ids import Seconds
from ..scheduling.scoring import Scorer
from ..state.jobs import Job

PRIOR_S = 1800.0

PRIOR_RATE = 1.0 / 3600.0
"""Until more has been seen: one an hour, as if seen on one machine for half an hour."""

MAX_AT_ONCE = 2
"""Of those taken in a second only so many count: a wave says little of the usual rate."""

FORGET_S = 600.0

FOUND_S = 8.0
"""Until a loss is noticed and the task begins again, roughly."""

AT_RISK = 0.25


class InterruptionStats:
    """The rate at which cheap machines are taken, as far as this term saw."""

    def __init__(self) -> None:
        self._exposed_s = PRIOR_S
        self._taken = PRIOR_S * PRIOR_RATE
        self._new = 0

    def taken(self) -> None:
        """A cheap machine was taken, or is about to be."""
        self._new += 1

    def passed(self, seconds: float, machines: int) -> None:
        """So many cheap machines were up for so long."""
        keep = math.exp(-seconds / FORGET_S)
        self._exposed_s = max(PRIOR_S, self._exposed_s * keep) + machines * seconds
        self._taken = self._taken * keep + min(self._new, MAX_AT_ONCE)
        self._new = 0

    @property
    def rate(self) -> float:
        """InterruptionStats per machine and second."""
        return self._taken / self._exposed_s

    def at_risk(self, job: Job, scorer: Scorer, now: Seconds) -> bool:
        """Whether it may well be late for the next aim it can still meet, were it all on cheap
        machines: a job is late with its last task, and each of them may be lost."""
        spec = job.spec
        if not spec.spot or spec.checkpoint_s > 0.0:
            return False
        run_s = scorer.run_s(spec)
        age = now - job.submitted
        limit = next((at for at in scorer.completion_targets_s(spec) if at >= age + run_s), None)
        if limit is None:
            return False
        # Lost before this time of its run, a task can still be repeated by then.
        harmless_s = max(0.0, limit - age - run_s - FOUND_S)
        late = max(0.0, 1.0 - harmless_s / run_s)
        lost = 1.0 - math.exp(-self.rate * run_s * (spec.tasks - job.done_count))
        return late * lost >= AT_RISK
