"""How the tasks of a gang wait, run and end together on the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crosscleat.core.model.ids import TaskId
from crosscleat.core.model.job_spec import JobSpec, Shape

from .scenario import GANG_PEER_S, GANG_WAIT_S, RuleBrokenError
from .worker import Worker, WorkerTask

if TYPE_CHECKING:
    from .world import World


class Gangs:
    """Lets the tasks of a gang wait, run and end together."""

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

    def gather(self, ref: str, attempt: int) -> None:
        """They run once all of them wait, and end together at the speed of the slowest."""
        members = self.members(ref, attempt)
        spec = self.world.specs[ref]
        if len(members) < spec.tasks or any(
            worker_task.state != "waiting" for _, _, worker_task in members
        ):
            return
        for _, _, worker_task in members:
            worker_task.state, worker_task.since = "running", 0.0
        self.world.clock.after(spec.estimate_s * 1.5, lambda: self.gang_ends(ref, attempt))

    def gang_ends(self, ref: str, attempt: int) -> None:
        members = [m for m in self.members(ref, attempt) if m[2].state == "running"]
        if len(members) < self.world.specs[ref].tasks or any(
            worker.hung for worker, _, _ in members
        ):
            return
        for _, task, worker_task in members:
            worker_task.state, worker_task.cause = "exited", "done"
            self.world.results.add(task)
        self.world.users.task_done(members[0][1])

    def watch_gangs(self) -> None:
        for ref, spec in self.world.specs.items():
            if spec.shape is not Shape.GANG:
                continue
            for attempt in {
                worker_task.attempt
                for worker in self.world.workers.values()
                for (task, _), worker_task in worker.tasks.items()
                if task.job == ref
            }:
                self.watch_gang(spec, self.members(ref, attempt))
        self.world.clock.after(0.5, self.watch_gangs)

    def watch_gang(self, spec: JobSpec, members: list[tuple[Worker, TaskId, WorkerTask]]) -> None:
        present = sum(1 for worker, _, _ in members if not worker.hung)
        for worker, _, worker_task in members:
            if worker.hung:
                continue
            waited = self.world.clock.now - worker_task.since
            if worker_task.state == "waiting" and waited > GANG_WAIT_S:
                worker_task.state, worker_task.cause = "exited", "incomplete"
            elif worker_task.state == "running" and present == spec.tasks:
                worker_task.since = 0.0
            elif worker_task.state == "running" and not worker_task.since:
                worker_task.since = self.world.clock.now
            elif worker_task.state == "running" and waited > GANG_PEER_S:
                worker_task.state, worker_task.cause = "exited", "mates_gone"

    def check_gang(self, task: TaskId, attempt: int, spec: JobSpec) -> None:
        """A task starts once the store has the allocations of all, under one attempt number."""
        placed: dict[int, int] = {}
        for item in sorted(self.world.store.listing("work/").items, key=lambda item: item.version):
            for ref, _, _, rows in item.value["jobs"]:
                if ref == spec.ref:
                    placed.update({row[0]: row[1] for row in rows if len(row) > 2})
        if len(placed) < spec.tasks and task not in self.world.results:
            raise RuleBrokenError(f"a part of a gang: {task} starts, recorded are {placed}")
        others = {
            worker_task.attempt
            for worker in self.world.workers.values()
            for (t, _), worker_task in worker.tasks.items()
            if t.job == task.job and worker_task.state != "exited"
        }
        if others - {attempt}:
            raise RuleBrokenError(f"{task} starts as {attempt} beside attempts {others}")
