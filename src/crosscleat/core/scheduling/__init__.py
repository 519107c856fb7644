"""Which waiting task goes to which machine: scheduling cycles and what they are made of.

Owns decisions on the state of jobs and machines that the caller passes: scoring, feasibility,
reservations, gang placement, preemption and sharding. May import: `model`, `state`, `election`.

`cycle` plans one cycle. `feasibility`, with `free_capacity` and `quota`, says what may still go
where; `reservations` empties machines; `job_selection` chooses jobs; `ranking`, with `scoring`,
their machines; `assignment_search` the best pairs; `gang_placement` places for whole gangs.
`preemption` chooses what to stop. `sharding` and `shard_dispatch` are the leader's side of shards,
`shard_planning` is the owner's.
"""
