"""Tasks of a sweep that kill their workers. Apart from the tests, as each worker loads its task's
module."""

from __future__ import annotations

import os
import signal
from pathlib import Path

from lab.settings import Cell
from lab.sweep import _one


def kill_once(cell: Cell, folder: str) -> str:
    """A worker that dies at its first day of seed 2, and fails for good with policy p2c at load
    0.6."""
    mark = Path(folder) / "killed"
    if cell.seed == 2 and not mark.exists():
        mark.write_text("")
        os.kill(os.getpid(), signal.SIGKILL)
    if cell.policy == "p2c" and cell.grid_values[0][1] == 0.6:
        raise RuntimeError("as the test wants")
    return _one(cell, folder)


def kill_always(cell: Cell, folder: str) -> str:
    if cell.seed == 2 and cell.policy == "p2c":
        os.kill(os.getpid(), signal.SIGKILL)
    return _one(cell, folder)


def kill_first(cell: Cell, folder: str) -> str:
    """A worker that dies at the first day of the sweep, whenever that is."""
    if cell.seed == 1:
        os.kill(os.getpid(), signal.SIGKILL)
    return _one(cell, folder)
