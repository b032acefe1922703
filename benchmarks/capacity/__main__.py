"""Print the tables of docs/CAPACITY.md, renew it, or hold it against the runs.

`python -m benchmarks.capacity [--write | --check]`.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from benchmarks.capacity import laws, page

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity", description=__doc__)
    does = parser.add_mutually_exclusive_group()
    does.add_argument("--write", action="store_true", help="renew the marked parts of the page")
    does.add_argument("--check", action="store_true", help="fail where page and runs differ")
    parser.add_argument("--page", type=Path, default=PAGE, help="the page (docs/CAPACITY.md)")
    parser.add_argument(
        "--runs", type=Path, default=laws.RUNS, help="folder of the runs (benchmarks/scale/runs)"
    )
    chosen = parser.parse_args(arguments)
    try:
        worked_out = page.tables(laws.Runs.kept(chosen.runs))
        if chosen.write:
            text = chosen.page.read_text()
            chosen.page.write_text(page.renewed(text, worked_out))
        elif chosen.check:
            if differing := page.differing(chosen.page.read_text(), worked_out):
                print(
                    f"{chosen.page.name} differs from the runs in: {', '.join(differing)}",
                    file=sys.stderr,
                )
                print("python -m benchmarks.capacity --write renews it", file=sys.stderr)
                return 1
        else:
            print("\n\n".join(f"## {name}\n\n{text}" for name, text in worked_out.items()))
    except (LookupError, ValueError, OSError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
