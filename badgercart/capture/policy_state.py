"""A policy's whole state as bytes, and back. No I/O.

State is pickled, since no other form keeps a graph of shared objects and the order of sets exactly.
Classes are written as numbers, fields by position, and the policy's own fields under literal names,
so that a rename in the code reaches no byte. A reader takes only the classes that are named here: a
capture can't run code.

States of texts before this form were pickled under the names of classes and fields of their day
(`cottonhall.rules`, ...). They are read still.
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
    """Bytes that hold no policy's state: what is wrong with them."""


Values = tuple[Any, ...]


# What is made whole at once: its values are there before it.


def _endpoint(item: Endpoint) -> Values:
    return item.id, item.zone, item.kind, item.cell, item.state, item.size, item.started_ms


def _request(item: Request) -> Values:
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


def _class(item: RequestClass) -> Values:
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


def _settings(item: Settings) -> Values:
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


def _known(item: EndpointStatistics) -> Values:
    return (
        item.started_ms,
        item.relative_latency,
        item.recent_attempts,
        item.failure_rates,
        item.consecutive_ejections,
    )


def _company(item: ClusterView) -> Values:
    return item.size, item.node_index, item.possibly_alive, item.quota_shares, item.failure_reports


def _planned(item: TrafficPlan) -> Values:
    return (
        item.shares,
        item.spillover_rates_per_ms,
        item.lost_zones,
        item.planned_tenants,
        item.offload_shares,
    )


def _health(item: ClassHealth) -> Values:
    return item.failure_rate, item.ejected_until_ms, item.consecutive_ejections


def _level(item: VirtualNodeScale) -> Values:
    return item.virtual_nodes, item.kind_ratio, item.strongest


# The numbers stand in files: a new one is added at the end, none is ever used again.
_MADE: tuple[tuple[type, Callable[[Any], Values]], ...] = (
    (Endpoint, _endpoint),
    (Request, _request),
    (RequestClass, _class),
    (Settings, _settings),
    (EndpointStatistics, _known),
    (ClusterView, _company),
    (TrafficPlan, _planned),
    (ClassHealth, _health),
    (VirtualNodeScale, _level),
)
_ENUMS: tuple[type, ...] = (
    EndpointState,
    UpdateKind,
    AttemptResult,
    Idempotency,
    DeduplicationScope,
)


# What may hold what holds it: it is made empty, and filled once all is there.


def _save_tracked(item: TrackedEndpoint) -> Values:
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


def _fill_tracked(item: TrackedEndpoint, values: Values) -> None:
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


def _save_queue(item: KeyQueue) -> Values:
    return item.waiting, item.open_attempts, item.cooldown_until_ms


def _fill_queue(item: KeyQueue, values: Values) -> None:
    item.waiting, item.open_attempts, item.cooldown_until_ms = values


def _save_pending(item: PendingRequest) -> Values:
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


def _fill_pending(item: PendingRequest, values: Values) -> None:
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


def _save_ring(item: HashRing) -> Values:
    return item.blocks, item.block_starts


def _fill_ring(item: HashRing, values: Values) -> None:
    item.blocks, item.block_starts = values


def _save_sizes(item: SizeIndex) -> Values:
    return item.order, item.total, item.changes, item.scale, item.level


def _fill_sizes(item: SizeIndex, values: Values) -> None:
    item.order, item.total, item.changes, item.scale, item.level = values


def stored_values(policy: Policy) -> dict[str, Any]:
    """Return a policy's state by stored names: all but the actions of the last event."""
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


def _policy(values: dict[str, Any]) -> Policy:
    """Return a policy with these values; what an older text did not have is as a new one has it."""
    policy = Policy(values["settings"], 0)
    values = stored_values(policy) | values
    _restore_requests(policy, values)
    _restore_endpoints(policy, values)
    _restore_derived(policy, values)
    _restore_overload(policy, values)
    _restore_traffic(policy, values)
    return policy


