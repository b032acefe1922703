"""The settings of the zones package; keys and descriptions are an interface to operators."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Annotated, Literal

from pydantic import Field

from badgercart.app.component import CheckedFile
from badgercart.app.faults import Path
from badgercart.app.model import MAX_DURATION_MS, Listed, Name, Names, Table
from badgercart.cluster.settings import Network
from badgercart.zones.circuit_breaker import RecoverySettings
from badgercart.zones.consensus_state import LeaseSettings
from badgercart.zones.failover_settings import FailoverSettings, PlanningMode
from badgercart.zones.topology import MAX_ZONES, Topology, build_topology
from badgercart.zones.traffic_plan import UtilizationLimits

# Maximum time by which a lease ends earlier on the node's own clock.
MAX_LEASE_MARGIN_MS = 100.0
# Intervals after which the last report of a node is ignored.
REPORTS_PER_MAX_AGE = 5

Share = Annotated[float, Field(ge=0, le=1)]
Fault = tuple[Path, str]
"""The path of a setting, and what is wrong with it."""


class Region(Table, title="Region", about="zones that lie together"):
    """A region: zones among which regional traffic may be routed."""

    name: Name = Field(description="its name")
    zones: Names = Field(
        min_length=1, description="its zones; one that is in none is a region of its own"
    )


class Distance(
    Table, title="Distance", about="what it costs to go from one zone to another, and back"
):
    """The routing cost between two zones."""

    from_: Name = Field(alias="from", description="one zone")
    to: Name = Field(description="the other")
    cost: float = Field(
        gt=0, le=1e6, description="any measure, the same for all: nearer ones come first"
    )


class NetworkZone(
    Table,
    title="Place",
    schema_name="badgercart__zones__settings__Place",
    about="where the servers of a network are, where the list does not say",
):
    """The zone of the endpoints in a network."""

    network: Network = Field(description="the network, as 10.1.0.0/16")
    zone: Name = Field(description="their zone")


class ZonesSettings(
    Table, title="ZonesSettings", about="zones and regions that fail over by one plan"
):
    """The table `[zones]`."""

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
    network: Annotated[tuple[NetworkZone, ...], Listed] = Field(
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
    blind: Share = Field(
        0.1,
        description="the part of a zone's capacity left to all nodes together that have no plan",
    )
    lease_ms: float = Field(
        4000.0,
        ge=200,
        le=MAX_DURATION_MS,
        description="for how long a plan holds once a node took it (ms)",
    )
    renew_ms: float = Field(
        1000.0, ge=50, le=MAX_DURATION_MS, description="the time between two renewals (ms)"
    )
    patience_ms: float = Field(
        2000.0,
        ge=100,
        le=MAX_DURATION_MS,
        description="the silence of a proposer after which the next one steps in (ms)",
    )
    tell_ms: float = Field(
        500.0,
        ge=50,
        le=MAX_DURATION_MS,
        description="the time between two reports of evidence (ms)",
    )
    hold_ms: float = Field(
        3000.0,
        ge=0,
        le=MAX_DURATION_MS,
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

    def failover_settings(self, electorate: int) -> FailoverSettings:
        """Return the controller's settings; `electorate` is the configured number of nodes."""
        return FailoverSettings(
            mode=PlanningMode(self.mode),
            limits=UtilizationLimits(target_share=self.head, planned_share=1 - self.blind),
            lease=LeaseSettings(
                lease_ms=self.lease_ms,
                margin_ms=min(MAX_LEASE_MARGIN_MS, self.lease_ms / 10),
                renew_ms=self.renew_ms,
                proposer_timeout_ms=self.patience_ms,
            ),
            recovery=RecoverySettings(hold_ms=self.hold_ms, step_per_s=self.step),
            report_interval_ms=self.tell_ms,
            max_report_age_ms=REPORTS_PER_MAX_AGE * self.tell_ms,
            fallback_budget=self.blind,
            plans_per_minute=self.plans_per_minute,
            electorate=electorate,
        )

    def topology(
        self, zones: dict[str, int], classes: dict[bytes, int], tenants: dict[bytes, int]
    ) -> Topology:
        """Return the topology for the indexes of zones, classes and tenants in the file.

        Raises:
            KeyError: a class or tenant of these settings has no index.
        """
        return build_topology(
            tuple(zones),
            {zone: region.name for region in self.region for zone in region.zones},
            {(entry.from_, entry.to): entry.cost for entry in self.distance},
            len(classes),
            frozenset(classes[name.encode()] for name in self.bound_classes),
            frozenset(tenants[name.encode()] for name in self.bound_tenants),
        )


