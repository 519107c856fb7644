"""Wire messages of every interface: cloud, key-value store, users, workers and controllers.

Owns the protocol's field names, their mapping to the core's types, the encoding and size limits.
Other versions read these messages, so field names, tags and positions never change.
May import: core.model.
"""
