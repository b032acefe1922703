"""Encodes events, actions, settings and a policy's state as bytes, and decodes them. No I/O.

msgspec writes MessagePack in one pass of C code, which keeps the capture of an event cheap, and any
MessagePack reader can read a capture. `policy_state.py` encodes a policy's state.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Callable, Iterator, Sequence
from functools import cache
from operator import attrgetter
from pathlib import Path
from typing import Any

import msgspec

import badgercart.policy
from badgercart.capture import policy_state
from badgercart.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    HealthCheck,
    Log,
    Send,
    SetTimer,
    Shed,
    Subscribe,
)
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import (
    AttemptEnded,
    AttemptRerouted,
    AttemptResult,
    ClusterView,
    DeadlineExceeded,
    EndpointUpdate,
    Event,
    HealthCheckResult,
    PeerMessage,
    Request,
    RequestCancelled,
    RequestCompleted,
    ResponseStarted,
    RetryDecisionDue,
    SettingsChanged,
    TimerFired,
    TrafficPlan,
    UpdateKind,
)
from badgercart.policy.policy import Policy
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

# Captures store the positions in these tuples: a new type goes to the end, and the position of a
# removed type is never used again.
EVENTS: tuple[type, ...] = (
    EndpointUpdate,
    Request,
    ResponseStarted,
    AttemptEnded,
    AttemptRerouted,
    RetryDecisionDue,
    HealthCheckResult,
    TimerFired,
    PeerMessage,
    RequestCancelled,
    RequestCompleted,
    SettingsChanged,
    ClusterView,
    TrafficPlan,
    DeadlineExceeded,
)
ACTIONS: tuple[type, ...] = (Send, Shed, Fail, CancelAttempt, SetTimer, HealthCheck, Subscribe, Log)
_EVENT_NUMBERS = {kind: number for number, kind in enumerate(EVENTS)}
_ACTION_NUMBERS = {kind: number for number, kind in enumerate(ACTIONS)}
_encode_msgpack = msgspec.msgpack.Encoder().encode


def _field_getter(kind: Any) -> Callable[[Any], tuple[Any, ...]]:
    """Return a function that gives all fields of a dataclass instance as a tuple.

    It runs for every event of a node, so `attrgetter` does it in C code.
    """
    names = [field.name for field in dataclasses.fields(kind)]
    if len(names) > 1:
        return attrgetter(*names)
    return lambda item: tuple(getattr(item, name) for name in names)


_FIELD_GETTERS = {kind: _field_getter(kind) for kind in (*EVENTS, *ACTIONS, Endpoint)}

# The position of `reachable_endpoints` among the fields of a Request.
_REACHABLE_POSITION = 9


class CodecError(Exception):
    """Stored bytes can't be decoded; the message says what is wrong with them."""


def plain_event(now_ms: float, event: Event) -> tuple[int, float, tuple[Any, ...]]:
    """Return an event as `(type number, now_ms, (field, ...))`, a copy that can't change later."""
    kind = type(event)
    fields = _FIELD_GETTERS[kind](event)
    if kind is EndpointUpdate:
        fields = (*fields[:-1], [_FIELD_GETTERS[Endpoint](entry) for entry in fields[-1]])
    elif kind is Request and event.reachable_endpoints is not None:  # type: ignore[union-attr]
        fields = (
            *fields[:_REACHABLE_POSITION],
            sorted(fields[_REACHABLE_POSITION]),
            *fields[_REACHABLE_POSITION + 1 :],
        )
    elif isinstance(event, SettingsChanged):
        fields = (
            encode_settings(event.settings),
            sorted(event.live_classes),
            sorted(event.reset_classes),
            sorted(event.reset_tenants),
        )
    elif isinstance(event, TrafficPlan):
        fields = (
            event.shares,
            event.spillover_rates_per_ms,
            sorted(event.lost_zones),
            sorted(event.planned_tenants),
            event.offload_shares,
        )
    return _EVENT_NUMBERS[kind], now_ms, fields


def plain_actions(actions: Sequence[Action] | None) -> list[tuple[int, tuple[Any, ...]]] | None:
    """Return actions as `[(type number, (field, ...)), ...]`; None where the policy raised."""
    if actions is None:
        return None
    return [
        (_ACTION_NUMBERS[type(action)], _FIELD_GETTERS[type(action)](action)) for action in actions
    ]


def encode_actions(actions: Sequence[Action] | None) -> bytes:
    """Return actions as MessagePack; nil where the policy raised."""
    return _encode_msgpack(plain_actions(actions))


EncodedEvent = tuple[int, float, tuple[Any, ...], "list[tuple[int, tuple[Any, ...]]] | None"]
encode_batch: Callable[[list[EncodedEvent]], bytes] = _encode_msgpack


