"""Starts the node, passes signals on to it, and ends."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from badgercart.config import Config, ConfigError, read_config
from badgercart.core.log_events import RepeatedWarningFilter
from badgercart.node import Node


async def serve(config: Config) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Node(config, loop)
    loop.add_signal_handler(signal.SIGHUP, node.reload, os.environ)
    gc.collect()
    gc.freeze()  # what is there now stays: the collector need not look at it again
    await node.start()
    await stop.wait()
    await node.drain()


def main() -> int:
    signal.signal(
        signal.SIGHUP, signal.SIG_IGN
    )  # until there is a node that can read its file anew
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s"
    )
    logging.getLogger().handlers[0].addFilter(RepeatedWarningFilter())
    if len(sys.argv) > 1 or "_BADGERCART_COMPLETE" in os.environ:
        try:  # the platform's node has no use for it, nor for its libraries
            from badgercart.app.cli import main as command_line
        except ModuleNotFoundError as error:
            print(f"badgercart: {error}: pip install 'badgercart[operator]'", file=sys.stderr)
            return 2
        return command_line(sys.argv[1:])
    try:
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
