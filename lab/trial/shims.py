"""Runs the platform's node with faults of its machine: clock, disk and system calls.

    python -m lab.trial.shims

The faults are those of the variable `BADGERCART_FAULTS`, as JSON. They are injected into this
process alone, below the program and above the system: nothing of the program knows of them.
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import random
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import uvloop

VARIABLE = "BADGERCART_FAULTS"
CONNECT_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EINTR)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)


@dataclass(slots=True, frozen=True)
class MachineFaults:
    """What goes wrong; chances are per call, from 0 to 1."""

    seed: int = 1
    clock_ahead_s: float = 0.0  # of the wall clock at the start
    clock_step_s: float = 0.0  # by which the wall clock is stepped later
    clock_step_after_s: float = 2.0
    connect_chance: float = 0.0
    accept_chance: float = 0.0
    disk_chance: float = 0.0

    def variables(self) -> dict[str, str]:
        """Return the environment that tells a process its faults."""
        return {VARIABLE: json.dumps(asdict(self))}


class FaultInjector:
    """Replaces calls of the system by calls that may fail."""

    def __init__(self, faults: MachineFaults) -> None:
        self.faults = faults
        self.random = random.Random(faults.seed)

    def install(self) -> None:
        """Replace the calls in this process."""
        self._replace_clock()
        self._replace_connect()
        self._replace_accept()
        for name in ("pwrite", "fsync", "replace"):
            setattr(
                os, name, self._failing(getattr(os, name), self.faults.disk_chance, DISK_ERRORS)
            )

    def _replace_clock(self) -> None:
        started_s, real, faults = time.monotonic(), time.time, self.faults

        def wall_clock() -> float:
            stepped = time.monotonic() - started_s > faults.clock_step_after_s
            return real() + faults.clock_ahead_s + (faults.clock_step_s if stepped else 0.0)

        setattr(time, "time", wall_clock)  # noqa: B010

    def _failing(
        self, call: Callable[..., Any], chance: float, errors: tuple[int, ...]
    ) -> Callable[..., Any]:
        def fail_or_call(*args: Any, **options: Any) -> Any:
            if self.random.random() < chance:
                raise OSError(self.random.choice(errors), "injected")
            return call(*args, **options)

        return fail_or_call

    def _replace_accept(self) -> None:
        real, chance = socket.socket.accept, self.faults.accept_chance
        socket.socket.accept = self._failing(real, chance, ACCEPT_ERRORS)  # type: ignore[method-assign]

    def _replace_connect(self) -> None:
        injector = self
        real: Any = uvloop.Loop.create_connection

        async def create_connection(
            loop: asyncio.AbstractEventLoop, *args: Any, **options: Any
        ) -> Any:
            if injector.random.random() < injector.faults.connect_chance:
                raise OSError(injector.random.choice(CONNECT_ERRORS), "injected")
            return await real(loop, *args, **options)

        setattr(uvloop.Loop, "create_connection", create_connection)  # noqa: B010


def main() -> int:
    """Run the node with the faults of the environment."""
    FaultInjector(MachineFaults(**json.loads(os.environ.get(VARIABLE, "{}")))).install()
    from badgercart.__main__ import main as run_node

    return run_node()


if __name__ == "__main__":
    sys.exit(main())
