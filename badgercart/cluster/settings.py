"""The settings of the cluster package.

Keys, descriptions and the docstrings of the tables are an interface to operators.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

from pydantic import AfterValidator, Field, Strict

from badgercart.app.component import CheckedFile
from badgercart.app.faults import Path
from badgercart.app.model import Address, Listed, Name, Names, Table
from badgercart.app.shared_settings import GroupSecret
from badgercart.cluster.features import FEATURES
from badgercart.cluster.timing import SwimTiming


def _network(value: str) -> str:
    import netaddr  # only where the component is enabled

    try:
        netaddr.IPNetwork(value)
    except (netaddr.AddrFormatError, ValueError) as error:
        message = f"{value!r} is no network such as 10.1.0.0/16"
        raise ValueError(message) from error
    return value


Network = Annotated[Name, AfterValidator(_network)]


class NetworkPlace(Table, title="Place", schema_name="badgercart__peers__settings__Place"):
    """where the peers of a network are"""  # noqa: D400

    network: Network = Field(description="the network, as 10.1.0.0/16")
    zone: Name = Field("", description="their zone")
    region: Name = Field("", description="their region")


class ClusterSettings(Table, title="PeersSettings"):
    """nodes that know each other"""  # noqa: D400

    listen: Address = Field(description="the host:port for datagrams and connections between nodes")
    advertise: Address | None = Field(None, description="where others reach it, if not at `listen`")
    group: Name = Field(
        max_length=64, description="the group's name; nodes of other groups are strangers"
    )
    secret: GroupSecret
    seeds: Annotated[tuple[Address, ...], Listed, Strict(False)] = Field(
        (), max_length=64, description="members that a new one turns to"
    )
    allow: Annotated[tuple[Network, ...], Listed] = Field(
        ("0.0.0.0/0",), min_length=1, max_length=256, description="networks that peers may be in"
    )
    place: Annotated[tuple[NetworkPlace, ...], Listed] = Field(
        (), max_length=256, description="zones and regions by network; the first that fits counts"
    )
    period_ms: float = Field(
        1000.0, ge=50, le=60_000, description="the time between two probes (ms)"
    )
    patience_ms: float = Field(
        500.0, ge=10, le=60_000, description="the time for an answer before others are asked (ms)"
    )
    gossip_ms: float = Field(
        200.0, ge=10, le=60_000, description="the time between two rounds of news (ms)"
    )
    sync_s: float = Field(
        30.0, ge=1, le=3600, description="the time between two whole exchanges (s)"
    )
    retry_ms: float = Field(
        2000.0,
        ge=50,
        le=3_600_000,
        description="the time between tries to reach one of the dead (ms)",
    )
    remember_s: float = Field(
        600.0, ge=1, le=86_400, description="the time for which a silent member may live (s)"
    )
    expect_s: float = Field(
        60.0,
        ge=0,
        le=86_400,
        description=(
            "the time from its start for which a node counts on as many as `node.nodes` says (s)"
        ),
    )
    share_ms: float = Field(
        500.0, ge=50, le=60_000, description="the time between two reports of use (ms)"
    )
    uses: Names = Field(FEATURES, description="what is done with it: shares, drains, hearsay")

    def timing(self) -> SwimTiming:
        """Return the protocol's timing settings."""
        return SwimTiming(
            probe_period_ms=self.period_ms,
            probe_timeout_ms=self.patience_ms,
            gossip_interval_ms=self.gossip_ms,
            sync_interval_ms=self.sync_s * 1000,
            retry_interval_ms=self.retry_ms,
            dead_retention_ms=self.remember_s * 1000,
            expected_size_ms=self.expect_s * 1000,
        )


def check(settings: ClusterSettings, _file: CheckedFile) -> Iterator[tuple[Path, str]]:
    """Yield the faults that involve more than one setting."""
    if settings.patience_ms >= settings.period_ms:
        yield ("patience_ms",), "is not below period_ms"
    if settings.advertise is None and settings.listen[0] in ("0.0.0.0", "::"):
        yield ("advertise",), "is missing: others can't reach an address that stands for all"
    for index, feature in enumerate(settings.uses):
        if feature not in FEATURES:
            yield ("uses", index), f"{feature!r} is none of {', '.join(FEATURES)}"
