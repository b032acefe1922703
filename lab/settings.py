"""The experiment file: its tables, its validation, and the grid of days that it expands to.

An experiment file describes a simulated fleet, its clients, the faults that are injected, and a
grid of settings to vary. Keys, values and descriptions are an interface to operators.
"""

from __future__ import annotations

import copy
import itertools
import os
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import Field, ValidationError

from badgercart.app import document
from badgercart.app.faults import Fault, SettingsFileError, of_model, problem
from badgercart.app.locate import lines_of
from badgercart.app.model import Listed, Name, Names, Table
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

HOUR_MS = 3_600_000.0
MAX_REQUESTS_PER_DAY = 50_000_000
Share = Annotated[float, Field(ge=0, le=1)]
Milliseconds = Annotated[float, Field(ge=0, le=HOUR_MS)]
Distribution = Literal["constant", "uniform", "exponential", "lognormal", "gamma", "pareto"]
# Dotted names of settings that a grid varies, with one value of each.
GridValues = tuple[tuple[str, Any], ...]


class Experiment(Table):
    """The table `[experiment]`: which days are played, and how long each one is."""

    name: Name = Field(description="its name in tables and reports")
    seconds: float = Field(30.0, ge=1, le=86_400, description="the length of a day (s)")
    measured_from_s: float = Field(
        0.0, ge=0, le=86_400, description="the time from which requests are measured (s)"
    )
    seeds: Annotated[tuple[int, ...], Listed] = Field(
        (1,),
        min_length=1,
        max_length=1000,
        description="seeds; each day is played once with each of them",
    )
    policies: Annotated[tuple[Name, ...], Listed] = Field(
        ("badgercart",),
        min_length=1,
        description="policies to run, by the names that `python -m lab peers` prints",
    )


class ServerKind(Table):
    """A table `[[kind]]`: a kind of server."""

    name: Name = Field("plain", description="its name")
    share: float = Field(
        1.0, gt=0, le=1000, description="its weight among the servers, relative to the other kinds"
    )
    cores: int = Field(2, ge=1, le=1024, description="requests that it serves at once")
    speed: float = Field(1.0, gt=0, le=1000, description="its speed, relative to a core of speed 1")
    queue: int = Field(
        4, ge=0, le=100_000, description="requests that may wait; further ones are rejected"
    )
    cold_from: float = Field(
        1.0, gt=0, le=1, description="the share of its speed that a started server has at first"
    )
    ramp_ms: Milliseconds = Field(
        0.0, description="the time until a started server has its full speed (ms)"
    )
    error_share: Share = Field(0.0, description="the share of requests that fail at random")
    listed_weight: float = Field(
        0.0, ge=0, le=1000, description="its weight in the server list; 0: cores times speed"
    )


class ClassSettings(Table):
    """A table `[[class]]`: a class of requests."""

    name: Name = Field(description="its name")
    share: float = Field(1.0, gt=0, le=1000, description="its part of the requests")
    work_ms: float = Field(
        50.0,
        gt=0,
        le=HOUR_MS,
        description="the mean service time of a request on a core of speed 1 (ms)",
    )
    cv: float = Field(
        1.0, gt=0, le=20, description="the standard deviation of the work over its mean"
    )
    dist: Distribution = Field("lognormal", description="the distribution of the work")
    aim_ms: float = Field(
        500.0,
        gt=0,
        le=HOUR_MS,
        description="the response time up to which a request has its full worth (ms)",
    )
    deadline_ms: float = Field(
        1500.0, gt=0, le=HOUR_MS, description="the time after which clients give up (ms)"
    )
    worth: float = Field(
        1.0, ge=0, le=1e6, description="the value of a request that is served in time"
    )
    effect: Literal["safe", "keyed", "unsafe"] = Field(
        "safe", description="whether a request may be repeated: always, with its key, or never"
    )
    group: Literal["all", "zone", "cell"] = Field(
        "all", description="keyed: the servers among which repeats are recognized and dropped"
    )
    window_ms: Milliseconds = Field(
        6000.0, description="keyed: the time for which repeats are dropped (ms)"
    )
    late_value: Share = Field(0.0, description="the share of its worth that is left after `aim_ms`")


class Tenant(Table):
    """A table `[[tenant]]`: a tenant that sends requests."""

    name: Name = Field(description="its name")
    share: float = Field(1.0, gt=0, le=1000, description="its part of the requests")
    quota: float = Field(
        1.0, ge=0, le=1000, description="its quota, relative to its share of the fleet's capacity"
    )


