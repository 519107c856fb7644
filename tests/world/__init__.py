"""A simulated deployment: store, cloud, workers, users, a faulty network and a simulated clock.

Three controller cores run in it. The rules of the protocol are checked at each start of a task, at
each response to a user and periodically, without any knowledge of how the controllers decide.

Modules:

- `world`: the shared state and the controller processes; `effects` executes the effects that the
  controllers return; `clock` provides the simulated time.
- `network`, `store_calls`, `worker_calls`: messages and calls between hosts.
- `store`, `cloud`, `worker`, `gangs`: the services as the protocol describes them.
- `users`: clients that submit, query and cancel jobs.
- `faults`: the fault settings. `rules`: the checks of the protocol's rules.
- `scenario`: the deployment, the time limits and the jobs.

The faults, by the names that tests and docs use:

- cut: no messages pass between two hosts. With mode `hold` they are delivered after the cut, with
  `reset` they are refused immediately. A one-way cut drops the messages of one direction.
- outage: the store answers no controller. `refused_until`: it does not answer one controller.
- crash: a controller process ends and restarts later. freeze, `freeze_after_step_s`: it is
  suspended for a while, although its clocks run on. `input_processing_s`: processing time of each
  input. `drift`: its clock runs faster or slower than the simulated clock.
- hang: a machine stops for a while, and then processes everything that arrived meanwhile. restart:
  it loses power and is back immediately. dead: it never comes back. `reclaimed_at`: the announced
  time at which the cloud reclaims a spot machine. faulty: all tasks on the machine fail.
- `heartbeats_blocked`: a worker's heartbeats reach no controller. `direct_commands_blocked`: direct
  commands do not reach it.
- `flaky_call_chance`: the probability that a commit, a direct command, a rental or a deletion of
  machines gets no reply and is executed late. `late_writes`: the same for all writes to the store.
  `duplicates`: the probability that a heartbeat or a direct command is delivered a second time
  later.

A simulated day is one run of the random test in `tests/test_rules.py`. The days depend on the
source of its class `Rules`, including the names used there: any edit of the class draws other days.
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
from .world import World, leader_of, quiet_world, running, world_with_long_job

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
    "deployment",
    "job",
    "leader_of",
    "quiet_world",
    "running",
    "world_with_long_job",
]
