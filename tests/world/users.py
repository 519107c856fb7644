"""Users: they submit, query and cancel jobs, and remember each response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crosscleat.core.model.effects import Response
from crosscleat.core.model.ids import JobRef, TaskId
from crosscleat.core.model.inputs import CancelJob, QueryJob, RejectJob, SubmitJob
from crosscleat.core.model.job_spec import JobSpec

from .scenario import MEMBERS, SUBMIT_TIMEOUT_S, USER_TIMEOUT_S, RuleBrokenError

if TYPE_CHECKING:
    from .world import World


class Users:
    """Users: they submit, query and cancel jobs, and remember each response."""

    def __init__(self, world: World) -> None:
        self.world = world

    def submit(self, spec: JobSpec, tries: int = 20) -> None:
        self.world.specs[spec.ref] = spec
        sent = self.world.clock.now

        def answered(answer: Response) -> None:
            if self.world.clock.now - sent > SUBMIT_TIMEOUT_S:
                return
            if answer.status in (200, 201):
                self.world.accepted.add(spec.ref)
                if answer.body["status"] in ("done", "aborted"):
                    self.receive_final_status(spec.ref, answer.body["status"])
            elif answer.status in (400, 422):
                raise RuleBrokenError(f"forgotten or refused: {spec.ref} gets {answer.status}")

        member = self.world.rng.choice(MEMBERS)
        # Started tasks are checked against this: the store may hold the job before the user knows.
        self.accepted_when_stored(spec.ref)
        self.world.request(member, lambda n: SubmitJob(n, spec), answered)
        if tries > 0:
            self.world.clock.after(
                self.world.rng.uniform(1.0, 3.0), lambda: self.submit_again(spec, tries)
            )

    def submit_again(self, spec: JobSpec, tries: int) -> None:
        if spec.ref not in self.world.accepted or self.world.rng.random() < 0.05:
            self.submit(spec, tries - 1)

    def accepted_when_stored(self, ref: str) -> None:
        if f"live/{ref}" in self.world.store.items:
            self.world.accepted.add(ref)
        elif ref not in self.world.accepted:
            self.world.clock.after(0.01, lambda: self.accepted_when_stored(ref))

    def query(self, ref: str) -> None:
        # As of now: a query in flight while the job is accepted may still find nothing.
        known = ref in self.world.accepted
        sent = self.world.clock.now

        def answered(answer: Response) -> None:
            if self.world.clock.now - sent > USER_TIMEOUT_S:
                return
            if answer.status in (200, 404):
                self.world.last_answered_at[ref] = self.world.clock.now
            if answer.status == 404 and known:
                raise RuleBrokenError(f"forgotten: {ref}")
            if answer.status == 200:
                if ref not in self.world.specs:
                    raise RuleBrokenError(f"invented: {ref}")
                self.receive_status(ref, answer.body["status"], sent)

        self.world.request(
            self.world.rng.choice(MEMBERS), lambda n: QueryJob(n, JobRef(ref)), answered
        )

    def submit_invalid(self, spec: JobSpec | None, ref: str, status: int) -> None:
        """A submission that cannot be accepted: it fits no machine, or lacks a field."""

        def answered(answer: Response) -> None:
            expected = 200 if ref in self.world.accepted else status
            if answer.status not in (503, expected):
                raise RuleBrokenError(f"{ref} gets {answer.status}, not {status}")

        number = JobRef(ref)
        self.world.request(
            self.world.rng.choice(MEMBERS),
            lambda n: RejectJob(n, number, status) if spec is None else SubmitJob(n, spec),
            answered,
        )

    def task_done(self, task: TaskId) -> None:
        """A task has completed; users may cancel its job at this moment."""
        missing = any(
            TaskId(task.job, n) not in self.world.results
            for n in range(self.world.specs[task.job].tasks)
        )
        if not missing and self.world.rng.random() < self.world.cancel_at_end:
            self.world.clock.after(
                self.world.rng.choice((0.0, 0.02, 0.1, 0.4)), lambda: self.cancel(task.job)
            )

    def poll_for(self, ref: str, seconds: float) -> None:
        """Queries the job every five seconds for a while."""
        self.query(ref)
        if seconds > 5.0:
            self.world.clock.after(5.0, lambda: self.poll_for(ref, seconds - 5.0))

    def cancel(self, ref: str, tries: int = 30) -> None:
        self.world.cancel_requested.add(ref)
        sent = self.world.clock.now

        def answered(answer: Response) -> None:
            if self.world.clock.now - sent > USER_TIMEOUT_S:
                return
            if answer.status == 200:
                assert answer.body["status"] in ("done", "aborted")
                self.receive_final_status(ref, answer.body["status"])

        self.world.request(
            self.world.rng.choice(self.world.serving), lambda n: CancelJob(n, JobRef(ref)), answered
        )
        if tries > 0 and ref not in self.world.final_statuses:
            self.world.clock.after(1.0, lambda: self.cancel_again(ref, tries - 1))

    def cancel_again(self, ref: str, tries: int) -> None:
        if ref not in self.world.final_statuses:
            self.cancel(ref, tries)

    def receive_status(self, ref: str, status: str, sent: float) -> None:
        if status in ("done", "aborted"):
            self.receive_final_status(ref, status)
        elif self.world.final_since.get(ref, sent) < sent:
            # A slow controller may answer an earlier query with the status of that time.
            raise RuleBrokenError(
                f"went_back: {ref} was {self.world.final_statuses[ref]}, is {status}"
            )

    def receive_final_status(self, ref: str, status: str) -> None:
        before = self.world.final_statuses.setdefault(ref, status)
        self.world.final_since.setdefault(ref, self.world.clock.now)
        if before != status:
            raise RuleBrokenError(f"went_back: {ref} was {before}, is {status}")
        if status == "aborted":
            if ref not in self.world.cancel_requested:
                raise RuleBrokenError(f"went_back: {ref} cancelled by nobody")
            self.world.cancel_confirmed_at.setdefault(ref, self.world.clock.now)
        else:
            tasks = self.world.specs[ref].tasks
            missing = [n for n in range(tasks) if TaskId(JobRef(ref), n) not in self.world.results]
            if missing:
                raise RuleBrokenError(f"not_done: {ref} lacks {missing}")
