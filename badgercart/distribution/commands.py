"""`badgercart distribution`: put changes into topics, look at them and at the stores, run a store
alone.

Exit status: 0 done; 1 it could not be done, or nobody leads; 2 a wrong command line, file or entry.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar, cast

import click
from pydantic import Field, ValidationError

from badgercart.app import document, logs
from badgercart.app.asking import PATIENCE
from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, Exit
from badgercart.app.faults import FileError, of_model, problem
from badgercart.app.faults import Path as Place
from badgercart.app.file import load
from badgercart.app.locate import lines_of
from badgercart.app.logs import Log
from badgercart.app.model import Table
from badgercart.config import Address, Config
from badgercart.core.clock import now_ms
from badgercart.discovery.entries import CatalogUpdateReader
from badgercart.distribution.component import members_of, say_listening, store_driver
from badgercart.distribution.driver import Client
from badgercart.distribution.messages import (
    MAX_VALUE,
    WHOLE,
    Codec,
    Entry,
    No,
    Propose,
    Proposed,
    Refused,
    Status,
    StatusRequest,
    Subscribe,
    Whole,
    check,
)
from badgercart.distribution.settings import SERVERS, MembersSettings, StoreSettings, store_faults
from badgercart.distribution.topic import Topic

MAX_FILE = 64 << 20  # bytes of entries
FILE = click.argument("file", metavar="FILE.toml")
TOPIC = click.argument("topic")

T = TypeVar("T")


class StoreFile(Table, title="StoreFile"):
    """the file of a process that is a store alone"""

    distribution: StoreSettings = Field(description="the store")
    log: Log = Log()


def store_file(path: str) -> StoreFile | None:
    """A file of a store alone; None where it is a whole installation's. Raises FileError."""
    read = document.read(path, os.environ)
    if not read.raw.keys() <= StoreFile.model_fields.keys() or "distribution" not in read.raw:
        return None
    found: list[tuple[Place, str]]
    try:
        file = StoreFile.model_validate(read.raw)
        found = [
            (("distribution", *place), words) for place, words in store_faults(file.distribution)
        ]
    except ValidationError as error:
        found = list(of_model(error, StoreFile))
    if found:
        lines = lines_of(read.text)
        raise FileError(
            path, [problem(place, words, lines, read.origins) for place, words in found]
        )
    return file


@dataclass(slots=True, frozen=True)
class Group:
    """The stores of a file, as an operator's command reaches them."""

    name: str
    secret: str
    stores: dict[str, Address]  # by name, or by address where the file has no names

    def client(self, address: Address) -> Client:
        return Client(address, Codec(self.name, self.secret.encode()))


def group_of(path: str) -> Group:
    """By a node's file, or a store's. Raises CommandError."""
    try:
        alone = store_file(path)
        parts = {"distribution-store": alone.distribution} if alone else load(path).parts
    except FileError as error:
        raise CommandError(str(error), Exit.USAGE) from None
    if isinstance(store := parts.get("distribution-store"), StoreSettings):
        return Group(
            store.group, store.secret, {entry.name: entry.address for entry in store.store}
        )
    if isinstance(node := parts.get("distribution"), MembersSettings):
        return Group(
            node.group, node.secret, {f"{host}:{port}": (host, port) for host, port in node.stores}
        )
    raise CommandError(f"{path}: has neither [members.distribution] nor [distribution]", Exit.USAGE)


ERRORS = (OSError, TimeoutError, asyncio.IncompleteReadError, Refused)


def worded(error: BaseException) -> str:
    if isinstance(error, asyncio.IncompleteReadError):
        return "it ended the connection: is the group's secret right?"
    if isinstance(error, TimeoutError):
        return f"no answer in {PATIENCE:.0f} s"
    return str(error) or type(error).__name__


def first(group: Group, ask: Callable[[Client], Awaitable[T | str]]) -> T:
    """What the first store says that has an answer; a text is why it has none. Raises
    CommandError."""

    async def run() -> T:
        said = []
        for name, address in group.stores.items():
            try:
                async with asyncio.timeout(PATIENCE), group.client(address) as client:
                    told = await ask(client)
                    if not isinstance(told, str):
                        return told
                    said.append(f"{name}: {told}")
            except ERRORS as error:
                said.append(f"{name}: {worded(error)}")
        raise CommandError("no store can do that: " + "; ".join(said))

    return asyncio.run(run())


