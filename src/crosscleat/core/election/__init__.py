"""Who leads: the leader key and its fencing token, the term, and the upgrade of all controllers.

Owns the leader key, the lease under it and what a term may still do.
May import: `model`, `state`.

- `election` takes, keeps and gives up the leader key, which every controller watches.
- `term` says what a leader may still do, by its last contact with the store.
- `upgrade` learns when all controllers run this version.
"""
