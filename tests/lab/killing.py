"""Tasks of a sweep that kill their workers.

They are in a module of their own, since each worker imports the module of its task.
"""

from __future__ import annotations

import os
import signal
import time
from pathlib import Path

from lab.settings import Cell
from lab.sweep import play_cell


def kill_once(cell: Cell, folder: str) -> str:
    """Kill the worker at the first day of seed 2; fail always with policy p2c at load 0.6."""
    mark = Path(folder) / "killed"
    if cell.seed == 2 and not mark.exists():
        mark.write_text("")
        os.kill(os.getpid(), signal.SIGKILL)
    if cell.policy == "p2c" and cell.grid_values[0][1] == 0.6:
        raise RuntimeError("as the test wants")
    return play_cell(cell, folder)


def kill_always(cell: Cell, folder: str) -> str:
    """Kill the worker at each day of seed 2 with policy p2c."""
    if cell.seed == 2 and cell.policy == "p2c":
        os.kill(os.getpid(), signal.SIGKILL)
    return play_cell(cell, folder)


def kill_first(cell: Cell, folder: str) -> str:
    """Kill the worker at each day of seed 1, the first of the sweep."""
    if cell.seed == 1:
        os.kill(os.getpid(), signal.SIGKILL)
    return play_cell(cell, folder)


def kill_first_slowly(cell: Cell, folder: str) -> str:
    """Kill the worker at each day of seed 1 while other days are played."""
    if cell.seed == 1:
        time.sleep(0.2)
    return kill_first(cell, folder)


def kill_first_at_its_end(cell: Cell, folder: str) -> str:
    """Kill the worker at each day of seed 1 once its result is written."""
    name = play_cell(cell, folder)
    if cell.seed == 1:
        os.kill(os.getpid(), signal.SIGKILL)
    return name


def kill_three_of_four(cell: Cell, folder: str) -> str:
    """Kill the worker at all days but those of each fourth seed."""
    if cell.seed % 4:
        os.kill(os.getpid(), signal.SIGKILL)
    return play_cell(cell, folder)
