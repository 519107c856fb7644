"""The data types of the core: ids, jobs, machines, heartbeats, inputs and effects of a step.

Owns the types that every other package and the wire formats use; it makes no decisions.
May import: nothing else of the core.

- Entities: `ids`, `quantities`, `job_spec`, `cloud` (machine types and the machine list),
  `heartbeats`, `deployment` (settings that decisions depend on), `errors`.
- Steps: a step takes one of `inputs` and returns `effects`. `store_calls`, `cloud_calls` and
  `worker_calls` are effects, most of them with a result; `shards` has the data that controllers
  exchange to plan a shard.
"""
