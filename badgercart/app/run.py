"""Serves what an operator's file switches on, until a signal ends it."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable

from badgercart.app import logs
from badgercart.app.application import Application
from badgercart.app.faults import SettingsFileError
from badgercart.app.file import Installation, load_installation
from badgercart.app.log_events import STOPPED_EARLY
from badgercart.core.log_events import CONFIG_KEPT, CONFIG_READ


def reload(application: Application, path: str, requests: logs.RequestLog) -> None:
    """Read the file again after SIGHUP; an invalid one changes nothing."""
    try:
        fresh = load_installation(path, known=application.installation.known_components)
    except SettingsFileError as error:
        CONFIG_KEPT(faults=str(error).replace("\n", "; "))
        return
    if faults := application.reload(fresh):
        CONFIG_KEPT(faults="; ".join(faults))
        return
    if fresh.base is not None:
        logs.set_level(fresh.base.log)
        logs.log_requests(application.pipeline, fresh.base.log, requests)
    CONFIG_READ(what="")


async def run(
    path: str,
    installation: Installation,
    started: Callable[[Application], None] = lambda _application: None,
) -> None:
    """Serve until SIGTERM or SIGINT, which may also come during the start.

    Args:
        path: path of the file, which is read again after SIGHUP.
        installation: what the file switches on.
        started: called once all components are up.

    Raises:
        ComponentStartError: a component does not start.
    """
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    application = Application(installation, loop)
    requests = logs.RequestLog(installation.config, application.endpoint_table)
    if installation.base is not None:
        logs.log_requests(application.pipeline, installation.base.log, requests)
    stopping = asyncio.ensure_future(stop.wait())
    starting = asyncio.ensure_future(application.start())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        starting.cancel()
        await asyncio.wait((starting,))
        STOPPED_EARLY()
        return
    starting.result()
    gc.collect()
    # What exists now lives as long as the process: the collector need not scan it again.
    gc.freeze()
    loop.add_signal_handler(signal.SIGHUP, reload, application, path, requests)
    started(application)
    await stopping
    await application.drain()
