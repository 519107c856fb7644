"""The leader's state: jobs, machines and allocations in memory, and their records in the store.

Owns the state of jobs, tasks, gangs and machines in memory, the records that persist it in
the store, and the transactions that write them. May import: `model`.

- Memory: `jobs` defines jobs and their tasks, `gangs` the phases of a gang's attempt, `machine` a
  machine with its `direct_channel` and `image_cache`, `allocations` the resources that an attempt
  reserves on a machine, and `cluster` all allocations with the quota and zones in use.
- Store: `keys` defines the keys; `job_records`, `placement_records` (encoded as described in
  `stored_placements`) and `decommission_records` define the records; `batch` is the transaction
  that writes them. The `election` package manages the leader key itself.
"""
