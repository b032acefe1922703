"""What an experiment file says: the world, the node, troubles, the grid, and what is measured."""

from __future__ import annotations

import copy
import itertools
import os
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import Field, ValidationError

from badgercart.app import document
from badgercart.app.faults import Path, SettingsFileError, of_model, problem
from badgercart.app.locate import lines_of
from badgercart.app.model import Listed, Name, Names, Table
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

HOUR = 3_600_000.0  # ms
Share = Annotated[float, Field(ge=0, le=1)]
Ms = Annotated[float, Field(ge=0, le=HOUR)]
Dist = Literal["constant", "uniform", "exponential", "lognormal", "gamma", "pareto"]


class Experiment(Table):
    """what is run"""

    name: Name = Field(description="its name in tables and reports")
    seconds: float = Field(30.0, ge=1, le=86_400, description="the length of a day (s)")
    measured_from_s: float = Field(
        0.0, ge=0, le=86_400, description="what comes before is not measured (s)"
    )
    seeds: Annotated[tuple[int, ...], Listed] = Field(
        (1,), min_length=1, max_length=1000, description="a day for each seed"
    )
    policies: Annotated[tuple[Name, ...], Listed] = Field(
        ("badgercart",),
        min_length=1,
        description="policies to run, as `python -m lab peers` names them",
    )


class Kind(Table):
    """a kind of server"""

    name: Name = Field("plain", description="its name")
    share: float = Field(
        1.0, gt=0, le=1000, description="its part of the servers, beside the other kinds'"
    )
    cores: int = Field(2, ge=1, le=1024, description="requests served at once")
    speed: float = Field(1.0, gt=0, le=1000, description="work is done so many times as fast")
    queue: int = Field(
        4, ge=0, le=100_000, description="requests that may wait; more are turned away"
    )
    cold_from: float = Field(
        1.0, gt=0, le=1, description="the share of its speed with which one starts"
    )
    ramp_ms: Ms = Field(0.0, description="the time until a started one is warm (ms)")
    error_share: Share = Field(0.0, description="requests that fail by chance")
    listed_weight: float = Field(
        0.0, ge=0, le=1000, description="the weight in the list; 0: cores times speed"
    )


class Class(Table):
    """a class of requests"""

    name: Name = Field(description="its name")
    share: float = Field(1.0, gt=0, le=1000, description="its part of the requests")
    work_ms: float = Field(
        50.0, gt=0, le=HOUR, description="mean work of one, on a core of speed 1 (ms)"
    )
    cv: float = Field(1.0, gt=0, le=20, description="standard deviation of the work over its mean")
    dist: Dist = Field("lognormal", description="its distribution")
    aim_ms: float = Field(500.0, gt=0, le=HOUR, description="the time for its whole worth (ms)")
    deadline_ms: float = Field(
        1500.0, gt=0, le=HOUR, description="the time after which clients give up (ms)"
    )
    worth: float = Field(1.0, ge=0, le=1e6, description="what one is worth")
    effect: Literal["safe", "keyed", "unsafe"] = Field(
        "safe", description="what repeating one does"
    )
    group: Literal["all", "zone", "cell"] = Field(
        "all", description="keyed: servers that drop its repeats"
    )
    window_ms: Ms = Field(6000.0, description="keyed: the time for which repeats are dropped (ms)")
    late_value: Share = Field(0.0, description="the part of its worth left after the aim")


class Tenant(Table):
    """who asks"""

    name: Name = Field(description="its name")
    share: float = Field(1.0, gt=0, le=1000, description="its part of the requests")
    quota: float = Field(
        1.0, ge=0, le=1000, description="its quota, over its part of the fleet's capacity"
    )


class Arrivals(Table):
    """when requests come"""

    pattern: Literal["poisson", "bursts", "daily", "even"] = Field(
        "poisson", description="their pattern"
    )
    load: float = Field(
        0.7, gt=0, le=100, description="requests over what the warm fleet can serve"
    )
    per_s: float = Field(
        0.0, ge=0, le=1e6, description="requests a second, in place of `load`; 0: by load"
    )
    swing: Share = Field(0.5, description="bursts, daily: how far the rate goes up and down")
    period_s: float = Field(
        10.0, gt=0, le=86_400, description="bursts, daily: the time of one swing (s)"
    )
    keys: int = Field(500, ge=0, le=10_000_000, description="different keys; 0: requests have none")
    key_skew: float = Field(1.0, ge=0, le=4, description="the exponent of the keys' Zipf law")


