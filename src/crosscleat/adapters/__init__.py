"""Servers and clients for other processes, with sockets and timers; no scheduling decisions here.

Owns connections, timeouts, retries, and this controller's share of the rate limits.
May import: core.model, wire.
"""
