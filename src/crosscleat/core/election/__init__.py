"""Who leads: the leader key and its fencing token, the term, and the upgrade of all controllers.

Owns the leader key, the lease under it and what a term may still do.
May import: `model`, `state`.
"""
