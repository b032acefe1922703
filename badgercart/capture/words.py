"""Events and actions as operators read them in messages. The names are literals: no rename in the
code may change what a message says. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from enum import Enum
from typing import Any

from badgercart.policy.actions import Cancel, Fail, Log, Probe, Refuse, Send, Subscribe, Wake
from badgercart.policy.endpoint import ServerEntry, State
from badgercart.policy.events import (
    Began,
    Company,
    Diverted,
    ListKind,
    Outcome,
    Overdue,
    PeerMessage,
    Planned,
    ProbeResult,
    Request,
    Result,
    Resume,
    Retuned,
    ServerList,
    Timer,
    Whole,
    Withdrawn,
)
from badgercart.policy.settings import Effect, Group, RequestClass, Settings

# The name of each type in messages, and those of its fields in the order of the class.
_SHOWN: dict[type, tuple[str, tuple[str, ...]]] = {
    ServerList: ("ServerList", ("kind", "version", "servers")),
    Request: (
        "Request",
        ("id", "cls", "due", "key", "tenant", "hint", "repeat", "fallbacks", "resumed", "among", "whole"),
    ),
    Began: ("Began", ("id", "attempt", "server", "elapsed")),
    Outcome: (
        "Outcome",
        ("id", "server", "over", "result", "attempt", "elapsed", "report", "parked", "spent"),
    ),
    Diverted: ("Diverted", ("id", "attempt", "server", "result", "elapsed", "to")),
    Resume: ("Resume", ("id", "resend")),
    ProbeResult: ("ProbeResult", ("server", "result", "elapsed", "report")),
    Timer: ("Timer", ("token",)),
    PeerMessage: ("PeerMessage", ("sender", "data")),
    Withdrawn: ("Withdrawn", ("id",)),
    Whole: ("Whole", ("id", "due")),
    Retuned: ("Retuned", ("settings", "live", "fresh", "tenants")),
    Company: ("Company", ("size", "me", "may_live", "parts", "hearsay")),
    Planned: ("Planned", ("shares", "spill", "lost", "bound", "strain")),
    Overdue: ("Overdue", ("id",)),
    Send: ("Send", ("id", "server", "limit", "fallbacks")),
    Refuse: ("Refuse", ("id", "wait")),
    Fail: ("Fail", ("id",)),
    Cancel: ("Cancel", ("id", "attempt")),
    Wake: ("Wake", ("delay", "token")),
    Probe: ("Probe", ("server",)),
    Subscribe: ("Subscribe", ()),
    Log: ("Log", ("text",)),
    ServerEntry: ("ServerEntry", ("id", "zone", "kind", "cell", "state", "size", "started")),
    RequestClass: (
        "RequestClass",
        ("aim", "deadline", "worth", "effect", "group", "window", "late_value", "in_order"),
    ),
    Settings: (
        "Settings",
        (
            "classes", "zone", "group_size", "me", "quotas", "over_quota_worth", "warm_keys", "ask_for_list",
            "ask_within", "tick", "may_cancel", "max_attempts", "max_retry_after", "full_may_have_run",
            "key_rest", "cold_from", "ramp_time", "tip_multiple", "overload_for",
        ),
    ),
}  # fmt: skip
RESULTS: dict[int, str] = {
    Result.OK: "OK",
    Result.ERROR: "ERROR",
    Result.FULL: "FULL",
    Result.TIMEOUT: "TIMEOUT",
    Result.UNREACHABLE: "UNREACHABLE",
    Result.RESET: "RESET",
    Result.CANCELLED: "CANCELLED",
    Result.NOT_SENT: "NOT_SENT",
}
_MEMBERS: dict[object, str] = {
    **{(Result, value): f"<Result.{name}: {int(value)}>" for value, name in RESULTS.items()},
    (State, State.READY): "<State.READY: 0>",
    (State, State.GONE): "<State.GONE: 1>",
    (State, State.DRAINING): "<State.DRAINING: 2>",
    (ListKind, ListKind.DELTA): "<ListKind.DELTA: 0>",
    (ListKind, ListKind.FULL): "<ListKind.FULL: 1>",
    (ListKind, ListKind.CACHED): "<ListKind.CACHED: 2>",
    (ListKind, ListKind.FAILED): "<ListKind.FAILED: 3>",
    (Effect, Effect.SAFE): "<Effect.SAFE: 'safe'>",
    (Effect, Effect.KEYED): "<Effect.KEYED: 'keyed'>",
    (Effect, Effect.UNSAFE): "<Effect.UNSAFE: 'unsafe'>",
    (Group, Group.ALL): "<Group.ALL: 'all'>",
    (Group, Group.ZONE): "<Group.ZONE: 'zone'>",
    (Group, Group.CELL): "<Group.CELL: 'cell'>",
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
    """An event, an action, or a list of them, as messages have it."""
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
