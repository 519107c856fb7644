"""Which waiting task goes to which machine: scheduling cycles and what they are made of.

Owns scoring, feasibility, reservations, gang placement, preemption and sharding: decisions on
the state of jobs and machines that the caller passes. May import: `model`, `state`, `election`.
"""
