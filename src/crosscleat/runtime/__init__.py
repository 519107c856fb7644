"""The process round the core: carries inputs to the controller and its effects out.

Owns the requests that wait for an answer, the way of heartbeats and of messages between
controllers, and the division of sockets. It decides nothing.
May import: core, wire, adapters, settings.
"""
