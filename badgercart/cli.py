"""The command line: `serve`, `check` and one group of commands for each subsystem.

Exit status: 0 done, 1 could not be done, 2 a wrong command line or a file that can't be used.
"""

from __future__ import annotations

import argparse
import json
import sys

import uvloop

from badgercart.operator.file import FileError, load
from badgercart.operator.run import run


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m badgercart",
        description="Without arguments: the platform's node, configured by the ROUTER_* variables.",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, about in (
        ("serve", "start what an operator's file switches on"),
        ("check", "say what is wrong with an operator's file, by line and key"),
    ):
        command = commands.add_parser(name, help=about, description=about)
        command.add_argument("file", metavar="FILE.toml")
    processor = commands.add_parser("processor", help="ask a running external processor")
    asks = processor.add_subparsers(dest="ask", required=True, metavar="WHAT")
    proxies = asks.add_parser("proxies", help="the account of each calling proxy")
    proxies.add_argument("address", help="host:port of the processor")
    proxies.add_argument("--json", action="store_true", help="as JSON, not as a table")
    proxies.add_argument("--ca", metavar="PEM", help="the authority of its certificate, where it has TLS")
    proxies.add_argument("--cert", metavar="PEM", help="this client's certificate")
    proxies.add_argument("--key", metavar="PEM", help="and its key")
    members = commands.add_parser("members", help="list and change the entries in etcd")
    if arguments[:1] == ["members"]:
        # Its libraries are heavy, and installed only where etcd is followed.
        from badgercart.membership.etcd import members as of_members

        of_members.add_arguments(members)
        chosen = parser.parse_args(arguments)
        try:
            return of_members.run(chosen)
        except of_members.MembersError as error:
            print(f"badgercart: {error}", file=sys.stderr)
            return error.status
        except KeyboardInterrupt:
            return 0
    chosen = parser.parse_args(arguments)
    if chosen.command == "processor":
        return ask_proxies(chosen)
    return serve(chosen.file, only_check=chosen.command == "check")


def serve(path: str, only_check: bool) -> int:
    try:
        what = load(path)
    except FileError as error:
        print(error, file=sys.stderr)
        return 2
    if only_check:
        print(f"{path}: good")
        return 0
    try:
        uvloop.run(run(path, what))
    except OSError as error:
        print(f"badgercart: {error}", file=sys.stderr)
        return 2
    except ImportError as error:
        print(
            f"badgercart: {error}; see requirements-processor.txt and requirements-etcd.txt", file=sys.stderr
        )
        return 2
    return 0


def ask_proxies(chosen: argparse.Namespace) -> int:
    from badgercart.fronts.processor.ask import AskError, ask, table

    try:
        told = ask(chosen.address, chosen.ca, chosen.cert, chosen.key)
    except AskError as error:
        print(f"badgercart: {chosen.address}: {error}", file=sys.stderr)
        return 1
    print(json.dumps(told) if chosen.json else table(told))
    return 0
