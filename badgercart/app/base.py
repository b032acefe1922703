"""The tables that every installation has: node, fleet, retries, classes and tenants."""

from __future__ import annotations

import secrets
from collections.abc import Iterator, Sequence
from ipaddress import ip_address
from typing import Annotated, Any, Literal

from pydantic import Field

from badgercart.app.faults import Fault
from badgercart.app.logs import Log
from badgercart.app.model import MAX_DURATION_MS, Listed, Name, Names, Table
from badgercart.config import Config, effective_descriptor_limit
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings


class Node(Table, title="Node", about="what this node is"):
    """The table `[node]`."""

    name: Name = Field("badgercart", description="its name in the log")
    zone: Name | None = Field(None, description="its own zone, one of fleet.zones")
    seed: Name | None = Field(
        None, description="the seed of its random numbers, hexadecimal; new if not given"
    )
    sockets: int = Field(
        1024, ge=64, le=1_000_000, description="descriptors that the process may hold"
    )
    number: int = Field(0, ge=0, le=65535, description="its number among the nodes, from 0")
    nodes: int = Field(1, ge=1, le=65536, description="how many nodes share the fleet")
    source: Name | None = Field(
        None,
        description="the address that its connections set out from, where the machine has several",
    )
    key_secret: Name | None = Field(
        None,
        min_length=16,
        max_length=64,
        description="a secret by which requests' keys are hashed, the same at all nodes: "
        "then no key can be found in a capture by guessing",
    )
    default_tenant: Name | None = Field(
        None,
        description="the tenant that requests without the header count for; none: they are turned away",
    )


class Fleet(Table, title="Fleet", about="what all servers have in common"):
    """The table `[fleet]`."""

    zones: Names = Field((), description="the zones' names")
    kinds: Names = Field((), description="the kinds of machine")
    cold_from: float = Field(
        1.0, ge=0.01, le=1, description="the share of its capacity with which a server starts"
    )
    ramp_ms: float = Field(
        0.0, ge=0, le=MAX_DURATION_MS, description="the time in which a started server is warm (ms)"
    )
    drain_grace_ms: float = Field(
        500.0,
        ge=50,
        le=MAX_DURATION_MS,
        description="the time after which nothing new goes to a draining server (ms)",
    )
    warm_keys: bool = Field(
        False, description="whether a server that met a key lately serves it with less work"
    )
    full_may_have_run: bool = Field(
        False, description="whether 'turned away' is said also of work that had begun"
    )
    dial_timeout_ms: float = Field(
        200.0,
        ge=1,
        le=MAX_DURATION_MS,
        description="the time for a connection to a server to come up (ms)",
    )
    idle_ms: float = Field(
        15000.0,
        ge=10,
        le=MAX_DURATION_MS,
        description="the time after which servers close a connection that carries nothing (ms)",
    )


class Retry(Table, title="Retry", about="sending again and sending away"):
    """The table `[retry]`."""

    max_attempts: int = Field(4, ge=1, le=16, description="attempts for a request at the most")
    max_retry_after_ms: float = Field(
        600.0,
        ge=0,
        le=MAX_DURATION_MS,
        description="the longest time for which a refused client is sent away (ms)",
    )
    cancel: bool = Field(
        True, description="whether attempts that are no longer wanted are given up"
    )
    over_share_worth: float = Field(
        0.05, ge=0, le=1, description="the part of its worth left beyond a tenant's share"
    )


class Class(Table, title="Class", about="a class of requests"):
    """A table `[[class]]`."""

    name: Name = Field(description="the first part of its requests' paths")
    aim_ms: float = Field(
        ge=1,
        le=MAX_DURATION_MS,
        description="the time within which an answer has its whole worth (ms)",
    )
    deadline_ms: float = Field(
        ge=1, le=MAX_DURATION_MS, description="the time after which clients give up (ms)"
    )
    worth: float = Field(ge=0, le=1e6, description="what one is worth beside the others")
    effect: Literal["safe", "keyed", "unsafe"] = Field(description="what repeating one does")
    group: Literal["all", "zone", "cell"] = Field(
        "all", description="keyed: the servers that drop its repeats"
    )
    window_ms: float = Field(
        0.0,
        ge=0,
        le=MAX_DURATION_MS,
        description="keyed: the time for which repeats are dropped (ms)",
    )
    late_value: float = Field(
        0.0, ge=0, le=1, description="the part of its worth left after the aim"
    )


class Tenant(Table, title="Tenant", about="a tenant and its share"):
    """A table `[[tenant]]`."""

    name: Name = Field(description="the name in the header Tenant")
    quota_per_s: float = Field(ge=0, le=1e9, description="requests a second over all nodes")