class Clients(Table):
    """how clients behave"""

    retries: int = Field(
        0, ge=0, le=100, description="how often a request that was turned away comes again"
    )
    backoff_ms: Ms = Field(
        100.0, description="the time before the first retry, doubled for each (ms)"
    )
    honour: Share = Field(1.0, description="clients that keep to Retry-After")
    impatient: Share = Field(
        0.0, description="clients that leave at a random time before their deadline"
    )
    ms: Ms = Field(0.5, description="the way from a client to a node (ms)")


class Net(Table):
    """the network between nodes and servers"""

    zones: int = Field(1, ge=1, le=64, description="zones; nodes and servers are spread over them")
    same_ms: Ms = Field(0.2, description="one way within a zone (ms)")
    cross_ms: Ms = Field(0.6, description="one way between zones (ms)")
    regions: int = Field(
        1, ge=1, le=64, description="regions; zones are spread over them, in order"
    )
    far_ms: Ms = Field(5.0, description="one way between regions (ms)")
    jitter: float = Field(0.2, ge=0, le=5, description="standard deviation of a way over its mean")
    loss: Share = Field(0.0, description="messages that are lost once and sent again")
    resend_ms: Ms = Field(
        200.0, description="the time after which a lost message is sent again (ms)"
    )
    handshake_ms: Ms = Field(0.6, description="the time for a new connection beside its way (ms)")
    idle_ms: Ms = Field(
        15_000.0, description="the time after which an idle connection is closed (ms)"
    )
    dial_ms: Ms = Field(200.0, description="the time after which no connection is given up (ms)")


class Fleet(Table):
    """the servers and the nodes before them"""

    servers: int = Field(10, ge=1, le=100_000, description="servers")
    nodes: int = Field(2, ge=1, le=1000, description="nodes that share them")
    said: int = Field(
        0, ge=0, le=65536, description="nodes that their files say there are; 0: the truth"
    )
    peers: bool = Field(False, description="whether the nodes know each other")
    zones: Literal["off", "shared", "majority"] = Field(
        "off",
        description="peers: whether zones fail over, each by its own plan of what all see, or by one",
    )
    expect_s: float = Field(
        60.0, ge=0, le=86_400, description="peers: how long that counts from a start (s)"
    )
    cells: int = Field(1, ge=1, le=10_000, description="cells; servers are spread over them")
    all_cold: bool = Field(False, description="whether all start as the day begins")
    warm_gain: Share = Field(
        0.0, description="the part of the work that a server spares for a key it knows"
    )
    warm_ms: Ms = Field(5000.0, description="the time for which it knows one (ms)")
    drops_abandoned: bool = Field(
        False, description="whether servers drop what a node has cancelled"
    )


class ServerLists(Table):
    """how nodes hear of servers"""

    notice_ms: Ms = Field(500.0, description="the mean time until a change is told (ms)")
    spread_ms: Ms = Field(100.0, description="how far apart nodes hear of it (ms)")
    crash_notice_ms: Ms = Field(
        3000.0, description="the mean time until a server that died is listed so (ms)"
    )


class Node(Table):
    """what nodes are set to"""

    max_attempts: int = Field(4, ge=1, le=16, description="attempts for a request at the most")
    max_retry_after_ms: Ms = Field(
        600.0, description="the longest time for which a client is sent away (ms)"
    )
    cancel: bool = Field(
        True, description="whether attempts that are no longer wanted are given up"
    )
    over_share_worth: Share = Field(
        0.05, description="the part of its worth left beyond a tenant's share"
    )
    drain_grace_ms: Ms = Field(
        500.0, description="the time after which nothing new goes to a leaving server (ms)"
    )
    learned_age_s: float = Field(
        -1.0,
        ge=-1,
        le=1e9,
        description="a node that restarts has what it learned, as old as this (s); under 0: nothing",
    )
    limit: Literal["none", "aimd", "gradient"] = Field(
        "none", description="peers: their limit of requests out"
    )
    retry_budget: Share = Field(0.2, description="peers: retries over requests, beside 10 a second")


