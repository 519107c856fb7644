"""Sockets, timers and other processes round the core."""
