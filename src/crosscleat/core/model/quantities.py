"""Comparison of CPUs, GPUs and gigabytes, which are sums of decimal fractions."""

from __future__ import annotations

ROUNDING_TOLERANCE = 1e-9
"""A sum may exceed a limit by this much, since rounding errors can cause it."""
