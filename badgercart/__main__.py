"""The program: starts the node, handles signals, and ends."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from badgercart.config import Config, ConfigError, read_config
from badgercart.core.log_events import REQUEST_ENDED, RepeatedWarningFilter
from badgercart.core.request_log import RequestEndLog
from badgercart.node import Node

# With `debug`, the ends of attempts, requests and clients' connections are logged too.
LOG_LEVEL_VARIABLE = "ROUTER_LOG"


def set_log_level(level: str) -> None:
    """Log the program's own events from this level on; any word but `debug` is info."""
    if level == "debug":
        logging.getLogger("badgercart").setLevel(logging.DEBUG)


async def serve(config: Config) -> None:
    """Run a node until SIGTERM or SIGINT, then drain it."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Node(config, loop)
    if REQUEST_ENDED.is_enabled:
        node.pipeline.observers += (RequestEndLog(),)
    loop.add_signal_handler(signal.SIGHUP, node.reload, os.environ)
    gc.collect()
    gc.freeze()  # excludes from collection what exists by now, since it stays until the end
    await node.start()
    node.limit_memory()
    await stop.wait()
    await node.drain()


def main() -> int:
    """Run the program and return its exit code."""
    # SIGHUP is ignored until there is a node that can reload its configuration.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s"
    )
    logging.getLogger().handlers[0].addFilter(RepeatedWarningFilter())
    if len(sys.argv) > 1 or "_BADGERCART_COMPLETE" in os.environ:
        # Imported here, since the platform's node runs without the command line and its libraries.
        try:
            from badgercart.app.cli import main as command_line
        except ModuleNotFoundError as error:
            print(f"badgercart: {error}: pip install 'badgercart[operator]'", file=sys.stderr)
            return 2
        return command_line(sys.argv[1:])
    try:
        set_log_level(os.environ.get(LOG_LEVEL_VARIABLE, ""))
        config = read_config(os.environ)
    except ConfigError as error:
        print(f"badgercart: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except ConfigError as error:
        print(f"badgercart: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"badgercart: {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
