"""Serves what an operator's file switches on: signals in, an exit status out."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable

from badgercart.app import logs
from badgercart.app.faults import SettingsFileError
from badgercart.app.file import Installation, load_installation
from badgercart.app.log_events import STOPPED_EARLY
from badgercart.app.site import Application
from badgercart.core.log_events import CONFIG_KEPT, CONFIG_READ


def reload(site: Application, path: str, requests: logs.RequestLog) -> None:
    """Read the file anew, as SIGHUP asks for; one that is wrong changes nothing."""
    try:
        fresh = load_installation(path, known=site.installation.known_components)
    except SettingsFileError as error:
        CONFIG_KEPT(faults=str(error).replace("\n", "; "))
        return
    if faults := site.reload(fresh):
        CONFIG_KEPT(faults="; ".join(faults))
        return
    if fresh.base is not None:
        logs.set_level(fresh.base.log)
        logs.watch(site.pipeline, fresh.base.log, requests)
    CONFIG_READ(what="")


async def run(
    path: str,
    installation: Installation,
    started: Callable[[Application], None] = lambda _site: None,
) -> None:
    """Serve until SIGTERM or SIGINT, which may also come during the start.

    Args:
        path: of the file, which SIGHUP reads anew.
        installation: what the file switches on.
        started: called once all components are up.

    Raises:
        PartError: a component does not start.
    """
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    site = Application(installation, loop)
    requests = logs.RequestLog(installation.config, site.endpoint_table)
    if installation.base is not None:
        logs.watch(site.pipeline, installation.base.log, requests)
    stopping = asyncio.ensure_future(stop.wait())
    starting = asyncio.ensure_future(site.start())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        starting.cancel()
        await asyncio.wait((starting,))
        STOPPED_EARLY()
        return
    starting.result()
    gc.collect()
    gc.freeze()  # what exists now stays: the collector need not look at it again
    loop.add_signal_handler(signal.SIGHUP, reload, site, path, requests)
    started(site)
    await stopping
    await site.drain()
