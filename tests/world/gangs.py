"""Gangs on the workers: their tasks wait for each other, run and end together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crosscleat.core.model.ids import TaskId
from crosscleat.core.model.job_spec import JobSpec, Shape

from .scenario import GANG_PEER_S, GANG_WAIT_S, RuleBrokenError
from .worker import Worker, WorkerTask

if TYPE_CHECKING:
    from .world import World


class Gangs:
    """Coordinates the tasks of each gang across the workers, and checks how gangs start."""

    def __init__(self, world: World) -> None:
        self.world = world

    def members(self, ref: str, attempt: int) -> list[tuple[Worker, TaskId, WorkerTask]]:
        return [
            (worker, task, worker_task)
            for worker in self.world.workers.values()
            if not worker.dead
            for (task, _), worker_task in worker.tasks.items()
            if task.job == ref and worker_task.attempt == attempt and worker_task.state != "exited"
        ]

    def start_when_complete(self, ref: str, attempt: int) -> None:
        """Start the gang once all its tasks are waiting; they end together, with the slowest.

        The slowest possible task takes 1.5 times the estimate, as in `Worker.advance_task`.
        """
        members = self.members(ref, attempt)
        spec = self.world.specs[ref]
        if len(members) < spec.tasks or any(
            worker_task.state != "waiting" for _, _, worker_task in members
        ):
            return
        for _, _, worker_task in members:
            worker_task.state, worker_task.since = "running", 0.0
        self.world.clock.after(spec.estimate_s * 1.5, lambda: self.finish_gang(ref, attempt))

    def finish_gang(self, ref: str, attempt: int) -> None:
        members = [m for m in self.members(ref, attempt) if m[2].state == "running"]
        if len(members) < self.world.specs[ref].tasks or any(
            worker.hung for worker, _, _ in members
        ):
            return
        for _, task, worker_task in members:
            worker_task.state, worker_task.cause = "exited", "done"
            self.world.results.add(task)
        self.world.users.task_completed(members[0][1])

    def monitor_gangs(self) -> None:
        for ref, spec in self.world.specs.items():
            if spec.shape is not Shape.GANG:
                continue
            for attempt in {
                worker_task.attempt
                for worker in self.world.workers.values()
                for (task, _), worker_task in worker.tasks.items()
                if task.job == ref
            }:
                self.monitor_gang(spec, self.members(ref, attempt))
        self.world.clock.after(0.5, self.monitor_gangs)

    def monitor_gang(self, spec: JobSpec, members: list[tuple[Worker, TaskId, WorkerTask]]) -> None:
        """Exit the tasks that have waited too long for their gang, or run too long without it."""
        present = sum(1 for worker, _, _ in members if not worker.hung)
        for worker, _, worker_task in members:
            if worker.hung:
                continue
            elapsed = self.world.clock.now - worker_task.since
            if worker_task.state == "waiting" and elapsed > GANG_WAIT_S:
                worker_task.state, worker_task.cause = "exited", "incomplete"
            elif worker_task.state == "running" and present == spec.tasks:
                worker_task.since = 0.0
            elif worker_task.state == "running" and not worker_task.since:
                worker_task.since = self.world.clock.now
            elif worker_task.state == "running" and elapsed > GANG_PEER_S:
                worker_task.state, worker_task.cause = "exited", "mates_gone"

    def check_gang_start(self, task: TaskId, attempt: int, spec: JobSpec) -> None:
        """Raise unless the store holds placements of all tasks, and no other attempt is running."""
        placed: dict[int, int] = {}
        for item in sorted(self.world.store.scan("work/").items, key=lambda item: item.version):
            for ref, _, _, rows in item.value["jobs"]:
                if ref == spec.ref:
                    placed.update({row[0]: row[1] for row in rows if len(row) > 2})
        if len(placed) < spec.tasks and task not in self.world.results:
            raise RuleBrokenError(
                f"a part of a gang: {task} starts, but the store only has placements of {placed}"
            )
        others = {
            worker_task.attempt
            for worker in self.world.workers.values()
            for (t, _), worker_task in worker.tasks.items()
            if t.job == task.job and worker_task.state != "exited"
        }
        if others - {attempt}:
            raise RuleBrokenError(f"{task} starts as attempt {attempt} despite attempts {others}")
