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
  apply them, `orders` builds the orders for a worker, and `commands` sends them.
- Contact: `response_check` detects workers that do not receive our responses, `liveness` detects
  silent machines, and `worker_contact` tracks whether workers can reach this leader at all.
- Attempts: `attempts` stops them and updates the job once they are proven to have ended, `retries`
  decides when the next one may start, `gang_control` replaces lost members of waiting gangs and
  stops gangs that can't continue, and `evacuation` empties machines.
- Planning: `scheduler` runs the cycles that `cycle_factory` prepares, and `placer` turns their
  assignments into allocations.
- `pending_work` holds the requests and flags through which these parts notify each other.
"""
