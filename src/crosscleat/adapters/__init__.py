"""Servers and clients for other processes; each translates messages and makes no decisions.

Owns connections, timeouts, retries, and this controller's share of the rate limits.
May import: core.model, wire.
"""