class Trouble(Table):
    """something that happens"""

    kind: Literal[
        "slow", "silent", "errors", "crash", "restart", "drain", "partition", "list_loss", "flap", "surge",
        "hot_key", "node_restart", "loss", "freeze", "kill", "split", "one_way", "list_cut",
        "zone_loss", "zone_slow", "zone_flap", "zone_way", "region_cut",
    ] = Field(description="what happens")  # fmt: skip
    at_s: float = Field(description="when it begins (s)", ge=0, le=86_400)
    for_s: float = Field(5.0, gt=0, le=86_400, description="how long it lasts (s)")
    share: Share = Field(
        0.25, description="the part of the servers that it befalls; of requests for a hot key"
    )
    size: float = Field(
        4.0, ge=0, le=1000, description="how many times slower, or as many requests"
    )
    chance: Share = Field(
        1.0, description="silent, errors, loss: the part of requests that it befalls"
    )
    zone: int = Field(0, ge=0, le=63, description="partition, zone_…: the zone that it befalls")
    to: int = Field(0, ge=0, le=63, description="zone_way: nothing passes from `zone` to this one")
    zones: Annotated[tuple[int, ...], Listed] = Field(
        (), description="region_cut: the zones that are cut off from all others together"
    )
    nodes: Names = Field((), description="freeze, kill, list_cut, one_way: which, as n0")


BEFALLS_NODES = ("freeze", "kill", "list_cut", "one_way")  # these take `nodes`
ZONED = ("zone_loss", "zone_slow", "zone_flap", "zone_way", "region_cut")


class Day(Table):
    """an experiment file"""

    experiment: Experiment
    fleet: Fleet = Field(Fleet(), description="the servers and the nodes before them")
    kind: Annotated[tuple[Kind, ...], Listed] = Field(
        (Kind(),), min_length=1, description="kinds of servers"
    )
    class_: Annotated[tuple[Class, ...], Listed] = Field(
        alias="class", min_length=1, description="classes of requests"
    )
    tenant: Annotated[tuple[Tenant, ...], Listed] = Field(
        (), description="who asks; none: one, without a quota"
    )
    arrivals: Arrivals = Field(Arrivals(), description="when requests come")
    clients: Clients = Field(Clients(), description="how clients behave")
    net: Net = Field(Net(), description="the network between nodes and servers")
    lists: ServerLists = Field(ServerLists(), description="how nodes hear of servers")
    node: Node = Field(Node(), description="what nodes are set to")
    trouble: Annotated[tuple[Trouble, ...], Listed] = Field(
        (), description="what happens in the day"
    )
    grid: dict[str, Any] = Field({}, description="lists of values by setting, as `arrivals.load`")

    @property
    def ms(self) -> float:
        return self.experiment.seconds * 1000

    def region(self, zone: int) -> int:
        return zone * self.net.regions // self.net.zones

    @property
    def mean_work(self) -> float:
        """Mean work of a request, ms on a core of speed 1."""
        return sum(c.share * c.work_ms for c in self.class_) / sum(c.share for c in self.class_)

    @property
    def capacity(self) -> float:
        """Requests a second that the warm fleet can serve."""
        total = sum(kind.share for kind in self.kind)
        power = (
            sum(kind.share / total * kind.cores * kind.speed for kind in self.kind)
            * self.fleet.servers
        )
        return power * 1000 / self.mean_work

    @property
    def rate(self) -> float:
        """Requests a second on average."""
        return self.arrivals.per_s or self.arrivals.load * self.capacity

    def policy_settings(self, node: int) -> Settings:
        """What the policy of a node is told at its start."""
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
            quotas_per_s=tuple(t.quota * t.share / shares * self.capacity for t in self.tenant),
            over_quota_weight=self.node.over_share_worth,
            key_affinity=self.fleet.warm_gain > 0,
            may_cancel=self.node.cancel,
            max_attempts=self.node.max_attempts,
            max_retry_after_ms=self.node.max_retry_after_ms,
            slow_start_min_capacity=min(kind.cold_from for kind in self.kind),
            slow_start_duration_ms=max(kind.ramp_ms for kind in self.kind),
        )  # fmt: skip


class GridError(Exception):
    """A line of the grid that can't be used: its key, and what is wrong."""

    def __init__(self, key: str, words: str) -> None:
        self.key = key
        super().__init__(words)


@dataclass(slots=True, frozen=True)
class Cell:
    """One day to play: the settings with the grid's values in place, a policy and a seed."""

    day: Day
    policy: str
    seed: int
    values: tuple[tuple[str, Any], ...] = ()  # of the grid

    @property
    def name(self) -> str:
        """What tells it from the others of its experiment."""
        return " ".join(
            [self.policy, *(f"{key}={value}" for key, value in self.values), f"seed={self.seed}"]
        )


def _faults(read: document.Document, found: list[tuple[Path, str]]) -> SettingsFileError:
    lines = lines_of(read.text)
    return SettingsFileError(
        read.path, [problem(place, words, lines, read.origins) for place, words in found]
    )


