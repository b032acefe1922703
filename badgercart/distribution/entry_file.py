"""Parses entries of a topic from a file that an operator wrote: a JSON list or object."""

from __future__ import annotations

import json
from typing import Any, cast

from badgercart.config import Config
from badgercart.discovery.entries import ListReader
from badgercart.distribution.messages import Entry
from badgercart.distribution.server_list import read_servers
from badgercart.distribution.settings import SERVERS_PREFIX

MAX_FILE_BYTES = 64 << 20
# The field of a listed server that is the key of its entry.
SERVER_KEY_FIELD = "instanceId"


class EntryFileError(ValueError):
    """The file has no valid entries for the topic."""


def parse_entries(text: bytes, topic: str) -> tuple[Entry, ...]:
    """Return the entries of a list of servers, or of an object of values by key.

    A null value removes its key. Servers are validated with the reader that nodes use.

    Raises:
        ValueError: the text is too long or of another form, or a value is invalid for the topic.
    """
    if len(text) > MAX_FILE_BYTES:
        detail = f"over {MAX_FILE_BYTES} bytes"
        raise EntryFileError(detail)
    values = _values_by_key(_parse_json(text))
    entries = tuple(
        Entry(key, None if value is None else json.dumps(value, separators=(",", ":")).encode())
        for key, value in values.items()
    )
    if topic.startswith(SERVERS_PREFIX):
        # Zones and kinds are configured per node, so any name is accepted here.
        names = cast(Config, type("Names", (), {"zones": {}, "kinds": {}}))
        read_servers(ListReader(names), entries, {})
    return entries


def _parse_json(text: bytes) -> Any:
    try:
        return json.loads(text, parse_constant=_reject_constant)
    except RecursionError as error:
        detail = "it is nested too deeply"
        raise EntryFileError(detail) from error


def _reject_constant(name: str) -> None:
    detail = f"{name} is no number"
    raise EntryFileError(detail)


def _values_by_key(parsed: Any) -> dict[str, Any]:
    values = _servers_by_key(parsed) if isinstance(parsed, list) else parsed
    if not isinstance(values, dict) or not values:
        detail = "it is neither a list of lines nor an object of values by key"
        raise EntryFileError(detail)
    return values


def _servers_by_key(servers: list[Any]) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for position, server in enumerate(servers):
        if not isinstance(server, dict) or not isinstance(server.get(SERVER_KEY_FIELD), str):
            detail = f"[{position}]: it is no line with an instanceId"
            raise EntryFileError(detail)
        key = server[SERVER_KEY_FIELD]
        if key in values:
            detail = f"[{position}]: {key!r} stands there twice"
            raise EntryFileError(detail)
        values[key] = server
    return values