class Arrivals(Table):
    """The table `[arrivals]`: when requests arrive, and with which keys."""

    pattern: Literal["poisson", "bursts", "daily", "even"] = Field(
        "poisson", description="the arrival pattern"
    )
    load: float = Field(
        0.7,
        gt=0,
        le=100,
        description="the mean request rate, relative to the capacity of the warm fleet",
    )
    per_s: float = Field(
        0.0, ge=0, le=1e6, description="requests per second, in place of `load`; 0: by `load`"
    )
    swing: Share = Field(
        0.5, description="bursts, daily: how far the rate swings, relative to its mean"
    )
    period_s: float = Field(
        10.0, gt=0, le=86_400, description="bursts, daily: the period of the rate (s)"
    )
    keys: int = Field(
        500, ge=0, le=10_000_000, description="the number of distinct keys; 0: requests have none"
    )
    key_skew: float = Field(
        1.0, ge=0, le=4, description="the exponent of the Zipf distribution of the keys"
    )


class Clients(Table):
    """The table `[clients]`: how clients retry and when they leave."""

    retries: int = Field(
        0, ge=0, le=100, description="how often a client retries a rejected request"
    )
    backoff_ms: Milliseconds = Field(
        100.0,
        description="the mean delay before the first retry, doubled for each further one (ms)",
    )
    honour: Share = Field(1.0, description="the share of clients that respect Retry-After")
    impatient: Share = Field(
        0.0, description="the share of clients that leave at a random time before their deadline"
    )
    ms: Milliseconds = Field(0.5, description="the latency from a client to a node (ms)")


class Net(Table):
    """The table `[net]`: the network between nodes and servers."""

    zones: int = Field(1, ge=1, le=64, description="zones; nodes and servers are spread over them")
    same_ms: Milliseconds = Field(0.2, description="the one-way latency within a zone (ms)")
    cross_ms: Milliseconds = Field(0.6, description="the one-way latency between zones (ms)")
    regions: int = Field(
        1, ge=1, le=64, description="regions; zones are spread over them, in order"
    )
    far_ms: Milliseconds = Field(5.0, description="the one-way latency between regions (ms)")
    jitter: float = Field(
        0.2, ge=0, le=5, description="the standard deviation of a latency over its mean"
    )
    loss: Share = Field(0.0, description="the share of messages that are lost once and sent again")
    resend_ms: Milliseconds = Field(
        200.0, description="the time after which a lost message is sent again (ms)"
    )
    handshake_ms: Milliseconds = Field(
        0.6, description="the time to establish a connection, beside the latency (ms)"
    )
    idle_ms: Milliseconds = Field(
        15_000.0, description="the time after which an idle connection is closed (ms)"
    )
    dial_ms: Milliseconds = Field(
        200.0, description="the time after which connecting is given up (ms)"
    )


class Fleet(Table):
    """The table `[fleet]`: the servers, and the nodes that route to them."""

    servers: int = Field(10, ge=1, le=100_000, description="servers")
    nodes: int = Field(2, ge=1, le=1000, description="nodes that route to them")
    said: int = Field(
        0,
        ge=0,
        le=65536,
        description="the number of nodes in the nodes' own settings; 0: as many as there are",
    )
    peers: bool = Field(False, description="whether the nodes are members of one cluster")
    zones: Literal["off", "shared", "majority"] = Field(
        "off",
        description="peers: zone failover: none, by each node's own plan from shared evidence, "
        "or by one plan that a majority agrees on",
    )
    expect_s: float = Field(
        60.0,
        ge=0,
        le=86_400,
        description="peers: how long a started node relies on the configured number of nodes (s)",
    )
    cells: int = Field(1, ge=1, le=10_000, description="cells; servers are spread over them")
    all_cold: bool = Field(
        False, description="whether all servers start cold at the beginning of the day"
    )
    warm_gain: Share = Field(
        0.0, description="the share of the work that a server saves for a key in its cache"
    )
    warm_ms: Milliseconds = Field(
        5000.0, description="the time for which a server keeps a key in its cache (ms)"
    )
    drops_abandoned: bool = Field(
        False, description="whether servers drop waiting requests that a node has cancelled"
    )


