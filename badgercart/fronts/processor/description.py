"""What a proxy says of a request, read from the headers that it sends along. No I/O.

Sources: the platform's protocol, section "Clients to nodes"; Envoy's "HTTP header manipulation" for
`x-request-id`, `x-envoy-expected-rq-timeout-ms` and `x-envoy-attempt-count`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from badgercart.config import Config
from badgercart.core.requests import BadDescription, Classifier
from badgercart.fronts.processor.settings import ProcessorSettings

MAX_VALUE = 8192  # bytes of one header's value that is read
MAX_TIMEOUT = 600_000.0  # ms; nobody waits for longer
_TIMEOUT = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])")
_MS = re.compile(rb"\d{1,9}")


@dataclass(slots=True, frozen=True)
class Described:
    """A request as the calling proxy describes it."""

    name: bytes  # its id, the same for all attempts
    cls: int
    tenant: int
    key: int
    timeout: float  # ms that are left
    attempt: int  # from 1
    hint: float  # ms, 0: none
    repeat: bool


class Describer:
    """Reads descriptions by the operator's names of headers."""

    def __init__(self, config: Config, settings: ProcessorSettings) -> None:
        self.classifier = Classifier(config)
        self.deadlines = [cls.deadline for cls in config.settings.classes]
        self.most = settings.max_headers
        names = settings.headers
        self.request_id = tuple(name.encode() for name in names.request_id)
        self.tenant = tuple(name.encode() for name in names.tenant)
        self.idempotency_key = tuple(name.encode() for name in names.idempotency_key)
        self.timeout = tuple(name.encode() for name in names.timeout)
        self.timeout_ms = tuple(name.encode() for name in names.timeout_ms)
        self.attempt = tuple(name.encode() for name in names.attempt)
        self.hint = tuple(name.encode() for name in names.work_hint)
        self.retry = tuple(name.encode() for name in names.retry)
        fields = (names.request_id, names.tenant, names.idempotency_key, names.timeout, names.timeout_ms,
                  names.attempt, names.work_hint, names.retry)  # fmt: skip
        self.wanted = frozenset(name.encode() for field in fields for name in field)
        self.wanted |= {b":method", b":path"}

    def read(self, pairs: Iterable[tuple[bytes, bytes]]) -> Described:
        """Raises BadDescription with the status and the words that say what was wrong."""
        headers: dict[bytes, bytes] = {}
        for count, (name, value) in enumerate(pairs, 1):
            if count > self.most:
                raise BadDescription(431, f"over {self.most} headers")
            lower = name.lower()
            if lower not in self.wanted:
                continue
            if lower in headers:
                raise BadDescription(400, f"{lower.decode()} stands there twice")
            if len(value) > MAX_VALUE:
                raise BadDescription(431, f"{lower.decode()} is over {MAX_VALUE} bytes")
            headers[lower] = value
        method, target = headers.get(b":method"), headers.get(b":path")
        if method is None or target is None:
            raise BadDescription(400, "no :method or no :path")
        found = self.classifier.read(
            method,
            target,
            _first(headers, self.request_id),
            _first(headers, self.tenant),
            _first(headers, self.idempotency_key),
        )
        hint = _first(headers, self.hint)
        return Described(
            name=found.name,
            cls=found.cls,
            tenant=found.tenant,
            key=found.key,
            timeout=self.time_left(headers, found.cls),
            attempt=self.attempt_number(headers),
            hint=int(hint) / 1000 if hint and _MS.fullmatch(hint) else 0.0,  # a guess may be left out
            repeat=_first(headers, self.retry) == b"1",
        )

    def time_left(self, headers: dict[bytes, bytes], cls: int) -> float:
        """The client's own header first, then the proxy's, then what the class allows."""
        if (value := _first(headers, self.timeout)) is not None:
            match = _TIMEOUT.fullmatch(value)
            if match is None:
                raise BadDescription(400, "the time-out is no number with a unit (480m or 1500u)")
            return min(float(match[1]) / (1 if match[2] == b"m" else 1000), MAX_TIMEOUT)
        if (value := _first(headers, self.timeout_ms)) is not None:
            if not _MS.fullmatch(value):
                raise BadDescription(400, "the expected time-out is no number of milliseconds")
            if int(value):  # 0 switches the proxy's time-out off
                return min(float(value), MAX_TIMEOUT)
        return self.deadlines[cls]

    def attempt_number(self, headers: dict[bytes, bytes]) -> int:
        value = _first(headers, self.attempt)
        if value is None:
            return 1
        if not _MS.fullmatch(value) or int(value) < 1:
            raise BadDescription(400, "the attempt count is no number from 1")
        return int(value)


def _first(headers: dict[bytes, bytes], names: tuple[bytes, ...]) -> bytes | None:
    for name in names:
        if name in headers:
            return headers[name]
    return None
