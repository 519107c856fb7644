"""A small world under a simulated clock: store, cloud, workers, users and a network that fails.

It checks three controller cores against every rule of the protocol, at the moment a rule could be
broken, and knows nothing of how they decide.

Modules: `world` has the state and the controllers' processes, `effects` carries out what they
decide, `faults` has the switches of faults; `store_calls` and `worker_calls` are the calls over the
`network`; `store`, `cloud`, `worker` and `gangs` are what the protocol describes; `users` submit
and cancel; `rules` checks; `scenario` has the deployment; `clock` the simulated time.

The faults, by the names that tests and docs use:

- cut: no messages between two hosts. With mode `hold` they arrive after the cut, with `reset`
  they are refused at once. A one-way cut loses one direction.
- outage: the store serves nobody. `refused_until`: it does not serve one controller.
- crash: a controller ends and restarts later. freeze, `stalls_s`: it does nothing for a while,
  although its clocks run on. `cost_s`: it is slow. `drift`: its clock runs faster or slower.
- hang: a machine does nothing now and everything later. restart: it loses power and is back at
  once. dead: it never comes back. `reclaimed_at`: the cloud takes it then. faulty: its tasks fail.
- silenced: a worker's heartbeats reach no controller. `no_direct`: direct commands do not reach it.
- flaky: the chance that a commit, a direct command or a rental gets no reply and is carried out
  late. `late_writes`: the same for all writes to the store. `duplicates`: the chance that a
  heartbeat or a direct command arrives once more later.

The days that `tests/test_rules.py` draws depend on the source of its class `Rules`, names included:
a change there draws other days.
"""

from .scenario import (
    CANCEL_S,
    GANG_PEER_S,
    GANG_WAIT_S,
    HEARTBEAT_S,
    LEASE_S,
    LIMITS,
    MAX_WAIT_S,
    MEMBER_ZONES,
    MEMBERS,
    NEXT_LIMITS,
    REGION,
    TEAMS,
    TYPES,
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
    "HEARTBEAT_S",
    "LEASE_S",
    "LIMITS",
    "MAX_WAIT_S",
    "MEMBERS",
    "MEMBER_ZONES",
    "NEXT_LIMITS",
    "REGION",
    "TEAMS",
    "TYPES",
    "ZONES",
    "RuleBrokenError",
    "World",
    "at_work",
    "deployment",
    "job",
    "leader_of",
    "running",
]
