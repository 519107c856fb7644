"""What the version in production (394dfe6) wrote, as literal samples, and how it reads.

Its reading rules are its own definitions. Nothing here is ever edited.
"""

from __future__ import annotations

from typing import Any

import msgspec

from crosscleat.core.model.ids import TypeName
from crosscleat.wire import peers

from .world import job

LIVE_394DFE6 = {
    "spec": [
        "job-000412", "plain", "red", 1, 3, 2.0, 0.0, 2.0, "img", 0.5, ["small"], None, False,
        False, True, 6.0, 0.0, 0.0, 900.0, 0,
    ],
    "at": 1700000000.25,
    "aborted": False,
}  # fmt: skip
WORK_394DFE6 = {
    "work/1": {
        "jobs": [
            ["job-000412", 0, [[0, 1]], [[1, 1], [2, 1, "m-000231", 2]]],
            ["job-000413", 0, [[0, 200]], []],
        ]
    },
    "work/2": {
        "jobs": [
            ["job-000413", 1, [[200, 201]], [[201, 1, "m-000007", 1], [202, 1, "m-000007", 1]]]
        ]
    },
}
FRAMES_394DFE6: dict[str, peers.Message] = {
    "0000000a92a568656c6c6fa26330": peers.Hello("c0"),
    "0000000792a470696e67c3": peers.Ping(True),
    "0000000b93a572656c617903c40178": peers.Relay(3, b"x"),
    "0000000f94a772656c6179656403ccc8c40179": peers.Relayed(3, 200, b"y"),
    "0000001292a6636f756e747381a56a6f622d31920102": peers.Counts({"job-1": (1, 2)}),
    "0000001494a570726f6265aa31302e302e302e313a392901": peers.IndirectProbe("10.0.0.1:9", 41, 1),
    "0000000b92a670726f626564c4017a": peers.ProbeReply(b"z"),
}
PART_394DFE6 = (
    "000000f392a47061727496079196dc0014aa6a6f622d303030343132a5706c61696ea37265640103cb4000000000"
    "000000cb0000000000000000cb4000000000000000a3696d67cb3fe000000000000091a5736d616c6cc0c2c2c3cb"
    "4018000000000000cb0000000000000000cb0000000000000000cb408c20000000000000cb3ff800000000000002"
    "9080c29199a36d2d31a5736d616c6ca161c3cb3ff0000000000000cb0000000000000000cb400000000000000081"
    "a3696d67cb0000000000000000c081a372656492cb4008000000000000cb0000000000000000cb3fe00000000000"
    "0081a5706c61696ecb3ff0000000000000"
)
PROPOSED_394DFE6 = "0000001d92a870726f706f73656492079192aa6a6f622d303030343132a36d2d31"
SPEC = job("job-000412", tasks=3, types=(TypeName("small"),), deadline_s=900.0)


class Spec394dfe6(msgspec.Struct, array_like=True, frozen=True):
    """A job as production reads it from `live/`."""

    ref: str
    job_class: str
    team: str
    priority: int
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None
    shape: int = 0


def read_by_394dfe6(items: dict[str, Any]) -> dict[str, dict[int, tuple[int, str, int] | str]]:
    """What production takes from `work/`: by job and task, done or where it may be."""
    found: dict[str, dict[int, tuple[int, str, int] | str]] = {}
    for value in items.values():
        for ref, number, done, rows in value["jobs"]:
            tasks = found.setdefault(ref, {})
            # It puts a chunk in place of what it had under that number, and looks for a task
            # in the chunk of its index.
            for start, end in done:
                tasks.update(dict.fromkeys(range(start, end), "done"))
            for row in rows:
                assert row[0] // 200 == number
                if len(row) > 2:
                    tasks[row[0]] = (row[1], row[2], row[3])
    return found
