"""Configures Hypothesis to generate the same inputs in every run, without a time limit for each.

The failures that `KNOWN-RED.txt` lists do not fail the run.
"""

import pytest
from hypothesis import settings

from . import known_red

pytest_plugins = ["pytester"]

settings.register_profile("deterministic", derandomize=True, deadline=None)
settings.load_profile("deterministic")


def pytest_configure(config: pytest.Config) -> None:
    known_red.register(config)
