"""Capacity of the cluster: scaling out and in, the budget, and spot interruptions.

Owns the life cycle of machines from rental to deletion, and the demand that they are rented for.

Scaling: once a second `scaling` asks `fleet` which machines to rent and which to return. `fleet`
compares the results of `unplaced_work` and `capacity_targets` with the pools of `pool_catalog`.

Machines: `machines` adds machines to the cluster's state, `machine_list` and `machine_watch` find
those to return, `decommissioning` marks them for deletion, and `deletions` deletes them.

May import: `model`, `state`, `election`, `scheduling`.
"""
