"""Events and actions as bytes, and back; and a policy's state at the head of a segment. No I/O.

Why msgspec: it writes MessagePack in one pass of C, which keeps the tap cheap, and any reader of
MessagePack can read a capture. A policy's state: `policy_state.py`.
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

# The numbers stand in files: a new one is added at the end, none is ever used again.
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
_encode = msgspec.msgpack.Encoder().encode


def _getter(kind: Any) -> Callable[[Any], tuple[Any, ...]]:
    """All fields of a dataclass at once, in C: this runs for every event of a node."""
    names = [field.name for field in dataclasses.fields(kind)]
    if len(names) > 1:
        return attrgetter(*names)
    return lambda item: tuple(getattr(item, name) for name in names)


_FIELDS = {kind: _getter(kind) for kind in (*EVENTS, *ACTIONS, Endpoint)}


_REACHABLE = 9  # the place of `reachable_endpoints` among the fields of a Request


class CodecError(Exception):
    """Bytes that can't be read: what is wrong with them."""


def plain_event(now: float, event: Event) -> tuple[int, float, tuple[Any, ...]]:
    """Return an event as `(number, now, (field, ...))`; nothing in it can change later."""
    kind = type(event)
    fields = _FIELDS[kind](event)
    if kind is EndpointUpdate:
        fields = (*fields[:-1], [_FIELDS[Endpoint](entry) for entry in fields[-1]])
    elif kind is Request and event.reachable_endpoints is not None:  # type: ignore[union-attr]
        fields = (*fields[:_REACHABLE], sorted(fields[_REACHABLE]), *fields[_REACHABLE + 1 :])
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
    return _EVENT_NUMBERS[kind], now, fields


def plain_actions(actions: Sequence[Action] | None) -> list[tuple[int, tuple[Any, ...]]] | None:
    """Return actions as `[(number, (field, ...)), ...]`; None where the policy raised."""
    if actions is None:
        return None
    return [(_ACTION_NUMBERS[type(action)], _FIELDS[type(action)](action)) for action in actions]


def encode_actions(actions: Sequence[Action] | None) -> bytes:
    """Return actions as MessagePack; nil where the policy raised."""
    return _encode(plain_actions(actions))


EncodedEvent = tuple[int, float, tuple[Any, ...], "list[tuple[int, tuple[Any, ...]]] | None"]
encode_batch: Callable[[list[EncodedEvent]], bytes] = _encode


def _server_list(kind: int, version: int, servers: list[list[Any]]) -> EndpointUpdate:
    entries = [
        Endpoint(at, zone, machine, cell, EndpointState(state), size, started)
        for at, zone, machine, cell, state, size, started in servers
    ]
    return EndpointUpdate(UpdateKind(kind), version, entries)


def _request(*fields: Any) -> Request:
    event = Request(*fields)
    event.reachable_endpoints = (
        frozenset(event.reachable_endpoints) if event.reachable_endpoints is not None else None
    )
    return event


def _outcome(*fields: Any) -> AttemptEnded:
    event = AttemptEnded(*fields)
    event.result, event.report = AttemptResult(event.result), tuple(event.report)
    return event


def _diverted(*fields: Any) -> AttemptRerouted:
    event = AttemptRerouted(*fields)
    event.result = AttemptResult(event.result)
    return event


def _retuned(
    settings: dict[str, Any], live: list[int], fresh: list[int], tenants: Sequence[int] = ()
) -> SettingsChanged:
    return SettingsChanged(
        decode_settings(settings), frozenset(live), frozenset(fresh), frozenset(tenants)
    )


def _company(
    size: int, me: int, may_live: int, parts: list[float], hearsay: list[list[Any]]
) -> ClusterView:
    return ClusterView(
        size, me, may_live, tuple(parts), tuple((server, level) for server, level in hearsay)
    )


def _planned(
    shares: list[list[float]],
    spill: list[float],
    lost: list[int],
    bound: list[int],
    strain: list[float],
) -> TrafficPlan:
    rows = tuple(map(tuple, shares))
    return TrafficPlan(rows, tuple(spill), frozenset(lost), frozenset(bound), tuple(strain))


_READ: dict[type, Callable[..., Any]] = {
    EndpointUpdate: _server_list,
    Request: _request,
    AttemptEnded: _outcome,
    AttemptRerouted: _diverted,
    SettingsChanged: _retuned,
    ClusterView: _company,
    TrafficPlan: _planned,
}


_BATCH: msgspec.msgpack.Decoder[list[tuple[int, float, list[Any], msgspec.Raw]]] = (
    msgspec.msgpack.Decoder(list[tuple[int, float, list[Any], msgspec.Raw]])
)


def _event(number: int, fields: list[Any]) -> Event:
    kind = EVENTS[number]
    made: Event = _READ.get(kind, kind)(*fields)
    return made


def decode_event(data: bytes) -> tuple[float, Event]:
    """Return an event with its time, as format 1 has it. Raises CodecError."""
    try:
        number, now, fields = msgspec.msgpack.decode(data)
        return float(now), _event(number, fields)
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError) as error:
        raise CodecError(f"no event: {error}") from error


def decode_batch(data: bytes) -> Iterator[tuple[float, Event, bytes]]:
    """Give each event with its time and the actions that it led to, as `encode_actions` has them.

    Raises:
        CodecError: The bytes are no batch.
    """
    try:
        for number, now, fields, actions in _BATCH.decode(data):
            yield now, _event(number, fields), bytes(actions)
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError) as error:
        raise CodecError(f"no batch of events: {error}") from error


def decode_actions(data: bytes) -> list[Action] | None:
    """Return the actions of `encode_actions`. Raises CodecError."""
    try:
        plain = msgspec.msgpack.decode(data)
        return None if plain is None else [_action(number, fields) for number, fields in plain]
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError) as error:
        raise CodecError(f"no actions: {error}") from error


def _action(number: int, fields: list[Any]) -> Action:
    kind = ACTIONS[number]
    if kind is Send:
        return Send(fields[0], fields[1], fields[2], tuple(fields[3]))
    made: Action = kind(*fields)
    return made


# Settings.


class _StoredClass(msgspec.Struct):
    """A `RequestClass` by the names that stand in files."""

    aim: float
    deadline: float
    worth: float
    effect: Idempotency
    group: DeduplicationScope = DeduplicationScope.ALL
    window: float = 0.0
    late_value: float = 0.0
    in_order: bool = False


class _StoredSettings(msgspec.Struct):
    """`Settings` by the names that stand in files."""

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
    """Return settings as plain data, by the stored names."""
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
    """Return the settings of `encode_settings`. Raises CodecError."""
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
    """Return the SHA-256 of each of the policy's files: other files may decide otherwise."""
    folder = Path(str(badgercart.policy.__file__)).parent
    files = sorted(folder.glob("*.py"))
    return {path.name: hashlib.sha256(path.read_bytes()).hexdigest() for path in files}


def dump_policy(policy: Policy) -> bytes:
    """Return a policy's whole state as bytes.

    The policy goes on from the same copy that a reader gets: the order of a set comes of its
    history, and a replay must meet the same.
    """
    state = policy_state.dump(policy)
    policy.__dict__.update(load_policy(state).__dict__)
    return state


def load_policy(state: bytes) -> Policy:
    """Return the policy of `dump_policy`. Raises CodecError."""
    try:
        return policy_state.load(state)
    except policy_state.StateError as error:
        raise CodecError(str(error)) from error
