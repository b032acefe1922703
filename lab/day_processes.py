"""Processes that each play one day of a sweep.

A process that dies takes nothing with it but its own day: no queue, lock or pipe is shared with
another one.
"""

from __future__ import annotations

import multiprocessing
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection, wait
from multiprocessing.context import ForkServerContext, ForkServerProcess

from lab.settings import Cell

# Plays a day, and writes its result to a folder.
Task = Callable[[Cell, str], object]


@dataclass(slots=True, frozen=True)
class DayOutcome:
    """How the process of a day ended.

    Attributes:
        cell: the day.
        error: the message of its exception; empty if there was none.
        died: whether the process ended before its day did, as one that was killed.
    """

    cell: Cell
    error: str = ""
    died: bool = False


@dataclass(slots=True, frozen=True)
class _RunningDay:
    """A day whose process has started; the process sends its error through `outcome`."""

    cell: Cell
    process: ForkServerProcess
    outcome: Connection

    def finish(self) -> DayOutcome:
        """Return how it ended, once there is something to read from `outcome`."""
        try:
            error = self.outcome.recv()
        except (EOFError, OSError):
            return DayOutcome(self.cell, died=True)
        finally:
            self.outcome.close()
            self.process.join()
            self.process.close()
        return DayOutcome(self.cell, error)


def _run(task: Task, cell: Cell, folder: str, outcome: Connection) -> None:
    """Play a day and send its error; this runs in the process of the day."""
    try:
        task(cell, folder)
    except Exception as error:
        outcome.send(f"{type(error).__name__}: {error}")
    else:
        outcome.send("")


class DayProcesses:
    """Plays days in processes that are forked from one that has the model loaded.

    Importing the model takes 1.5 s.
    """

    def __init__(self, task: Task, folder: str, preloaded_module: str) -> None:
        self.task, self.folder = task, folder
        self.context: ForkServerContext = multiprocessing.get_context("forkserver")
        self.context.set_forkserver_preload([preloaded_module])

    def play(self, cells: Iterable[Cell], workers: int) -> Iterator[DayOutcome]:
        """Play the cells, `workers` of them at a time, and yield each outcome as it comes."""
        waiting = deque(cells)
        running: dict[Connection, _RunningDay] = {}
        while waiting or running:
            while waiting and len(running) < workers:
                day = self._start(waiting.popleft())
                running[day.outcome] = day
            for outcome in wait(list(running)):
                assert isinstance(outcome, Connection)
                yield running.pop(outcome).finish()

    def _start(self, cell: Cell) -> _RunningDay:
        outcome, child_end = self.context.Pipe(duplex=False)
        process = self.context.Process(target=_run, args=(self.task, cell, self.folder, child_end))
        process.start()
        # The process has its own copy: with this one open, its death would not end the pipe.
        child_end.close()
        return _RunningDay(cell, process, outcome)