def _decode_endpoint_update(kind: int, version: int, rows: list[list[Any]]) -> EndpointUpdate:
    entries = [
        Endpoint(endpoint_id, zone, machine_kind, cell, EndpointState(state), size, started_ms)
        for endpoint_id, zone, machine_kind, cell, state, size, started_ms in rows
    ]
    return EndpointUpdate(UpdateKind(kind), version, entries)


def _decode_request(*fields: Any) -> Request:
    event = Request(*fields)
    event.reachable_endpoints = (
        frozenset(event.reachable_endpoints) if event.reachable_endpoints is not None else None
    )
    return event


def _decode_attempt_ended(*fields: Any) -> AttemptEnded:
    event = AttemptEnded(*fields)
    event.result, event.report = AttemptResult(event.result), tuple(event.report)
    return event


def _decode_attempt_rerouted(*fields: Any) -> AttemptRerouted:
    event = AttemptRerouted(*fields)
    event.result = AttemptResult(event.result)
    return event


def _decode_settings_changed(
    settings: dict[str, Any],
    live_classes: list[int],
    reset_classes: list[int],
    reset_tenants: Sequence[int] = (),
) -> SettingsChanged:
    return SettingsChanged(
        decode_settings(settings),
        frozenset(live_classes),
        frozenset(reset_classes),
        frozenset(reset_tenants),
    )


def _decode_cluster_view(
    size: int,
    node_index: int,
    possibly_alive: int,
    quota_shares: list[float],
    failure_reports: list[list[Any]],
) -> ClusterView:
    return ClusterView(
        size,
        node_index,
        possibly_alive,
        tuple(quota_shares),
        tuple((endpoint_id, level) for endpoint_id, level in failure_reports),
    )


def _decode_traffic_plan(
    shares: list[list[float]],
    spillover_rates_per_ms: list[float],
    lost_zones: list[int],
    planned_tenants: list[int],
    offload_shares: list[float],
) -> TrafficPlan:
    rows = tuple(map(tuple, shares))
    return TrafficPlan(
        rows,
        tuple(spillover_rates_per_ms),
        frozenset(lost_zones),
        frozenset(planned_tenants),
        tuple(offload_shares),
    )


_EVENT_DECODERS: dict[type, Callable[..., Any]] = {
    EndpointUpdate: _decode_endpoint_update,
    Request: _decode_request,
    AttemptEnded: _decode_attempt_ended,
    AttemptRerouted: _decode_attempt_rerouted,
    SettingsChanged: _decode_settings_changed,
    ClusterView: _decode_cluster_view,
    TrafficPlan: _decode_traffic_plan,
}


_BATCH_DECODER: msgspec.msgpack.Decoder[list[tuple[int, float, list[Any], msgspec.Raw]]] = (
    msgspec.msgpack.Decoder(list[tuple[int, float, list[Any], msgspec.Raw]])
)


def _decode_event_fields(number: int, fields: list[Any]) -> Event:
    kind = EVENTS[number]
    event: Event = _EVENT_DECODERS.get(kind, kind)(*fields)
    return event


def decode_event(data: bytes) -> tuple[float, Event]:
    """Return the event of a format 1 record with its time in ms. Raises CodecError."""
    try:
        number, now_ms, fields = msgspec.msgpack.decode(data)
        return float(now_ms), _decode_event_fields(number, fields)
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError) as error:
        raise CodecError(f"no event: {error}") from error


def decode_batch(data: bytes) -> Iterator[tuple[float, Event, bytes]]:
    """Yield each event with its time in ms and its actions as encoded by `encode_actions`.

    Raises:
        CodecError: The bytes are not a batch.
    """
    try:
        for number, now_ms, fields, actions in _BATCH_DECODER.decode(data):
            yield now_ms, _decode_event_fields(number, fields), bytes(actions)
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError) as error:
        raise CodecError(f"no batch of events: {error}") from error


def decode_actions(data: bytes) -> list[Action] | None:
    """Return the actions that `encode_actions` encoded. Raises CodecError."""
    try:
        plain = msgspec.msgpack.decode(data)
        return (
            None
            if plain is None
            else [_decode_action_fields(number, fields) for number, fields in plain]
        )
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError) as error:
        raise CodecError(f"no actions: {error}") from error


def _decode_action_fields(number: int, fields: list[Any]) -> Action:
    kind = ACTIONS[number]
    if kind is Send:
        return Send(fields[0], fields[1], fields[2], tuple(fields[3]))
    action: Action = kind(*fields)
    return action


class _StoredClass(msgspec.Struct):
    """A `RequestClass` under its stored field names."""

    aim: float
    deadline: float
    worth: float
    effect: Idempotency
    group: DeduplicationScope = DeduplicationScope.ALL
    window: float = 0.0
    late_value: float = 0.0
    in_order: bool = False


