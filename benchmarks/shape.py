"""Measure the code: sizes, complexity, missing doc comments, and deprecated words.

`python -m benchmarks.shape [FOLDER]` prints one table for a checkout. Complexity is one more than the
number of branches of a function, which is close to ruff's C901. A public item is a module, class,
function or method whose name has no leading underscore and that is not nested in a function.
"""

from __future__ import annotations

import ast
import re
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

PACKAGES = ("badgercart", "cottonhall", "lab", "standins", "benchmarks")
MAX_COMPLEXITY = 10
DEPRECATED_WORDS = re.compile(
    r"\b(cottonhall|forgo|hearsay|rumours?|vouching|roster|unwell|bury|buried|council|keeper|eyes|"
    r"carriers?|fronts|upkeep|retuned?|withdrawn|overdue|diverted|company|spilt|strikes|maybe_ran)\b",
    re.IGNORECASE,
)
BRANCH_NODES = (ast.If, ast.For, ast.AsyncFor, ast.While, ast.ExceptHandler, ast.match_case)

Function = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass(slots=True)
class Largest:
    """The largest item of a kind, and its name."""

    size: int = 0
    name: str = ""

    def offer(self, size: int, name: str) -> None:
        """Keep the item if it is larger than the one held."""
        if size > self.size:
            self.size, self.name = size, name


@dataclass(slots=True)
class CodeMetrics:
    """The measured values of one checkout."""

    files: int = 0
    lines: int = 0
    module: Largest = field(default_factory=Largest)
    class_lines: Largest = field(default_factory=Largest)
    class_methods: Largest = field(default_factory=Largest)
    class_attributes: Largest = field(default_factory=Largest)
    function: Largest = field(default_factory=Largest)
    complex_functions: int = 0
    undocumented: int = 0
    public: int = 0
    files_with_deprecated_words: int = 0


def complexity(function: Function) -> int:
    """Return one more than the number of branches of a function, including nested functions."""
    return 1 + sum(isinstance(node, BRANCH_NODES) for node in ast.walk(function))


def attribute_count(owner: ast.ClassDef) -> int:
    """Return the number of attributes that a class sets on `self` or declares in its body."""
    names = {
        node.attr
        for node in ast.walk(owner)
        if isinstance(node, ast.Attribute) and _is_set_on_self(node)
    }
    names |= {
        node.target.id
        for node in owner.body
        if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name)
    }
    return len(names)


def _is_set_on_self(node: ast.Attribute) -> bool:
    return (
        isinstance(node.ctx, ast.Store)
        and isinstance(node.value, ast.Name)
        and node.value.id == "self"
    )


def public_items(tree: ast.Module) -> Iterator[ast.Module | ast.ClassDef | Function]:
    """Yield the module, its public classes and functions, and their public methods."""
    yield tree
    for node in tree.body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            if node.name.startswith("_"):
                continue
            yield node
            if isinstance(node, ast.ClassDef):
                yield from (
                    item
                    for item in node.body
                    if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef)
                    and not item.name.startswith("_")
                )


def add_file(metrics: CodeMetrics, path: str, text: str) -> None:
    """Add the values of one file."""
    tree, lines = ast.parse(text), text.count("\n")
    metrics.files += 1
    metrics.lines += lines
    metrics.module.offer(lines, path)
    metrics.files_with_deprecated_words += bool(DEPRECATED_WORDS.search(text))
    for item in public_items(tree):
        metrics.public += 1
        metrics.undocumented += ast.get_docstring(item) is None
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            name = f"{path}:{node.name}"
            methods = sum(
                isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef) for item in node.body
            )
            metrics.class_lines.offer((node.end_lineno or 0) - node.lineno + 1, name)
            metrics.class_methods.offer(methods, name)
            metrics.class_attributes.offer(attribute_count(node), name)
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            metrics.function.offer((node.end_lineno or 0) - node.lineno + 1, f"{path}:{node.name}")
            metrics.complex_functions += complexity(node) > MAX_COMPLEXITY


def measure(root: Path) -> CodeMetrics:
    """Measure the files of the packages that git tracks."""
    listed = subprocess.run(
        ["git", "ls-files", *PACKAGES], cwd=root, capture_output=True, text=True, check=True
    )
    metrics = CodeMetrics()
    for name in listed.stdout.split():
        if name.endswith(".py"):
            add_file(metrics, name, (root / name).read_text())
    return metrics


def rows(metrics: CodeMetrics) -> Iterator[tuple[str, str]]:
    """Yield the rows of the table."""
    yield "files, lines", f"{metrics.files}, {metrics.lines}"
    yield "largest module, lines", f"{metrics.module.size} ({metrics.module.name})"
    yield "largest class, lines", f"{metrics.class_lines.size} ({metrics.class_lines.name})"
    yield "most methods", f"{metrics.class_methods.size} ({metrics.class_methods.name})"
    yield "most attributes", f"{metrics.class_attributes.size} ({metrics.class_attributes.name})"
    yield "longest function, lines", f"{metrics.function.size} ({metrics.function.name})"
    yield f"functions over complexity {MAX_COMPLEXITY}", str(metrics.complex_functions)
    yield "public items without doc comment", f"{metrics.undocumented} of {metrics.public}"
    yield "files with a withdrawn word", str(metrics.files_with_deprecated_words)


def main() -> int:
    """Print the table of the given checkout, or of the working directory."""
    root = Path(sys.argv[1] if len(sys.argv) > 1 else ".")
    for name, value in rows(measure(root)):
        print(f"| {name} | {value} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
