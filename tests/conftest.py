"""The same generated inputs in every run, and no judgement by how long they take.

The failures that `KNOWN-RED.txt` lists are passed over.
"""

import pytest
from hypothesis import settings

from . import known_red

pytest_plugins = ["pytester"]

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


def pytest_configure(config: pytest.Config) -> None:
    known_red.register(config)
