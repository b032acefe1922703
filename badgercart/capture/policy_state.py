"""Encodes the complete state of a policy as bytes, and decodes it. No I/O.

The state is pickled, since no other format keeps a graph of shared objects and the order of sets
exactly. Types are written as numbers, fields by position, and the policy's own fields under literal
names, so that a rename in the code changes no stored byte. The reader accepts only the types that
are listed here, so a capture can't run code.

States of earlier versions were pickled under the names that classes and fields had then
(`cottonhall.rules` and others). They can still be read.
"""

from __future__ import annotations

import copyreg
import io
import pickle
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from badgercart.policy.capacity import SizeIndex, VirtualNodeScale
from badgercart.policy.endpoint import Endpoint, EndpointState, EndpointStatistics
from badgercart.policy.endpoints import ClassHealth, TrackedEndpoint
from badgercart.policy.events import AttemptResult, ClusterView, Request, TrafficPlan, UpdateKind
from badgercart.policy.hash_ring import HashRing
from badgercart.policy.key_queue import KeyQueue
from badgercart.policy.policy import Policy
from badgercart.policy.requests import PendingRequest
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings


class StateError(Exception):
    """Stored bytes hold no policy state; the message says what is wrong with them."""


# The field values of an object, in the order in which they are stored.
Values = tuple[Any, ...]


# Objects that are constructed from their values. None of the values refers back to the object.


def _endpoint_values(item: Endpoint) -> Values:
    return item.id, item.zone, item.kind, item.cell, item.state, item.size, item.started_ms


def _request_values(item: Request) -> Values:
    return (
        item.id,
        item.class_index,
        item.deadline_at_ms,
        item.key,
        item.tenant,
        item.expected_work_ms,
        item.is_client_retry,
        item.max_fallbacks,
        item.possibly_executed,
        item.reachable_endpoints,
        item.complete,
    )


def _request_class_values(item: RequestClass) -> Values:
    return (
        item.latency_objective_ms,
        item.deadline_ms,
        item.priority_weight,
        item.idempotency,
        item.deduplication_scope,
        item.deduplication_window_ms,
        item.late_value_share,
        item.serialized_by_key,
    )


def _settings_values(item: Settings) -> Values:
    return (
        item.classes,
        item.zone,
        item.cluster_size,
        item.node_index,
        item.quotas_per_s,
        item.over_quota_weight,
        item.key_affinity,
        item.polls_endpoints,
        item.poll_interval_ms,
        item.tick_ms,
        item.may_cancel,
        item.max_attempts,
        item.max_retry_after_ms,
        item.full_possibly_executed,
        item.key_cooldown_ms,
        item.slow_start_min_capacity,
        item.slow_start_duration_ms,
        item.collapse_load_factor,
        item.collapse_window_ms,
    )


def _statistics_values(item: EndpointStatistics) -> Values:
    return (
        item.started_ms,
        item.relative_latency,
        item.recent_attempts,
        item.failure_rates,
        item.consecutive_ejections,
    )


def _cluster_view_values(item: ClusterView) -> Values:
    return item.size, item.node_index, item.possibly_alive, item.quota_shares, item.failure_reports


def _traffic_plan_values(item: TrafficPlan) -> Values:
    return (
        item.shares,
        item.spillover_rates_per_ms,
        item.lost_zones,
        item.planned_tenants,
        item.offload_shares,
    )


def _class_health_values(item: ClassHealth) -> Values:
    return item.failure_rate, item.ejected_until_ms, item.consecutive_ejections


def _virtual_node_scale_values(item: VirtualNodeScale) -> Values:
    return item.virtual_nodes, item.kind_ratio, item.strongest


# States store the positions in these tuples: a new type goes to the end, and the position of a
# removed type is never used again.
_CONSTRUCTED_TYPES: tuple[tuple[type, Callable[[Any], Values]], ...] = (
    (Endpoint, _endpoint_values),
    (Request, _request_values),
    (RequestClass, _request_class_values),
    (Settings, _settings_values),
    (EndpointStatistics, _statistics_values),
    (ClusterView, _cluster_view_values),
    (TrafficPlan, _traffic_plan_values),
    (ClassHealth, _class_health_values),
    (VirtualNodeScale, _virtual_node_scale_values),
)
_ENUM_TYPES: tuple[type, ...] = (
    EndpointState,
    UpdateKind,
    AttemptResult,
    Idempotency,
    DeduplicationScope,
)


