"""A gang of as many tasks as the pages allow, beside ordinary jobs of another team."""

from __future__ import annotations

import asyncio

from standins.balancer import Balancer
from standins.case import CannotRunError, main
from standins.deployment import Deployment, job
from standins.record import Record

MOST_PICKS = 100_000
"""The pages' limit for `picks`."""
ORDINARY_PICKS = 8
CORES = 0.001
RUN_S = 5.0
WATCH_S = 80.0


async def scenario(deployment: Deployment, record: Record, trouble: bool) -> None:
    """Submit the gang, then ordinary jobs, and ask about these until the time is over."""
    balancer = Balancer(deployment)
    await asyncio.sleep(3.0)
    picks = MOST_PICKS if trouble else ORDINARY_PICKS
    gang = job(
        "job-000001",
        shape="ensemble",
        urgency="standard",
        picks=picks,
        cores=CORES,
        memory_gb=CORES,
    )
    if await deployment.submit(gang, RUN_S) not in (200, 201):
        raise CannotRunError("the gang was not accepted")
    accepted = [f"job-00001{n}" for n in range(3)]
    for n, ref in enumerate(accepted):
        ordinary = job(ref, crew="plataforma", picks=2)
        if await deployment.submit(ordinary, RUN_S, first=n) not in (200, 201):
            raise CannotRunError("an ordinary job was not accepted")
    done: set[str] = set()
    polls = unanswered = 0
    end = record.now() + WATCH_S
    while record.now() < end:
        await asyncio.sleep(2.0)
        answers = await asyncio.gather(*(balancer.poll(ref) for ref in accepted))
        for ref, (status, body) in zip(accepted, answers, strict=True):
            polls += 1
            unanswered += status == 0
            if status == 200 and body["status"] == "done":
                done.add(ref)
    balancer.stop()
    record.line(f"polls: {polls}, without an answer: {unanswered}")
    if unanswered > polls / 2:
        text = f"{unanswered} of {polls} polls got no answer within 2 s"
        record.breaks("most requests stay unanswered", text)
    for ref in accepted:
        if ref not in done:
            starts = sum(pick.startswith(f"{ref}/") for pick in deployment.platform.starts)
            text = f"{ref}, two tasks of 5 s, is not done {WATCH_S:.0f} s after it was accepted"
            record.breaks("an accepted job must run", f"{text}; {starts} of its tasks started")


if __name__ == "__main__":
    main(__file__, scenario)
