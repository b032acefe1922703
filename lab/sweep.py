"""Many days on all cores: each finished one is a file, whole or not there, so that a sweep goes on
after a kill."""

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
    """A sweep that could not be finished: which days failed, with their seeds."""


@cache
def policy_text() -> str:
    """What tells our policy from itself before a change."""
    files = sorted(Path(str(badgercart.policy.__file__)).parent.glob("*.py"))
    return hashlib.sha256(b"".join(path.read_bytes() for path in files)).hexdigest()


def name_of(cell: Cell) -> str:
    """A file name that changes with anything that the day depends on."""
    day = cell.day.model_dump(mode="json", by_alias=True)
    day["experiment"] |= {"seeds": [], "policies": [], "name": ""}
    day["grid"] = {}
    told = [__version__, cell.policy, cell.seed, day]
    if cell.policy == BADGERCART:
        told.append(policy_text())
    return hashlib.sha256(json.dumps(told, sort_keys=True).encode()).hexdigest()[:24] + SUFFIX


def write_whole(path: Path, text: str) -> None:
    """A file that is there whole or not at all, also if we are killed."""
    fresh = path.with_name(f".{path.name}.{os.getpid()}")
    with fresh.open("w") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)


def read(path: Path) -> dict[str, Any] | None:
    """A finished day; None where it is not there, or is not ours."""
    try:
        told = json.loads(path.read_text())
    except (OSError, ValueError):
        return None
    return told if isinstance(told, dict) and "share" in told else None


def _one(cell: Cell, folder: str) -> str:
    """In a worker: play a day and put it down."""
    result = simulate(cell)
    write_whole(Path(folder) / name_of(cell), json.dumps(result))
    return cell.name


@dataclass(slots=True)
class Progress:
    done: int
    total: int
    name: str  # of the day that was finished last


class Sweep:
    """Plays days into a folder, and keeps count."""

    def __init__(
        self,
        folder: Path,
        total: int,
        progress: Callable[[Progress], None],
        task: Callable[[Cell, str], str],
    ) -> None:
        self.folder, self.total, self.progress, self.task = folder, total, progress, task
        self.done = 0
        self.failed: dict[str, str] = {}  # by the day's name: what is wrong
        # Workers are forked from one process that has the model loaded: importing it takes 1.5 s.
        self.context = multiprocessing.get_context("forkserver")
        self.context.set_forkserver_preload([__name__])

    def missing(self, cells: Iterable[Cell]) -> list[Cell]:
        """Those that are neither there nor have failed."""
        left = [cell for cell in cells if cell.name not in self.failed]
        return [cell for cell in left if read(self.folder / name_of(cell)) is None]

    def submit(
        self, pool: concurrent.futures.ProcessPoolExecutor, cells: list[Cell]
    ) -> dict[concurrent.futures.Future[str], Cell]:
        """Submit the cells, as many as the pool takes: it takes no more once a worker has died."""
        submitted: dict[concurrent.futures.Future[str], Cell] = {}
        try:
            for cell in cells:
                submitted[pool.submit(self.task, cell, str(self.folder))] = cell
        except BrokenProcessPool:
            pass  # its futures tell of it, and the rest goes into the next pool
        return submitted

    def play(self, cells: list[Cell], workers: int) -> bool:
        """Return whether all workers lived; one that dies takes with it what was not done yet."""
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
        """On all workers for as long as that gets on, then each day that is left by itself."""
        left, idle = cells, 0  # rounds in which nothing was done
        while left and not self.play(left, workers):
            before, left = len(left), self.missing(left)
            idle = idle + 1 if len(left) == before else 0
            if idle > 1 or len(left) <= workers:
                break
            # what kills stands at the head now, and would again before the others are done
            left.reverse()
        for cell in self.missing(left):
            if not self.play([cell], 1):
                self.failed[cell.name] = "its process was killed"


def sweep(
    cells: Iterable[Cell],
    folder: Path,
    workers: int = 0,
    progress: Callable[[Progress], None] = lambda told: None,
    task: Callable[[Cell, str], str] = _one,
) -> Iterator[tuple[Cell, dict[str, Any]]]:
    """Play what is not there yet, then give every day with what came of it, in the order of the
    cells.

    A day counts as failed where its worker dies though it is alone. Raises SweepError at the end,
    once all others are done. `workers`: 0 for all cores."""
    folder.mkdir(parents=True, exist_ok=True)
    wanted = list(cells)
    playing = Sweep(folder, len(wanted), progress, task)
    missing = playing.missing(wanted)
    playing.done = len(wanted) - len(missing)
    playing.play_all(missing, workers or os.cpu_count() or 1)
    if playing.failed:
        raise SweepError(
            "\n".join(f"{name}: {words}" for name, words in sorted(playing.failed.items()))
        )
    for cell in wanted:
        result = read(folder / name_of(cell))
        assert result is not None
        yield cell, result
