"""A submission whose `cores` is the smallest positive number, before ordinary jobs."""

from __future__ import annotations

import asyncio

from standins.case import CannotRunError, main, restart_ended
from standins.deployment import MEMBERS, Deployment, job
from standins.record import Record

SMALLEST = 5e-324
"""The smallest positive number of the type that MessagePack carries (Java's Double.MIN_VALUE)."""
ORDINARY = 0.001
RUN_S = 5.0
WATCH_S = 75.0


async def wait_until_done(deployment: Deployment, record: Record, accepted: list[str]) -> set[str]:
    """Ask about the jobs until all are done or the time is over; returns those that are done."""
    done: set[str] = set()
    end = record.now() + WATCH_S
    while record.now() < end and len(done) < len(accepted):
        await asyncio.sleep(2.0)
        for n, ref in enumerate(accepted):
            _, body = await deployment.poll(ref, n)
            if body is not None and body["status"] == "done":
                done.add(ref)
    return done


async def scenario(deployment: Deployment, record: Record, trouble: bool) -> None:
    """Submit the job with the odd amount, then ordinary ones; ended processes are restarted."""
    ends: list[str] = []
    restarts = asyncio.create_task(restart_ended(deployment, ends))
    cores = SMALLEST if trouble else ORDINARY
    odd = await deployment.submit(job("job-000001", picks=1, cores=cores), RUN_S)
    record.line(f"cores {cores}: answered {odd}")
    accepted = []
    for n in range(2):
        ref = f"job-00001{n}"
        status = await deployment.submit(job(ref, crew="plataforma", picks=2), RUN_S, first=n)
        if status in (200, 201):
            accepted.append(ref)
    if not accepted:
        raise CannotRunError("no ordinary job was accepted")
    done = await wait_until_done(deployment, record, accepted)
    restarts.cancel()
    if ends:
        counts = {member: sum(member in text for text in ends) for member in MEMBERS}
        record.breaks("runs until killed", f"controllers ended by themselves: {counts}")
    if not deployment.platform.starts:
        text = (
            f"no task was started in {WATCH_S:.0f} s, with {len(accepted)} ordinary jobs accepted"
        )
        record.breaks("nothing_ran", text)
    for ref in accepted:
        if ref not in done:
            record.breaks("an accepted job must run", f"{ref} is not done after {WATCH_S:.0f} s")


if __name__ == "__main__":
    main(__file__, scenario)
