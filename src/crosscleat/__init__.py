"""crosscleat: a cluster scheduler whose controllers keep their state in a small store."""

__version__ = "0.1.0"
