"""Reads a request's description from the headers that a proxy sends. No I/O.

Sources: the protocol documentation, section "Clients to nodes"; Envoy's "HTTP header manipulation"
for `x-request-id`, `x-envoy-expected-rq-timeout-ms` and `x-envoy-attempt-count`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from badgercart.config import Config
from badgercart.core.requests import Classifier, InvalidRequestError
from badgercart.frontends.processor.settings import ProcessorSettings

MAX_VALUE_BYTES = 8192  # of one header's value
MAX_TIMEOUT_MS = 600_000.0  # no client waits longer
_TIMEOUT_PATTERN = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])")
_DIGITS_PATTERN = re.compile(rb"\d{1,9}")


@dataclass(slots=True)
class RequestDescription:
    """A request as the calling proxy describes it."""

    request_name: bytes  # its id, the same for all attempts
    class_index: int
    tenant: int
    key: int
    timeout_ms: float  # the time that is left
    attempt: int  # from 1
    expected_work_ms: float  # the client's estimate; 0 if it gives none
    is_client_retry: bool


class DescriptionReader:
    """Reads descriptions from the headers that the operator's settings name."""

    def __init__(self, config: Config, settings: ProcessorSettings) -> None:
        self.classifier = Classifier(config)
        self.deadlines_ms = [cls.deadline_ms for cls in config.settings.classes]
        self.max_headers = settings.max_headers
        self.names = names = settings.headers
        fields = (names.request_id, names.tenant, names.idempotency_key, names.timeout, names.timeout_ms,
                  names.attempt, names.work_hint, names.retry)  # fmt: skip
        # Only these headers are read.
        self.wanted = frozenset((":method", ":path", *(name for field in fields for name in field)))

    def read(self, wanted: Iterable[tuple[str, bytes]], count: int) -> RequestDescription:
        """Read a description from the wanted headers of a request with `count` headers.

        Header names are in lower case. Raises InvalidRequestError.
        """
        if count > self.max_headers:
            raise InvalidRequestError(431, f"over {self.max_headers} headers")
        headers: dict[str, bytes] = {}
        for name, value in wanted:
            if name in headers:
                raise InvalidRequestError(400, f"{name} stands there twice")
            if len(value) > MAX_VALUE_BYTES:
                raise InvalidRequestError(431, f"{name} is over {MAX_VALUE_BYTES} bytes")
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
        work_hint = _first(headers, names.work_hint)
        return RequestDescription(
            request_name=found.request_name,
            class_index=found.class_index,
            tenant=found.tenant,
            key=found.key,
            timeout_ms=self.remaining_time_ms(headers, found.class_index),
            attempt=self.attempt_number(headers),
            # The hint is optional, so an invalid one is ignored.
            expected_work_ms=int(work_hint) / 1000
            if work_hint and _DIGITS_PATTERN.fullmatch(work_hint)
            else 0.0,
            is_client_retry=_first(headers, names.retry) == b"1",
        )

    def remaining_time_ms(self, headers: dict[str, bytes], class_index: int) -> float:
        """Return the time that is left for a request.

        The client's own header is used first, then the proxy's, then the deadline of the class.
        Raises InvalidRequestError.
        """
        if (value := _first(headers, self.names.timeout)) is not None:
            match = _TIMEOUT_PATTERN.fullmatch(value)
            if match is None:
                raise InvalidRequestError(
                    400, "the time-out is no number with a unit (480m or 1500u)"
                )
            return min(float(match[1]) / (1 if match[2] == b"m" else 1000), MAX_TIMEOUT_MS)
        if (value := _first(headers, self.names.timeout_ms)) is not None:
            if not _DIGITS_PATTERN.fullmatch(value):
                raise InvalidRequestError(400, "the expected time-out is no number of milliseconds")
            if int(value):  # 0 means that the proxy has no timeout
                return min(float(value), MAX_TIMEOUT_MS)
        return self.deadlines_ms[class_index]

    def attempt_number(self, headers: dict[str, bytes]) -> int:
        """Return the number of the attempt, from 1. Raises InvalidRequestError."""
        value = _first(headers, self.names.attempt)
        if value is None:
            return 1
        if not _DIGITS_PATTERN.fullmatch(value) or int(value) < 1:
            raise InvalidRequestError(400, "the attempt count is no number from 1")
        return int(value)


def _first(headers: dict[str, bytes], names: tuple[str, ...]) -> bytes | None:
    for name in names:
        if name in headers:
            return headers[name]
    return None
