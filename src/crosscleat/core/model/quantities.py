"""Comparison of CPUs, GPUs and gigabytes, which are sums of decimal fractions."""

from __future__ import annotations

ROUNDING = 1e-9
"""By how much a sum may exceed a limit through rounding alone."""