@click.group()
def distribution() -> None:
    """Changes told by stores; FILE.toml is a node's or a store's."""


# Entries.


def entries_of(text: bytes, topic: str) -> tuple[Entry, ...]:
    """A list of lines, or an object of values by key, null for those that are to go. Raises
    ValueError."""
    try:
        raw = json.loads(text, parse_constant=no_constant)
    except RecursionError:
        raise ValueError("it is nested too deeply") from None
    if isinstance(raw, list):
        keyed: dict[str, Any] = {}
        for at, line in enumerate(raw):
            if not isinstance(line, dict) or not isinstance(line.get("instanceId"), str):
                raise ValueError(f"[{at}]: it is no line with an instanceId")
            if line["instanceId"] in keyed:
                raise ValueError(f"[{at}]: {line['instanceId']!r} stands there twice")
            keyed[line["instanceId"]] = line
        raw = keyed
    if not isinstance(raw, dict) or not raw:
        raise ValueError("it is neither a list of lines nor an object of values by key")
    entries = tuple(
        Entry(key, None if value is None else json.dumps(value, separators=(",", ":")).encode())
        for key, value in raw.items()
    )
    if topic.startswith(SERVERS):
        # Names of zones and kinds are the nodes' own: any will do here.
        names = cast(Config, type("Names", (), {"zones": {}, "kinds": {}}))
        members_of(CatalogUpdateReader(names), entries, {})
    return entries


def no_constant(name: str) -> None:
    raise ValueError(f"{name} is no number")


@distribution.command()
@FILE
@TOPIC
@click.option(
    "--file",
    "entries_file",
    required=True,
    type=click.File("rb"),
    help="Lines, or values by key, as JSON.",
)
@click.option(
    "--expected", default=-1, type=click.IntRange(-1), help="Only if the topic has this number."
)
def put(file: str, topic: str, entries_file: Any, expected: int) -> None:
    """Put entries into TOPIC: all of them at once, in force everywhere or nowhere.

    `servers/SERVICE` takes lines of the platform's list, a JSON list, or an object of lines by
    instanceId; null takes one out. Other entries of the topic stay as they are."""
    group = group_of(file)
    try:
        data = entries_file.read(MAX_FILE + 1)
        if len(data) > MAX_FILE:
            raise ValueError(f"over {MAX_FILE} bytes")
        entries = entries_of(data, topic)
        check(Propose(1, topic, entries, expected))
    except (ValueError, Refused) as error:
        raise CommandError(f"{entries_file.name}: {error}", Exit.USAGE) from None

    async def ask(client: Client) -> Proposed | str:
        client.write(Propose(1, topic, entries, expected))
        try:
            while not isinstance(told := await client.read(), Proposed):
                pass
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            # What was sent may be in force: another store is not asked to do it again.
            words = f"{worded(error)}; it may be in force or not: look with `distribution get`"
            raise CommandError(words) from None
        if told.error == "not-leading":
            return f"it does not lead; {told.words or 'nobody it knows'} does"
        return told

    told = first(group, ask)
    if told.error:
        hint = {
            "conflict": "nothing was changed",
            "unknown": "it may be in force or not: look with `distribution get`",
        }.get(told.error, "nothing was changed")
        raise CommandError(f"{topic}: {told.error}: {told.words}; {hint}")
    click.echo(f"{topic}: in force as number {told.number}")


@distribution.command()
@FILE
@TOPIC
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def get(file: str, topic: str, as_json: bool) -> None:
    """What is in force in TOPIC, by the first store that answers."""

    async def ask(client: Client) -> Topic | str:
        client.write(Subscribe(((topic, WHOLE, 0),)))
        entries: list[Entry] = []
        while True:
            told = await client.read()
            if isinstance(told, No):
                if told.kind == "unknown-topic":
                    raise CommandError(f"{topic}: {told.words}")
                return f"{told.kind}: {told.words}"
            if isinstance(told, Whole):
                entries += told.entries
                if told.part == told.parts:
                    found = Topic(told.number, entries)
                    return found if found.digest == told.digest else "its digest is wrong"

    if not topic or len(topic) > 200 or not topic.isprintable():
        raise CommandError(f"{topic[:40]!r} is no topic", Exit.USAGE)
    found = first(group_of(file), ask)
    shown = {key: shown_value(value) for key, value in sorted(found.entries.items())}
    if as_json:
        click.echo(json.dumps({"topic": topic, "number": found.number, "entries": shown}))
    else:
        click.echo(f"{topic}: {len(shown)} entries as of number {found.number}")
        show_table(("key", "value"), [(key, json.dumps(value)) for key, value in shown.items()])