def _restore_requests(policy: Policy, values: dict[str, Any]) -> None:
    """Give back the requests and what waits."""
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
    """Give back the endpoints and what is known of each."""
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
    """Give back what follows from all endpoints together."""
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
    """Give back overload and what it is measured by."""
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
    """Give back scores, quotas and keys."""
    policy.priority.offered = values["offered"]
    policy.priority.bands = values["bands"]
    policy.quotas.buckets = values["buckets"]
    policy.key_traffic.counts = values["key_counts"]
    policy.key_traffic.total = values["keys_total"]
    policy.quotas.leaked_ms = values["leaked"]
    policy.priority.weights = values["worths"]
    policy.quotas.divisors = values["divisors"]


_FILLED: tuple[tuple[type, Callable[[Any], Any], Callable[[Any, Any], None]], ...] = (
    (TrackedEndpoint, _save_tracked, _fill_tracked),
    (KeyQueue, _save_queue, _fill_queue),
    (PendingRequest, _save_pending, _fill_pending),
    (HashRing, _save_ring, _fill_ring),
    (SizeIndex, _save_sizes, _fill_sizes),
)


def _make(number: int, *values: Any) -> Any:
    return _MADE[number][0](*values)


def _member(number: int, value: Any) -> Any:
    return _ENUMS[number](value)


def _new(number: int) -> Any:
    kind: Any = _FILLED[number][0]
    return kind.__new__(kind)


def _fill(item: Any, state: tuple[int, Any]) -> None:
    number, values = state
    _FILLED[number][2](item, values)


# Numbers in place of the functions' names, of the range that pickle leaves to programs.
for _code, _function in ((240, _make), (241, _member), (242, _new), (243, _fill)):
    copyreg.add_extension(__name__, _function.__name__, _code)


Reducer = Callable[[Any], Any]


def _reduce_made(number: int, save: Callable[[Any], Values]) -> Reducer:
    return lambda item: (_make, (number, *save(item)))


def _reduce_member(number: int) -> Reducer:
    return lambda item: (_member, (number, item.value))


def _reduce_filled(number: int, save: Callable[[Any], Values]) -> Reducer:
    return lambda item: (_new, (number,), (number, save(item)), None, None, _fill)


def _reducers() -> dict[type, Reducer]:
    found = {kind: _reduce_made(number, save) for number, (kind, save) in enumerate(_MADE)}
    found |= {kind: _reduce_member(number) for number, kind in enumerate(_ENUMS)}
    return found | {
        kind: _reduce_filled(number, save) for number, (kind, save, _) in enumerate(_FILLED)
    }


class _Writer(pickle.Pickler):
    dispatch_table = copyreg.dispatch_table | _reducers()


def dump(policy: Policy) -> bytes:
    """Return the whole state of a policy."""
    return dump_values(stored_values(policy))


def dump_values(values: dict[str, Any]) -> bytes:
    """Return the values of `stored_values` as bytes."""
    out = io.BytesIO()
    _Writer(out, protocol=5).dump(values)
    return out.getvalue()


_ALLOWED = {
    ("builtins", "set"),
    ("builtins", "frozenset"),
    ("collections", "deque"),
    ("collections", "OrderedDict"),
    ("random", "Random"),
    ("copyreg", "_reconstructor"),
    ("builtins", "object"),
}
_OURS = {(__name__, function.__name__): function for function in (_make, _member, _new, _fill)}
_NAMED_MODULES = ("cottonhall.rules", "cottonhall.fleet", "cottonhall.interface")
_NAMED_ENUMS = {
    "State": EndpointState,
    "ListKind": UpdateKind,
    "Result": AttemptResult,
    "Effect": Idempotency,
    "Group": DeduplicationScope,
}


class _Named:
    """An object of a state that was pickled by names: its values, until all are there."""

    name = ""
    values: Any = ()

    def __setstate__(self, state: Any) -> None:
        self.values = state[1] if isinstance(state, tuple) else state


class _Reader(pickle.Unpickler):
    def find_class(self, module: str, name: str) -> Any:
        if (module, name) in _OURS:
            return _OURS[module, name]
        if module in _NAMED_MODULES and "." not in name:
            return _NAMED_ENUMS.get(name) or type(name, (_Named,), {"name": name})
        if (module, name) in _ALLOWED:
            return super().find_class(module, name)
        raise StateError(f"a state can't hold {module}.{name}")


