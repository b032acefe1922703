"""Sweeps: many days, played on all cores.

Each finished day is a file that is written atomically, so that a sweep that was killed continues.
"""

from __future__ import annotations

import concurrent.futures
import hashlib
import json
import multiprocessing
import os
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

import badgercart.policy
from lab import __version__
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
    """Play a day and write its result; this runs in a worker."""
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
    """Plays days in worker processes, and keeps their results in a folder."""

    def __init__(
        self,
        folder: Path,
        total: int,
        progress: Callable[[Progress], None],
        task: Callable[[Cell, str], str],
    ) -> None:
        """Prepare a sweep of `total` days; `task` plays one of them in a worker."""
        self.folder, self.total, self.progress, self.task = folder, total, progress, task
        self.done = 0
        # Error messages by the names of days.
        self.failed: dict[str, str] = {}
        # Workers are forked from one process that has the model loaded: importing it takes 1.5 s.
        self.context = multiprocessing.get_context("forkserver")
        self.context.set_forkserver_preload([__name__])

    def missing(self, cells: Iterable[Cell]) -> list[Cell]:
        """Return the cells that have neither a result nor failed."""
        left = [cell for cell in cells if cell.name not in self.failed]
        return [cell for cell in left if read_result(self.folder / result_file_name(cell)) is None]

    def submit(
        self, pool: concurrent.futures.ProcessPoolExecutor, cells: list[Cell]
    ) -> dict[concurrent.futures.Future[str], Cell]:
        """Submit the cells; a pool accepts no more of them once a worker has died."""
        submitted: dict[concurrent.futures.Future[str], Cell] = {}
        try:
            for cell in cells:
                submitted[pool.submit(self.task, cell, str(self.folder))] = cell
        except BrokenProcessPool:
            # The futures report the failure, and the other cells go to the next pool.
            pass
        return submitted

    def play(self, cells: list[Cell], workers: int) -> bool:
        """Play the cells in one pool of workers, and return whether all workers survived.

        A worker that dies breaks its pool: cells that were not finished have no result then.
        """
        with concurrent.futures.ProcessPoolExecutor(min(workers, len(cells)), self.context) as pool:
            running = self.submit(pool, cells)
            lived = len(running) == len(cells)
            not_done = set(running)
            while not_done:
                done, not_done = concurrent.futures.wait(
                    not_done, return_when=concurrent.futures.FIRST_COMPLETED
                )
                outcomes = [self.record(running[future], future) for future in done]
                if not all(outcomes):
                    # Python 3.11 may lose a task that is submitted while its pool handles a dead
                    # worker: that future never ends. No other one ends with a result from now on.
                    return False
        return lived

    def record(self, cell: Cell, future: concurrent.futures.Future[str]) -> bool:
        """Record how a day ended; return False if a worker died before it was done."""
        try:
            future.result()
        except BrokenProcessPool:
            return False
        except Exception as error:
            self.failed[cell.name] = f"{type(error).__name__}: {error}"
        else:
            self.done += 1
            self.progress(Progress(self.done, self.total, cell.name))
        return True

    def play_all(self, cells: list[Cell], workers: int) -> None:
        """Play on all workers while that makes progress, then each remaining day in its own pool."""
        # `idle` counts consecutive rounds that finished no day.
        left, idle = cells, 0
        while left and not self.play(left, workers):
            before, left = len(left), self.missing(left)
            idle = idle + 1 if len(left) == before else 0
            if idle > 1 or len(left) <= workers:
                break
            # The day that killed its worker is near the head of the list now. In the same order it
            # would kill the next pool too, before the others are finished.
            left.reverse()
        for cell in self.missing(left):
            if not self.play([cell], 1):
                self.failed[cell.name] = "its process was killed"


def sweep(
    cells: Iterable[Cell],
    folder: Path,
    workers: int = 0,
    progress: Callable[[Progress], None] = lambda state: None,
    task: Callable[[Cell, str], str] = play_cell,
) -> Iterator[tuple[Cell, dict[str, Any]]]:
    """Play all days that have no result yet, then yield every day with its result, in order.

    A day counts as failed if its worker dies although it runs alone.

    Args:
        cells: the days.
        folder: where results are kept.
        workers: number of worker processes; 0: one for each core.
        progress: called after each finished day.
        task: plays a day in a worker, and writes its result to the folder.

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
