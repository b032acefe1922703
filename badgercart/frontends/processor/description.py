"""What a proxy says of a request, read from the headers that it sends along. No I/O.

Sources: the platform's protocol, section "Clients to nodes"; Envoy's "HTTP header manipulation" for
`x-request-id`, `x-envoy-expected-rq-timeout-ms` and `x-envoy-attempt-count`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from badgercart.config import Config
from badgercart.core.requests import Classifier, InvalidRequestError
from badgercart.frontends.processor.settings import ProcessorSettings

MAX_VALUE = 8192  # bytes of one header's value that is read
MAX_TIMEOUT = 600_000.0  # ms; nobody waits for longer
_TIMEOUT = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])")
_MS = re.compile(rb"\d{1,9}")


@dataclass(slots=True)
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
        self.deadlines = [cls.deadline_ms for cls in config.settings.classes]
        self.most = settings.max_headers
        self.names = names = settings.headers
        fields = (names.request_id, names.tenant, names.idempotency_key, names.timeout, names.timeout_ms,
                  names.attempt, names.work_hint, names.retry)  # fmt: skip
        # The others are not even read.
        self.wanted = frozenset((":method", ":path", *(name for field in fields for name in field)))

    def read(self, wanted: Iterable[tuple[str, bytes]], count: int) -> Described:
        """Of `count` headers the wanted ones, names in lower case.

        Raises BadDescription with the status and the words that say what was wrong."""
        if count > self.most:
            raise InvalidRequestError(431, f"over {self.most} headers")
        headers: dict[str, bytes] = {}
        for name, value in wanted:
            if name in headers:
                raise InvalidRequestError(400, f"{name} stands there twice")
            if len(value) > MAX_VALUE:
                raise InvalidRequestError(431, f"{name} is over {MAX_VALUE} bytes")
            headers[name] = value
        method, target = headers.get(":method"), headers.get(":path")
        if method is None or target is None:
            raise InvalidRequestError(400, "no :method or no :path")
        names = self.names
        found = self.classifier.classify(
            method,
            target,
            _first(headers, names.request_id),
            _first(headers, names.tenant),
            _first(headers, names.idempotency_key),
        )
        hint = _first(headers, names.work_hint)
        return Described(
            name=found.request_name,
            cls=found.class_index,
            tenant=found.tenant,
            key=found.key,
            timeout=self.time_left(headers, found.class_index),
            attempt=self.attempt_number(headers),
            hint=int(hint) / 1000
            if hint and _MS.fullmatch(hint)
            else 0.0,  # a guess may be left out
            repeat=_first(headers, names.retry) == b"1",
        )

    def time_left(self, headers: dict[str, bytes], cls: int) -> float:
        """The client's own header first, then the proxy's, then what the class allows."""
        if (value := _first(headers, self.names.timeout)) is not None:
            match = _TIMEOUT.fullmatch(value)
            if match is None:
                raise InvalidRequestError(
                    400, "the time-out is no number with a unit (480m or 1500u)"
                )
            return min(float(match[1]) / (1 if match[2] == b"m" else 1000), MAX_TIMEOUT)
        if (value := _first(headers, self.names.timeout_ms)) is not None:
            if not _MS.fullmatch(value):
                raise InvalidRequestError(400, "the expected time-out is no number of milliseconds")
            if int(value):  # 0 switches the proxy's time-out off
                return min(float(value), MAX_TIMEOUT)
        return self.deadlines[cls]

    def attempt_number(self, headers: dict[str, bytes]) -> int:
        value = _first(headers, self.names.attempt)
        if value is None:
            return 1
        if not _MS.fullmatch(value) or int(value) < 1:
            raise InvalidRequestError(400, "the attempt count is no number from 1")
        return int(value)


def _first(headers: dict[str, bytes], names: tuple[str, ...]) -> bytes | None:
    for name in names:
        if name in headers:
            return headers[name]
    return None
