"""Events and actions as operators read them in messages. No I/O.

The names are literals: no rename in the code may change what a message says.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from enum import Enum
from typing import Any

from badgercart.policy.actions import (
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
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

# The name of each type in messages, and those of its fields in the order of the class.
_SHOWN: dict[type, tuple[str, tuple[str, ...]]] = {
    EndpointUpdate: ("ServerList", ("kind", "version", "servers")),
    Request: (
        "Request",
        (
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
        ),
    ),
    ResponseStarted: ("Began", ("id", "attempt", "server", "elapsed")),
    AttemptEnded: (
        "Outcome",
        ("id", "server", "over", "result", "attempt", "elapsed", "report", "parked", "spent"),
    ),
    AttemptRerouted: ("Diverted", ("id", "attempt", "server", "result", "elapsed", "to")),
    RetryDecisionDue: ("Resume", ("id", "resend")),
    HealthCheckResult: ("ProbeResult", ("server", "result", "elapsed", "report")),
    TimerFired: ("Timer", ("token",)),
    PeerMessage: ("PeerMessage", ("sender", "data")),
    RequestCancelled: ("Withdrawn", ("id",)),
    RequestCompleted: ("Whole", ("id", "due")),
    SettingsChanged: ("Retuned", ("settings", "live", "fresh", "tenants")),
    ClusterView: ("Company", ("size", "me", "may_live", "parts", "hearsay")),
    TrafficPlan: ("Planned", ("shares", "spill", "lost", "bound", "strain")),
    DeadlineExceeded: ("Overdue", ("id",)),
    Send: ("Send", ("id", "server", "limit", "fallbacks")),
    Shed: ("Refuse", ("id", "wait")),
    Fail: ("Fail", ("id",)),
    CancelAttempt: ("Cancel", ("id", "attempt")),
    SetTimer: ("Wake", ("delay", "token")),
    HealthCheck: ("Probe", ("server",)),
    Subscribe: ("Subscribe", ()),
    Log: ("Log", ("text",)),
    Endpoint: ("ServerEntry", ("id", "zone", "kind", "cell", "state", "size", "started")),
    RequestClass: (
        "RequestClass",
        ("aim", "deadline", "worth", "effect", "group", "window", "late_value", "in_order"),
    ),
    Settings: (
        "Settings",
        (
            "classes",
            "zone",
            "group_size",
            "me",
            "quotas",
            "over_quota_worth",
            "warm_keys",
            "ask_for_list",
            "ask_within",
            "tick",
            "may_cancel",
            "max_attempts",
            "max_retry_after",
            "full_may_have_run",
            "key_rest",
            "cold_from",
            "ramp_time",
            "tip_multiple",
            "overload_for",
        ),
    ),
}
RESULTS: dict[int, str] = {
    AttemptResult.OK: "OK",
    AttemptResult.ERROR: "ERROR",
    AttemptResult.FULL: "FULL",
    AttemptResult.TIMEOUT: "TIMEOUT",
    AttemptResult.UNREACHABLE: "UNREACHABLE",
    AttemptResult.RESET: "RESET",
    AttemptResult.CANCELLED: "CANCELLED",
    AttemptResult.NOT_SENT: "NOT_SENT",
}
_MEMBERS: dict[object, str] = {
    **{(AttemptResult, value): f"<Result.{name}: {int(value)}>" for value, name in RESULTS.items()},
    (EndpointState, EndpointState.READY): "<State.READY: 0>",
    (EndpointState, EndpointState.GONE): "<State.GONE: 1>",
    (EndpointState, EndpointState.DRAINING): "<State.DRAINING: 2>",
    (UpdateKind, UpdateKind.DELTA): "<ListKind.DELTA: 0>",
    (UpdateKind, UpdateKind.SNAPSHOT): "<ListKind.FULL: 1>",
    (UpdateKind, UpdateKind.CACHED): "<ListKind.CACHED: 2>",
    (UpdateKind, UpdateKind.FAILED): "<ListKind.FAILED: 3>",
    (Idempotency, Idempotency.IDEMPOTENT): "<Effect.SAFE: 'safe'>",
    (Idempotency, Idempotency.KEYED): "<Effect.KEYED: 'keyed'>",
    (Idempotency, Idempotency.NON_IDEMPOTENT): "<Effect.UNSAFE: 'unsafe'>",
    (DeduplicationScope, DeduplicationScope.ALL): "<Group.ALL: 'all'>",
    (DeduplicationScope, DeduplicationScope.ZONE): "<Group.ZONE: 'zone'>",
    (DeduplicationScope, DeduplicationScope.CELL): "<Group.CELL: 'cell'>",
}


def _sequence(opening: str, values: list[str], closing: str) -> str:
    return f"{opening}{', '.join(values)}{closing}"


def _tuple(value: tuple[Any, ...]) -> str:
    return (
        f"({show(value[0])},)" if len(value) == 1 else _sequence("(", [show(v) for v in value], ")")
    )


def _frozenset(value: frozenset[Any]) -> str:
    return _sequence("frozenset({", [show(v) for v in value], "})") if value else "frozenset()"


_CONTAINERS: dict[type, Callable[[Any], str]] = {
    list: lambda value: _sequence("[", [show(v) for v in value], "]"),
    tuple: _tuple,
    frozenset: _frozenset,
}


def show(value: object) -> str:
    """Return an event, an action, or a list of them, as messages have it."""
    kind = type(value)
    if kind in _SHOWN:
        name, names = _SHOWN[kind]
        values = (show(getattr(value, field.name)) for field in fields(value))  # type: ignore[arg-type]
        shown = (f"{field}={text}" for field, text in zip(names, values, strict=True))
        return f"{name}({', '.join(shown)})"
    if kind in _CONTAINERS:
        return _CONTAINERS[kind](value)
    if isinstance(value, Enum):
        return _MEMBERS[kind, value]
    return repr(value)
