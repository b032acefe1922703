"""Each package imports only from the layers below it, as in docs/ARCHITECTURE.md."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

# The packages of the program that each package may import. The policy imports none.
ALLOWED_IMPORTS: dict[str, set[str]] = {
    "policy": set(),
    "simulator": {"policy"},
    "core": {"config", "policy"},
    "config": {"core", "policy", "reload", "simulator"},
    "reload": {"config", "policy"},
    "upstream": {"config", "core", "policy"},
    "discovery": {"app", "config", "core", "policy"},
    "ejection": {"core", "policy"},
    "admin": {"config", "core", "ejection"},
    "hot_restart": {"config", "core", "policy"},
    "statistics": {"app", "config", "core", "policy"},
    "metrics": {"app", "core", "frontends.http", "policy"},
    "cluster": {"app", "config", "core", "frontends.http", "policy"},
    "zones": {"app", "cluster", "config", "core", "frontends.http", "policy"},
    "distribution": {"app", "config", "core", "discovery", "frontends.http", "policy"},
    "capture": {"app", "core", "discovery", "frontends.processor", "policy"},
    "frontends.http": {"app", "config", "core", "upstream"},
    "frontends.processor": {"app", "config", "core", "policy"},
    "frontends.graphql": {"app", "config", "core", "frontends.http", "policy", "upstream"},
    "app": {"config", "core", "discovery", "frontends.http", "policy"},
    "node": {
        "admin",
        "config",
        "core",
        "discovery",
        "ejection",
        "frontends.http",
        "hot_restart",
        "policy",
        "reload",
    },
    "__main__": {"app", "config", "core", "node"},
}


def package_of(module: str) -> str:
    """Return the package of the program that a module belongs to."""
    parts = module.split(".")[1:]
    return ".".join(parts[:2]) if parts[:1] == ["frontends"] else ".".join(parts[:1])


def imported_modules(path: Path) -> Iterator[str]:
    """Yield the modules of the program that a file imports, at any depth of its code."""
    for node in ast.walk(ast.parse(path.read_text())):
        names = [node.module or ""] if isinstance(node, ast.ImportFrom) else []
        names += [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
        yield from (name for name in names if name.startswith("badgercart."))


def test_each_package_imports_only_allowed_packages() -> None:
    """Check the imports of each module of the program against `ALLOWED_IMPORTS`."""
    found: dict[str, set[str]] = {}
    for path in (ROOT / "badgercart").rglob("*.py"):
        module = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        package = package_of(module.removesuffix(".__init__"))
        found.setdefault(package, set()).update(map(package_of, imported_modules(path)))
    for package, packages in found.items():
        forbidden = packages - {package} - ALLOWED_IMPORTS.get(package, set())
        assert not forbidden, f"{package} may not import {sorted(forbidden)}"


@pytest.mark.parametrize("package", ["policy", "simulator", "core", "upstream"])
def test_lower_packages_may_import_no_component(package: str) -> None:
    """Check that no lower package may import the HTTP frontend, discovery, `app` or `node`."""
    assert not ALLOWED_IMPORTS[package] & {"app", "node", "frontends.http", "discovery"}
