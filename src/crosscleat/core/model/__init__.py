"""The vocabulary of the core: ids, jobs, machines, heartbeats, inputs and effects of a step.

Owns the types that every other package and the wire formats refer to, and no decisions.
May import: nothing else of the core.

- Things: `ids`, `quantities`, `job_spec`, `cloud` (machine types and the cloud's list),
  `heartbeats`, `deployment` (settings that decisions depend on), `errors`.
- A step: `inputs` come in, `effects` go out; `store_calls`, `cloud_calls` and `worker_calls` are
  effects with a result, `shards` what controllers send each other to plan.
"""
