"""Settings of a node that follows replicas, and of a replica.

Class docstrings and descriptions are shown to operators, and titles are names in the schema, so
their texts must not change.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

from pydantic import Field

from badgercart.app.component import CheckedFile
from badgercart.app.faults import Path
from badgercart.app.model import MAX_DURATION_MS, Address, Addresses, Listed, Name, Table
from badgercart.app.shared_settings import DoubtfulAfterMs, GroupSecret, StaleAfterMs, WhenStale

# The prefix of topics with servers; the name of the service follows.
SERVERS_PREFIX = "servers/"


class FollowerSettings(Table, title="MembersSettings"):
    """the server list from stores that tell changes"""

    group: Name = Field(
        max_length=64, description="the group's name; stores of other groups are strangers"
    )
    secret: GroupSecret
    stores: Addresses = Field(
        max_length=256,
        description="the host:port of each store; one is followed, in an order of each node's own",
    )
    service: Name = Field(max_length=190, description="whose servers: the topic `servers/SERVICE`")
    doubtful_after_ms: DoubtfulAfterMs = 3000.0
    stale_after_ms: StaleAfterMs = 10000.0
    when_stale: WhenStale = "refuse"
    silence_ms: float = Field(
        1500.0,
        ge=10,
        le=MAX_DURATION_MS,
        description="a store that says nothing for so long is left (ms)",
    )
    dial_ms: float = Field(
        1000.0, ge=10, le=MAX_DURATION_MS, description="the time for a connection (ms)"
    )
    answer_ms: float = Field(
        5000.0,
        ge=10,
        le=MAX_DURATION_MS,
        description="the time for the next part of what was asked for (ms)",
    )
    window_ms: float = Field(
        2000.0,
        ge=1,
        le=MAX_DURATION_MS,
        description="a lost store is replaced at a moment drawn from this time (ms), doubled with each try",
    )
    window_most_ms: float = Field(
        30000.0, ge=1, le=MAX_DURATION_MS, description="the longest window (ms)"
    )
    lag_ms: float = Field(
        3000.0,
        ge=10,
        le=MAX_DURATION_MS,
        description="a store that knew of no leader for so long is left, within the window (ms)",
    )


class ReplicaEntry(Table, title="StoreEntry"):
    """a store of the group"""

    name: Name = Field(max_length=64, description="its name")
    address: Address = Field(description="the host:port where others reach it")
    voter: bool = Field(
        False, description="whether it votes and keeps changes before they are in force"
    )


class ReplicaSettings(Table, title="StoreSettings"):
    """a store that tells changes to nodes"""

    listen: Address = Field(description="the host:port for nodes, operators and other stores")
    name: Name = Field(max_length=64, description="which of the stores this is")
    group: Name = Field(max_length=64, description="the group's name")
    secret: Name = Field(min_length=16, max_length=256, description="the group's secret")
    folder: Name = Field(description="where it keeps its log; no other process may use it")
    heartbeat_ms: float = Field(
        100.0, ge=10, le=60_000, description="the time between a leader's signs of life (ms)"
    )
    election_ms: float = Field(
        1000.0,
        ge=50,
        le=60_000,
        description="the least silence of a leader before another is chosen (ms); twice that at most",
    )
    beat_ms: float = Field(
        500.0, ge=10, le=60_000, description="the time between two words to a node (ms)"
    )
    patience_ms: float = Field(
        5000.0, ge=10, le=60_000, description="the time for a store's answer or a first word (ms)"
    )
    most_followers: int = Field(
        1024, ge=1, le=100_000, description="nodes that it tells; further ones are sent to others"
    )
    store: Annotated[tuple[ReplicaEntry, ...], Listed] = Field(
        (), max_length=256, description="all stores of the group, the same in each store's file"
    )


def check_follower(
    settings: FollowerSettings,
    file: CheckedFile,  # noqa: ARG001 - the signature of all checks
) -> Iterator[tuple[Path, str]]:
    """Yield the faults of combinations of settings, each with the key of a setting."""
    if settings.doubtful_after_ms > settings.stale_after_ms:
        yield ("doubtful_after_ms",), "is later than stale_after_ms"
    if len(set(settings.stores)) != len(settings.stores):
        yield ("stores",), "names an address twice"
    if settings.window_ms > settings.window_most_ms:
        yield ("window_ms",), "is longer than window_most_ms"


def check_replica(
    settings: ReplicaSettings,
    file: CheckedFile,  # noqa: ARG001 - the signature of all checks
) -> Iterator[tuple[Path, str]]:
    """Yield the faults of combinations of settings, each with the key of a setting."""
    yield from replica_faults(settings)


def replica_faults(settings: ReplicaSettings) -> Iterator[tuple[Path, str]]:
    """Yield the faults of combinations of settings, each with the key of a setting."""
    if settings.election_ms < 3 * settings.heartbeat_ms:
        yield (
            ("election_ms",),
            "is not three times heartbeat_ms: leaders would be lost for one late word",
        )
    if not settings.store:
        yield ("store",), "is missing: [[distribution.store]] for each store of the group"
        return
    names: set[str] = set()
    for position, entry in enumerate(settings.store):
        if entry.name in names:
            yield ("store", position, "name"), f"{entry.name!r} stands here twice"
        names.add(entry.name)
    if settings.name not in names:
        yield ("name",), f"{settings.name!r} is none of the stores"
    if not any(entry.voter for entry in settings.store):
        yield ("store",), "has no voter: nothing could ever be in force"
