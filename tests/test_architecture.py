"""The packages of the core are layers, and each imports only the layers below it.

Guards against an import that makes a lower layer depend on a higher one, or the core depend on the
code around it. The linter and the type checker don't report such imports.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

import crosscleat

ROOT = Path(crosscleat.__file__).parent
LAYERS = ("model", "state", "election", "scheduling", "capacity", "control")
"""The packages of the core; each may import itself and those before it."""


def imported_modules(path: Path) -> Iterator[tuple[str, ...]]:
    """Yield the modules that a file imports from crosscleat, each as its path in the package."""
    package = path.relative_to(ROOT).parent.parts
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name.startswith("crosscleat."):
                    yield tuple(alias.name.split(".")[1:])
        if not isinstance(node, ast.ImportFrom):
            continue
        module = tuple((node.module or "").split(".")) if node.module else ()
        if node.level:
            base = (*package[: len(package) - node.level + 1], *module)
        elif module[:1] == ("crosscleat",):
            base = module[1:]
        else:
            continue
        for alias in node.names:
            yield (*base, alias.name)


def files_below(*parts: str) -> list[Path]:
    return sorted(ROOT.joinpath(*parts).rglob("*.py"))


def core_packages(path: Path) -> set[str]:
    """Return the packages of the core that the file imports."""
    return {parts[1] for parts in imported_modules(path) if parts[:1] == ("core",)}


@pytest.mark.parametrize("layer", LAYERS)
def test_a_package_of_the_core_imports_only_itself_and_the_layers_below(layer: str) -> None:
    allowed = set(LAYERS[: LAYERS.index(layer) + 1])

    imports = {path.name: core_packages(path) - allowed for path in files_below("core", layer)}

    assert {name: forbidden for name, forbidden in imports.items() if forbidden} == {}


@pytest.mark.parametrize("layer", LAYERS)
def test_the_docstring_of_a_core_package_says_what_it_owns_and_may_import(layer: str) -> None:
    doc = ast.get_docstring(ast.parse((ROOT / "core" / layer / "__init__.py").read_text()))

    assert doc is not None
    assert "Owns " in doc
    assert "May import: " in doc


def test_the_core_has_only_packages() -> None:
    entries = {path.name for path in (ROOT / "core").iterdir() if path.name != "__pycache__"}

    assert entries == {"__init__.py", *LAYERS}


def test_the_core_imports_only_the_core() -> None:
    outside = {
        path.name: parts
        for path in files_below("core")
        for parts in imported_modules(path)
        if parts[0] != "core"
    }

    assert outside == {}


def test_wire_formats_import_only_the_model() -> None:
    imports = {
        path.name: [parts for parts in imported_modules(path) if parts[:2] != ("core", "model")]
        for path in files_below("wire")
    }

    assert {name: forbidden for name, forbidden in imports.items() if forbidden} == {}


def test_the_modules_that_the_architecture_page_names_exist() -> None:
    text = (ROOT.parent.parent / "docs" / "architecture.md").read_text()
    modules = [f"/{path.relative_to(ROOT)}" for path in ROOT.rglob("*.py")] + ["/run.py"]
    packages = [f"/{path.parent.relative_to(ROOT)}" for path in ROOT.rglob("__init__.py")]

    named = set(re.findall(r"[a-z_/]*[a-z_]+\.py\b", text)) - {"tests/test_architecture.py"}
    folders = {
        name.rstrip("/")
        for name in re.findall(r"`((?:core/|wire|adapters|runtime)[a-z_/]*)`", text)
    }

    assert named
    assert {name for name in named if not any(m.endswith(f"/{name}") for m in modules)} == set()
    assert {name for name in folders if not any(p.endswith(f"/{name}") for p in packages)} == set()


@pytest.mark.parametrize(
    ("package", "allowed"),
    [
        ("adapters", {"adapters", "core", "wire"}),
        ("runtime", {"runtime", "adapters", "core", "wire", "settings"}),
    ],
)
def test_the_packages_around_the_core_import_only_what_is_allowed(
    package: str, allowed: set[str]
) -> None:
    imports = {
        path.name: {parts[0] for parts in imported_modules(path)} - allowed
        for path in files_below(package)
    }

    assert {name: forbidden for name, forbidden in imports.items() if forbidden} == {}


def test_adapters_import_only_the_model_of_the_core() -> None:
    packages = {path.name: core_packages(path) - {"model"} for path in files_below("adapters")}

    assert {name: forbidden for name, forbidden in packages.items() if forbidden} == {}
