"""The `badgercart distribution` commands: change and show topics, show replicas, run a replica.

Exit status: 0 on success; 1 if the request failed or no replica leads; 2 for an invalid command
line, file or entry.
"""

from __future__ import annotations

import asyncio
import json
import math
from pathlib import Path
from typing import Any

import click

from badgercart.app import logs
from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, ExitStatus
from badgercart.app.faults import SettingsFileError
from badgercart.app.node_client import REQUEST_TIMEOUT_S
from badgercart.config import Address
from badgercart.distribution.client import Client
from badgercart.distribution.entry_file import MAX_FILE_BYTES, parse_entries
from badgercart.distribution.errors import FrameError
from badgercart.distribution.group_client import (
    CONNECTION_ERRORS,
    GroupClient,
    ReplicaCannotServeError,
    describe_error,
    load_group,
)
from badgercart.distribution.messages import (
    ANY_VERSION,
    MAX_NAME_LENGTH,
    MAX_VALUE_BYTES,
    RESEND,
    Entry,
    Propose,
    ProposeResponse,
    Rejection,
    Snapshot,
    Status,
    StatusRequest,
    Subscribe,
    TopicVersion,
    check_message,
)
from badgercart.distribution.replica_file import ReplicaFile, load_replica_file
from badgercart.distribution.topic import Topic

# Each connection carries a single request.
REQUEST_ID = 1
MAYBE_COMMITTED_HINT = "it may be in force or not: look with `distribution get`"
FILE_ARGUMENT = click.argument("file", metavar="FILE.toml")
TOPIC_ARGUMENT = click.argument("topic")

GROUP_HELP = "Changes told by stores; FILE.toml is a node's or a store's."
PUT_HELP = """Put entries into TOPIC: all of them at once, in force everywhere or nowhere.

`servers/SERVICE` takes lines of the platform's list, a JSON list, or an object of lines by
instanceId; null takes one out. Other entries of the topic stay as they are."""
GET_HELP = "What is in force in TOPIC, by the first store that answers."
STATUS_HELP = (
    "Who leads, how far each store is, how many nodes it tells, and how old what it knows is."
)
STORE_HELP = "Run the store of FILE.toml and nothing else: [distribution], and [log] if wanted."


@click.group(help=GROUP_HELP)
def distribution() -> None:
    """Group the commands of the distribution."""


# Entries.


@distribution.command(help=PUT_HELP)
@FILE_ARGUMENT
@TOPIC_ARGUMENT
@click.option(
    "--file",
    "entries_file",
    required=True,
    type=click.File("rb"),
    help="Lines, or values by key, as JSON.",
)
@click.option(
    "--expected",
    default=ANY_VERSION,
    type=click.IntRange(ANY_VERSION),
    help="Only if the topic has this number.",
)
def put(file: str, topic: str, entries_file: Any, expected: int) -> None:
    """Propose a change and wait until it is committed or has failed."""
    group = load_group(file)
    proposal = _read_proposal(topic, entries_file, expected)
    response = group.request_in_turn(lambda client: _propose(client, proposal))
    if response.error:
        hint = MAYBE_COMMITTED_HINT if response.error == "unknown" else "nothing was changed"
        detail = f"{topic}: {response.error}: {response.detail}; {hint}"
        raise CommandError(detail)
    click.echo(f"{topic}: in force as number {response.version}")


def _read_proposal(topic: str, entries_file: Any, expected: int) -> Propose:
    try:
        entries = parse_entries(entries_file.read(MAX_FILE_BYTES + 1), topic)
        proposal = Propose(REQUEST_ID, topic, entries, expected)
        check_message(proposal)
    except (ValueError, FrameError) as error:
        detail = f"{entries_file.name}: {error}"
        raise CommandError(detail, ExitStatus.USAGE) from error
    return proposal


async def _propose(client: Client, proposal: Propose) -> ProposeResponse:
    client.write(proposal)
    try:
        while not isinstance(response := await client.read(), ProposeResponse):
            pass
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        # The proposal may be committed, so it must not be sent to another replica as well.
        detail = f"{describe_error(error)}; {MAYBE_COMMITTED_HINT}"
        raise CommandError(detail) from error
    if response.error == "not-leading":
        detail = f"it does not lead; {response.detail or 'nobody it knows'} does"
        raise ReplicaCannotServeError(detail)
    return response


