"""Captures and replays the calls of state machines other than the policy. No I/O.

A state machine is captured if its type is in `MACHINE_CODECS` and its component registers it in
`ComponentHost.captured_state_machines`. While a capture runs, the recorded methods of that one
object are wrapped; otherwise they are the methods of its class and cost nothing. A note is
MessagePack `[name, kind, method, [argument, ...], result]`; a note with the method "" holds the
complete state, as it stands at the beginning of a segment.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from badgercart.capture.codec import CodecError
from badgercart.discovery.freshness import Freshness, FreshnessLimits
from badgercart.frontends.processor.old_answers import OldAnswerTracker, ProxyRecord
from badgercart.frontends.processor.settings import OldAnswers

_encode = msgspec.msgpack.Encoder().encode
# The method name of a note that holds the complete state.
STATE_METHOD = ""


@dataclass(slots=True, frozen=True)
class MachineCodec:
    """How one kind of state machine is captured and replayed."""

    kind: str
    methods: dict[str, Callable[..., Any]]  # the recorded methods by their stored names
    save_state: Callable[[Any], Any]  # gives the state as plain data
    load_state: Callable[[Any], Any]
    encode: Callable[[Any], Any] = (
        lambda value: value
    )  # gives an argument or a result as plain data
    # Gives the argument that a method takes from its plain data.
    decode_argument: Callable[[Any, str, Any], Any] = lambda machine, method, value: value


def _load_freshness(state: Any) -> Freshness:
    rule, proven_at_ms = state
    freshness = Freshness(FreshnessLimits(*rule))
    freshness.proven_at_ms = proven_at_ms
    return freshness


def _save_tracker(tracker: OldAnswerTracker) -> Any:
    rule = tracker.rule.model_dump()
    return rule, [_save_proxy(proxy) for proxy in tracker.proxies.values()]


def _save_proxy(proxy: ProxyRecord) -> list[Any]:
    return [
        proxy.name,
        proxy.answered,
        proxy.refused,
        proxy.unseen,
        proxy.first,
        proxy.fallback,
        proxy.lost,
        proxy.old,
        proxy.drained,
        list(proxy.old_use_times_ms),
        proxy.refused_until_ms,
    ]


def _load_tracker(state: Any) -> OldAnswerTracker:
    rule, proxies = state
    tracker = OldAnswerTracker(OldAnswers.model_validate(rule))
    for row in proxies:
        proxy = ProxyRecord(*row)
        proxy.old_use_times_ms = deque(proxy.old_use_times_ms)
        tracker.proxies[proxy.name] = proxy
    return tracker


MACHINE_CODECS: dict[type, MachineCodec] = {
    Freshness: MachineCodec(
        "freshness",
        {"proof": Freshness.proof, "state": Freshness.state, "next_change": Freshness.next_change},
        lambda machine: (
            (machine.rule.doubtful_after_ms, machine.rule.stale_after_ms),
            machine.proven_at_ms,
        ),
        _load_freshness,
        lambda value: getattr(value, "value", value),
    ),
    OldAnswerTracker: MachineCodec(
        "account",
        {
            "proxy": OldAnswerTracker.find_or_add,
            "standing": OldAnswerTracker.standing,
            "used_old": OldAnswerTracker.record_old_use,
        },
        _save_tracker,
        _load_tracker,
        lambda value: value.name
        if isinstance(value, ProxyRecord)
        else getattr(value, "value", value),
        lambda machine, method, value: machine.proxies[value]
        if method != "proxy" and type(value) is str
        else value,
    ),
}


def _encode_note(
    name: str, codec: MachineCodec, method: str, args: tuple[Any, ...], result: Any
) -> bytes:
    return _encode((name, codec.kind, method, args, result))


def state_note(name: str, machine: object) -> bytes:
    """Return a note that holds the complete state of a machine."""
    codec = MACHINE_CODECS[type(machine)]
    return _encode_note(name, codec, STATE_METHOD, (codec.save_state(machine),), None)


def record_calls(name: str, machine: Any, on_note: Callable[[bytes], None]) -> Callable[[], None]:
    """Pass a note to `on_note` for every call of a machine's recorded methods.

    Returns a function that stops the recording.

    Raises:
        KeyError: There is no codec for the type of the machine.
    """
    codec = MACHINE_CODECS[type(machine)]

    def wrap(method: str, original: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any) -> Any:
            if known[1]:  # a nested call by the machine itself, which a replay will repeat
                return original(*args)
            rule = getattr(machine, "rule", None)
            if rule is not known[0]:  # its settings were replaced, so its state is recorded again
                known[0] = rule
                on_note(state_note(name, machine))
            known[1] = True
            try:
                result = original(*args)
            finally:
                known[1] = False
            on_note(
                _encode_note(
                    name, codec, method, tuple(map(codec.encode, args)), codec.encode(result)
                )
            )
            return result

        return call

    # The machine's settings as last recorded, and whether a recorded call is in progress.
    known = [getattr(machine, "rule", None), False]
    for method, function in codec.methods.items():
        setattr(machine, function.__name__, wrap(method, getattr(machine, function.__name__)))

    def undo() -> None:
        for function in codec.methods.values():
            delattr(machine, function.__name__)

    return undo


class NoteReplayer:
    """Replays the notes of all machines.

    A machine is restored from a state note, and must then return the recorded results.
    """

    def __init__(self) -> None:
        self.machines: dict[str, tuple[MachineCodec, Any]] = {}
        self.codecs = {codec.kind: codec for codec in MACHINE_CODECS.values()}

    def replay(self, data: bytes) -> str:
        """Replay a note; returns what differs, or an empty text. Raises CodecError."""
        try:
            name, kind, method, args, result = msgspec.msgpack.decode(data)
            codec = self.codecs[kind]
            if method == STATE_METHOD:
                self.machines[name] = codec, codec.load_state(args[0])
                return ""
            if method not in codec.methods:
                raise CodecError(f"no note: {kind} has no {method}")
            if name not in self.machines:
                return ""  # after a gap, a call can't be checked before the next state note
            machine = self.machines[name][1]
            bound_method = getattr(machine, codec.methods[method].__name__)
            got = codec.encode(
                bound_method(*(codec.decode_argument(machine, method, arg) for arg in args))
            )
        except (msgspec.MsgspecError, ValueError, TypeError, LookupError, AttributeError) as error:
            raise CodecError(f"no note: {type(error).__name__}: {error}") from None
        if got != result:
            return (
                f"{name}: {method}({', '.join(map(str, args))}) gives {got!r} now, {result!r} then"
            )
        return ""
