"""The messages of each interface, in the words of the protocol.

Owns the protocol's names and what each is called in the core, the encoding, and the limits of size.
Other versions read these messages: field names, tags and positions never change.
May import: core.model.
"""
