"""The decision logic of a controller; it performs no I/O.

The packages form layers; each may import only those before it:
`model`, `state`, `election`, `scheduling`, `capacity`, `control`.
`tests/test_architecture.py` checks this.
"""
