"""The simulator's frames: a header, big-endian records of a fixed size, and a tail.

The tail holds data of variable size, to which records refer by offset and length. Most records
concern one instance of the policy, which the last Select record before them names.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
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
from badgercart.policy.settings import Settings
from badgercart.simulator.errors import WireError
from badgercart.simulator.settings_reader import read_settings

EVENT_RECORD_BYTES = 48
MAX_REPORT_VALUES = 4  # load values in an endpoint's report
BATCH_HEADER = struct.Struct(">IIdI")
REPLY_HEADER = struct.Struct(">III")
ENDPOINT_RECORD = struct.Struct(">IBHHBfd")

_SELECT_EVENT = struct.Struct(">xH")
_INSTANCE_STARTED = struct.Struct(">xQII")
_ENDPOINT_LIST = struct.Struct(">xIII")
_ENDPOINT_UPDATE = struct.Struct(">xBII")
_REQUEST = struct.Struct(">xQHIQddH")
_RESPONSE_STARTED = struct.Struct(">xQBId")
_ATTEMPT_ENDED = struct.Struct(">xQIBBBdB4f")
_REQUEST_CANCELLED = struct.Struct(">xQ")
_TIMER_FIRED = struct.Struct(">xQ")
_HEALTH_CHECK_RESULT = struct.Struct(">xIBdB4f")
_PEER_MESSAGE = struct.Struct(">xIII")
_SELECT_CODE, _ENDPOINT_LIST_CODE = 12, 11
_HAS_EXPECTED_WORK, _IS_CLIENT_RETRY = 1, 2  # bits of a request's flags

_SELECT_INSTANCE = struct.Struct(">BH21x")
_SEND = struct.Struct(">BQId3x")
_CANCEL_ATTEMPT = struct.Struct(">BQB14x")
_SET_TIMER = struct.Struct(">BdQ7x")
_SHED = struct.Struct(">BQd7x")
_FAIL = struct.Struct(">BQ15x")
_SUBSCRIBE = struct.Struct(">BB22x")
_HEALTH_CHECK = struct.Struct(">BI19x")
_TEXT_RECORD = struct.Struct(">BII15x")
_LOG_CODE, _FATAL_CODE = 10, 12

_STATES = {state.value: state for state in EndpointState}
_UPDATE_KINDS = {kind.value: kind for kind in UpdateKind}
_RESULTS = {result.value for result in AttemptResult}


class InstanceStarted:
    """An instance of the policy starts with its own seed and settings."""

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: Settings) -> None:
        self.seed = seed
        self.settings = settings


class InstanceKilled:
    """An instance of the policy has ended, and its state is lost."""

    __slots__ = ()


InstanceEvent = Event | InstanceStarted | InstanceKilled


class _Batch:
    """One frame of the simulator, and the offset of its tail."""

    __slots__ = ("data", "number", "tail_start")

    def __init__(self, data: bytes, number: int, tail_start: int) -> None:
        self.data, self.number, self.tail_start = data, number, tail_start

    def error(self, reason: str, at: int) -> WireError:
        return WireError(reason, self.number, at)

    def tail(self, start: int, length: int, at: int) -> bytes:
        """Return a part of the tail for the record at offset `at` of the frame."""
        begin = self.tail_start + start
        if begin + length > len(self.data):
            raise self.error(f"tail reference {start}+{length} is out of range", at)
        return self.data[begin : begin + length]


class Decoder:
    """Decodes batches. It keeps the numbered endpoint lists, which later batches may refer to."""

    def __init__(self) -> None:
        self._lists: dict[int, list[Endpoint]] = {}

    def batch(self, frame: bytes) -> tuple[int, float, list[tuple[int, InstanceEvent]]]:
        """Decode a batch.

        Returns:
            Its number, its clock time in ms, and the events, each with the number of its instance.

        Raises:
            WireError: The frame is malformed.
        """
        if len(frame) < BATCH_HEADER.size:
            raise WireError(
                f"batch header: {len(frame)} bytes where {BATCH_HEADER.size} are needed"
            )
        number, length, now_ms, count = BATCH_HEADER.unpack_from(frame)
        tail_start = BATCH_HEADER.size + count * EVENT_RECORD_BYTES
        if length != len(frame) or tail_start > length:
            raise WireError(f"{count} records do not fit a frame of {length} bytes", number)
        batch = _Batch(frame, number, tail_start)
        events: list[tuple[int, InstanceEvent]] = []
        instance = -1
        for at in range(BATCH_HEADER.size, tail_start, EVENT_RECORD_BYTES):
            code = frame[at]
            if code == _SELECT_CODE:
                (instance,) = _SELECT_EVENT.unpack_from(frame, at)
            elif code == _ENDPOINT_LIST_CODE:
                self._read_list(batch, at)
            elif instance < 0:
                raise batch.error(f"event {code} before any Select", at)
            else:
                events.append((instance, self._event(code, batch, at)))
        return number, now_ms, events

    def _event(self, code: int, batch: _Batch, at: int) -> InstanceEvent:
        reader = _READERS.get(code)
        if reader is None:
            raise batch.error(f"unknown event code {code}", at)
        return reader(self, batch, at)

    def _read_list(self, batch: _Batch, at: int) -> None:
        number, start, count = _ENDPOINT_LIST.unpack_from(batch.data, at)
        data = batch.tail(start, count * ENDPOINT_RECORD.size, at)
        self._lists[number] = [_endpoint(row, batch) for row in ENDPOINT_RECORD.iter_unpack(data)]

    def _instance_started(self, batch: _Batch, at: int) -> InstanceStarted:
        seed, start, length = _INSTANCE_STARTED.unpack_from(batch.data, at)
        text = batch.tail(start, length, at)
        try:
            return InstanceStarted(seed, read_settings(text))
        except WireError as error:
            raise batch.error(error.reason, at) from error

    def _instance_killed(self, _batch: _Batch, _at: int) -> InstanceKilled:
        return InstanceKilled()

    def _endpoint_update(self, batch: _Batch, at: int) -> EndpointUpdate:
        value, version, number = _ENDPOINT_UPDATE.unpack_from(batch.data, at)
        kind = _UPDATE_KINDS.get(value)
        if kind is None:
            raise batch.error(f"unknown list form {value}", at)
        if kind is UpdateKind.FAILED:
            return EndpointUpdate(kind, version, [])
        if number not in self._lists:
            raise batch.error(f"list {number} was never given", at)
        return EndpointUpdate(kind, version, self._lists[number])

    def _request(self, batch: _Batch, at: int) -> Request:
        request_id, class_index, tenant, key, deadline, work_ms, flags = _REQUEST.unpack_from(
            batch.data, at
        )
        expected_work_ms = work_ms if flags & _HAS_EXPECTED_WORK else 0.0
        is_client_retry = bool(flags & _IS_CLIENT_RETRY)
        return Request(
            request_id, class_index, deadline, key, tenant, expected_work_ms, is_client_retry
        )

    def _response_started(self, batch: _Batch, at: int) -> ResponseStarted:
        return ResponseStarted(*_RESPONSE_STARTED.unpack_from(batch.data, at))

    def _attempt_ended(self, batch: _Batch, at: int) -> AttemptEnded:
        request_id, endpoint_id, completed, result, attempt, elapsed_ms, count, *report = (
            _ATTEMPT_ENDED.unpack_from(batch.data, at)
        )
        _check_result(result, count, batch, at)
        numbers = tuple(report[:count]) if count else ()
        return AttemptEnded(
            request_id, endpoint_id, completed != 0, result, attempt, elapsed_ms, numbers
        )

    def _request_cancelled(self, batch: _Batch, at: int) -> RequestCancelled:
        return RequestCancelled(*_REQUEST_CANCELLED.unpack_from(batch.data, at))

    def _timer_fired(self, batch: _Batch, at: int) -> TimerFired:
        return TimerFired(*_TIMER_FIRED.unpack_from(batch.data, at))

    def _health_check_result(self, batch: _Batch, at: int) -> HealthCheckResult:
        endpoint_id, result, elapsed_ms, count, *report = _HEALTH_CHECK_RESULT.unpack_from(
            batch.data, at
        )
        _check_result(result, count, batch, at)
        return HealthCheckResult(endpoint_id, result, elapsed_ms, tuple(report[:count]))

    def _peer_message(self, batch: _Batch, at: int) -> PeerMessage:
        sender, start, length = _PEER_MESSAGE.unpack_from(batch.data, at)
        return PeerMessage(sender, batch.tail(start, length, at))


# The decoder of each kind of event record, by the code in its first byte.
_READERS: dict[int, Callable[[Decoder, _Batch, int], InstanceEvent]] = {
    1: Decoder._instance_started,
    2: Decoder._endpoint_update,
    3: Decoder._request,
    4: Decoder._response_started,
    5: Decoder._attempt_ended,
    6: Decoder._request_cancelled,
    7: Decoder._timer_fired,
    8: Decoder._health_check_result,
    9: Decoder._peer_message,
    10: Decoder._instance_killed,
}


def _check_result(result: int, count: int, batch: _Batch, at: int) -> None:
    if result not in _RESULTS or count > MAX_REPORT_VALUES:
        raise batch.error(f"unknown outcome {result} or report of {count}", at)


def _endpoint(row: tuple[Any, ...], batch: _Batch) -> Endpoint:
    endpoint_id, zone, kind, cell, state, size, started_ms = row
    if state not in _STATES:
        raise WireError(f"server {endpoint_id} has unknown phase {state}", batch.number)
    return Endpoint(endpoint_id, zone, kind, cell, _STATES[state], size, started_ms)


# The encoder of each kind of action; the first value packed is the code of the record.
_RECORDS: dict[type, Callable[[Any], bytes]] = {
    Send: lambda action: _SEND.pack(8, action.id, action.endpoint_id, action.timeout_ms),
    SetTimer: lambda action: _SET_TIMER.pack(7, action.delay_ms, action.token),
    Shed: lambda action: _SHED.pack(4, action.id, action.retry_after_ms),
    Fail: lambda action: _FAIL.pack(6, action.id),
    CancelAttempt: lambda action: _CANCEL_ATTEMPT.pack(3, action.id, action.attempt),
    HealthCheck: lambda action: _HEALTH_CHECK.pack(11, action.endpoint_id),
    Subscribe: lambda _: _SUBSCRIBE.pack(9, 1),
}


class Encoder:
    """Encodes the actions of the reply to one batch."""

    def __init__(self, number: int) -> None:
        self._batch_number = number
        self._records: list[bytes] = []
        self._tail = bytearray()
        self._instance = -1

    def add(self, instance: int, actions: list[Action]) -> None:
        """Add an instance's actions.

        Raises:
            TypeError: An item of the list is not an action.
        """
        if actions and instance != self._instance:
            self._select(instance)
        for action in actions:
            if isinstance(action, Log):
                self._add_text(_LOG_CODE, action.text)
                continue
            record = _RECORDS.get(type(action))
            if record is None:
                raise TypeError(f"not an action: {action!r}")
            self._records.append(record(action))

    def _select(self, instance: int) -> None:
        self._records.append(_SELECT_INSTANCE.pack(1, instance))
        self._instance = instance

    def fatal(self, instance: int, text: str) -> None:
        """Add a record that the policy of an instance raised an exception."""
        self._select(instance)
        self._add_text(_FATAL_CODE, text)

    def _add_text(self, code: int, text: str) -> None:
        data = text.encode()
        self._records.append(_TEXT_RECORD.pack(code, len(self._tail), len(data)))
        self._tail += data

    def frame(self) -> bytes:
        """Return the frame of the reply."""
        body = b"".join(self._records)
        length = REPLY_HEADER.size + len(body) + len(self._tail)
        return REPLY_HEADER.pack(self._batch_number, length, len(self._records)) + body + self._tail
