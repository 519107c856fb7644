"""The controller: inputs go to the users' requests, to the election and to the leader of a term.

Owns the flow of a step: what heartbeats prove, commands to workers, transactions, liveness of
machines, and when scheduling and scaling run. May import: every other package of the core.

- Every controller: `controller` takes each input; `user_requests`, `status_queries` and `live_jobs`
  answer users.
- A term begins: `job_watch` reads the store, `assembly` builds a `leader`, `takeover` fills it.
- Jobs: `job_changes` applies what users change, `writer` writes, `write_outcomes` acts on what has
  been written, `progress` counts for display.
- Workers: `heartbeat_receiver` answers heartbeats, `heartbeat_processing` and `task_statuses` apply
  them, `orders` says what each is to do, `commands` sends it.
- Contact: `response_check` finds workers that do not receive our answers, `liveness` those that
  are silent, `worker_contact` says whether workers reach this leader at all.
- Attempts: `attempts` stops and ends them, `retries` decides when the next one may start,
  `gang_control` keeps gangs whole, `evacuation` empties machines.
- Planning: `scheduler` runs `cycle_factory`'s cycles and `placer` commits what they choose.
- `pending_work` holds the marks that these parts leave each other.
"""