# Objects that may be part of a reference cycle. They are created empty, and filled once all objects
# that they refer to exist.


def _save_tracked_endpoint(item: TrackedEndpoint) -> Values:
    return (
        item.endpoint,
        item.tokens,
        item.tokens_as_of_ms,
        item.health,
        item.open_attempts,
        item.uploads,
        item.recent_attempts,
        item.relative_latency,
    )


def _fill_tracked_endpoint(item: TrackedEndpoint, values: Values) -> None:
    (
        item.endpoint,
        item.tokens,
        item.tokens_as_of_ms,
        item.health,
        item.open_attempts,
        item.uploads,
        item.recent_attempts,
        item.relative_latency,
    ) = values


def _save_key_queue(item: KeyQueue) -> Values:
    return item.waiting, item.open_attempts, item.cooldown_until_ms


def _fill_key_queue(item: KeyQueue, values: Values) -> None:
    item.waiting, item.open_attempts, item.cooldown_until_ms = values


def _save_pending_request(item: PendingRequest) -> Values:
    return (
        item.request,
        item.request_class,
        item.arrived_ms,
        item.score,
        item.key_queue,
        item.attempts,
        item.open_attempts,
        item.possibly_executed,
        item.tried_endpoints,
        item.deferred_result,
    )


def _fill_pending_request(item: PendingRequest, values: Values) -> None:
    (
        item.request,
        item.request_class,
        item.arrived_ms,
        item.score,
        item.key_queue,
        item.attempts,
        item.open_attempts,
        item.possibly_executed,
        item.tried_endpoints,
        item.deferred_result,
    ) = values


def _save_hash_ring(item: HashRing) -> Values:
    return item.blocks, item.block_starts


def _fill_hash_ring(item: HashRing, values: Values) -> None:
    item.blocks, item.block_starts = values


def _save_size_index(item: SizeIndex) -> Values:
    return item.order, item.total, item.changes, item.scale, item.level


def _fill_size_index(item: SizeIndex, values: Values) -> None:
    item.order, item.total, item.changes, item.scale, item.level = values


def stored_values(policy: Policy) -> dict[str, Any]:
    """Return a policy's state by stored names, without the actions of the last event."""
    return {
        "random": policy.random,
        "servers": policy.fleet.endpoints.by_id,
        "ready": policy.fleet.endpoints.ready,
        "marks": policy.fleet.endpoints.hashes,
        "cold": policy.fleet.slow_start.starting,
        "sizes": policy.fleet.capacity.sizes,
        "placed": policy.fleet.endpoints.applied,
        "noted": policy.fleet.endpoints.updated,
        "groups": policy.fleet.subset.groups,
        "start": policy.fleet.subset.start,
        "span": policy.fleet.subset.size,
        "ours": policy.fleet.subset.endpoint_ids,
        "ring": policy.fleet.virtual_nodes.ring,
        "points": policy.fleet.virtual_nodes.counts,
        "unplaced": policy.fleet.virtual_nodes.pending,
        "rested": policy.fleet.outliers.ejected,
        "touched": policy.fleet.endpoints.active,
        "known": policy.fleet.endpoints.restorable,
        "jobs": policy.lifecycle.requests,
        "streams": policy.lifecycle.streaming,
        "usual": policy.fleet.latency.typical_ms,
        "offered": policy.priority.offered,
        "bands": policy.priority.bands,
        "buckets": policy.quotas.buckets,
        "key_counts": policy.key_traffic.counts,
        "keys_total": policy.key_traffic.total,
        "total_recent": policy.fleet.endpoints.recent_attempts,
        "failed": policy.overload.error_rate.failures,
        "seen": policy.overload.error_rate.attempts,
        "no_link": policy.overload.error_rate.connect_failure_rate,
        "errors": policy.overload.error_rate.rate,
        "flying": policy.overload.concurrency.current,
        "in_flight": policy.overload.concurrency.average,
        "need": policy.overload.concurrency.limit,
        "sent": policy.overload.throughput.sent,
        "sending": policy.overload.throughput.send_rate,
        "met": policy.overload.throughput.timely,
        "age": policy.overload.throughput.observed_ms,
        "rate": policy.overload.throughput.rate,
        "best_rate": policy.overload.throughput.best_rate,
        "mean": policy.overload.throughput.mean_latency_ms,
        "least": policy.overload.throughput.best_latency_ms,
        "answers": policy.overload.throughput.samples,
        "carried": policy.overload.throughput.best_rate_per_endpoint,
        "x": policy.overload.level,
        "cut": policy.overload.shed_threshold,
        "shedding": policy.overload.shedding,
        "upkeep_at": policy.schedule.refreshed_at_ms,
        "halved_at": policy.schedule.halved_at_ms,
        "now": policy.now_ms,
        "leaked": policy.quotas.leaked_ms,
        "kinds": policy.fleet.latency.kind_ratios,
        "works": policy.fleet.latency.warm_work_ms,
        "warm": policy.fleet.available_capacity,
        "slots": policy.fleet.capacity.slots_per_endpoint,
        "strongest": policy.fleet.capacity.strongest,
        "mean_strength": policy.fleet.capacity.mean_weight,
        "ask_backoff": policy.polling.backoff_ms,
        "turns": policy.key_queues.by_key,
        "moved": policy.key_queues.changed,
        "company": policy.fleet.cluster.announced,
        "plan": policy.fleet.locality.plan,
        "zones": policy.fleet.locality.by_zone,
        "inside": policy.fleet.locality.members,
        "zones_old": policy.fleet.locality.stale,
        "focus": policy.fleet.locality.load_factors,
        "spilt": policy.fleet.locality.spillover_tokens,
        "settings": policy.settings,
        "pace": policy.overload.time_scale,
        "worths": policy.priority.weights,
        "never_ran": policy.retries.not_executed,
        "group": policy.fleet.cluster.view,
        "divisors": policy.quotas.divisors,
    }


