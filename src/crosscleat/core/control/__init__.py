"""The controller: dispatches inputs to the user requests, the election and the leader of a term.

Owns the control flow of a step: heartbeat processing, commands to workers, transactions, machine
liveness, and when scheduling and scaling run. May import: every other package of the core.

- Every controller: `controller` handles each input; `user_requests`, `status_queries` and
  `live_jobs` answer users.
- Start of a term: `job_watch` reads the store, `assembly` builds a `leader`, and `takeover` loads
  the stored records into it.
- Jobs: `job_changes` applies submissions and cancellations, `writer` writes to the store,
  `write_outcomes` handles the results, and `progress` counts tasks for display.
- Workers: `heartbeat_receiver` responds to heartbeats, `heartbeat_processing` and `task_statuses`
  apply them, `orders` computes the orders for each worker, and `commands` sends them.
- Contact: `response_check` detects workers that do not receive our responses, `liveness` detects
  silent machines, and `worker_contact` whether any worker can reach this leader.
- Attempts: `attempts` stops and ends them, `retries` decides when the next one may start,
  `gang_control` replaces or stops incomplete gangs, and `evacuation` empties machines.
- Planning: `scheduler` runs the cycles built by `cycle_factory`, and `placer` commits the
  resulting assignments.
- `pending_work` holds the requests and flags through which these parts notify each other.
"""