class ServerLists(Table):
    """The table `[lists]`: when nodes learn of changes to the servers."""

    notice_ms: Milliseconds = Field(
        500.0, description="the delay until a change of the list is published (ms)"
    )
    spread_ms: Milliseconds = Field(
        100.0, description="the range of the further random delay until a node receives it (ms)"
    )
    crash_notice_ms: Milliseconds = Field(
        3000.0, description="the delay until a crashed server is listed as gone (ms)"
    )


class Node(Table):
    """The table `[node]`: the settings of the nodes."""

    max_attempts: int = Field(
        4, ge=1, le=16, description="the maximum number of attempts for a request"
    )
    max_retry_after_ms: Milliseconds = Field(600.0, description="the maximum of Retry-After (ms)")
    cancel: bool = Field(
        True, description="whether attempts that are no longer needed are cancelled"
    )
    over_share_worth: Share = Field(
        0.05, description="the share of its worth that a request beyond its tenant's quota keeps"
    )
    drain_grace_ms: Milliseconds = Field(
        500.0, description="the time after which a draining server must get no new requests (ms)"
    )
    learned_age_s: float = Field(
        -1.0,
        ge=-1,
        le=1e9,
        description="the age of the statistics with which a node restarts (s); below 0: none",
    )
    limit: Literal["none", "aimd", "gradient"] = Field(
        "none", description="other policies: their concurrency limit"
    )
    retry_budget: Share = Field(
        0.2,
        description="other policies: retries over requests, beside 10 retries per second",
    )


class Trouble(Table):
    """A table `[[trouble]]`: a fault or a change of the traffic that is injected."""

    kind: Literal[
        "slow", "silent", "errors", "crash", "restart", "drain", "partition", "list_loss", "flap", "surge",
        "hot_key", "node_restart", "loss", "freeze", "kill", "split", "one_way", "list_cut",
        "zone_loss", "zone_slow", "zone_flap", "zone_way", "region_cut",
    ] = Field(description="its kind")  # fmt: skip
    at_s: float = Field(description="the time at which it begins (s)", ge=0, le=86_400)
    for_s: float = Field(5.0, gt=0, le=86_400, description="how long it lasts (s)")
    share: Share = Field(
        0.25, description="the share of the servers that it affects; hot_key: of the requests"
    )
    size: float = Field(
        4.0,
        ge=0,
        le=1000,
        description="the factor by which servers are slower, or requests more; "
        "zone_flap: the length of each phase (s)",
    )
    chance: Share = Field(
        1.0, description="silent, errors, loss: the share of requests that it affects"
    )
    zone: int = Field(0, ge=0, le=63, description="partition, zone_…: the zone that it affects")
    to: int = Field(
        0, ge=0, le=63, description="zone_way: the zone that nothing from `zone` reaches"
    )
    zones: Annotated[tuple[int, ...], Listed] = Field(
        (), description="region_cut: the zones that are cut off from all others, as a group"
    )
    nodes: Names = Field(
        (), description="freeze, kill, list_cut, one_way: the nodes that it affects, as n0"
    )


# Kinds of trouble that name their nodes.
NODE_FAULT_KINDS = ("freeze", "kill", "list_cut", "one_way")
# Kinds of trouble that name their zones, beside `partition`.
ZONE_FAULT_KINDS = ("zone_loss", "zone_slow", "zone_flap", "zone_way", "region_cut")


