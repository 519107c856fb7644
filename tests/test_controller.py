"""Every type of input must have a handler, as the controller looks handlers up in a table.

An input type that is added without a handler would fail with a `KeyError` at run time.
"""

from __future__ import annotations

from random import Random
from typing import Any, get_args

import pytest

from crosscleat.core.control.controller import Controller
from crosscleat.core.model.inputs import Input

from .world import deployment


@pytest.mark.parametrize("input_type", get_args(Input))
def test_every_input_has_a_handler(input_type: type[Any]) -> None:
    controller = Controller(deployment("c0"), "boot", Random(1))

    assert input_type in controller._handlers
