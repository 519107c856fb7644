"""What a leader knows and what the store keeps of it: jobs, records, machines and allocations.

Owns the state of jobs, tasks, gangs and machines in memory, the records that keep it in the
store, and the transactions that write them. May import: `model`.

- Memory: `jobs` has jobs and their tasks, `gangs` the phases of a gang's attempt, `machine` the
  machines with their `direct_channel` and `image_cache`, `allocations` what attempts take of them,
  and `cluster` all allocations with the quota and zones in use.
- Store: `keys` names the keys; `job_records`, `placement_records` (stored as `stored_placements`
  describes) and `decommission_records` are the records; `batch` is the transaction that writes
  them. The leader's own key is `election`'s.
"""