class Day(Table, about="an experiment file"):
    """An experiment file: one simulated day, and the grid of its variants.

    A day is the whole simulated time of one run, however long it is.
    """

    experiment: Experiment
    fleet: Fleet = Field(Fleet(), description="the servers, and the nodes that route to them")
    kind: Annotated[tuple[ServerKind, ...], Listed] = Field(
        (ServerKind(),), min_length=1, description="kinds of servers"
    )
    class_: Annotated[tuple[ClassSettings, ...], Listed] = Field(
        alias="class", min_length=1, description="classes of requests"
    )
    tenant: Annotated[tuple[Tenant, ...], Listed] = Field(
        (), description="tenants; without any there is one, without a quota"
    )
    arrivals: Arrivals = Field(Arrivals(), description="when requests arrive, and with which keys")
    clients: Clients = Field(Clients(), description="how clients retry and when they leave")
    net: Net = Field(Net(), description="the network between nodes and servers")
    lists: ServerLists = Field(
        ServerLists(), description="when nodes learn of changes to the servers"
    )
    node: Node = Field(Node(), description="the settings of the nodes")
    trouble: Annotated[tuple[Trouble, ...], Listed] = Field(
        (), description="faults and changes of the traffic that are injected"
    )
    grid: dict[str, Any] = Field(
        {},
        description="lists of values to vary, by the dotted name of a setting, as `arrivals.load`",
    )

    @property
    def duration_ms(self) -> float:
        """The length of the day."""
        return self.experiment.seconds * 1000

    def region(self, zone: int) -> int:
        """Return the region of a zone."""
        return zone * self.net.regions // self.net.zones

    @property
    def mean_work_ms(self) -> float:
        """Mean service time of a request on a core of speed 1."""
        return sum(c.share * c.work_ms for c in self.class_) / sum(c.share for c in self.class_)

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that the warm fleet can serve."""
        total = sum(kind.share for kind in self.kind)
        fleet_speed = (
            sum(kind.share / total * kind.cores * kind.speed for kind in self.kind)
            * self.fleet.servers
        )
        return fleet_speed * 1000 / self.mean_work_ms

    @property
    def rate_per_s(self) -> float:
        """Mean requests per second."""
        return self.arrivals.per_s or self.arrivals.load * self.capacity_per_s

    def policy_settings(self, node: int) -> Settings:
        """Return the settings with which the policy of a node starts."""
        shares = sum(tenant.share for tenant in self.tenant)
        return Settings(
            classes=tuple(
                RequestClass(
                    c.aim_ms, c.deadline_ms, c.worth, Idempotency(c.effect), DeduplicationScope(c.group),
                    c.window_ms if c.effect == "keyed" else 0.0, c.late_value,
                )
                for c in self.class_
            ),
            zone=node % self.net.zones,
            cluster_size=self.fleet.said or self.fleet.nodes,
            node_index=node % (self.fleet.said or self.fleet.nodes),
            quotas_per_s=tuple(t.quota * t.share / shares * self.capacity_per_s for t in self.tenant),
            over_quota_weight=self.node.over_share_worth,
            key_affinity=self.fleet.warm_gain > 0,
            may_cancel=self.node.cancel,
            max_attempts=self.node.max_attempts,
            max_retry_after_ms=self.node.max_retry_after_ms,
            slow_start_min_capacity=min(kind.cold_from for kind in self.kind),
            slow_start_duration_ms=max(kind.ramp_ms for kind in self.kind),
        )  # fmt: skip


class GridError(Exception):
    """An invalid line of the grid."""

    def __init__(self, key: str, message: str) -> None:
        """Keep the key of the line beside what is wrong with it."""
        self.key = key
        super().__init__(message)


@dataclass(slots=True, frozen=True)
class Cell:
    """A cell of the experiment's grid: one day to play, with its policy and its seed."""

    # The settings, with the grid's values in place.
    day: Day
    policy: str
    seed: int
    # The dotted names that the grid varies, and the values of this cell.
    grid_values: GridValues = ()

    @property
    def name(self) -> str:
        """What distinguishes the cell from the others of its experiment."""
        return " ".join(
            [
                self.policy,
                *(f"{key}={value}" for key, value in self.grid_values),
                f"seed={self.seed}",
            ]
        )


def _file_error(file: document.Document, faults: list[Fault]) -> SettingsFileError:
    lines = lines_of(file.text)
    return SettingsFileError(
        file.path, [problem(path, message, lines, file.origins) for path, message in faults]
    )


def load_day(path: str, known_policies: tuple[str, ...] = ()) -> Day:
    """Read and validate an experiment file.

    Args:
        path: path of the file.
        known_policies: names that the file may use; empty: any.

    Raises:
        SettingsFileError: names all faults, by line and key.
    """
    file = document.read(path, os.environ)
    try:
        day = Day.model_validate(file.raw)
    except ValidationError as error:
        raise _file_error(file, list(of_model(error, Day))) from None
    faults = list(_consistency_faults(day, known_policies))
    if not faults:
        try:
            for cell in grid_cells(day):
                faults += list(_consistency_faults(cell.day, known_policies))
        except GridError as error:
            faults = [(("grid", error.key), str(error))]
    if faults:
        raise _file_error(file, list(dict.fromkeys(faults)))
    return day


