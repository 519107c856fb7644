"""Which waiting task goes to which machine: scheduling cycles and what they are made of.

Owns scoring, feasibility, reservations, gang placement, preemption and sharding: decisions on a
picture of jobs and machines that they are given. May import: `model`, `state`, `election`.
"""
