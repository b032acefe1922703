"""Measure how costs grow, in doublings up to the target, and store JSON, a table and a chart.

`python -m benchmarks.scale [--only policy,lists] [--most N] [--out benchmarks/scale/runs]`. A
subject takes some minutes up to the target; `--most` caps the sizes. A subject without a module is
reported.
"""

from __future__ import annotations

import argparse
import importlib
import importlib.util
import sys
from pathlib import Path

from benchmarks.scale import SUBJECTS, report


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__)
    parser.add_argument(
        "--only", default=",".join(SUBJECTS), help="subjects, separated by commas (default: all)"
    )
    parser.add_argument(
        "--most", type=int, help="the largest size of any variable (default: the target)"
    )
    parser.add_argument(
        "--out", type=Path, default=Path(__file__).parent / "runs", help="folder of the JSON files"
    )
    parser.add_argument(
        "--name", help="file name instead of the subject's, to keep a run from before a change"
    )
    options = parser.parse_args(arguments)
    subjects = options.only.split(",")
    if unknown := [name for name in subjects if name not in SUBJECTS]:
        parser.error(f"unknown subjects: {', '.join(unknown)}; known are {', '.join(SUBJECTS)}")
    if options.name and len(subjects) > 1:
        parser.error("--name needs exactly one subject with --only")
    if options.most is not None and options.most < 1:
        parser.error("--most must be at least 1")
    missing = 0
    for subject in subjects:
        if importlib.util.find_spec(f"benchmarks.scale.{subject}") is None:
            print(f"{subject}: not run, its module does not exist", file=sys.stderr)
            missing += 1
            continue
        module = importlib.import_module(f"benchmarks.scale.{subject}")
        command = f"python -m benchmarks.scale --only {subject}"
        command += f" --most {options.most}" if options.most is not None else ""
        command += f" --name {options.name}" if options.name else ""
        run = report.new_run(subject, command, module.measure(options.most))
        path = report.write(run, options.out, options.name)
        print(f"## {subject}, {run.revision}\n\n{report.table(run)}\n", flush=True)
        if not report.draw_chart(run, path.with_suffix(".png")):
            print("no chart: matplotlib is not installed", file=sys.stderr)
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
