"""Measure the shape of the code: sizes, complexity, doc comments, and words that were withdrawn.

`python -m benchmarks.shape [FOLDER]` prints one table for a checkout. Complexity is one more than a
function's branches, about what ruff's C901 counts; a public item is a module, class, function or method
whose name begins with no underscore and that stands in no function.
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
WITHDRAWN = re.compile(
    r"\b(cottonhall|forgo|hearsay|rumours?|vouching|roster|unwell|bury|buried|council|keeper|eyes|"
    r"carriers?|fronts|upkeep|retuned?|withdrawn|overdue|diverted|company|spilt|strikes|maybe_ran)\b",
    re.IGNORECASE,
)
BRANCHES = (ast.If, ast.For, ast.AsyncFor, ast.While, ast.ExceptHandler, ast.match_case)

Function = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass(slots=True)
class Largest:
    """The largest of a kind, and its name."""

    size: int = 0
    name: str = ""

    def offer(self, size: int, name: str) -> None:
        """Keep the larger one."""
        if size > self.size:
            self.size, self.name = size, name


@dataclass(slots=True)
class Shape:
    """The figures of one checkout."""

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
    files_with_withdrawn_words: int = 0


def complexity(function: Function) -> int:
    """Return one more than the function's branches, those of nested functions included."""
    return 1 + sum(isinstance(node, BRANCHES) for node in ast.walk(function))


def attributes(owner: ast.ClassDef) -> int:
    """Return how many names its methods set on `self`, and its body declares."""
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
    """Give the module, its public classes and functions, and their public methods."""
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


def add(shape: Shape, path: str, text: str) -> None:
    """Add one file's figures."""
    tree, lines = ast.parse(text), text.count("\n")
    shape.files += 1
    shape.lines += lines
    shape.module.offer(lines, path)
    shape.files_with_withdrawn_words += bool(WITHDRAWN.search(text))
    for item in public_items(tree):
        shape.public += 1
        shape.undocumented += ast.get_docstring(item) is None
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            name = f"{path}:{node.name}"
            methods = sum(
                isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef) for item in node.body
            )
            shape.class_lines.offer((node.end_lineno or 0) - node.lineno + 1, name)
            shape.class_methods.offer(methods, name)
            shape.class_attributes.offer(attributes(node), name)
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            shape.function.offer((node.end_lineno or 0) - node.lineno + 1, f"{path}:{node.name}")
            shape.complex_functions += complexity(node) > MAX_COMPLEXITY


def measure(root: Path) -> Shape:
    """Measure the files that git has of the program's packages."""
    listed = subprocess.run(
        ["git", "ls-files", *PACKAGES], cwd=root, capture_output=True, text=True, check=True
    )
    shape = Shape()
    for name in listed.stdout.split():
        if name.endswith(".py"):
            add(shape, name, (root / name).read_text())
    return shape


def rows(shape: Shape) -> Iterator[tuple[str, str]]:
    """Give the table's rows."""
    yield "files, lines", f"{shape.files}, {shape.lines}"
    yield "largest module, lines", f"{shape.module.size} ({shape.module.name})"
    yield "largest class, lines", f"{shape.class_lines.size} ({shape.class_lines.name})"
    yield "most methods", f"{shape.class_methods.size} ({shape.class_methods.name})"
    yield "most attributes", f"{shape.class_attributes.size} ({shape.class_attributes.name})"
    yield "longest function, lines", f"{shape.function.size} ({shape.function.name})"
    yield f"functions over complexity {MAX_COMPLEXITY}", str(shape.complex_functions)
    yield "public items without doc comment", f"{shape.undocumented} of {shape.public}"
    yield "files with a withdrawn word", str(shape.files_with_withdrawn_words)


def main() -> int:
    """Print the table of the checkout that is named, or of this one."""
    root = Path(sys.argv[1] if len(sys.argv) > 1 else ".")
    for name, value in rows(measure(root)):
        print(f"| {name} | {value} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