class Base(Table):
    """The root of a file, without the tables of components, which `file` adds."""

    node: Node = Node()
    fleet: Fleet = Fleet()
    retry: Retry = Retry()
    log: Log = Log()
    class_: Annotated[tuple[Class, ...], Listed] = Field(
        alias="class", description="a class of requests"
    )
    tenant: Annotated[tuple[Tenant, ...], Listed] = Field((), description="a tenant and its share")


def check(base: Base) -> Iterator[Fault]:
    """Yield the faults that only several settings together can have."""
    if not base.class_:
        yield ("class",), "is missing: a class of requests"
    yield from _check_distinct("class", [entry.name for entry in base.class_])
    yield from _check_distinct("tenant", [entry.name for entry in base.tenant])
    for index, entry in enumerate(base.class_):
        for key, words in _check_class(entry):
            yield ("class", index, key), words
    yield from _check_node(base)


def _check_distinct(table: str, names: Sequence[str]) -> Iterator[Fault]:
    for index, name in enumerate(names):
        if name in names[:index]:
            yield (table, index, "name"), f"{name!r} stands here twice"


def _check_class(entry: Class) -> Iterator[tuple[str, str]]:
    """Yield the keys of a class that contradict others, and why."""
    if entry.aim_ms > entry.deadline_ms:
        yield "aim_ms", "is later than deadline_ms"
    if entry.effect == "keyed" and not entry.window_ms:
        yield "effect", "keyed needs a window_ms above 0"
    if "/" in entry.name:
        yield "name", "holds a slash: it is one part of a path"


def _check_node(base: Base) -> Iterator[Fault]:
    node = base.node
    if node.zone is not None and node.zone not in base.fleet.zones:
        yield ("node", "zone"), f"{node.zone!r} is none of fleet.zones"
    if node.number >= node.nodes:
        yield ("node", "number"), "is not below node.nodes"
    tenants = {tenant.name for tenant in base.tenant}
    if node.default_tenant is not None and node.default_tenant not in tenants:
        yield ("node", "default_tenant"), f"{node.default_tenant!r} is no [[tenant]]"
    if node.source is not None and not _is_ip_address(node.source):
        yield ("node", "source"), f"{node.source!r} is no IP address"
    if not _is_hexadecimal(node.seed or "0"):
        yield ("node", "seed"), "is not hexadecimal"


def _is_ip_address(text: str) -> bool:
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def _is_hexadecimal(text: str) -> bool:
    try:
        int(text, 16)
    except ValueError:
        return False
    return True


def config_of(base: Base) -> Config:
    """Return the configuration of the core and the policy."""
    node, fleet, retry = base.node, base.fleet, base.retry
    settings = Settings(
        classes=tuple(
            RequestClass(
                latency_objective_ms=request_class.aim_ms,
                deadline_ms=request_class.deadline_ms,
                priority_weight=request_class.worth,
                idempotency=Idempotency(request_class.effect),
                deduplication_scope=DeduplicationScope(request_class.group),
                deduplication_window_ms=request_class.window_ms,
                late_value_share=request_class.late_value,
            )
            for request_class in base.class_
        ),
        zone=fleet.zones.index(node.zone) if node.zone is not None else 0,
        cluster_size=node.nodes,
        node_index=node.number,
        quotas_per_s=tuple(tenant.quota_per_s for tenant in base.tenant),
        over_quota_weight=retry.over_share_worth,
        key_affinity=fleet.warm_keys,
        may_cancel=retry.cancel,
        max_attempts=retry.max_attempts,
        max_retry_after_ms=retry.max_retry_after_ms,
        full_possibly_executed=fleet.full_may_have_run,
        slow_start_min_capacity=fleet.cold_from,
        slow_start_duration_ms=fleet.ramp_ms,
    )
    known: dict[str, Any] = {}
    return Config(
        name=node.name,
        listen=("", 0),
        discovery=("", 0),
        seed=int(node.seed, 16) if node.seed else secrets.randbits(64),
        sockets=effective_descriptor_limit(node.sockets),
        known=known,
        settings=settings,
        classes={
            request_class.name.encode(): index for index, request_class in enumerate(base.class_)
        },
        tenants={tenant.name.encode(): index for index, tenant in enumerate(base.tenant)},
        kinds={name: index for index, name in enumerate(fleet.kinds)},
        zones={name: index for index, name in enumerate(fleet.zones)},
        dial_timeout=fleet.dial_timeout_ms,
        idle_timeout=fleet.idle_ms,
        drain_grace=fleet.drain_grace_ms,
        source=node.source,
        key_secret=node.key_secret.encode()[:64] if node.key_secret else b"",
        default_tenant=node.default_tenant.encode() if node.default_tenant else None,
    )
