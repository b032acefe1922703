"""How costs grow, in doublings up to the target: a table, a chart, and JSON that is kept.

`python -m benchmarks.scale [--only policy,lists] [--most N] [--out benchmarks/scale/runs]`. Sizes
to the target take some minutes for each subject; `--most` caps them. A subject whose module is
missing is said so.
"""

from __future__ import annotations

import argparse
import importlib
import importlib.util
import sys
from pathlib import Path

from benchmarks.scale import SUBJECTS, report


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__)
    parser.add_argument(
        "--only", default=",".join(SUBJECTS), help="subjects, with commas between (all)"
    )
    parser.add_argument("--most", type=int, help="the largest size of anything (the target)")
    parser.add_argument(
        "--out", type=Path, default=Path(__file__).parent / "runs", help="folder of the JSON"
    )
    parser.add_argument(
        "--name", help="name of the file instead of the subject's, for a state before a change"
    )
    chosen = parser.parse_args(arguments)
    subjects = chosen.only.split(",")
    if unknown := [name for name in subjects if name not in SUBJECTS]:
        parser.error(f"no subject: {', '.join(unknown)}; there are {', '.join(SUBJECTS)}")
    if chosen.name and len(subjects) > 1:
        parser.error("--name takes one subject with --only")
    if chosen.most is not None and chosen.most < 1:
        parser.error("--most must be 1 or more")
    missing = 0
    for subject in subjects:
        if importlib.util.find_spec(f"benchmarks.scale.{subject}") is None:
            print(f"{subject}: not run, its module is missing", file=sys.stderr)
            missing += 1
            continue
        module = importlib.import_module(f"benchmarks.scale.{subject}")
        command = f"python -m benchmarks.scale --only {subject}"
        command += f" --most {chosen.most}" if chosen.most is not None else ""
        command += f" --name {chosen.name}" if chosen.name else ""
        run = report.run_of(subject, command, module.measure(chosen.most))
        path = report.write(run, chosen.out, chosen.name)
        print(f"## {subject}, {run.revision}\n\n{report.table(run)}\n", flush=True)
        if not report.chart(run, path.with_suffix(".png")):
            print("no chart: matplotlib is missing", file=sys.stderr)
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
