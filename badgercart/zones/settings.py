"""What an operator may set of zones that fail over by one plan."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Literal

from pydantic import Field

from badgercart.app.component import Checked
from badgercart.app.faults import Path
from badgercart.app.model import LONG, Listed, Name, Names, Table
from badgercart.cluster.settings import Network
from badgercart.zones.circuit_breaker import Pace
from badgercart.zones.failover_controller import FailoverSettings, Mode
from badgercart.zones.plan_consensus import LeaseSettings
from badgercart.zones.topology import MAX_ZONES, Geography, geography
from badgercart.zones.traffic_plan import Limits

Part = Annotated[float, Field(ge=0, le=1)]


class Region(Table, title="Region"):
    """zones that lie together"""

    name: Name = Field(description="its name")
    zones: Names = Field(
        min_length=1, description="its zones; one that is in none is a region of its own"
    )


class Distance(Table, title="Distance"):
    """what it costs to go from one zone to another, and back"""

    from_: Name = Field(alias="from", description="one zone")
    to: Name = Field(description="the other")
    cost: float = Field(
        gt=0, le=1e6, description="any measure, the same for all: nearer ones come first"
    )


class Place(Table, title="Place", schema_name="badgercart__zones__settings__Place"):
    """where the servers of a network are, where the list does not say"""

    network: Network = Field(description="the network, as 10.1.0.0/16")
    zone: Name = Field(description="their zone")


class ZonesSettings(Table, title="ZonesSettings"):
    """zones and regions that fail over by one plan"""

    mode: Literal["majority", "shared"] = Field(
        "majority",
        description="one plan by more than half of the nodes, or each its own by shared evidence",
    )
    region: Annotated[tuple[Region, ...], Listed] = Field(
        (), max_length=MAX_ZONES, description="regions"
    )
    distance: Annotated[tuple[Distance, ...], Listed] = Field(
        (),
        max_length=MAX_ZONES * MAX_ZONES,
        description="costs; 1 within a region and 10 between two if not given",
    )
    network: Annotated[tuple[Place, ...], Listed] = Field(
        (), max_length=1024, description="zones of servers by network; the first that fits counts"
    )
    bound_classes: Names = Field(
        (), description="classes whose requests must not leave their region"
    )
    bound_tenants: Names = Field(
        (), description="tenants whose requests must not leave their region"
    )
    serves: float = Field(
        1.0,
        gt=0,
        le=1e6,
        description="requests that a server of weight 1 serves at once",
    )
    head: float = Field(
        0.8,
        gt=0,
        le=1,
        description="the part of its capacity that a zone is filled to while others have room",
    )
    blind: Part = Field(
        0.1,
        description="the part of a zone's capacity left to all nodes together that have no plan",
    )
    lease_ms: float = Field(
        4000.0, ge=200, le=LONG, description="for how long a plan holds once a node took it (ms)"
    )
    renew_ms: float = Field(
        1000.0, ge=50, le=LONG, description="the time between two renewals (ms)"
    )
    patience_ms: float = Field(
        2000.0,
        ge=100,
        le=LONG,
        description="the silence of a proposer after which the next one steps in (ms)",
    )
    tell_ms: float = Field(
        500.0, ge=50, le=LONG, description="the time between two reports of evidence (ms)"
    )
    hold_ms: float = Field(
        3000.0,
        ge=0,
        le=LONG,
        description="the time a zone must be well before it gets anything again (ms)",
    )
    step: float = Field(
        0.2,
        gt=0,
        le=10,
        description="the part of its capacity that a returning zone gets more each second",
    )
    plans_per_minute: float = Field(
        20.0, ge=1, le=600, description="plans in a minute; beyond them the safer one stays"
    )
    probe_path: Name = Field(
        "/",
        pattern=r"^/[!-~]*$",
        description="what servers are asked for, to see whether they answer at all",
    )
    probe_ms: float = Field(500.0, ge=10, le=60_000, description="the time for such an answer (ms)")

    def ways(self, electorate: int) -> FailoverSettings:
        return FailoverSettings(
            Mode(self.mode),
            Limits(self.head, 1 - self.blind),
            LeaseSettings(
                lease=self.lease_ms, margin=min(100.0, self.lease_ms / 10), renew=self.renew_ms,
                patience=self.patience_ms,
            ),
            Pace(hold=self.hold_ms, step=self.step),
            tell=self.tell_ms,
            old=5 * self.tell_ms,
            blind=self.blind,
            per_minute=self.plans_per_minute,
            electorate=electorate,
        )  # fmt: skip

    def geography(
        self, zones: dict[str, int], classes: dict[bytes, int], tenants: dict[bytes, int]
    ) -> Geography:
        """The map, by the names that the file has for zones, classes and tenants."""
        regions = {zone: region.name for region in self.region for zone in region.zones}
        distances = {(told.from_, told.to): told.cost for told in self.distance}
        return geography(
            tuple(zones), regions, distances, len(classes),
            frozenset(classes[name.encode()] for name in self.bound_classes),
            frozenset(tenants[name.encode()] for name in self.bound_tenants),
        )  # fmt: skip


def check(settings: ZonesSettings, file: Checked) -> Iterator[tuple[Path, str]]:
    """What only several settings together can get wrong."""
    base = file.base
    zones = base.fleet.zones
    if len(zones) < 2:
        yield (), "needs at least two names in fleet.zones"
    if len(zones) > MAX_ZONES:
        yield (), f"takes {MAX_ZONES} zones at most, fleet.zones has {len(zones)}"
    if base.node.zone is None:
        yield (), "needs node.zone: where this node is"
    seen: dict[str, str] = {}
    for at, region in enumerate(settings.region):
        for place, zone in enumerate(region.zones):
            if zone not in zones:
                yield ("region", at, "zones", place), f"{zone!r} is none of fleet.zones"
            elif zone in seen:
                yield (
                    ("region", at, "zones", place),
                    f"{zone!r} is in the region {seen[zone]!r} already",
                )
            seen[zone] = region.name
    names = [region.name for region in settings.region]
    for at, name in enumerate(names):
        if name in names[:at]:
            yield ("region", at, "name"), f"{name!r} stands here twice"
    pairs: set[frozenset[str]] = set()
    for at, told in enumerate(settings.distance):
        for key, zone in (("from", told.from_), ("to", told.to)):
            if zone not in zones:
                yield ("distance", at, key), f"{zone!r} is none of fleet.zones"
        if told.from_ == told.to:
            yield ("distance", at, "to"), "is the zone itself: that costs nothing"
        if (pair := frozenset((told.from_, told.to))) in pairs:
            yield ("distance", at), f"{told.from_!r} and {told.to!r} have a distance already"
        pairs.add(pair)
    for at, place_ in enumerate(settings.network):
        if place_.zone not in zones:
            yield ("network", at, "zone"), f"{place_.zone!r} is none of fleet.zones"
    for key, table, wanted in (
        ("bound_classes", "class", {cls.name for cls in base.class_}),
        ("bound_tenants", "tenant", {tenant.name for tenant in base.tenant}),
    ):
        for at, name in enumerate(getattr(settings, key)):
            if name not in wanted:
                yield (key, at), f"{name!r} is no [[{table}]]"
    if settings.head > 1 - settings.blind:
        yield ("head",), "is more than blind leaves: head and blind together are 1 at most"
    if 2 * settings.renew_ms >= settings.lease_ms:
        yield (
            ("renew_ms",),
            "is not below half of lease_ms: one renewal that is lost would end the plan",
        )
    if settings.patience_ms <= settings.renew_ms:
        yield (
            ("patience_ms",),
            "is not above renew_ms: a proposer that does its work would be stepped over",
        )
