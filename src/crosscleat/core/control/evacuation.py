"""Empties machines that the cloud will reclaim or that are no longer needed."""

from __future__ import annotations

from ..capacity.interruptions import InterruptionStats
from ..election.term import LeadingTerm
from ..model.ids import Seconds
from ..model.job_spec import Shape
from ..scheduling.scoring import RunTimes
from ..state.machine import Machine
from .attempts import Attempts
from .gang_control import GangControl

MAX_NOTICE_SHARE = 0.7
"""An attempt keeps running if it is estimated to end within this share of the notice period."""

SAVE_SHARE = 0.5
"""An attempt saves its progress if that takes less than this share of the notice period."""


class Evacuation:
    """Stops the attempts on machines that are reclaimed or returned."""

    def __init__(
        self,
        term: LeadingTerm,
        run_times: RunTimes,
        interruptions: InterruptionStats,
        gangs: GangControl,
        attempts: Attempts,
    ) -> None:
        self._term = term
        self._run_times = run_times
        self._interruptions = interruptions
        self._gangs = gangs
        self._attempts = attempts

    def notice_received(self, machine: Machine, notice_s: float) -> None:
        """Handle the notice that the cloud reclaims the machine in `notice_s` seconds."""
        machine.reclaim_at = Seconds(self._term.now + notice_s)
        self._interruptions.record_interruption()
        self._evacuate(machine, notice_s)

    def release_surplus(self, machine: Machine) -> None:
        """Preempt all attempts on the machine; it is returned once the last one has ended."""
        machine.surplus = True
        self._term.outbox.log(
            "info", f"machine {machine.id}: draining, only backfill tasks run on it"
        )
        for allocation in list(machine.allocations.values()):
            self._attempts.preempt(machine, allocation)

    def _evacuate(self, machine: Machine, notice_s: float) -> None:
        """Stop attempts that cannot end in time, so that they restart elsewhere sooner."""
        now = self._term.now
        self._term.outbox.log(
            "info", f"machine {machine.id}: will be reclaimed in {notice_s:.0f} s"
        )
        self._gangs.evacuate(machine, now)
        for allocation in list(machine.allocations.values()):
            spec = allocation.spec
            if spec.shape is Shape.GANG:
                continue
            started_at = allocation.running_since if allocation.running_since is not None else now
            if self._run_times.estimate(spec) - (now - started_at) < MAX_NOTICE_SHARE * notice_s:
                continue
            can_save = spec.checkpoint_s > 0 and spec.save_s < SAVE_SHARE * notice_s
            self._attempts.stop(machine, allocation, spec.save_s if can_save else 0.0)