def _restore_policy(values: dict[str, Any]) -> Policy:
    """Return a policy with these values.

    Values that a state of an earlier version lacks are those of a new policy.
    """
    policy = Policy(values["settings"], 0)
    values = stored_values(policy) | values
    _restore_requests(policy, values)
    _restore_endpoints(policy, values)
    _restore_derived(policy, values)
    _restore_overload(policy, values)
    _restore_traffic(policy, values)
    return policy


def _restore_requests(policy: Policy, values: dict[str, Any]) -> None:
    """Restore the requests, the key queues, the schedule and the clock."""
    policy.random.setstate(values["random"].getstate())
    policy.lifecycle.requests = values["jobs"]
    policy.lifecycle.streaming = values["streams"]
    policy.schedule.refreshed_at_ms = values["upkeep_at"]
    policy.schedule.halved_at_ms = values["halved_at"]
    policy.now_ms = values["now"]
    policy.polling.backoff_ms = values["ask_backoff"]
    policy.key_queues.by_key = values["turns"]
    policy.key_queues.changed = values["moved"]
    policy.settings = values["settings"]
    policy.retries.not_executed = values["never_ran"]
    policy.lifecycle.actions = []


def _restore_endpoints(policy: Policy, values: dict[str, Any]) -> None:
    """Restore the endpoints, their statistics and the view of the cluster."""
    policy.fleet.endpoints.by_id = values["servers"]
    policy.fleet.endpoints.ready = values["ready"]
    policy.fleet.endpoints.hashes = values["marks"]
    policy.fleet.slow_start.starting = values["cold"]
    policy.fleet.endpoints.applied = values["placed"]
    policy.fleet.endpoints.updated = values["noted"]
    policy.fleet.outliers.ejected = values["rested"]
    policy.fleet.endpoints.active = values["touched"]
    policy.fleet.endpoints.restorable = values["known"]
    policy.fleet.latency.typical_ms = values["usual"]
    policy.fleet.endpoints.recent_attempts = values["total_recent"]
    policy.fleet.latency.kind_ratios = values["kinds"]
    policy.fleet.latency.warm_work_ms = values["works"]
    policy.fleet.cluster.announced = values["company"]
    policy.fleet.cluster.view = values["group"]


