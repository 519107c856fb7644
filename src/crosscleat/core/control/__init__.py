"""The controller: inputs go to the users' requests, to the election and to the leader of a term.

Owns the flow of a step: what heartbeats prove, commands to workers, transactions, liveness of
machines, and when scheduling and scaling run. May import: every other package of the core.
"""
