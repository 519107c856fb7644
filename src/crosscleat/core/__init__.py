"""The decisions of a controller, without input or output.

The packages form layers; each may import only those before it:
`model`, `state`, `election`, `scheduling`, `capacity`, `control`.
`tests/test_architecture.py` holds this.
"""
