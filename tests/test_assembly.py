"""A leader is built in one place, from parts that are complete once their constructors return.

The tests fail if a part gets an attribute after its construction, or a function that may call a
part which is built later.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import crosscleat

CORE = Path(crosscleat.__file__).parent / "core"
ASSEMBLY = CORE / "control" / "assembly.py"


def part_modules() -> list[Path]:
    """The modules of the parts that `build_leader` builds."""
    imports = [
        node
        for node in ast.walk(ast.parse(ASSEMBLY.read_text()))
        if isinstance(node, ast.ImportFrom)
    ]
    control = [CORE / "control" / f"{node.module}.py" for node in imports if node.level == 1]
    others = [
        CORE / f"{node.module.replace('.', '/')}.py"
        for node in imports
        if node.level == 2 and node.module is not None and node.module.startswith("capacity.")
    ]
    return control + others


def constructors(path: Path) -> Iterator[ast.FunctionDef]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.FunctionDef) and node.name == "__init__":
            yield node


def test_nothing_is_set_on_a_part_after_its_construction() -> None:
    assigned = [
        target
        for node in ast.walk(ast.parse(ASSEMBLY.read_text()))
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Attribute)
    ]

    others = [ast.unparse(target) for target in assigned if ast.unparse(target.value) != "self"]

    assert others == []


def test_no_part_gets_a_lambda_that_calls_a_later_part() -> None:
    lambdas = [
        node for node in ast.walk(ast.parse(ASSEMBLY.read_text())) if isinstance(node, ast.Lambda)
    ]

    assert lambdas == []


@pytest.mark.parametrize("path", part_modules(), ids=lambda path: path.stem)
def test_parts_get_typed_interfaces_rather_than_functions(path: Path) -> None:
    functions = [
        ast.unparse(argument)
        for constructor in constructors(path)
        for argument in constructor.args.args
        if argument.annotation is not None and "Callable" in ast.unparse(argument.annotation)
    ]

    assert functions == []
