"""The vocabulary of the core: ids, jobs, machines, heartbeats, inputs and effects of a step.

Owns the types that every other package and the wire formats refer to, and no decisions.
May import: nothing else of the core.
"""
