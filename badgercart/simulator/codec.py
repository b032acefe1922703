"""The simulator's wire, to and from the interface. Big-endian, fixed-size records, one tail a
frame."""

from __future__ import annotations

import json
import struct
from typing import Any

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
    AttemptResult,
    EndpointUpdate,
    Event,
    HealthCheckResult,
    PeerMessage,
    Request,
    RequestCancelled,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

EVENT_SIZE = 48
ACTION_SIZE = 24
BATCH_HEAD = struct.Struct(">IIdI")
REPLY_HEAD = struct.Struct(">III")
ENTRY = struct.Struct(">IBHHBfd")

_SELECT = struct.Struct(">xH")
_BORN = struct.Struct(">xQII")
_CENSUS = struct.Struct(">xIII")
_LIST = struct.Struct(">xBII")
_REQUEST = struct.Struct(">xQHIQddH")
_BEGAN = struct.Struct(">xQBId")
_OUTCOME = struct.Struct(">xQIBBBdB4f")
_WITHDRAWN = struct.Struct(">xQ")
_TIMER = struct.Struct(">xQ")
_PROBED = struct.Struct(">xIBdB4f")
_MESSAGE = struct.Struct(">xIII")

_SPEAKING = struct.Struct(">BH21x")
_SEND = struct.Struct(">BQId3x")
_CANCEL = struct.Struct(">BQB14x")
_WAKE = struct.Struct(">BdQ7x")
_REFUSE = struct.Struct(">BQd7x")
_FAIL = struct.Struct(">BQ15x")
_SUBSCRIBE = struct.Struct(">BB22x")
_PROBE = struct.Struct(">BI19x")
_TEXT = struct.Struct(">BII15x")

_STATES = {state.value: state for state in EndpointState}
_LIST_KINDS = {kind.value: kind for kind in UpdateKind}
_RESULTS = {result.value for result in AttemptResult}
_EFFECTS = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
_GROUPS = {group.value: group for group in DeduplicationScope}


class WireError(Exception):
    """A frame, or the settings in it, that can't be read: what is wrong and where."""


class Born:
    """An instance starts; it has a seed and settings of its own."""

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: Settings) -> None:
        self.seed = seed
        self.settings = settings


class Killed:
    """An instance is gone, with all that it knew."""

    __slots__ = ()