class _StoredSettings(msgspec.Struct):
    """`Settings` under their stored field names."""

    classes: tuple[_StoredClass, ...]
    zone: int = 0
    group_size: int = 1
    me: int = 0
    quotas: tuple[float, ...] = ()
    over_quota_worth: float = 1.0
    warm_keys: bool = False
    ask_for_list: bool = False
    ask_within: float = 10000.0
    tick: float = 1.0
    may_cancel: bool = False
    max_attempts: int = 1
    max_retry_after: float = 0.0
    full_may_have_run: bool = False
    key_rest: float = 0.0
    cold_from: float = 1.0
    ramp_time: float = 0.0
    tip_multiple: float = 1.0
    overload_for: float = 1000.0


def encode_settings(settings: Settings) -> dict[str, Any]:
    """Return settings as plain data under their stored field names."""
    classes = tuple(
        _StoredClass(
            aim=cls.latency_objective_ms,
            deadline=cls.deadline_ms,
            worth=cls.priority_weight,
            effect=cls.idempotency,
            group=cls.deduplication_scope,
            window=cls.deduplication_window_ms,
            late_value=cls.late_value_share,
            in_order=cls.serialized_by_key,
        )
        for cls in settings.classes
    )
    stored = _StoredSettings(
        classes=classes,
        zone=settings.zone,
        group_size=settings.cluster_size,
        me=settings.node_index,
        quotas=settings.quotas_per_s,
        over_quota_worth=settings.over_quota_weight,
        warm_keys=settings.key_affinity,
        ask_for_list=settings.polls_endpoints,
        ask_within=settings.poll_interval_ms,
        tick=settings.tick_ms,
        may_cancel=settings.may_cancel,
        max_attempts=settings.max_attempts,
        max_retry_after=settings.max_retry_after_ms,
        full_may_have_run=settings.full_possibly_executed,
        key_rest=settings.key_cooldown_ms,
        cold_from=settings.slow_start_min_capacity,
        ramp_time=settings.slow_start_duration_ms,
        tip_multiple=settings.collapse_load_factor,
        overload_for=settings.collapse_window_ms,
    )
    plain: dict[str, Any] = msgspec.to_builtins(stored)
    return plain


def decode_settings(plain: dict[str, Any]) -> Settings:
    """Return the settings that `encode_settings` encoded. Raises CodecError."""
    try:
        stored = msgspec.convert(plain, _StoredSettings)
        classes = tuple(
            RequestClass(
                latency_objective_ms=cls.aim,
                deadline_ms=cls.deadline,
                priority_weight=cls.worth,
                idempotency=cls.effect,
                deduplication_scope=cls.group,
                deduplication_window_ms=cls.window,
                late_value_share=cls.late_value,
                serialized_by_key=cls.in_order,
            )
            for cls in stored.classes
        )
        return Settings(
            classes=classes,
            zone=stored.zone,
            cluster_size=stored.group_size,
            node_index=stored.me,
            quotas_per_s=stored.quotas,
            over_quota_weight=stored.over_quota_worth,
            key_affinity=stored.warm_keys,
            polls_endpoints=stored.ask_for_list,
            poll_interval_ms=stored.ask_within,
            tick_ms=stored.tick,
            may_cancel=stored.may_cancel,
            max_attempts=stored.max_attempts,
            max_retry_after_ms=stored.max_retry_after,
            full_possibly_executed=stored.full_may_have_run,
            key_cooldown_ms=stored.key_rest,
            slow_start_min_capacity=stored.cold_from,
            slow_start_duration_ms=stored.ramp_time,
            collapse_load_factor=stored.tip_multiple,
            collapse_window_ms=stored.overload_for,
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise CodecError(f"no settings: {error}") from error


@cache
def module_digest() -> dict[str, str]:
    """Return the SHA-256 of each source file of the policy, by file name.

    A policy with other source files may decide differently.
    """
    folder = Path(str(badgercart.policy.__file__)).parent
    files = sorted(folder.glob("*.py"))
    return {path.name: hashlib.sha256(path.read_bytes()).hexdigest() for path in files}


def dump_policy(policy: Policy) -> bytes:
    """Return the complete state of a policy as bytes, and reload the policy from them.

    The iteration order of a set depends on its history. The policy therefore continues from the
    same copy that a reader gets, so that a replay iterates in the same order.
    """
    state = policy_state.dump(policy)
    policy.__dict__.update(load_policy(state).__dict__)
    return state


def load_policy(state: bytes) -> Policy:
    """Return the policy that `dump_policy` dumped. Raises CodecError."""
    try:
        return policy_state.load(state)
    except policy_state.StateError as error:
        raise CodecError(str(error)) from error