def _restore_derived(policy: Policy, values: dict[str, Any]) -> None:
    """Restore what is derived from all endpoints together."""
    policy.fleet.capacity.sizes = values["sizes"]
    policy.fleet.subset.groups = values["groups"]
    policy.fleet.subset.start = values["start"]
    policy.fleet.subset.size = values["span"]
    policy.fleet.subset.endpoint_ids = values["ours"]
    policy.fleet.virtual_nodes.ring = values["ring"]
    policy.fleet.virtual_nodes.counts = values["points"]
    policy.fleet.virtual_nodes.pending = OrderedDict(values["unplaced"])
    policy.fleet.available_capacity = values["warm"]
    policy.fleet.capacity.slots_per_endpoint = values["slots"]
    policy.fleet.capacity.strongest = values["strongest"]
    policy.fleet.capacity.mean_weight = values["mean_strength"]
    policy.fleet.locality.plan = values["plan"]
    policy.fleet.locality.by_zone = values["zones"]
    policy.fleet.locality.members = values["inside"]
    policy.fleet.locality.stale = values["zones_old"]
    policy.fleet.locality.load_factors = values["focus"]
    policy.fleet.locality.spillover_tokens = values["spilt"]


def _restore_overload(policy: Policy, values: dict[str, Any]) -> None:
    """Restore the overload control and its measurements."""
    policy.overload.error_rate.failures = values["failed"]
    policy.overload.error_rate.attempts = values["seen"]
    policy.overload.error_rate.connect_failure_rate = values["no_link"]
    policy.overload.error_rate.rate = values["errors"]
    policy.overload.concurrency.current = values["flying"]
    policy.overload.concurrency.average = values["in_flight"]
    policy.overload.concurrency.limit = values["need"]
    policy.overload.throughput.sent = values["sent"]
    policy.overload.throughput.send_rate = values["sending"]
    policy.overload.throughput.timely = values["met"]
    policy.overload.throughput.observed_ms = values["age"]
    policy.overload.throughput.rate = values["rate"]
    policy.overload.throughput.best_rate = values["best_rate"]
    policy.overload.throughput.mean_latency_ms = values["mean"]
    policy.overload.throughput.best_latency_ms = values["least"]
    policy.overload.throughput.samples = values["answers"]
    policy.overload.throughput.best_rate_per_endpoint = values["carried"]
    policy.overload.level = values["x"]
    policy.overload.shed_threshold = values["cut"]
    policy.overload.shedding = values["shedding"]
    policy.overload.time_scale = values["pace"]


def _restore_traffic(policy: Policy, values: dict[str, Any]) -> None:
    """Restore priorities, quotas and key statistics."""
    policy.priority.offered = values["offered"]
    policy.priority.bands = values["bands"]
    policy.quotas.buckets = values["buckets"]
    policy.key_traffic.counts = values["key_counts"]
    policy.key_traffic.total = values["keys_total"]
    policy.quotas.leaked_ms = values["leaked"]
    policy.priority.weights = values["worths"]
    policy.quotas.divisors = values["divisors"]


_FILLED_TYPES: tuple[tuple[type, Callable[[Any], Any], Callable[[Any, Any], None]], ...] = (
    (TrackedEndpoint, _save_tracked_endpoint, _fill_tracked_endpoint),
    (KeyQueue, _save_key_queue, _fill_key_queue),
    (PendingRequest, _save_pending_request, _fill_pending_request),
    (HashRing, _save_hash_ring, _fill_hash_ring),
    (SizeIndex, _save_size_index, _fill_size_index),
)


def _construct(number: int, *values: Any) -> Any:
    return _CONSTRUCTED_TYPES[number][0](*values)


def _enum_member(number: int, value: Any) -> Any:
    return _ENUM_TYPES[number](value)


def _new_empty(number: int) -> Any:
    kind: Any = _FILLED_TYPES[number][0]
    return kind.__new__(kind)


def _fill_fields(item: Any, state: tuple[int, Any]) -> None:
    number, values = state
    _FILLED_TYPES[number][2](item, values)


# Pickle writes these extension codes in place of the functions' names. 240 to 255 are reserved for
# private use.
for _code, _function in (
    (240, _construct),
    (241, _enum_member),
    (242, _new_empty),
    (243, _fill_fields),
):
    copyreg.add_extension(__name__, _function.__name__, _code)


Reducer = Callable[[Any], Any]


def _constructed_reducer(number: int, save: Callable[[Any], Values]) -> Reducer:
    return lambda item: (_construct, (number, *save(item)))


