"""One job in each of its encoded forms: literal samples for the tests of encoded forms.

All numbers differ, and all texts, so that two swapped fields are noticed. The flags are False here;
the tests set one at a time.
"""

from __future__ import annotations

from typing import Any

import msgspec

from crosscleat.core.model.ids import Image, JobRef, Team, TypeName, Zone
from crosscleat.core.model.job_spec import JobSpec, Priority, Shape


def pack(value: Any) -> bytes:
    return msgspec.msgpack.encode(value)


def unpack(body: bytes) -> Any:
    return msgspec.msgpack.decode(body)


SUBMISSION: dict[str, Any] = {
    "ref": "job-000412", "jobline": "nightly", "crew": "red", "shape": "ensemble",
    "urgency": "urgent", "picks": 3, "cores": 2.5, "gpus": 1.5, "memory_gb": 7.5, "kit": "img-9",
    "image_gb": 0.25, "together": False, "apart": False, "loaners": False, "expect_s": 61.0,
    "stash_every_s": 20.0, "stash_s": 4.0, "rigs": ["small", "large"], "yard": "north",
    "due_s": 900.0,
}  # fmt: skip
SPEC = JobSpec(
    ref=JobRef("job-000412"),
    job_class="nightly",
    team=Team("red"),
    priority=Priority.HIGH,
    tasks=3,
    cpus=2.5,
    gpus=1.5,
    memory_gb=7.5,
    image=Image("img-9"),
    image_gb=0.25,
    types=(TypeName("small"), TypeName("large")),
    zone=Zone("north"),
    one_zone=False,
    spread=False,
    spot=False,
    estimate_s=61.0,
    checkpoint_s=20.0,
    save_s=4.0,
    deadline_s=900.0,
    shape=Shape.GANG,
)
STORED_SPEC: list[Any] = [
    "job-000412", "nightly", "red", 2, 3, 2.5, 1.5, 7.5, "img-9", 0.25, ["small", "large"],
    "north", False, False, False, 61.0, 20.0, 4.0, 900.0, 1,
]  # fmt: skip
LIVE_RECORD = {"spec": STORED_SPEC, "at": 1700000000.25, "aborted": False}
