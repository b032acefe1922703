"""Print the tables of docs/CAPACITY.md, update the page, or compare it with the runs.

`python -m benchmarks.capacity [--write | --check]`.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from benchmarks.capacity import laws, page

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity", description=__doc__)
    mode = parser.add_mutually_exclusive_group()
    mode.add_argument("--write", action="store_true", help="update the marked parts of the page")
    mode.add_argument("--check", action="store_true", help="fail if the page and the runs differ")
    parser.add_argument("--page", type=Path, default=PAGE, help="the page (docs/CAPACITY.md)")
    parser.add_argument(
        "--runs",
        type=Path,
        default=laws.RUNS_FOLDER,
        help="folder of the runs (benchmarks/scale/runs)",
    )
    options = parser.parse_args(arguments)
    try:
        tables = page.build_tables(laws.Runs.load(options.runs))
        if options.write:
            text = options.page.read_text()
            options.page.write_text(page.update_page(text, tables))
        elif options.check:
            if differing := page.differing_parts(options.page.read_text(), tables):
                print(
                    f"{options.page.name} differs from the runs in: {', '.join(differing)}",
                    file=sys.stderr,
                )
                print("python -m benchmarks.capacity --write updates it", file=sys.stderr)
                return 1
        else:
            print("\n\n".join(f"## {name}\n\n{text}" for name, text in tables.items()))
    except (LookupError, ValueError, OSError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
