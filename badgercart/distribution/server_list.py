"""Decodes the entries of a topic of servers as discovered endpoints."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import replace

from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.core.identifiers import stable_id
from badgercart.discovery.entries import ListReader
from badgercart.distribution.messages import Entry
from badgercart.policy.endpoint import EndpointState


def read_servers(
    reader: ListReader, entries: tuple[Entry, ...], listed: Mapping[int, DiscoveredEndpoint]
) -> list[DiscoveredEndpoint]:
    """Return the servers of the entries. A listed server whose value is removed becomes gone.

    Args:
        reader: decodes the values.
        entries: the entries; the last entry of a key counts.
        listed: the currently listed servers, by stable id.

    Raises:
        ValueError: a value is not a valid server, or its id differs from its key.
    """
    servers = []
    for key, value in {entry.key: entry.value for entry in entries}.items():
        if value is not None:
            servers.append(_read_server(reader, key, value))
            continue
        current = listed.get(stable_id(key.encode()))
        if current is not None:
            servers.append(replace(current, entry=replace(current.entry, state=EndpointState.GONE)))
    return servers


def _read_server(reader: ListReader, key: str, value: bytes) -> DiscoveredEndpoint:
    try:
        fields = json.loads(value)
        _check_key(fields["instanceId"], key)
        return reader.read_entry(fields)
    except KeyError as error:
        detail = f"{key}: {error} is missing, or none that is known"
        raise ValueError(detail) from error
    except (TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
        detail = f"{key}: {error}"
        raise ValueError(detail) from error


def _check_key(server: object, key: str) -> None:
    if server != key:
        detail = f"instanceId is {server!r}"
        raise ValueError(detail)