@distribution.command(help=GET_HELP)
@FILE_ARGUMENT
@TOPIC_ARGUMENT
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def get(file: str, topic: str, as_json: bool) -> None:
    """Show a topic."""
    if not topic or len(topic) > MAX_NAME_LENGTH or not topic.isprintable():
        detail = f"{topic[:40]!r} is no topic"
        raise CommandError(detail, ExitStatus.USAGE)
    found = load_group(file).request_in_turn(lambda client: _fetch_topic(client, topic))
    values = {key: _decode_value(value) for key, value in sorted(found.entries.items())}
    if as_json:
        click.echo(json.dumps({"topic": topic, "number": found.version, "entries": values}))
    else:
        click.echo(f"{topic}: {len(values)} entries as of number {found.version}")
        show_table(("key", "value"), [(key, json.dumps(value)) for key, value in values.items()])


async def _fetch_topic(client: Client, topic: str) -> Topic:
    client.write(Subscribe((TopicVersion(topic, RESEND, 0),)))
    entries: list[Entry] = []
    while True:
        message = await client.read()
        if isinstance(message, Rejection):
            if message.kind == "unknown-topic":
                detail = f"{topic}: {message.detail}"
                raise CommandError(detail)
            detail = f"{message.kind}: {message.detail}"
            raise ReplicaCannotServeError(detail)
        if isinstance(message, Snapshot):
            entries += message.entries
            if message.part == message.parts:
                return _checked_topic(message, entries)


def _checked_topic(last_part: Snapshot, entries: list[Entry]) -> Topic:
    topic = Topic(last_part.version, entries)
    if topic.digest != last_part.digest:
        detail = "its digest is wrong"
        raise ReplicaCannotServeError(detail)
    return topic


def _decode_value(value: bytes) -> Any:
    try:
        return json.loads(value)
    except (ValueError, RecursionError):
        return value[:MAX_VALUE_BYTES].decode(errors="replace")


# Replicas.


@distribution.command(help=STATUS_HELP)
@FILE_ARGUMENT
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def status(file: str, as_json: bool) -> None:
    """Show the state of each replica."""
    group = load_group(file)
    found = asyncio.run(_fetch_all(group))
    rows = {name: status_columns(result) for name, result in found.items()}
    if as_json:
        click.echo(json.dumps(rows))
    else:
        columns = (*STATUS_COLUMNS, "error")
        show_table(
            ("store", *columns),
            [
                (name, *(str(row.get(column, "")) for column in columns))
                for name, row in rows.items()
            ],
        )
    if not any(row.get("role") == "leading" for row in rows.values()):
        detail = "no store that answers leads: nothing can be put"
        raise CommandError(detail)


async def _fetch_all(group: GroupClient) -> dict[str, Status | str]:
    """Return by name the status of each replica, or the error if it could not be fetched."""
    addresses = group.addresses
    found = await asyncio.gather(*(_fetch(group, address) for address in addresses.values()))
    return dict(zip(addresses, found, strict=True))


async def _fetch(group: GroupClient, address: Address) -> Status | str:
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S), group.connect(address) as client:
            client.write(StatusRequest())
            while not isinstance(message := await client.read(), Status):
                pass
            return message
    except CONNECTION_ERRORS as error:
        return describe_error(error)


# Column names shown to operators, in display order.
STATUS_COLUMNS = (
    "name",
    "role",
    "leader",
    "term",
    "committed",
    "last",
    "followers",
    "topics",
    "entries",
    "age_ms",
)


def status_columns(found: Status | str) -> dict[str, Any]:
    """Return the values shown for a replica by column; `found` is its status or an error."""
    if isinstance(found, str):
        return {"error": found}
    return {
        "name": found.name,
        "role": found.role,
        "leader": found.leader,
        "term": found.term,
        "committed": found.commit_index,
        "last": found.last_index,
        "followers": found.subscribers,
        "topics": found.topics,
        "entries": found.entries,
        "age_ms": round(found.age_ms, 1) if found.age_ms < math.inf else None,
    }


@distribution.command(help=STORE_HELP)
@FILE_ARGUMENT
@click.option("--check", "only_check", is_flag=True, help="Say whether the file is good, and end.")
def store(file: str, only_check: bool) -> None:
    """Run a replica in a process of its own."""
    settings = _load_replica(file)
    if only_check:
        click.echo(f"{file}: good")
        return
    import uvloop

    from badgercart.distribution.replica_process import run_replica

    sink = logs.open_sink(settings.distribution.name, settings.log)
    try:
        uvloop.run(run_replica(settings.distribution, str(Path(file).parent)))
    finally:
        logs.close_sink(sink)


def _load_replica(path: str) -> ReplicaFile:
    try:
        settings = load_replica_file(path)
    except SettingsFileError as error:
        raise CommandError(str(error), ExitStatus.USAGE) from error
    if settings is None:
        detail = (
            f"{path}: has more than [distribution] and [log]: an installation is run by `serve`"
        )
        raise CommandError(detail, ExitStatus.USAGE)
    return settings
