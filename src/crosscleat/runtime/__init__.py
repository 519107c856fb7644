"""Connects the core to the adapters: feeds inputs to the controller and executes its effects.

Owns the requests that wait for a response, the routing of heartbeats and of messages between
controllers, and the division of the sockets. No scheduling decisions are made here.
May import: core, wire, adapters, settings.
"""
