"""The modules that the policy may import, and the list of its files in the deploy file."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
FILES = sorted((ROOT / "badgercart" / "policy").glob("*.py"))
ALLOWED = {
    "__future__",
    "bisect",
    "collections",
    "dataclasses",
    "enum",
    "functools",
    "random",
    "typing",
}
# Modules without decisions: events, actions, settings, and what is kept over a restart.
INTERFACE = {"__init__", "actions", "endpoint", "errors", "events", "settings", "statistics"}


def imported_modules(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0 and node.module
            yield node.module


@pytest.mark.parametrize("path", FILES, ids=[path.stem for path in FILES])
def test_the_policy_imports_nothing_else_of_the_program_and_does_no_io(path: Path) -> None:
    for name in imported_modules(path):
        assert name.partition(".")[0] in ALLOWED or name.startswith("badgercart.policy")
    assert not any(
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Name)
        and node.func.id in ("open", "print")
        for node in ast.walk(ast.parse(path.read_text()))
    )


def test_every_file_with_decisions_is_listed_in_the_deploy_file() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    deciding = {f"badgercart/policy/{path.name}" for path in FILES if path.stem not in INTERFACE}
    assert set(deploy["policy"]) == deciding and len(deciding) > 20
