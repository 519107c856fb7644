"""How the tasks of a gang wait, run and end together on the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crosscleat.core.model.ids import TaskId
from crosscleat.core.model.job_spec import JobSpec, Shape

from .scenario import GANG_PEER_S, GANG_WAIT_S, RuleBrokenError
from .worker import Task, Worker

if TYPE_CHECKING:
    from .world import World


class Gangs:
    """How the tasks of a gang wait, run and end together on the workers."""

    def __init__(self, world: World) -> None:
        self.world = world

    def mates(self, ref: str, attempt: int) -> list[tuple[Worker, TaskId, Task]]:
        return [
            (worker, task, held)
            for worker in self.world.workers.values()
            if not worker.gone
            for (task, _), held in worker.tasks.items()
            if task.job == ref and held.attempt == attempt and held.state != "exited"
        ]

    def gather(self, ref: str, attempt: int) -> None:
        """They run once all of them wait; they end together, at the slowest one's speed."""
        mates = self.mates(ref, attempt)
        spec = self.world.specs[ref]
        if len(mates) < spec.tasks or any(held.state != "waiting" for _, _, held in mates):
            return
        for _, _, held in mates:
            held.state, held.since = "running", 0.0
        self.world.clock.after(spec.estimate_s * 1.5, lambda: self.gang_ends(ref, attempt))

    def gang_ends(self, ref: str, attempt: int) -> None:
        mates = [m for m in self.mates(ref, attempt) if m[2].state == "running"]
        if len(mates) < self.world.specs[ref].tasks or any(worker.hung for worker, _, _ in mates):
            return
        for _, task, held in mates:
            held.state, held.cause = "exited", "done"
            self.world.results.add(task)
        self.world.users.task_done(mates[0][1])

    def watch_gangs(self) -> None:
        for ref, spec in self.world.specs.items():
            if spec.shape is not Shape.GANG:
                continue
            for attempt in {
                held.attempt
                for worker in self.world.workers.values()
                for (task, _), held in worker.tasks.items()
                if task.job == ref
            }:
                self.watch_gang(spec, self.mates(ref, attempt))
        self.world.clock.after(0.5, self.watch_gangs)

    def watch_gang(self, spec: JobSpec, mates: list[tuple[Worker, TaskId, Task]]) -> None:
        there = sum(1 for worker, _, _ in mates if not worker.hung)
        for worker, _, held in mates:
            if worker.hung:
                continue
            waited = self.world.clock.now - held.since
            if held.state == "waiting" and waited > GANG_WAIT_S:
                held.state, held.cause = "exited", "incomplete"
            elif held.state == "running" and there == spec.tasks:
                held.since = 0.0
            elif held.state == "running" and not held.since:
                held.since = self.world.clock.now
            elif held.state == "running" and waited > GANG_PEER_S:
                held.state, held.cause = "exited", "mates_gone"

    def check_gang(self, task: TaskId, attempt: int, spec: JobSpec) -> None:
        """No task of a gang starts before the store has the places of all, under one number."""
        placed: dict[int, int] = {}
        for item in sorted(self.world.store.listing("work/").items, key=lambda item: item.version):
            for ref, _, _, rows in item.value["jobs"]:
                if ref == spec.ref:
                    placed.update({row[0]: row[1] for row in rows if len(row) > 2})
        if len(placed) < spec.tasks and task not in self.world.results:
            raise RuleBrokenError(f"a part of a gang: {task} starts, on record are {placed}")
        others = {
            held.attempt
            for worker in self.world.workers.values()
            for (t, _), held in worker.tasks.items()
            if t.job == task.job and held.state != "exited"
        }
        if others - {attempt}:
            raise RuleBrokenError(f"{task} starts as {attempt} beside attempts {others}")
