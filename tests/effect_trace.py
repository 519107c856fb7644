"""Prints the controllers' effects on random days: `python -m tests.effect_trace SEED DAYS STEPS`.

Prints one line for each effect in order: calls, responses, messages to peers and log records,
without their continuations. `test_same_effects.py` compares the output of interpreters with
different hash seeds.
"""

from __future__ import annotations

import sys
from typing import Any
from unittest.mock import patch

import msgspec

from crosscleat.core.control.controller import Controller
from crosscleat.core.model.effects import Effect

from .drawn_days import run_days

original_step = Controller.step


def describe(value: Any) -> str:
    """The value as text that is the same in every interpreter: sets sorted, functions unnamed."""
    if isinstance(value, msgspec.Struct):
        fields = (getattr(value, name) for name in value.__struct_fields__)
        return f"{type(value).__name__}({', '.join(map(describe, fields))})"
    if isinstance(value, list | tuple):
        return f"[{', '.join(map(describe, value))}]"
    if isinstance(value, dict):
        items = (f"{describe(key)}: {describe(item)}" for key, item in value.items())
        return f"{{{', '.join(items)}}}"
    if isinstance(value, set | frozenset):
        return f"set of {sorted(map(describe, value))}"
    return "function" if callable(value) else repr(value)


def traced_step(controller: Controller, *arguments: Any) -> list[Effect]:
    """Execute a step of the controller and print its effects."""
    effects = original_step(controller, *arguments)
    for effect in effects:
        print(f"{controller.deployment.member}: {describe(effect)}")
    return effects


def main() -> int:
    """Run the days and print the effects of each step."""
    seed, days, steps = map(int, sys.argv[1:])
    with patch.object(Controller, "step", traced_step):
        failure = run_days(seed, days, steps)
    print("broken" if failure else "ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
