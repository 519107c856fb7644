"""The rules of the protocol, checked the moment they could break."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crosscleat.core.model.ids import TaskId
from crosscleat.core.model.job_spec import JobSpec

from .scenario import CANCEL_S, TEAMS, WAITS_S, RuleBrokenError
from .worker import Worker

if TYPE_CHECKING:
    from .world import World


class Rules:
    """The rules of the protocol, checked the moment they could break."""

    def __init__(self, world: World) -> None:
        self.world = world

    def check_start(self, worker: Worker, task: TaskId, spec: JobSpec) -> None:
        self.world.started += 1
        is_planned_elsewhere = [
            w.id
            for w in self.world.workers.values()
            if w is not worker
            and any(t == task and held.state != "exited" for (t, _), held in w.tasks.items())
        ]
        if is_planned_elsewhere:
            raise RuleBrokenError(
                f"ran_twice: {task} starts on {worker.id}, is on {is_planned_elsewhere}"
            )
        told = self.world.cancel_told.get(task.job)
        if told is not None and self.world.clock.now > told + CANCEL_S:
            raise RuleBrokenError(f"ran_cancelled: {task} starts on {worker.id}")
        if spec.ref not in self.world.accepted:
            raise RuleBrokenError(f"never accepted: {task}")
        places = [
            w.zone
            for w in self.world.workers.values()
            for (t, _), held in w.tasks.items()
            if t.job == task.job and held.state != "exited"
        ]
        wrong = (
            (spec.types is not None and worker.kind.name not in spec.types)
            or (spec.zone is not None and worker.zone != spec.zone)
            or (worker.spot and not spec.spot)
            or (spec.one_zone and any(zone != worker.zone for zone in places))
            or (spec.spread and places.count(worker.zone) + 1 > spec.per_zone())
        )
        if wrong:
            raise RuleBrokenError(f"wrong_place: {task} on {worker.id}, others in {places}")
        used = spec.cpus + sum(
            self.world.specs[t.job].cpus
            for w in self.world.workers.values()
            for (t, _), held in w.tasks.items()
            if held.state != "exited" and self.world.specs[t.job].team == spec.team
        )
        if used > TEAMS[spec.team].cpus_max + 1e-6:
            raise RuleBrokenError(f"quota: {spec.team} uses {used}")

    def patrol(self) -> None:
        for key, (value, _, _) in self.world.store.items.items():
            if self.world.old and key.startswith("work/") and "span" in value:
                raise RuleBrokenError(f"{key}: a version that may lead can't read it")
        for worker in self.world.workers.values():
            for (task, _), held in worker.tasks.items():
                told = self.world.cancel_told.get(task.job)
                late = told is not None and self.world.clock.now > told + CANCEL_S
                if held.state != "exited" and late:
                    raise RuleBrokenError(f"ran_cancelled: {task} is on {worker.id}")
        self.world.clock.after(0.5, self.patrol)

    def watch_waiting(self, since: dict[str, float]) -> None:
        """From now on nothing fails: no job waits for long while a machine has room for it."""
        for ref, spec in self.world.specs.items():
            waits = ref in self.world.accepted and ref not in self.world.cancel_asked
            if waits and spec.job_class != "broken" and self.idle_room(spec):
                since.setdefault(ref, self.world.clock.now)
                if self.world.clock.now - since[ref] > WAITS_S:
                    raise RuleBrokenError(f"waits: {ref} while a machine has room for it")
            else:
                since.pop(ref, None)
        self.world.clock.after(1.0, lambda: self.watch_waiting(since))

    def idle_room(self, spec: JobSpec) -> bool:
        """Whether a task of the job waits, and could be on a machine that is up."""
        held = [
            (w, t)
            for w in self.world.workers.values()
            if not w.gone
            for (t, _), task in w.tasks.items()
            if task.state != "exited"
        ]
        placed = {t for _, t in held}
        if all(
            TaskId(spec.ref, n) in placed or TaskId(spec.ref, n) in self.world.results
            for n in range(spec.tasks)
        ):
            return False
        team = sum(
            self.world.specs[t.job].cpus
            for _, t in held
            if self.world.specs[t.job].team == spec.team
        )
        if team + spec.cpus > TEAMS[spec.team].cpus_max:
            return False
        zones = [w.zone for w, t in held if t.job == spec.ref]
        return any(
            w.up and not w.gone and w.notice_until is None
            and (spec.spot or not w.spot)
            and spec.zone in (None, w.zone)
            and not (spec.one_zone and any(zone != w.zone for zone in zones))
            and not (spec.spread and zones.count(w.zone) >= spec.per_zone())
            and spec.cpus
            + sum(self.world.specs[t.job].cpus for other, t in held if other is w) <= w.kind.cpus
            for w in self.world.workers.values()
        )  # fmt: skip
