"""Simulated users, who submit, query and cancel jobs and check each response."""

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
    """Sends the users' requests to random controllers and checks the responses.

    A response after the timeout of its request is ignored, as its user no longer waits.
    """

    def __init__(self, world: World) -> None:
        self.world = world

    def submit(self, spec: JobSpec, retries: int = 20) -> None:
        """Submit a job, and up to `retries` times again with the same reference until accepted."""
        self.world.specs[spec.ref] = spec
        sent_at = self.world.clock.now

        def on_response(response: Response) -> None:
            if self.world.clock.now - sent_at > SUBMIT_TIMEOUT_S:
                return
            if response.status in (200, 201):
                self.world.accepted.add(spec.ref)
                if response.body["status"] in ("done", "aborted"):
                    self.record_final_status(spec.ref, response.body["status"])
            elif response.status in (400, 422):
                raise RuleBrokenError(
                    f"forgotten or refused: {spec.ref} gets status {response.status}"
                )

        member = self.world.rng.choice(MEMBERS)
        # `Rules.check_start` requires that the job is accepted, and its tasks may start as soon as
        # the store holds the job, before the user gets the response.
        self.accept_once_stored(spec.ref)
        self.world.request(member, lambda n: SubmitJob(n, spec), on_response)
        if retries > 0:
            self.world.clock.after(
                self.world.rng.uniform(1.0, 3.0),
                lambda: self.resubmit_unless_accepted(spec, retries),
            )

    def resubmit_unless_accepted(self, spec: JobSpec, retries: int) -> None:
        """Submit the job again; if it is accepted, only with a probability of 0.05."""
        if spec.ref not in self.world.accepted or self.world.rng.random() < 0.05:
            self.submit(spec, retries - 1)

    def accept_once_stored(self, ref: str) -> None:
        """Count the job as accepted as soon as the store holds it; checks every 0.01 s."""
        if f"live/{ref}" in self.world.store.items:
            self.world.accepted.add(ref)
        elif ref not in self.world.accepted:
            self.world.clock.after(0.01, lambda: self.accept_once_stored(ref))

    def query(self, ref: str) -> None:
        # Recorded before the query: one sent before the job is accepted may rightly get a 404.
        was_accepted = ref in self.world.accepted
        sent_at = self.world.clock.now

        def on_response(response: Response) -> None:
            if self.world.clock.now - sent_at > USER_TIMEOUT_S:
                return
            if response.status in (200, 404):
                self.world.last_answered_at[ref] = self.world.clock.now
            if response.status == 404 and was_accepted:
                raise RuleBrokenError(f"forgotten: {ref}")
            if response.status == 200:
                if ref not in self.world.specs:
                    raise RuleBrokenError(f"invented: {ref}")
                self.check_status(ref, response.body["status"], sent_at)

        self.world.request(
            self.world.rng.choice(MEMBERS), lambda n: QueryJob(n, JobRef(ref)), on_response
        )

    def submit_invalid(self, spec: JobSpec | None, ref: str, status: int) -> None:
        """Submit a job that fits no machine or lacks a field, and must be refused with `status`."""

        def on_response(response: Response) -> None:
            expected = 200 if ref in self.world.accepted else status
            if response.status not in (503, expected):
                raise RuleBrokenError(f"{ref} gets status {response.status}, not {status}")

        job_ref = JobRef(ref)
        self.world.request(
            self.world.rng.choice(MEMBERS),
            lambda n: RejectJob(n, job_ref, status) if spec is None else SubmitJob(n, spec),
            on_response,
        )

    def task_completed(self, task: TaskId) -> None:
        """Handle the completion of a task; after the last one a user may cancel the job."""
        unfinished = any(
            TaskId(task.job, n) not in self.world.results
            for n in range(self.world.specs[task.job].tasks)
        )
        if not unfinished and self.world.rng.random() < self.world.cancel_at_end:
            self.world.clock.after(
                self.world.rng.choice((0.0, 0.02, 0.1, 0.4)), lambda: self.cancel(task.job)
            )

    def poll_for(self, ref: str, seconds: float) -> None:
        """Query the job every five seconds for this time."""
        self.query(ref)
        if seconds > 5.0:
            self.world.clock.after(5.0, lambda: self.poll_for(ref, seconds - 5.0))

    def cancel(self, ref: str, retries: int = 30) -> None:
        """Cancel a job, and up to `retries` times again, each second, until its status is final."""
        self.world.cancel_requested.add(ref)
        sent_at = self.world.clock.now

        def on_response(response: Response) -> None:
            if self.world.clock.now - sent_at > USER_TIMEOUT_S:
                return
            if response.status == 200:
                assert response.body["status"] in ("done", "aborted")
                self.record_final_status(ref, response.body["status"])

        self.world.request(
            self.world.rng.choice(self.world.cancellation_members),
            lambda n: CancelJob(n, JobRef(ref)),
            on_response,
        )
        if retries > 0 and ref not in self.world.final_statuses:
            self.world.clock.after(1.0, lambda: self.cancel_unless_final(ref, retries - 1))

    def cancel_unless_final(self, ref: str, retries: int) -> None:
        if ref not in self.world.final_statuses:
            self.cancel(ref, retries)

    def check_status(self, ref: str, status: str, sent_at: float) -> None:
        if status in ("done", "aborted"):
            self.record_final_status(ref, status)
        elif self.world.final_since.get(ref, sent_at) < sent_at:
            # Only queries sent after the final status was received count: a slow controller may
            # answer an earlier one with an outdated status.
            raise RuleBrokenError(
                f"went_back: {ref} was {self.world.final_statuses[ref]}, is {status}"
            )

    def record_final_status(self, ref: str, status: str) -> None:
        previous = self.world.final_statuses.setdefault(ref, status)
        self.world.final_since.setdefault(ref, self.world.clock.now)
        if previous != status:
            raise RuleBrokenError(f"went_back: {ref} was {previous}, is {status}")
        if status == "aborted":
            if ref not in self.world.cancel_requested:
                raise RuleBrokenError(f"went_back: {ref} is aborted, but was never cancelled")
            self.world.cancel_confirmed_at.setdefault(ref, self.world.clock.now)
        else:
            tasks = self.world.specs[ref].tasks
            missing = [n for n in range(tasks) if TaskId(JobRef(ref), n) not in self.world.results]
            if missing:
                raise RuleBrokenError(f"not_done: {ref} is done without tasks {missing}")