def _enum_reducer(number: int) -> Reducer:
    return lambda item: (_enum_member, (number, item.value))


def _filled_reducer(number: int, save: Callable[[Any], Values]) -> Reducer:
    return lambda item: (_new_empty, (number,), (number, save(item)), None, None, _fill_fields)


def _reducers() -> dict[type, Reducer]:
    found = {
        kind: _constructed_reducer(number, save)
        for number, (kind, save) in enumerate(_CONSTRUCTED_TYPES)
    }
    found |= {kind: _enum_reducer(number) for number, kind in enumerate(_ENUM_TYPES)}
    return found | {
        kind: _filled_reducer(number, save) for number, (kind, save, _) in enumerate(_FILLED_TYPES)
    }


class _StatePickler(pickle.Pickler):
    dispatch_table = copyreg.dispatch_table | _reducers()


def dump(policy: Policy) -> bytes:
    """Return the complete state of a policy as bytes."""
    return dump_values(stored_values(policy))


def dump_values(values: dict[str, Any]) -> bytes:
    """Encode the values that `stored_values` returns."""
    buffer = io.BytesIO()
    _StatePickler(buffer, protocol=5).dump(values)
    return buffer.getvalue()


_ALLOWED_GLOBALS = {
    ("builtins", "set"),
    ("builtins", "frozenset"),
    ("collections", "deque"),
    ("collections", "OrderedDict"),
    ("random", "Random"),
    ("copyreg", "_reconstructor"),
    ("builtins", "object"),
}
_STATE_FUNCTIONS = {
    (__name__, function.__name__): function
    for function in (_construct, _enum_member, _new_empty, _fill_fields)
}
_LEGACY_MODULES = ("cottonhall.rules", "cottonhall.fleet", "cottonhall.interface")
_LEGACY_ENUMS = {
    "State": EndpointState,
    "ListKind": UpdateKind,
    "Result": AttemptResult,
    "Effect": Idempotency,
    "Group": DeduplicationScope,
}


class _LegacyObject:
    """An object of a state that was pickled by names; holds its values until it is converted."""

    name = ""
    values: Any = ()

    def __setstate__(self, state: Any) -> None:
        self.values = state[1] if isinstance(state, tuple) else state


class _StateUnpickler(pickle.Unpickler):
    def find_class(self, module: str, name: str) -> Any:
        if (module, name) in _STATE_FUNCTIONS:
            return _STATE_FUNCTIONS[module, name]
        if module in _LEGACY_MODULES and "." not in name:
            return _LEGACY_ENUMS.get(name) or type(name, (_LegacyObject,), {"name": name})
        if (module, name) in _ALLOWED_GLOBALS:
            return super().find_class(module, name)
        raise StateError(f"a state can't hold {module}.{name}")


def load(state: bytes) -> Policy:
    """Return the policy of a state, which may be of an earlier version. Raises StateError."""
    try:
        found = _StateUnpickler(io.BytesIO(state)).load()
        if isinstance(found, _LegacyObject) and found.name == "Policy":
            return _LegacyStateConverter().policy(found)
        if isinstance(found, dict):
            return _restore_policy(found)
    except StateError:
        raise
    except Exception as error:  # a corrupt pickle may raise any exception
        raise StateError(f"no state: {type(error).__name__}: {error}") from error
    raise StateError("the state is no policy's")


