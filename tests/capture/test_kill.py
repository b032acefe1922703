"""A capture writer killed in the middle of a write leaves the complete records before it.

The environment variable `BADGERCART_RUNS=200` kills it at 200 points.
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
from pathlib import Path

from badgercart.capture.format import SegmentEnding
from badgercart.capture.replay import find_segments, replay_all

# The process kills itself in the middle of a write, after the number of bytes that it is given.
KILLED_PROCESS_CODE = """
import os, signal, sys
from pathlib import Path
from badgercart.capture import writer
from tests.capture.support import captured
remaining_bytes = int(sys.argv[2])
open_path = Path.open
class KillingFile:
    def __init__(self, file):
        self.file, self.close = file, file.close
    def write(self, data):
        global remaining_bytes
        self.file.write(data[:remaining_bytes])
        remaining_bytes -= len(data)
        if remaining_bytes <= 0:
            os.kill(os.getpid(), signal.SIGKILL)
Path.open = lambda self, mode="r", *args, **more: (
    KillingFile(open_path(self, mode, *args, **more)) if mode == "ab" else open_path(self, mode, *args, **more))
writer.CHUNK_BYTES = 512
captured(Path(sys.argv[1]), 1, 800, segment_bytes=1 << 13)
"""


def test_sigkill_during_any_write_leaves_a_capture_that_replays(tmp_path: Path) -> None:
    rng, torn_segments = random.Random(7), 0
    for point in range(int(os.environ.get("BADGERCART_RUNS", "8"))):
        folder = tmp_path / str(point)
        folder.mkdir()
        done = subprocess.run(
            [sys.executable, "-c", KILLED_PROCESS_CODE, str(folder), str(rng.randrange(1, 60_000))],
            cwd=Path(__file__).parent.parent.parent, capture_output=True, text=True,
        )  # fmt: skip
        assert done.returncode == -9, done.stderr
        reports = list(replay_all(find_segments([str(folder)])))
        torn = [report for report in reports if report.ending is not SegmentEnding.WHOLE]
        assert all(report.identical or "cut off" in report.faults[0] for report in reports), (
            point,
            reports,
        )
        assert len(torn) <= 1 and (not torn or torn[0] is reports[-1])
        torn_segments += len(torn)
    assert torn_segments
