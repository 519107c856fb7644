"""What a leader knows and what the store keeps of it: jobs, records, machines and allocations.

Owns the state of jobs, tasks, gangs and machines in memory, the records that keep it in the
store, and the transactions that write them. May import: `model`.
"""
