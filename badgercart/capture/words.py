"""Formats events and actions as operators read them in messages. No I/O.

All names in the messages are literals here, so that a rename in the code changes no message.
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

# The name of each type in messages, and the names of its fields in their order in the class.
_MESSAGE_NAMES: dict[type, tuple[str, tuple[str, ...]]] = {
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
# The names of attempt results in messages.
RESULT_NAMES: dict[int, str] = {
    AttemptResult.OK: "OK",
    AttemptResult.ERROR: "ERROR",
    AttemptResult.FULL: "FULL",
    AttemptResult.TIMEOUT: "TIMEOUT",
    AttemptResult.UNREACHABLE: "UNREACHABLE",
    AttemptResult.RESET: "RESET",
    AttemptResult.CANCELLED: "CANCELLED",
    AttemptResult.NOT_SENT: "NOT_SENT",
}
# The text of each enum member in messages.
_ENUM_TEXTS: dict[object, str] = {
    **{
        (AttemptResult, value): f"<Result.{name}: {int(value)}>"
        for value, name in RESULT_NAMES.items()
    },
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


def _format_sequence(opening: str, values: list[str], closing: str) -> str:
    return f"{opening}{', '.join(values)}{closing}"


def _format_tuple(value: tuple[Any, ...]) -> str:
    return (
        f"({show(value[0])},)"
        if len(value) == 1
        else _format_sequence("(", [show(element) for element in value], ")")
    )


def _format_frozenset(value: frozenset[Any]) -> str:
    return (
        _format_sequence("frozenset({", [show(element) for element in value], "})")
        if value
        else "frozenset()"
    )


_CONTAINER_FORMATTERS: dict[type, Callable[[Any], str]] = {
    list: lambda value: _format_sequence("[", [show(element) for element in value], "]"),
    tuple: _format_tuple,
    frozenset: _format_frozenset,
}


def show(value: object) -> str:
    """Return the text of an event, an action, or a list of them in messages."""
    kind = type(value)
    if kind in _MESSAGE_NAMES:
        type_name, field_names = _MESSAGE_NAMES[kind]
        values = (show(getattr(value, field.name)) for field in fields(value))  # type: ignore[arg-type]
        shown = (f"{name}={text}" for name, text in zip(field_names, values, strict=True))
        return f"{type_name}({', '.join(shown)})"
    if kind in _CONTAINER_FORMATTERS:
        return _CONTAINER_FORMATTERS[kind](value)
    if isinstance(value, Enum):
        return _ENUM_TEXTS[kind, value]
    return repr(value)