def _consistency_faults(day: Day, known_policies: tuple[str, ...]) -> Iterator[Fault]:
    """Yield the faults that no setting has alone."""
    if known_policies:
        for name in day.experiment.policies:
            if name not in known_policies:
                yield ("experiment", "policies"), f"{name!r} is none of {', '.join(known_policies)}"
    if day.experiment.measured_from_s >= day.experiment.seconds:
        yield ("experiment", "measured_from_s"), "is not before the day's end"
    if day.net.regions > day.net.zones:
        yield ("net", "regions"), f"is more than the number of zones, {day.net.zones}"
    if day.fleet.zones != "off" and not day.fleet.peers:
        yield ("fleet", "zones"), "requires fleet.peers = true"
    for number, trouble in enumerate(day.trouble):
        if trouble.at_s >= day.experiment.seconds:
            yield ("trouble", number, "at_s"), "is after the day's end"
        for key, zone in (
            ("zone", trouble.zone),
            ("to", trouble.to),
            *(("zones", z) for z in trouble.zones),
        ):
            if (
                trouble.kind == "partition" or trouble.kind in ZONE_FAULT_KINDS
            ) and not 0 <= zone < day.net.zones:
                yield ("trouble", number, key), f"there are {day.net.zones} zones, from 0"
        for index, name in enumerate(trouble.nodes):
            if name not in {f"n{node}" for node in range(day.fleet.nodes)}:
                yield (
                    ("trouble", number, "nodes", index),
                    f"{name!r} is none of n0 to n{day.fleet.nodes - 1}",
                )
        if trouble.kind in NODE_FAULT_KINDS and not trouble.nodes:
            yield ("trouble", number, "nodes"), f"is missing: {trouble.kind} befalls nodes"
        if trouble.kind == "one_way" and len(trouble.nodes) != 2:
            yield ("trouble", number, "nodes"), "one_way takes two: from and to"
    for number, cls in enumerate(day.class_):
        if cls.aim_ms > cls.deadline_ms:
            yield ("class", number, "aim_ms"), "is longer than deadline_ms"
        if cls.dist == "pareto" and cls.cv <= 1:
            yield ("class", number, "cv"), "must be above 1 for a pareto distribution"
    expected = day.rate_per_s * day.experiment.seconds
    if expected > MAX_REQUESTS_PER_DAY:
        yield ("arrivals",), f"{expected:.0f} requests are more than {MAX_REQUESTS_PER_DAY:,} a day"


def grid_cells(day: Day) -> Iterator[Cell]:
    """Yield every day to play, by the grid's values, then policies, then seeds.

    Raises:
        GridError: the grid names an unknown setting, or has an invalid value.
    """
    keys = list(day.grid)
    lists = []
    for key in keys:
        values = day.grid[key]
        if not isinstance(values, list) or not values:
            raise GridError(key, "takes a list of values")
        lists.append(values)
    tables = day.model_dump(by_alias=True, exclude={"grid"})
    for chosen in itertools.product(*lists):
        raw = copy.deepcopy(tables)
        for key, value in zip(keys, chosen, strict=True):
            _set_value(raw, key, value)
        try:
            cell_day = Day.model_validate(raw)
        except ValidationError as error:
            fault = error.errors()[0]
            key = ".".join(map(str, fault["loc"]))
            raise GridError(
                key if key in day.grid else keys[0], f"{fault['input']!r}: {fault['msg']}"
            ) from None
        for policy in cell_day.experiment.policies:
            for seed in cell_day.experiment.seeds:
                yield Cell(cell_day, policy, seed, tuple(zip(keys, chosen, strict=True)))


def _set_value(raw: Any, key: str, value: Any) -> None:
    """Set a value in nested tables by the dotted name of the setting."""
    *parents, last = key.split(".")
    for part in parents:
        raw = _child(raw, part, key)
    if isinstance(raw, list | tuple) or last not in raw:
        raise GridError(key, f"there is no setting {key!r}")
    raw[last] = value


def _child(raw: Any, part: str, key: str) -> Any:
    """Return the table or array under one part of a dotted name; an array is made mutable."""
    if isinstance(raw, dict) and part in raw:
        if isinstance(raw[part], tuple):
            raw[part] = list(raw[part])
        return raw[part]
    if isinstance(raw, list) and part.isdecimal() and int(part) < len(raw):
        return raw[int(part)]
    raise GridError(key, f"there is no setting {key!r}")
