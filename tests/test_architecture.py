"""Checks that packages import only packages of lower layers, as docs/architecture.md specifies."""

from __future__ import annotations

import ast
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "puffintide"
# Layers from the bottom up. Modules directly in puffintide/ are not listed: they import no package above
# protocol.
LAYERS = [
    ["decisions", "tls"],
    ["config", "protocol"],
    ["replication", "zones"],
    ["assigner", "proxy", "store"],
    ["platform"],
    ["audit", "emulators"],
    ["scenarios"],
    ["cli"],
]
LAYER_BY_PACKAGE = {package: height for height, layer in enumerate(LAYERS) for package in layer}


def imported_modules(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ""


def imported_packages(path: Path) -> set[str]:
    modules = [name.split(".") for name in imported_modules(path)]
    return {name[1] for name in modules if name[0] == "puffintide" and len(name) > 1}


def test_every_package_has_a_layer() -> None:
    packages = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert packages - {"bench_adapter"} == LAYER_BY_PACKAGE.keys()


@pytest.mark.parametrize("package", sorted(LAYER_BY_PACKAGE))
def test_package_imports_lower_layers_only(package: str) -> None:
    for path in (PACKAGE / package).rglob("*.py"):
        internal_imports = (imported_packages(path) & LAYER_BY_PACKAGE.keys()) - {package}
        upward_imports = {
            other for other in internal_imports if LAYER_BY_PACKAGE[other] >= LAYER_BY_PACKAGE[package]
        }
        assert not upward_imports, f"{path} imports {upward_imports}"


@pytest.mark.parametrize("package", ["decisions", "bench_adapter"])
def test_decisions_and_bench_adapter_import_standard_library_only(package: str) -> None:
    for path in (PACKAGE / package).rglob("*.py"):
        assert imported_packages(path) <= {"decisions", "bench_adapter"}, path
        roots = {name.split(".")[0] for name in imported_modules(path)} - {"puffintide"}
        assert roots <= sys.stdlib_module_names, path