class _LegacyStateConverter:
    """Converts a state that was pickled by names into the present objects."""

    def __init__(self) -> None:
        self.pending_requests: dict[int, PendingRequest] = {}
        self.queues: dict[int, KeyQueue] = {}

    def policy(self, named: _LegacyObject) -> Policy:
        values: dict[str, Any] = dict(named.values)
        values["settings"] = self.settings(values["settings"])
        values["servers"] = {
            number: self.tracked(item) for number, item in values["servers"].items()
        }
        values["placed"] = {
            number: Endpoint(*item.values) for number, item in values["placed"].items()
        }
        values["known"] = {
            number: EndpointStatistics(*item.values) for number, item in values["known"].items()
        }
        values["jobs"] = {number: self.request(item) for number, item in values["jobs"].items()}
        values["streams"] = {key: self.request(item) for key, item in values["streams"].items()}
        values["turns"] = {key: self.queue(item) for key, item in values["turns"].items()}
        values["moved"] = [self.queue(item) for item in values["moved"]]
        values["sizes"] = {kind: self.sizes(item) for kind, item in values["sizes"].items()}
        values["ring"] = self.ring(values["ring"])
        for name in ("company", "group"):
            if values[name] is not None:
                values[name] = ClusterView(
                    *_values_of(values[name], "size", "me", "may_live", "parts", "hearsay")
                )
        if values["plan"] is not None:
            values["plan"] = TrafficPlan(
                *_values_of(values["plan"], "shares", "spill", "lost", "bound", "strain")
            )
        return _restore_policy(values)

    def settings(self, named: _LegacyObject) -> Settings:
        classes, *values = named.values
        return Settings(tuple(RequestClass(*item.values) for item in classes), *values)

    def tracked(self, named: _LegacyObject) -> TrackedEndpoint:
        (
            endpoint,
            tokens,
            tokens_as_of_ms,
            class_health,
            open_attempts,
            uploads,
            recent_attempts,
            relative_latency,
        ) = _values_of(
            named, "entry", "tokens", "tokens_at", "health", "open", "uploads", "recent", "slow"
        )
        health = [
            ClassHealth(*_values_of(item, "fails", "rest_until", "strikes"))
            for item in class_health
        ]
        converted_attempts = {
            key: (self.request(item), deadline_ms)
            for key, (item, deadline_ms) in open_attempts.items()
        }
        converted_uploads = {key: self.request(item) for key, item in uploads.items()}
        return TrackedEndpoint(
            Endpoint(*endpoint.values),
            tokens,
            tokens_as_of_ms,
            health,
            converted_attempts,
            converted_uploads,
            recent_attempts,
            relative_latency,
        )

    def request(self, named: _LegacyObject) -> PendingRequest:
        if (converted := self.pending_requests.get(id(named))) is not None:
            return converted
        (
            request,
            request_class,
            arrived_ms,
            score,
            key_queue,
            attempts,
            open_attempts,
            possibly_executed,
            tried_endpoints,
            deferred_result,
        ) = _values_of(
            named,
            "request",
            "terms",
            "since",
            "score",
            "turn",
            "tries",
            "out",
            "maybe_ran",
            "used",
            "parked",
        )
        converted = self.pending_requests[id(named)] = PendingRequest(
            Request(
                *_values_of(
                    request,
                    "id",
                    "cls",
                    "due",
                    "key",
                    "tenant",
                    "hint",
                    "repeat",
                    "fallbacks",
                    "resumed",
                    "among",
                    "whole",
                )
            ),
            RequestClass(*request_class.values),
            arrived_ms,
            score,
        )
        converted_executed = {
            number: (sent, Endpoint(*endpoint.values))
            for number, (sent, endpoint) in possibly_executed.items()
        }
        queue = None if key_queue is None else self.queue(key_queue)
        _fill_pending_request(
            converted,
            (
                converted.request,
                converted.request_class,
                arrived_ms,
                score,
                queue,
                attempts,
                open_attempts,
                converted_executed,
                tried_endpoints,
                deferred_result,
            ),
        )
        return converted

    def queue(self, named: _LegacyObject) -> KeyQueue:
        if (converted := self.queues.get(id(named))) is not None:
            return converted
        converted = self.queues[id(named)] = KeyQueue()
        waiting, open_attempts, cooldown_until_ms = _values_of(named, "line", "out", "rest_until")
        _fill_key_queue(
            converted, ([self.request(item) for item in waiting], open_attempts, cooldown_until_ms)
        )
        return converted

    def ring(self, named: _LegacyObject) -> HashRing:
        ring = HashRing()
        _fill_hash_ring(ring, _values_of(named, "blocks", "firsts"))
        return ring

    def sizes(self, named: _LegacyObject) -> SizeIndex:
        order, total, changes, scale, level = _values_of(
            named, "order", "total", "changes", "scale", "level"
        )
        converted = SizeIndex()
        _fill_size_index(
            converted,
            (
                order,
                total,
                changes,
                scale,
                None if level is None else VirtualNodeScale(*level.values),
            ),
        )
        return converted


def _values_of(named: _LegacyObject, *names: str) -> Values:
    return tuple(named.values[name] for name in names)