def check(settings: ZonesSettings, file: CheckedFile) -> Iterator[Fault]:
    """Yield the faults that involve more than one setting."""
    base = file.base
    zones = base.fleet.zones
    if len(zones) < 2:
        yield (), "needs at least two names in fleet.zones"
    if len(zones) > MAX_ZONES:
        yield (), f"takes {MAX_ZONES} zones at most, fleet.zones has {len(zones)}"
    if base.node.zone is None:
        yield (), "needs node.zone: where this node is"
    yield from _check_regions(settings.region, zones)
    yield from _check_distances(settings.distance, zones)
    for index, entry in enumerate(settings.network):
        if entry.zone not in zones:
            yield ("network", index, "zone"), f"{entry.zone!r} is none of fleet.zones"
    classes = {request_class.name for request_class in base.class_}
    tenants = {tenant.name for tenant in base.tenant}
    yield from _check_names("bound_classes", settings.bound_classes, "class", classes)
    yield from _check_names("bound_tenants", settings.bound_tenants, "tenant", tenants)
    yield from _check_numbers(settings)


def _check_regions(regions: Sequence[Region], zones: Sequence[str]) -> Iterator[Fault]:
    region_of: dict[str, str] = {}
    for index, region in enumerate(regions):
        for zone_index, zone in enumerate(region.zones):
            if zone not in zones:
                yield ("region", index, "zones", zone_index), f"{zone!r} is none of fleet.zones"
            elif zone in region_of:
                message = f"{zone!r} is in the region {region_of[zone]!r} already"
                yield ("region", index, "zones", zone_index), message
            region_of[zone] = region.name
    names = [region.name for region in regions]
    for index, name in enumerate(names):
        if name in names[:index]:
            yield ("region", index, "name"), f"{name!r} stands here twice"


def _check_distances(distances: Sequence[Distance], zones: Sequence[str]) -> Iterator[Fault]:
    pairs: set[frozenset[str]] = set()
    for index, entry in enumerate(distances):
        for key, zone in (("from", entry.from_), ("to", entry.to)):
            if zone not in zones:
                yield ("distance", index, key), f"{zone!r} is none of fleet.zones"
        if entry.from_ == entry.to:
            yield ("distance", index, "to"), "is the zone itself: that costs nothing"
        pair = frozenset((entry.from_, entry.to))
        if pair in pairs:
            yield ("distance", index), f"{entry.from_!r} and {entry.to!r} have a distance already"
        pairs.add(pair)


def _check_names(key: str, names: Sequence[str], table: str, known: set[str]) -> Iterator[Fault]:
    for index, name in enumerate(names):
        if name not in known:
            yield (key, index), f"{name!r} is no [[{table}]]"


def _check_numbers(settings: ZonesSettings) -> Iterator[Fault]:
    if settings.head > 1 - settings.blind:
        yield ("head",), "is more than blind leaves: head and blind together are 1 at most"
    if 2 * settings.renew_ms >= settings.lease_ms:
        message = "is not below half of lease_ms: one renewal that is lost would end the plan"
        yield ("renew_ms",), message
    if settings.patience_ms <= settings.renew_ms:
        message = "is not above renew_ms: a proposer that does its work would be stepped over"
        yield ("patience_ms",), message