def shown_value(value: bytes) -> Any:
    try:
        return json.loads(value)
    except (ValueError, RecursionError):
        return value[:MAX_VALUE].decode(errors="replace")


# Stores.


@distribution.command()
@FILE
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def status(file: str, as_json: bool) -> None:
    """Who leads, how far each store is, how many nodes it tells, and how old what it knows is."""
    group = group_of(file)

    async def one(address: Address) -> Status | str:
        try:
            async with asyncio.timeout(PATIENCE), group.client(address) as client:
                client.write(StatusRequest())
                while not isinstance(told := await client.read(), Status):
                    pass
                return told
        except ERRORS as error:
            return worded(error)

    async def all_of_them() -> list[Status | str]:
        return await asyncio.gather(*(one(address) for address in group.stores.values()))

    told = dict(zip(group.stores, asyncio.run(all_of_them()), strict=True))
    leaders = {s.name for s in told.values() if isinstance(s, Status) and s.role == "leading"}
    if as_json:
        click.echo(json.dumps({name: row(s) for name, s in told.items()}))
    else:
        columns = ("store", *COLUMNS, "error")
        rows = [
            (name, *(str(row(s).get(c, "")) for c in (*COLUMNS, "error")))
            for name, s in told.items()
        ]
        show_table(columns, rows)
    if not leaders:
        raise CommandError("no store that answers leads: nothing can be put")


COLUMNS = (
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


def row(told: Status | str) -> dict[str, Any]:
    if isinstance(told, str):
        return {"error": told}
    return {
        "name": told.name,
        "role": told.role,
        "leader": told.leader,
        "term": told.term,
        "committed": told.committed,
        "last": told.last,
        "followers": told.followers,
        "topics": told.topics,
        "entries": told.entries,
        "age_ms": round(told.age, 1) if told.age < float("inf") else None,
    }


@distribution.command()
@FILE
@click.option("--check", "only_check", is_flag=True, help="Say whether the file is good, and end.")
def store(file: str, only_check: bool) -> None:
    """Run the store of FILE.toml and nothing else: [distribution], and [log] if wanted."""
    import uvloop

    try:
        alone = store_file(file)
    except FileError as error:
        raise CommandError(str(error), Exit.USAGE) from None
    if alone is None:
        raise CommandError(
            f"{file}: has more than [distribution] and [log]: an installation is run by `serve`",
            Exit.USAGE,
        )
    if only_check:
        click.echo(f"{file}: good")
        return
    sink = logs.open_sink(alone.distribution.name, alone.log)
    try:
        uvloop.run(run_store(alone.distribution, str(Path(file).parent)))
    finally:
        logs.close_sink(sink)


async def run_store(settings: StoreSettings, folder: str) -> None:
    """Until SIGTERM or SIGINT. Raises CommandError where it can't start, or its disk fails."""
    from badgercart.distribution.journal import JournalError

    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    failures: list[Exception] = []

    def failed(error: Exception) -> None:
        failures.append(error)
        stop.set()

    try:
        driver = store_driver(settings, folder, loop, now_ms, failed)
    except (OSError, JournalError) as error:
        raise CommandError(
            f"the store {settings.name} does not start: {error}", Exit.USAGE
        ) from None
    try:
        await driver.start()
        say_listening(settings, driver)
        await stop.wait()
    except OSError as error:
        raise CommandError(
            f"the store {settings.name} does not start: {error}", Exit.USAGE
        ) from None
    finally:
        driver.close()
    if failures:
        raise CommandError(f"the store {settings.name} has ended: {failures[0]}")
