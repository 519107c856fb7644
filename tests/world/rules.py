"""Checks of the protocol's rules, when a task starts and periodically.

The rules on responses to users are checked in `users`, and those on starts of gangs in `gangs`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from crosscleat.core.model.ids import TaskId
from crosscleat.core.model.job_spec import JobSpec

from .scenario import CANCEL_S, MAX_WAIT_S, TEAMS, RuleBrokenError
from .worker import Worker

if TYPE_CHECKING:
    from .world import World


class Rules:
    """Raises `RuleBrokenError` when a rule of the protocol is broken."""

    def __init__(self, world: World) -> None:
        self.world = world

    def check_start(self, worker: Worker, task: TaskId, spec: JobSpec) -> None:
        """Raise if a task that starts on the worker breaks a rule."""
        self.world.start_count += 1
        elsewhere = [
            w.id
            for w in self.world.workers.values()
            if w is not worker
            and any(
                t == task and worker_task.state != "exited"
                for (t, _), worker_task in w.tasks.items()
            )
        ]
        if elsewhere:
            raise RuleBrokenError(f"ran_twice: {task} starts on {worker.id}, is on {elsewhere}")
        confirmed_at = self.world.cancel_confirmed_at.get(task.job)
        if confirmed_at is not None and self.world.clock.now > confirmed_at + CANCEL_S:
            raise RuleBrokenError(f"ran_cancelled: {task} starts on {worker.id}")
        if spec.ref not in self.world.accepted:
            raise RuleBrokenError(f"never accepted: {task}")
        self.check_placement(worker, task, spec)
        self.check_quota(spec)

    def check_placement(self, worker: Worker, task: TaskId, spec: JobSpec) -> None:
        """Raise if the job's constraints on type, zone, spread or spot exclude the machine."""
        places = [
            w.zone
            for w in self.world.workers.values()
            for (t, _), worker_task in w.tasks.items()
            if t.job == task.job and worker_task.state != "exited"
        ]
        violated = (
            (spec.types is not None and worker.machine_type.name not in spec.types)
            or (spec.zone is not None and worker.zone != spec.zone)
            or (worker.spot and not spec.spot)
            or (spec.one_zone and any(zone != worker.zone for zone in places))
            or (spec.spread and places.count(worker.zone) + 1 > spec.max_per_zone())
        )
        if violated:
            raise RuleBrokenError(f"wrong_place: {task} on {worker.id}, others in {places}")

    def check_quota(self, spec: JobSpec) -> None:
        """Raise if one more task of the job would exceed its team's quota."""
        used = spec.cpus + sum(
            self.world.specs[t.job].cpus
            for w in self.world.workers.values()
            for (t, _), worker_task in w.tasks.items()
            if worker_task.state != "exited" and self.world.specs[t.job].team == spec.team
        )
        if used > TEAMS[spec.team].cpus_max + 1e-6:
            raise RuleBrokenError(f"quota: {spec.team} uses {used}")

    def check_running(self) -> None:
        """Every 0.5 s: raise if a cancelled job still runs, or a record is unreadable.

        The tasks of a job must end within `CANCEL_S` after a user got its status "aborted". The old
        version cannot read placement records with a "span", but may lead until the last controller
        is upgraded.
        """
        for key, (value, _, _) in self.world.store.items.items():
            if self.world.old_version and key.startswith("work/") and "span" in value:
                raise RuleBrokenError(f"{key}: controllers of the old version cannot read it")
        for worker in self.world.workers.values():
            for (task, _), worker_task in worker.tasks.items():
                confirmed_at = self.world.cancel_confirmed_at.get(task.job)
                overdue = (
                    confirmed_at is not None and self.world.clock.now > confirmed_at + CANCEL_S
                )
                if worker_task.state != "exited" and overdue:
                    raise RuleBrokenError(f"ran_cancelled: {task} is on {worker.id}")
        self.world.clock.after(0.5, self.check_running)

    def check_waiting(self, since: dict[str, float]) -> None:
        """Every second, once all faults have ended: raise if a job waits too long.

        It may wait for up to `MAX_WAIT_S` while a machine has free capacity for one of its tasks.
        `since` maps each job in this state to the time at which the state began.
        """
        for ref, spec in self.world.specs.items():
            is_waiting = ref in self.world.accepted and ref not in self.world.cancel_requested
            if is_waiting and spec.job_class != "broken" and self.has_free_capacity(spec):
                since.setdefault(ref, self.world.clock.now)
                if self.world.clock.now - since[ref] > MAX_WAIT_S:
                    raise RuleBrokenError(f"waits: {ref} while a machine has free capacity for it")
            else:
                since.pop(ref, None)
        self.world.clock.after(1.0, lambda: self.check_waiting(since))

    def has_free_capacity(self, spec: JobSpec) -> bool:
        """Whether a task of the job is waiting although it would fit on a running machine."""
        active = [
            (w, t)
            for w in self.world.workers.values()
            if not w.dead
            for (t, _), task in w.tasks.items()
            if task.state != "exited"
        ]
        placed = {t for _, t in active}
        if all(
            TaskId(spec.ref, n) in placed or TaskId(spec.ref, n) in self.world.results
            for n in range(spec.tasks)
        ):
            return False
        team_cpus = sum(
            self.world.specs[t.job].cpus
            for _, t in active
            if self.world.specs[t.job].team == spec.team
        )
        if team_cpus + spec.cpus > TEAMS[spec.team].cpus_max:
            return False
        zones = [w.zone for w, t in active if t.job == spec.ref]
        return any(
            w.up and not w.dead and w.reclaimed_at is None
            and (spec.spot or not w.spot)
            and spec.zone in (None, w.zone)
            and not (spec.one_zone and any(zone != w.zone for zone in zones))
            and not (spec.spread and zones.count(w.zone) >= spec.max_per_zone())
            and spec.cpus + sum(self.world.specs[t.job].cpus for other, t in active if other is w)
            <= w.machine_type.cpus
            for w in self.world.workers.values()
        )  # fmt: skip
