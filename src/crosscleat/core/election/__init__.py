"""Leader election: the leader key with its fencing token, the term, and rolling-upgrade detection.

Owns the leader key, its lease, and the limits on what a leader may do in its term.
May import: `model`, `state`.

- `election` acquires, renews and releases the leader key, which every controller watches.
- `term` limits what a leader may do, depending on its last contact with the store.
- `upgrade` detects when all controllers run this version.
"""