def load(state: bytes) -> Policy:
    """Return the policy of `dump`, or of a state of an earlier text. Raises StateError."""
    try:
        found = _Reader(io.BytesIO(state)).load()
        if isinstance(found, _Named) and found.name == "Policy":
            return _Old().policy(found)
        if isinstance(found, dict):
            return _policy(found)
    except StateError:
        raise
    except Exception as error:  # a broken pickle raises nearly anything
        raise StateError(f"no state: {type(error).__name__}: {error}") from error
    raise StateError("the state is no policy's")


class _Old:
    """Turns a state that was pickled by names into the objects of today."""

    def __init__(self) -> None:
        self.pending: dict[int, PendingRequest] = {}
        self.queues: dict[int, KeyQueue] = {}

    def policy(self, named: _Named) -> Policy:
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
        values["streams"] = {place: self.request(item) for place, item in values["streams"].items()}
        values["turns"] = {key: self.queue(item) for key, item in values["turns"].items()}
        values["moved"] = [self.queue(item) for item in values["moved"]]
        values["sizes"] = {kind: self.sizes(item) for kind, item in values["sizes"].items()}
        values["ring"] = self.ring(values["ring"])
        for name in ("company", "group"):
            if values[name] is not None:
                values[name] = ClusterView(
                    *_in_order(values[name], "size", "me", "may_live", "parts", "hearsay")
                )
        if values["plan"] is not None:
            values["plan"] = TrafficPlan(
                *_in_order(values["plan"], "shares", "spill", "lost", "bound", "strain")
            )
        return _policy(values)

    def settings(self, named: _Named) -> Settings:
        classes, *values = named.values
        return Settings(tuple(RequestClass(*item.values) for item in classes), *values)

    def tracked(self, named: _Named) -> TrackedEndpoint:
        entry, tokens, tokens_at, health, attempts, uploads, recent, slow = _in_order(
            named, "entry", "tokens", "tokens_at", "health", "open", "uploads", "recent", "slow"
        )
        healths = [
            ClassHealth(*_in_order(item, "fails", "rest_until", "strikes")) for item in health
        ]
        out = {place: (self.request(item), overdue) for place, (item, overdue) in attempts.items()}
        coming = {place: self.request(item) for place, item in uploads.items()}
        return TrackedEndpoint(
            Endpoint(*entry.values), tokens, tokens_at, healths, out, coming, recent, slow
        )

    def request(self, named: _Named) -> PendingRequest:
        if (made := self.pending.get(id(named))) is not None:
            return made
        request, terms, since, score, turn, tries, out, maybe_ran, used, parked = _in_order(
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
        made = self.pending[id(named)] = PendingRequest(
            Request(
                *_in_order(
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
            RequestClass(*terms.values),
            since,
            score,
        )
        ran = {
            number: (sent, Endpoint(*entry.values)) for number, (sent, entry) in maybe_ran.items()
        }
        queue = None if turn is None else self.queue(turn)
        _fill_pending(
            made,
            (made.request, made.request_class, since, score, queue, tries, out, ran, used, parked),
        )
        return made

    def queue(self, named: _Named) -> KeyQueue:
        if (made := self.queues.get(id(named))) is not None:
            return made
        made = self.queues[id(named)] = KeyQueue()
        line, out, rest_until = _in_order(named, "line", "out", "rest_until")
        _fill_queue(made, ([self.request(item) for item in line], out, rest_until))
        return made

    def ring(self, named: _Named) -> HashRing:
        made = HashRing()
        _fill_ring(made, _in_order(named, "blocks", "firsts"))
        return made

    def sizes(self, named: _Named) -> SizeIndex:
        order, total, changes, scale, level = _in_order(
            named, "order", "total", "changes", "scale", "level"
        )
        made = SizeIndex()
        _fill_sizes(
            made,
            (
                order,
                total,
                changes,
                scale,
                None if level is None else VirtualNodeScale(*level.values),
            ),
        )
        return made


def _in_order(named: _Named, *names: str) -> Values:
    return tuple(named.values[name] for name in names)