def load(path: str, known: tuple[str, ...] = ()) -> Day:
    """Read and check an experiment file. FileError names all that is wrong, by line and key.

    `known`: the policies that there are; empty: any."""
    read = document.read(path, os.environ)
    try:
        day = Day.model_validate(read.raw)
    except ValidationError as error:
        raise _faults(read, list(of_model(error, Day))) from None
    found = list(_whole(day, known))
    if not found:
        try:
            for cell in cells(day):
                found += list(_whole(cell.day, known))
        except GridError as error:
            found = [(("grid", error.key), str(error))]
    if found:
        raise _faults(read, list(dict.fromkeys(found)))
    return day


def _whole(day: Day, known: tuple[str, ...]) -> Iterator[tuple[Path, str]]:
    """What only several settings together can get wrong."""
    if known:
        for name in day.experiment.policies:
            if name not in known:
                yield ("experiment", "policies"), f"{name!r} is none of {', '.join(known)}"
    if day.experiment.measured_from_s >= day.experiment.seconds:
        yield ("experiment", "measured_from_s"), "is not before the day's end"
    if day.net.regions > day.net.zones:
        yield ("net", "regions"), f"there are {day.net.zones} zones to spread over them"
    if day.fleet.zones != "off" and not day.fleet.peers:
        yield ("fleet", "zones"), "takes fleet.peers = true"
    for number, trouble in enumerate(day.trouble):
        if trouble.at_s >= day.experiment.seconds:
            yield ("trouble", number, "at_s"), "is after the day's end"
        for key, zone in (
            ("zone", trouble.zone),
            ("to", trouble.to),
            *(("zones", z) for z in trouble.zones),
        ):
            if (
                trouble.kind == "partition" or trouble.kind in ZONED
            ) and not 0 <= zone < day.net.zones:
                yield ("trouble", number, key), f"there are {day.net.zones} zones, from 0"
        for place, name in enumerate(trouble.nodes):
            if name not in {f"n{node}" for node in range(day.fleet.nodes)}:
                yield (
                    ("trouble", number, "nodes", place),
                    f"{name!r} is none of n0 to n{day.fleet.nodes - 1}",
                )
        if trouble.kind in BEFALLS_NODES and not trouble.nodes:
            yield ("trouble", number, "nodes"), f"is missing: {trouble.kind} befalls nodes"
        if trouble.kind == "one_way" and len(trouble.nodes) != 2:
            yield ("trouble", number, "nodes"), "one_way takes two: from and to"
    for number, cls in enumerate(day.class_):
        if cls.aim_ms > cls.deadline_ms:
            yield ("class", number, "aim_ms"), "is longer than deadline_ms"
        if cls.dist == "pareto" and cls.cv <= 1:
            yield ("class", number, "cv"), "of a pareto law is over 1"
    expected = day.rate * day.experiment.seconds
    if expected > 50_000_000:
        yield ("arrivals",), f"{expected:.0f} requests are more than 50,000,000 a day"


def cells(day: Day) -> Iterator[Cell]:
    """Every day to play, in a stated order: the grid's values, then policies, then seeds.

    Raises GridError where the grid names what there is not, or a value that can't be."""
    keys = list(day.grid)
    lists = []
    for key in keys:
        values = day.grid[key]
        if not isinstance(values, list) or not values:
            raise GridError(key, "takes a list of values")
        lists.append(values)
    plain = day.model_dump(by_alias=True, exclude={"grid"})
    for chosen in itertools.product(*lists):
        raw = copy.deepcopy(plain)
        for key, value in zip(keys, chosen, strict=True):
            _put(raw, key, value)
        try:
            made = Day.model_validate(raw)
        except ValidationError as error:
            told = error.errors()[0]
            key = ".".join(map(str, told["loc"]))
            raise GridError(
                key if key in day.grid else keys[0], f"{told['input']!r}: {told['msg']}"
            ) from None
        for policy in made.experiment.policies:
            for seed in made.experiment.seeds:
                yield Cell(made, policy, seed, tuple(zip(keys, chosen, strict=True)))


def _put(raw: Any, key: str, value: Any) -> None:
    *way, last = key.split(".")
    for part in way:
        raw = _step(raw, part, key)
    if isinstance(raw, list | tuple) or last not in raw:
        raise GridError(key, f"there is no setting {key!r}")
    raw[last] = value


def _step(raw: Any, part: str, key: str) -> Any:
    if isinstance(raw, dict) and part in raw:
        if isinstance(raw[part], tuple):
            raw[part] = list(raw[part])
        return raw[part]
    if isinstance(raw, list) and part.isdecimal() and int(part) < len(raw):
        return raw[int(part)]
    raise GridError(key, f"there is no setting {key!r}")
