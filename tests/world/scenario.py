"""The simulated deployment, its time limits, and a factory of jobs for it."""

from __future__ import annotations

from typing import Any

from crosscleat.core.model.cloud import MachineType
from crosscleat.core.model.deployment import Deployment, Objective, TeamLimits, TuningOptions
from crosscleat.core.model.ids import Image, JobRef, Member, Team, TypeName, Zone
from crosscleat.core.model.job_spec import JobSpec, Priority
from crosscleat.core.model.store_calls import (
    Commit,
    GrantLease,
    Read,
    RenewLease,
    RevokeLease,
    Scan,
)

HEARTBEAT_S = 2.0
LEASE_S = 10.0
CANCEL_S = 30.0
GANG_WAIT_S = 15.0
GANG_PEER_S = 3.0
TICK_S = 0.2
MAX_WAIT_S = 90.0
"""Maximum time in seconds that a job may wait, without faults, while it fits on a machine."""
USER_TIMEOUT_S = 2.0
SUBMIT_TIMEOUT_S = 5.0
STORE_TIMEOUT_S: dict[type, float] = {
    Commit: 2.0, Read: 1.5, Scan: 10.0, GrantLease: 2.0, RenewLease: 1.0, RevokeLease: 2.0,
}  # fmt: skip
"""Maximum time in seconds that a controller waits for a reply of the store, by type of call."""
REGION = "region"
"""The network's name for the host of both the store and the cloud."""
ZONES = ("a", "b")
MEMBERS = ("c0", "c1", "c2")
MEMBER_ZONES = ("a", "b", "c")
"""The zone of each controller, in the order of MEMBERS."""

TYPES = [
    MachineType(
        TypeName(name), cpus, 0.0, 4.0 * cpus, 20.0, 1.0, 0.05 * cpus, 0.02 * cpus, 4.0,
        tuple(Zone(z) for z in ZONES),
    )
    for name, cpus in (("small", 4.0), ("large", 8.0))
]  # fmt: skip
TEAMS = {Team("red"): TeamLimits(Team("red"), 8.0, 14.0, 0.0, 0.0),
         Team("blue"): TeamLimits(Team("blue"), 8.0, 24.0, 0.0, 0.0)}  # fmt: skip


class RuleBrokenError(AssertionError):
    """A controller broke a rule of the protocol; most messages begin with the rule's name."""


def job(ref: str, **changes: Any) -> JobSpec:
    """A job with default values, apart from the fields given."""
    fields: dict[str, Any] = {
        "ref": JobRef(ref), "job_class": "plain", "team": Team("red"),
        "priority": Priority.NORMAL, "tasks": 3, "cpus": 2.0, "gpus": 0.0, "memory_gb": 2.0,
        "image": Image("img"), "image_gb": 0.5, "types": None, "zone": None, "one_zone": False,
        "spread": False, "spot": True, "estimate_s": 6.0, "checkpoint_s": 0.0, "save_s": 0.0,
        "deadline_s": None,
    }  # fmt: skip
    return JobSpec(**{**fields, **changes})


LIMITS = (16.0, 8)
NEXT_LIMITS = (2.0, 5)
"""Maximum value size in KiB and writes per transaction: now, and after the announced change."""


def deployment(member: str, limits: tuple[float, int] = LIMITS) -> Deployment:
    return Deployment(
        member=Member(member),
        members=tuple(Member(m) for m in MEMBERS),
        teams=dict(TEAMS),
        objectives=(Objective("finished", "plain", 60.0),),
        heartbeat_interval_s=HEARTBEAT_S,
        lease_s=LEASE_S,
        cancel_s=CANCEL_S,
        gang_wait_s=GANG_WAIT_S,
        gang_peer_s=GANG_PEER_S,
        value_kb=limits[0],
        txn_ops=limits[1],
        tuning=TuningOptions(headroom=0.1, idle_return_s=8.0),
    )
