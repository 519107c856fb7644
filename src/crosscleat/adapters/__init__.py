"""Sockets, timers and clients of other processes; each adapter translates, none decides.

Owns the connections, their timeouts and retries, and this controller's share of rate limits.
May import: core.model, wire.
"""
