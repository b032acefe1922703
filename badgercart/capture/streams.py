"""Other deciding machines on the same tap: what each was told, what it answered, and its replay. No
I/O.

A machine joins by being named here and by its part handing it to `Host.machines`. While a capture
runs, the named methods of that one object are wrapped; otherwise they are the class's own and cost
nothing. A note is MessagePack `[name, kind, method, [argument, ...], result]`; the method "" gives
the whole state, as a segment begins with it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from badgercart.capture.codec import CodecError
from badgercart.discovery.freshness import Freshness, FreshnessLimits
from badgercart.frontends.processor.account import OldAnswerTracker, ProxyRecord
from badgercart.frontends.processor.settings import OldAnswers

_encode = msgspec.msgpack.Encoder().encode
STATE = ""


@dataclass(slots=True, frozen=True)
class MachineCodec:
    """How one kind of machine is captured and played back."""

    kind: str
    methods: dict[str, Callable[..., Any]]  # by its name in notes
    save: Callable[[Any], Any]  # its state as plain data
    load: Callable[[Any], Any]
    plain: Callable[[Any], Any] = lambda value: value  # an argument or a result as plain data
    # A plain argument of a method as the machine takes it.
    back: Callable[[Any, str, Any], Any] = lambda machine, method, value: value


def _load_freshness(state: Any) -> Freshness:
    rule, proven_at_ms = state
    made = Freshness(FreshnessLimits(*rule))
    made.proven_at_ms = proven_at_ms
    return made


def _save_account(account: OldAnswerTracker) -> Any:
    rule = account.rule.model_dump()
    return rule, [_save_proxy(proxy) for proxy in account.proxies.values()]


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


def _load_account(state: Any) -> OldAnswerTracker:
    rule, proxies = state
    account = OldAnswerTracker(OldAnswers.model_validate(rule))
    for row in proxies:
        proxy = ProxyRecord(*row)
        proxy.old_use_times_ms = deque(proxy.old_use_times_ms)
        account.proxies[proxy.name] = proxy
    return account


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
        _save_account,
        _load_account,
        lambda value: value.name
        if isinstance(value, ProxyRecord)
        else getattr(value, "value", value),
        lambda machine, method, value: machine.proxies[value]
        if method != "proxy" and type(value) is str
        else value,
    ),
}


def _encode_note(
    name: str, form: MachineCodec, method: str, args: tuple[Any, ...], result: Any
) -> bytes:
    return _encode((name, form.kind, method, args, result))


def state_note(name: str, machine: object) -> bytes:
    """A machine's whole state as a note."""
    form = MACHINE_CODECS[type(machine)]
    return _encode_note(name, form, STATE, (form.save(machine),), None)


def record_calls(name: str, machine: Any, told: Callable[[bytes], None]) -> Callable[[], None]:
    """Have every call of the named methods told as a note; gives what undoes it. KeyError: no
    such form."""
    form = MACHINE_CODECS[type(machine)]

    def wrapped(method: str, plain: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any) -> Any:
            if known[1]:  # the machine asks itself: a replay will do so too
                return plain(*args)
            rule = getattr(machine, "rule", None)
            if rule is not known[0]:  # its settings were replaced: a state says so
                known[0] = rule
                told(state_note(name, machine))
            known[1] = True
            try:
                result = plain(*args)
            finally:
                known[1] = False
            told(_encode_note(name, form, method, tuple(map(form.plain, args)), form.plain(result)))
            return result

        return call

    known = [getattr(machine, "rule", None), False]  # its settings, and whether a call is on
    for method, function in form.methods.items():
        setattr(machine, function.__name__, wrapped(method, getattr(machine, function.__name__)))

    def undo() -> None:
        for function in form.methods.values():
            delattr(machine, function.__name__)

    return undo


class NoteReplayer:
    """The replay of all of them: a machine is made of its state, and must then answer as it did."""

    def __init__(self) -> None:
        self.machines: dict[str, tuple[MachineCodec, Any]] = {}
        self.forms = {form.kind: form for form in MACHINE_CODECS.values()}

    def play(self, data: bytes) -> str:
        """One note; in words what differs, or nothing. Raises CodecError."""
        try:
            name, kind, method, args, result = msgspec.msgpack.decode(data)
            form = self.forms[kind]
            if method == STATE:
                self.machines[name] = form, form.load(args[0])
                return ""
            if method not in form.methods:
                raise CodecError(f"no note: {kind} has no {method}")
            if name not in self.machines:
                return ""  # what follows a gap without a state can't be judged
            machine = self.machines[name][1]
            play = getattr(machine, form.methods[method].__name__)
            got = form.plain(play(*(form.back(machine, method, arg) for arg in args)))
        except (msgspec.MsgspecError, ValueError, TypeError, LookupError, AttributeError) as error:
            raise CodecError(f"no note: {type(error).__name__}: {error}") from None
        if got != result:
            return (
                f"{name}: {method}({', '.join(map(str, args))}) gives {got!r} now, {result!r} then"
            )
        return ""
