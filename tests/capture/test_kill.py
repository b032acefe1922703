"""A writer killed in the middle of its writes leaves what it had written, whole up to the cut.

`BADGERCART_RUNS=200` kills it at 200 points."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from pathlib import Path

from badgercart.capture.format import SegmentEnding
from badgercart.capture.replay import find_segments, replay_all

# The process kills itself after so many bytes, in the middle of a write.
CODE = """
import os, signal, sys
from pathlib import Path
from badgercart.capture import writer
from tests.capture.support import captured
left = int(sys.argv[2])
plain = Path.open
class Killing:
    def __init__(self, file):
        self.file, self.close = file, file.close
    def write(self, data):
        global left
        self.file.write(data[:left])
        left -= len(data)
        if left <= 0:
            os.kill(os.getpid(), signal.SIGKILL)
Path.open = lambda self, mode="r", *args, **more: (
    Killing(plain(self, mode, *args, **more)) if mode == "ab" else plain(self, mode, *args, **more))
writer.CHUNK_BYTES = 512
captured(Path(sys.argv[1]), 1, 800, segment_bytes=1 << 13)
"""


def test_sigkill_in_the_middle_of_any_write_leaves_a_capture_that_replays(tmp_path: Path) -> None:
    rng, torn = random.Random(7), 0
    for point in range(int(os.environ.get("BADGERCART_RUNS", "8"))):
        folder = tmp_path / str(point)
        folder.mkdir()
        done = subprocess.run(
            [sys.executable, "-c", CODE, str(folder), str(rng.randrange(1, 60_000))],
            cwd=Path(__file__).parent.parent.parent, capture_output=True, text=True,
        )  # fmt: skip
        assert done.returncode == -9, done.stderr
        told = list(replay_all(find_segments([str(folder)])))
        cut = [part for part in told if part.ending is not SegmentEnding.WHOLE]
        assert all(part.identical or "cut off" in part.faults[0] for part in told), (point, told)
        assert len(cut) <= 1 and (not cut or cut[0] is told[-1])
        torn += len(cut)
    assert torn
