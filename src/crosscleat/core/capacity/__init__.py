"""Which machines there are: scaling out and in, the budget, and spot interruptions.

Owns the life of machines from rental to deletion, and the demand that they are rented for. Scaling:
`scaling` asks `fleet` once a second what to rent and to return; that compares `unplaced_work` and
`capacity_targets` with the pools of `pool_catalog`. Machines: `machines` knows them, `machine_list`
and `machine_watch` find the ones to return, `decommissioning` decides, `deletions` deletes them.

May import: `model`, `state`, `election`, `scheduling`.
"""
