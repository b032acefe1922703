"""What a request is, by the headers that a proxy sends along."""

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

GOOD = [
    (b":method", b"POST"),
    (b":path", b"/book/rides/cab7?x=1"),
    (b"Request-Id", b"r1"),
    (b"idempotency-key", b"k"),
]


def read(pairs: list[tuple[bytes, bytes]], **changes: object) -> RequestDescription:
    names = HeaderNames(**changes)  # type: ignore[arg-type]
    reader = DescriptionReader(config(1), ProcessorSettings(listen=("", 0), headers=names))
    wanted = [(name.decode().lower(), value) for name, value in pairs]
    return reader.read([pair for pair in wanted if pair[0] in reader.wanted], len(pairs))


def test_a_whole_description() -> None:
    more = [
        (b"request-timeout", b"1500u"),
        (b"x-envoy-attempt-count", b"2"),
        (b"client-retry", b"1"),
    ]
    found = read(GOOD + more)
    assert (found.request_name, found.class_index, found.key) == (b"r1", 1, stable_id(b"cab7"))
    assert (found.timeout_ms, found.attempt, found.is_client_retry) == (1.5, 2, True)


@pytest.mark.parametrize(
    ("more", "timeout"),
    [
        ([], 9000.0),  # what the class allows
        ([(b"x-envoy-expected-rq-timeout-ms", b"250")], 250.0),
        ([(b"x-envoy-expected-rq-timeout-ms", b"0")], 9000.0),  # switched off
        ([(b"x-envoy-expected-rq-timeout-ms", b"250"), (b"request-timeout", b"100m")], 100.0),
        ([(b"request-timeout", b"999999999m")], MAX_TIMEOUT_MS),
    ],
)
def test_the_time_that_is_left(more: list[tuple[bytes, bytes]], timeout: float) -> None:
    assert read(GOOD + more).timeout_ms == timeout


def test_an_operator_maps_other_headers() -> None:
    pairs = [*GOOD[:2], (b"x-id", b"r9"), (b"idempotency-key", b"k"), (b"request-id", b"not this")]
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
def test_what_is_wrong_is_named(more: list[tuple[bytes, bytes]]) -> None:
    with pytest.raises(InvalidRequestError) as caught:
        read(GOOD + more)
    assert caught.value.status in (400, 431) and str(caught.value)


@given(
    st.lists(
        st.tuples(st.sampled_from([k for k, _ in GOOD] + [b"x", b"tenant"]), st.binary(max_size=20))
    )
)
def test_any_headers_are_read_or_refused(pairs: list[tuple[bytes, bytes]]) -> None:
    try:
        read(pairs)
    except InvalidRequestError as error:
        assert 400 <= error.status < 500
