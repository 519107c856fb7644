"""Assigns waiting tasks to machines, in scheduling cycles.

Owns the decisions on scoring, feasibility, reservations, gang placement, preemption and sharding,
which it takes on the state of jobs and machines that the caller passes. May import: `model`,
`state`, `election`.

- `cycle` plans one scheduling cycle.
- `feasibility`, with `free_capacity`, `quota` and `zone_limits`, checks which placements are still
  possible.
- `reservations` reserves machines so that they empty for large tasks and gangs.
- `job_selection` selects the jobs of a cycle, `ranking` and `scoring` rank machines for each job,
  and `assignment_search` commits the best pairs of a job and a machine.
- `gang_placement` finds machines for all tasks of a gang at once.
- `preemption` selects running tasks to stop.
- `sharding` and `shard_dispatch` are the leader's side of sharding, `shard_planning` is the shard
  owner's side.
"""
