"""A small world under a simulated clock: store, cloud, workers, users and a network that fails.

It holds three controller cores to every rule of the protocol, at the moment a rule could
break, and knows nothing of how they decide.
"""

from .scenario import (
    CANCEL_S,
    GANG_PEER_S,
    GANG_WAIT_S,
    HOMES,
    LEASE_S,
    LIMITS,
    MEMBERS,
    NEXT_LIMITS,
    REGION,
    REPORT_S,
    TEAMS,
    TYPES,
    WAITS_S,
    ZONES,
    RuleBrokenError,
    deployment,
    job,
)
from .world import World, at_work, leader_of, running

__all__ = [
    "CANCEL_S",
    "GANG_PEER_S",
    "GANG_WAIT_S",
    "HOMES",
    "LEASE_S",
    "LIMITS",
    "MEMBERS",
    "NEXT_LIMITS",
    "REGION",
    "REPORT_S",
    "TEAMS",
    "TYPES",
    "WAITS_S",
    "ZONES",
    "RuleBrokenError",
    "World",
    "at_work",
    "deployment",
    "job",
    "leader_of",
    "running",
]
