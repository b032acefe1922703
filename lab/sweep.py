"""Many days on all cores: each finished one is a file, whole or not there, so that a sweep goes on after a
kill."""

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

import cottonhall.fleet
import cottonhall.rules
from lab import __version__
from lab.model import play
from lab.peers import OURS
from lab.settings import Cell

SUFFIX = ".json"


class SweepError(Exception):
    """A sweep that could not be finished: which days failed, with their seeds."""


@cache
def policy_text() -> str:
    """What tells our policy from itself before a change."""
    files = [Path(str(module.__file__)) for module in (cottonhall.rules, cottonhall.fleet)]
    return hashlib.sha256(b"".join(path.read_bytes() for path in files)).hexdigest()


def name_of(cell: Cell) -> str:
    """A file name that changes with anything that the day depends on."""
    day = cell.day.model_dump(mode="json", by_alias=True)
    day["experiment"] |= {"seeds": [], "policies": [], "name": ""}
    day["grid"] = {}
    told = [__version__, cell.policy, cell.seed, day]
    if cell.policy == OURS:
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
    result = play(cell)
    write_whole(Path(folder) / name_of(cell), json.dumps(result))
    return cell.name


@dataclass(slots=True)
class Progress:
    done: int
    total: int
    name: str  # of the day that was finished last


def sweep(
    cells: Iterable[Cell],
    folder: Path,
    workers: int = 0,
    progress: Callable[[Progress], None] = lambda told: None,
    task: Callable[[Cell, str], str] = _one,
) -> Iterator[tuple[Cell, dict[str, Any]]]:
    """Play what is not there yet, then give every day with what came of it, in the order of the cells.

    A worker that dies takes its day with it: that one is played once more, by itself, before it counts as
    failed. Raises SweepError at the end, once all others are done."""
    folder.mkdir(parents=True, exist_ok=True)
    wanted = list(cells)
    missing = [cell for cell in wanted if read(folder / name_of(cell)) is None]
    done = len(wanted) - len(missing)
    failed: dict[str, str] = {}
    context = multiprocessing.get_context("spawn")
    count = workers or os.cpu_count() or 1
    for crowd in (count, 1):  # the second time alone: what killed its worker took others' days with it
        left = [cell for cell in missing if read(folder / name_of(cell)) is None and cell.name not in failed]
        while left:
            broken = False
            with concurrent.futures.ProcessPoolExecutor(min(crowd, len(left)), context) as pool:
                running = {pool.submit(task, cell, str(folder)): cell for cell in left}
                for future in concurrent.futures.as_completed(running):
                    cell = running[future]
                    try:
                        future.result()
                    except BrokenProcessPool:
                        broken = True
                    except Exception as error:
                        failed[cell.name] = f"{type(error).__name__}: {error}"
                    else:
                        done += 1
                        progress(Progress(done, len(wanted), cell.name))
            if not broken:
                break
            left = [c for c in left if read(folder / name_of(c)) is None and c.name not in failed]
            if crowd > 1:
                break
            failed[left[0].name] = "its process was killed"
            left = left[1:]
    if failed:
        raise SweepError("\n".join(f"{name}: {words}" for name, words in sorted(failed.items())))
    for cell in wanted:
        result = read(folder / name_of(cell))
        assert result is not None
        yield cell, result