def read_settings(text: bytes) -> Settings:
    """The settings object of a Born event, in our own words. Unknown keys are passed over."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings: not JSON: {error}") from None
    try:
        return _settings(raw)
    except KeyError as error:
        raise WireError(f"settings: {error} is missing or has an unknown value") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise WireError(f"settings: {error}") from None


def _settings(raw: dict[str, Any]) -> Settings:
    allowed, rules = raw["Allowed"], raw["Obligations"]
    discovery = raw["Discovery"]
    if discovery not in ("push", "ask"):
        raise ValueError(f"Discovery can't be {discovery!r}")
    return Settings(
        classes=tuple(
            RequestClass(
                latency_objective_ms=float(c["Aim"]),
                deadline_ms=float(c["Deadline"]),
                priority_weight=float(c["Worth"]),
                idempotency=_EFFECTS[c["Idempotency"]],
                deduplication_scope=_GROUPS[c.get("Group", "all")],
                deduplication_window_ms=float(c.get("Window", 0.0)),
                late_value_share=float(c.get("LateValue", 0.0)),
                serialized_by_key=bool(c.get("SerialByKey", False)),
            )
            for c in raw["Classes"]
        ),
        zone=int(raw.get("MyZone", 0)),
        cluster_size=int(raw.get("GroupSize", 1)),
        node_index=int(raw.get("Me", 0)),
        quotas_per_s=tuple(float(t["QuotaPerS"]) for t in raw.get("Customers", ())),
        over_quota_weight=float(raw.get("OverShareWorth", 1.0)),
        key_affinity=bool(raw.get("Domain", {}).get("WarmKeys", False)),
        polls_endpoints=discovery == "ask",
        poll_interval_ms=float(rules.get("AskWithin", 10000.0)),
        tick_ms=float(raw["Tick"]),
        may_cancel=bool(allowed.get("MayCancel", False)),
        max_attempts=int(allowed["MaxAttempts"]),
        max_retry_after_ms=float(allowed["MaxRetryAfter"]) if allowed.get("RetryAfter") else 0.0,
        full_possibly_executed=bool(rules.get("ShedAfterStart", False)),
        key_cooldown_ms=float(rules.get("KeyRest", 0.0)),
        slow_start_min_capacity=float(rules["ColdFrom"]),
        slow_start_duration_ms=float(rules["RampTime"]),
        collapse_load_factor=float(rules.get("TipMultiple", 1.0)),
        collapse_window_ms=float(rules.get("OverloadFor", 1000.0)),
    )


class Decoder:
    """Reads batches. It keeps the numbered server lists, which later batches may refer to."""

    def __init__(self) -> None:
        self._lists: dict[int, list[Endpoint]] = {}

    def batch(self, frame: bytes) -> tuple[int, float, list[tuple[int, Event | Born | Killed]]]:
        """Number, clock, and the events with the instance that each is for."""
        if len(frame) < BATCH_HEAD.size:
            raise WireError(f"batch header: {len(frame)} bytes where {BATCH_HEAD.size} are needed")
        number, length, now, count = BATCH_HEAD.unpack_from(frame)
        tail = BATCH_HEAD.size + count * EVENT_SIZE
        if length != len(frame) or tail > length:
            raise WireError(f"batch {number}: {count} records do not fit a frame of {length} bytes")
        events: list[tuple[int, Event | Born | Killed]] = []
        instance = -1
        for at in range(BATCH_HEAD.size, tail, EVENT_SIZE):
            code = frame[at]
            if code == 12:
                (instance,) = _SELECT.unpack_from(frame, at)
                continue
            if code == 11:
                number_of_list, start, entries = _CENSUS.unpack_from(frame, at)
                data = self._tail(frame, tail, start, entries * ENTRY.size, number, at)
                self._lists[number_of_list] = [
                    self._entry(row, number) for row in ENTRY.iter_unpack(data)
                ]
                continue
            if instance < 0:
                raise WireError(f"batch {number}, byte {at}: event {code} before any Select")
            events.append((instance, self._event(code, frame, at, tail, number)))
        return number, now, events

    def _event(
        self, code: int, frame: bytes, at: int, tail: int, number: int
    ) -> Event | Born | Killed:
        if code == 3:
            job, cls, tenant, key, due, hint, flags = _REQUEST.unpack_from(frame, at)
            return Request(job, cls, due, key, tenant, hint if flags & 1 else 0.0, bool(flags & 2))
        if code == 5:
            job, server, over, result, attempt, elapsed, n, *report = _OUTCOME.unpack_from(
                frame, at
            )
            if result not in _RESULTS or n > 4:
                raise WireError(
                    f"batch {number}, byte {at}: unknown outcome {result} or report of {n}"
                )
            return AttemptEnded(
                job, server, over != 0, result, attempt, elapsed, tuple(report[:n]) if n else ()
            )
        if code == 7:
            return TimerFired(_TIMER.unpack_from(frame, at)[0])
        if code == 6:
            return RequestCancelled(_WITHDRAWN.unpack_from(frame, at)[0])
        if code == 8:
            server, result, elapsed, n, *report = _PROBED.unpack_from(frame, at)
            if result not in _RESULTS or n > 4:
                raise WireError(
                    f"batch {number}, byte {at}: unknown outcome {result} or report of {n}"
                )
            return HealthCheckResult(server, result, elapsed, tuple(report[:n]))
        if code == 2:
            kind, version, number_of_list = _LIST.unpack_from(frame, at)
            if kind not in _LIST_KINDS:
                raise WireError(f"batch {number}, byte {at}: unknown list form {kind}")
            if kind == UpdateKind.FAILED:
                return EndpointUpdate(UpdateKind.FAILED, version, [])
            if number_of_list not in self._lists:
                raise WireError(f"batch {number}, byte {at}: list {number_of_list} was never given")
            return EndpointUpdate(_LIST_KINDS[kind], version, self._lists[number_of_list])
        if code == 1:
            seed, start, length = _BORN.unpack_from(frame, at)
            text = self._tail(frame, tail, start, length, number, at)
            try:
                return Born(seed, read_settings(text))
            except WireError as error:
                raise WireError(f"batch {number}, byte {at}: {error}") from None
        if code == 4:
            return ResponseStarted(*_BEGAN.unpack_from(frame, at))
        if code == 9:
            sender, start, length = _MESSAGE.unpack_from(frame, at)
            return PeerMessage(sender, self._tail(frame, tail, start, length, number, at))
        if code == 10:
            return Killed()
        raise WireError(f"batch {number}, byte {at}: unknown event code {code}")

    @staticmethod
    def _tail(frame: bytes, tail: int, start: int, length: int, number: int, at: int) -> bytes:
        if tail + start + length > len(frame):
            raise WireError(
                f"batch {number}, byte {at}: tail reference {start}+{length} is out of range"
            )
        return frame[tail + start : tail + start + length]

    @staticmethod
    def _entry(row: tuple[Any, ...], number: int) -> Endpoint:
        server, zone, kind, cell, state, size, started = row
        if state not in _STATES:
            raise WireError(f"batch {number}: server {server} has unknown phase {state}")
        return Endpoint(server, zone, kind, cell, _STATES[state], size, started)


class Encoder:
    """Collects the actions of one reply."""

    def __init__(self, number: int) -> None:
        self._number = number
        self._records: list[bytes] = []
        self._tail = bytearray()
        self._instance = -1

    def add(self, instance: int, actions: list[Action]) -> None:
        put = self._records.append
        if actions and instance != self._instance:
            put(_SPEAKING.pack(1, instance))
            self._instance = instance
        for action in actions:
            kind = type(action)
            if kind is Send:
                put(_SEND.pack(8, action.id, action.endpoint_id, action.timeout_ms))  # type: ignore[union-attr]
            elif kind is SetTimer:
                put(_WAKE.pack(7, action.delay_ms, action.token))  # type: ignore[union-attr]
            elif isinstance(action, Shed):
                put(_REFUSE.pack(4, action.id, action.retry_after_ms))
            elif isinstance(action, Fail):
                put(_FAIL.pack(6, action.id))
            elif isinstance(action, CancelAttempt):
                put(_CANCEL.pack(3, action.id, action.attempt))
            elif isinstance(action, HealthCheck):
                put(_PROBE.pack(11, action.endpoint_id))
            elif isinstance(action, Subscribe):
                put(_SUBSCRIBE.pack(9, 1))
            elif isinstance(action, Log):
                self._text(10, action.text)
            else:
                raise TypeError(f"not an action: {action!r}")

    def fatal(self, instance: int, text: str) -> None:
        """Say that the decision code failed on behalf of an instance."""
        self._records.append(_SPEAKING.pack(1, instance))
        self._instance = instance
        self._text(12, text)

    def _text(self, code: int, text: str) -> None:
        data = text.encode()
        self._records.append(_TEXT.pack(code, len(self._tail), len(data)))
        self._tail += data

    def frame(self) -> bytes:
        body = b"".join(self._records)
        length = REPLY_HEAD.size + len(body) + len(self._tail)
        return REPLY_HEAD.pack(self._number, length, len(self._records)) + body + self._tail
