"""What the test scripts have in common: time limit, exit status and the end of all processes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from .deployment import MEMBERS, Deployment, Shape
from .record import Record

TIME_LIMIT_S = 108.0
RESTART_DELAY_S = 5.0
"""The platform starts a controller again about 5 s after it has ended."""

Scenario = Callable[[Deployment, Record, bool], Awaitable[None]]


class CannotRunError(Exception):
    """The case could not run; this is no result."""


async def restart_ended(deployment: Deployment, ends: list[str]) -> None:
    """Do as the platform does: start controllers again that have ended by themselves."""
    while True:
        await asyncio.sleep(0.2)
        for n, process in enumerate(deployment.processes):
            if process is not None and process.poll() is not None:
                text = f"{MEMBERS[n]} ended by itself with status {process.returncode}"
                deployment.record.line(text)
                ends.append(text)
                deployment.processes[n] = None
                loop = asyncio.get_running_loop()
                loop.call_later(RESTART_DELAY_S, deployment.start_controller, n)


async def _run(folder: Path, scenario: Scenario, shape: Shape) -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.line(f"TROUBLE={int(trouble)}")
    current = asyncio.current_task()
    assert current is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
    with tempfile.TemporaryDirectory() as scratch:
        deployment = Deployment(Path(scratch), record, shape)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                await deployment.start()
                if not await deployment.ready():
                    raise CannotRunError("the controllers were not ready in 20 s")
                await scenario(deployment, record, trouble)
        except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            record.result(f"could not run: {error!r}")
            return 2
        finally:
            await deployment.stop()
            log = (Path(scratch) / "controllers.log").read_text(errors="replace")
            record.line("the controllers' log:")
            for line in log.splitlines()[:400]:
                record.line(f"  {line}")
    for broken in record.broken:
        record.result(broken)
    record.result("the rule was broken" if record.broken else "the rule held")
    return 1 if record.broken else 0


def main(file: str, scenario: Scenario, shape: Shape | None = None) -> None:
    """Run a case whose script is `file`."""
    status = 2
    # What the HTTP library says of connections that end is in the record already.
    logging.disable(logging.CRITICAL)
    with contextlib.suppress(KeyboardInterrupt):
        status = asyncio.run(_run(Path(file).resolve().parent, scenario, shape or Shape()))
    sys.exit(status)
