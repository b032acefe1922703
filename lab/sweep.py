"""Sweeps: many days, played on all cores.

Each finished day is a file that is written atomically, so that a sweep that was killed continues.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

import badgercart.policy
from lab import __version__
from lab.day_processes import DayProcesses, Task
from lab.model import simulate
from lab.peers import BADGERCART
from lab.settings import Cell

SUFFIX = ".json"


class SweepError(Exception):
    """Days of a sweep that failed, one a line, with their seeds."""


@cache
def policy_digest() -> str:
    """Return a digest of the source of badgercart's own policy, which changes with any edit."""
    files = sorted(Path(str(badgercart.policy.__file__)).parent.glob("*.py"))
    return hashlib.sha256(b"".join(path.read_bytes() for path in files)).hexdigest()


def result_file_name(cell: Cell) -> str:
    """Return a file name that changes with anything that the result of a day depends on."""
    day = cell.day.model_dump(mode="json", by_alias=True)
    day["experiment"] |= {"seeds": [], "policies": [], "name": ""}
    day["grid"] = {}
    parts = [__version__, cell.policy, cell.seed, day]
    if cell.policy == BADGERCART:
        parts.append(policy_digest())
    return hashlib.sha256(json.dumps(parts, sort_keys=True).encode()).hexdigest()[:24] + SUFFIX


def write_atomically(path: Path, text: str) -> None:
    """Write a file that exists either whole or not at all, even if the process is killed."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    with temporary.open("w") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)


def read_result(path: Path) -> dict[str, Any] | None:
    """Return the result of a finished day, or None if there is no file or it holds no result."""
    try:
        result = json.loads(path.read_text())
    except (OSError, ValueError):
        return None
    return result if isinstance(result, dict) and "share" in result else None


def play_cell(cell: Cell, folder: str) -> str:
    """Play a day and write its result; this runs in a process of its own."""
    result = simulate(cell)
    write_atomically(Path(folder) / result_file_name(cell), json.dumps(result))
    return cell.name


@dataclass(slots=True)
class Progress:
    """The progress of a sweep, in days."""

    done: int
    total: int
    # The day that was finished last.
    name: str


class Sweep:
    """Plays days in processes of their own, and keeps their results in a folder."""

    def __init__(
        self,
        folder: Path,
        total: int,
        progress: Callable[[Progress], None],
        task: Task,
    ) -> None:
        """Prepare a sweep of `total` days; `task` plays one of them in its process."""
        self.folder, self.total, self.progress = folder, total, progress
        self.processes = DayProcesses(task, str(folder), __name__)
        self.done = 0
        # Error messages by the names of days.
        self.failed: dict[str, str] = {}

    def missing(self, cells: Iterable[Cell]) -> list[Cell]:
        """Return the cells that have no result yet."""
        return [cell for cell in cells if read_result(self.folder / result_file_name(cell)) is None]

    def play(self, cells: list[Cell], workers: int) -> list[Cell]:
        """Play the cells, `workers` of them at a time; return those whose processes died."""
        died = []
        for outcome in self.processes.play(cells, workers):
            if outcome.error:
                self.failed[outcome.cell.name] = outcome.error
            elif outcome.died and self.missing([outcome.cell]):
                died.append(outcome.cell)
            else:
                self.done += 1
                self.progress(Progress(self.done, self.total, outcome.cell.name))
        return died

    def play_all(self, cells: list[Cell], workers: int) -> None:
        """Play all cells, then those whose processes died once more, one at a time."""
        # Beside others a process may have been killed for lack of memory.
        if died := self.play(cells, workers):
            for cell in self.play(died, 1):
                self.failed[cell.name] = "its process was killed"


def sweep(
    cells: Iterable[Cell],
    folder: Path,
    workers: int = 0,
    progress: Callable[[Progress], None] = lambda state: None,
    task: Task = play_cell,
) -> Iterator[tuple[Cell, dict[str, Any]]]:
    """Play all days that have no result yet, then yield every day with its result, in order.

    A day counts as failed if its process dies although it runs alone.

    Args:
        cells: the days.
        folder: where results are kept.
        workers: how many days are played at a time; 0: one for each core.
        progress: called after each finished day.
        task: plays a day in its process, and writes its result to the folder.

    Raises:
        SweepError: days failed; it is raised once all others are finished.
    """
    folder.mkdir(parents=True, exist_ok=True)
    all_cells = list(cells)
    playing = Sweep(folder, len(all_cells), progress, task)
    missing = playing.missing(all_cells)
    playing.done = len(all_cells) - len(missing)
    playing.play_all(missing, workers or os.cpu_count() or 1)
    if playing.failed:
        raise SweepError(
            "\n".join(f"{name}: {message}" for name, message in sorted(playing.failed.items()))
        )
    for cell in all_cells:
        result = read_result(folder / result_file_name(cell))
        assert result is not None
        yield cell, result
