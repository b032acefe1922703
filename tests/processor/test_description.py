"""Tests how a request's description is read from the headers that a proxy sends."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.core.identifiers import stable_id
from badgercart.core.requests import InvalidRequestError
from badgercart.frontends.processor.description import (
    MAX_TIMEOUT_MS,
    DescriptionReader,
    RequestDescription,
)
from badgercart.frontends.processor.settings import HeaderNames, ProcessorSettings
from tests.net import config

VALID_HEADERS = [
    (b":method", b"POST"),
    (b":path", b"/book/rides/cab7?x=1"),
    (b"Request-Id", b"r1"),
    (b"idempotency-key", b"k"),
]


def read(pairs: list[tuple[bytes, bytes]], **changes: object) -> RequestDescription:
    """Read a description; `changes`: of the header names in the settings."""
    names = HeaderNames(**changes)  # type: ignore[arg-type]
    reader = DescriptionReader(config(1), ProcessorSettings(listen=("", 0), headers=names))
    wanted = [(name.decode().lower(), value) for name, value in pairs]
    return reader.read([pair for pair in wanted if pair[0] in reader.wanted], len(pairs))


def test_a_complete_description() -> None:
    more = [
        (b"request-timeout", b"1500u"),
        (b"x-envoy-attempt-count", b"2"),
        (b"client-retry", b"1"),
    ]
    found = read(VALID_HEADERS + more)
    assert (found.request_name, found.class_index, found.key) == (b"r1", 1, stable_id(b"cab7"))
    assert (found.timeout_ms, found.attempt, found.is_client_retry) == (1.5, 2, True)


@pytest.mark.parametrize(
    ("more", "timeout"),
    [
        ([], 9000.0),  # the deadline of the class
        ([(b"x-envoy-expected-rq-timeout-ms", b"250")], 250.0),
        ([(b"x-envoy-expected-rq-timeout-ms", b"0")], 9000.0),  # the proxy has no timeout
        ([(b"x-envoy-expected-rq-timeout-ms", b"250"), (b"request-timeout", b"100m")], 100.0),
        ([(b"request-timeout", b"999999999m")], MAX_TIMEOUT_MS),
    ],
)
def test_the_remaining_time(more: list[tuple[bytes, bytes]], timeout: float) -> None:
    assert read(VALID_HEADERS + more).timeout_ms == timeout


def test_settings_can_name_other_headers() -> None:
    pairs = [
        *VALID_HEADERS[:2],
        (b"x-id", b"r9"),
        (b"idempotency-key", b"k"),
        (b"request-id", b"not this"),
    ]
    assert read(pairs, request_id=("x-id",)).request_name == b"r9"


@pytest.mark.parametrize(
    "more",
    [
        [(b"request-id", b"r2")],
        [(b"request-timeout", b"5")],
        [(b"x-envoy-expected-rq-timeout-ms", b"-1")],
        [(b"x-envoy-attempt-count", b"0")],
        [(b"tenant", b"x" * 9000)],
    ],
)
def test_an_invalid_description_is_reported(more: list[tuple[bytes, bytes]]) -> None:
    with pytest.raises(InvalidRequestError) as caught:
        read(VALID_HEADERS + more)
    assert caught.value.status in (400, 431) and str(caught.value)


@given(
    st.lists(
        st.tuples(
            st.sampled_from([k for k, _ in VALID_HEADERS] + [b"x", b"tenant"]),
            st.binary(max_size=20),
        )
    )
)
def test_any_headers_are_accepted_or_rejected(pairs: list[tuple[bytes, bytes]]) -> None:
    try:
        read(pairs)
    except InvalidRequestError as error:
        assert 400 <= error.status < 500
