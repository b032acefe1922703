"""The main function of a process that runs only a replica."""

from __future__ import annotations

import asyncio
import signal

from badgercart.app.exits import CommandError, ExitStatus
from badgercart.core.clock import now_ms
from badgercart.distribution.component import build_replica_driver, log_listening
from badgercart.distribution.errors import JournalError
from badgercart.distribution.settings import ReplicaSettings


async def run_replica(settings: ReplicaSettings, folder: str) -> None:
    """Run a replica until SIGTERM or SIGINT.

    Args:
        settings: the replica's settings.
        folder: the folder that a relative `folder` setting refers to.

    Raises:
        CommandError: the replica can't start, or its disk has failed.
    """
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    failures: list[Exception] = []

    def fail(error: Exception) -> None:
        failures.append(error)
        stop.set()

    try:
        driver = build_replica_driver(settings, folder, loop, now_ms)
    except (OSError, JournalError) as error:
        raise _not_started(settings, error) from error
    driver.on_failure = fail
    try:
        await driver.start()
        log_listening(settings, driver)
        await stop.wait()
    except OSError as error:
        raise _not_started(settings, error) from error
    finally:
        driver.close()
    if failures:
        detail = f"the store {settings.name} has ended: {failures[0]}"
        raise CommandError(detail)


def _not_started(settings: ReplicaSettings, error: Exception) -> CommandError:
    return CommandError(f"the store {settings.name} does not start: {error}", ExitStatus.USAGE)
