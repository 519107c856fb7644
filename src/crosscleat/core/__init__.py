"""Decisions without input or output: every module here is plain state and functions."""
