"""Events and actions as bytes, and back; and a policy's state at the head of a segment. No I/O.

Why msgspec: it writes MessagePack in one pass of C, which keeps the tap cheap, and any reader of MessagePack
can read a capture. State is pickled, since no other form keeps a policy's graph of shared objects
exactly; it is read back with a list of the only names that may stand in it, so that a capture can't run code.
"""

from __future__ import annotations

import dataclasses
import hashlib
import io
import pickle
from collections.abc import Callable, Sequence
from functools import cache
from operator import attrgetter
from pathlib import Path
from typing import Any

import msgspec

import cottonhall.fleet
import cottonhall.rules
from cottonhall.interface import (
    Action,
    Began,
    Cancel,
    Diverted,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeResult,
    Refuse,
    Request,
    Result,
    Resume,
    Send,
    ServerEntry,
    ServerList,
    Settings,
    State,
    Subscribe,
    Timer,
    Wake,
    Withdrawn,
)
from cottonhall.rules import Policy

# The numbers stand in files: a new one is added at the end, none is ever used again.
EVENTS: tuple[type, ...] = (
    ServerList, Request, Began, Outcome, Diverted, Resume, ProbeResult, Timer, PeerMessage, Withdrawn,
)  # fmt: skip
ACTIONS: tuple[type, ...] = (Send, Refuse, Fail, Cancel, Wake, Probe, Subscribe, Log)
_EVENT_NUMBERS = {kind: number for number, kind in enumerate(EVENTS)}
_ACTION_NUMBERS = {kind: number for number, kind in enumerate(ACTIONS)}
_encode = msgspec.msgpack.Encoder().encode


def _getter(kind: Any) -> Callable[[Any], tuple[Any, ...]]:
    """All fields of a dataclass at once, in C: this runs for every event of a node."""
    names = [field.name for field in dataclasses.fields(kind)]
    if len(names) > 1:
        return attrgetter(*names)
    return lambda item: tuple(getattr(item, name) for name in names)


_FIELDS = {kind: _getter(kind) for kind in (*EVENTS, *ACTIONS, ServerEntry)}


class CodecError(Exception):
    """Bytes that are none of ours: what is wrong with them."""


def encode_event(now: float, event: Event) -> bytes:
    """`[number, now, [field, ...]]`, the fields in the order of the class."""
    kind = type(event)
    fields: tuple[Any, ...] = _FIELDS[kind](event)
    if kind is ServerList:
        fields = (*fields[:-1], [_FIELDS[ServerEntry](entry) for entry in fields[-1]])
    elif kind is Request and fields[-1] is not None:
        fields = (*fields[:-1], sorted(fields[-1]))
    return _encode((_EVENT_NUMBERS[kind], now, fields))


def encode_actions(actions: Sequence[Action] | None) -> bytes:
    """`[[number, [field, ...]], ...]`; nil where the policy raised."""
    if actions is None:
        return _encode(None)
    return _encode([(_ACTION_NUMBERS[type(action)], _FIELDS[type(action)](action)) for action in actions])


def _server_list(kind: int, version: int, servers: list[list[Any]]) -> ServerList:
    entries = [
        ServerEntry(at, zone, machine, cell, State(state), size, started)
        for at, zone, machine, cell, state, size, started in servers
    ]
    return ServerList(ListKind(kind), version, entries)


def _request(*fields: Any) -> Request:
    event = Request(*fields)
    event.among = frozenset(event.among) if event.among is not None else None
    return event


def _outcome(*fields: Any) -> Outcome:
    event = Outcome(*fields)
    event.result, event.report = Result(event.result), tuple(event.report)
    return event


def _diverted(*fields: Any) -> Diverted:
    event = Diverted(*fields)
    event.result = Result(event.result)
    return event


_READ: dict[type, Callable[..., Any]] = {
    ServerList: _server_list,
    Request: _request,
    Outcome: _outcome,
    Diverted: _diverted,
}


def decode_event(data: bytes) -> tuple[float, Event]:
    """Raises CodecError."""
    try:
        number, now, fields = msgspec.msgpack.decode(data)
        kind = EVENTS[number]
        return float(now), _READ.get(kind, kind)(*fields)
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError) as error:
        raise CodecError(f"no event: {error}") from None


# Settings.


def encode_settings(settings: Settings) -> dict[str, Any]:
    """Plain data, by the names of the class."""
    plain: dict[str, Any] = msgspec.to_builtins(settings)
    return plain


@cache
def module_digest() -> dict[str, str]:
    """The texts of the policy's files, by their SHA-256: decisions can only be the same by the same text."""
    files = [Path(str(module.__file__)) for module in (cottonhall.rules, cottonhall.fleet)]
    return {path.name: hashlib.sha256(path.read_bytes()).hexdigest() for path in files}


# A policy's state.

_ALLOWED = {
    ("builtins", "set"),
    ("builtins", "frozenset"),
    ("collections", "deque"),
    ("collections", "OrderedDict"),
    ("random", "Random"),
    ("copyreg", "_reconstructor"),
    ("builtins", "object"),
}


class _Careful(pickle.Unpickler):
    def find_class(self, module: str, name: str) -> Any:
        if module in ("cottonhall.rules", "cottonhall.fleet", "cottonhall.interface") and "." not in name:
            found = super().find_class(module, name)
            if isinstance(found, type) and found.__module__ == module:
                return found
        elif (module, name) in _ALLOWED:
            return super().find_class(module, name)
        raise CodecError(f"a state can't hold {module}.{name}")


def freeze(policy: Policy) -> bytes:
    """The whole state. The policy goes on from the same copy that a reader gets: the order of a set comes
    of its history, and a replay must meet the same."""
    state = pickle.dumps(policy, protocol=5)
    policy.__dict__.update(thaw(state).__dict__)
    return state


def thaw(state: bytes) -> Policy:
    """Raises CodecError."""
    try:
        policy = _Careful(io.BytesIO(state)).load()
    except CodecError:
        raise
    except Exception as error:  # a broken pickle raises nearly anything
        raise CodecError(f"no state: {type(error).__name__}: {error}") from None
    if not isinstance(policy, Policy):
        raise CodecError("the state is no policy's")
    return policy
