"""Tests the result of each response flag and detail, and of combinations of them."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.frontends.processor.outcomes import (
    DETAILS,
    FLAGS,
    VIA_UPSTREAM,
    Flag,
    ResponsePhase,
    classify_response,
)
from badgercart.policy.events import NOT_EXECUTED, AttemptResult

# The flags that, by Envoy's documentation, prove that a request never reached a server.
NEVER_SENT_FLAGS = set("LH UH UF UO NR FI RL UAEX RLSE IH RFCF NFCF NC OM DF DO UDO".split())


def test_the_flags_are_in_the_order_of_their_bits() -> None:
    assert [flag.bit for flag in FLAGS] == list(range(30))


@pytest.mark.parametrize("flag", FLAGS, ids=lambda flag: flag.short)
def test_each_flag_alone(flag: Flag) -> None:
    end = classify_response(ResponsePhase(503, flags=1 << flag.bit))
    assert end.result is flag.result and end.by_proxy
    assert end.possibly_executed == (flag.short not in NEVER_SENT_FLAGS)


@pytest.mark.parametrize("details", sorted(DETAILS))
def test_each_detail_alone(details: str) -> None:
    assert classify_response(ResponsePhase(503, details=details)).result is DETAILS[details]


@pytest.mark.parametrize(
    ("phase", "result", "by_proxy"),
    [
        (ResponsePhase(200), AttemptResult.OK, False),
        (ResponsePhase(204), AttemptResult.ERROR, False),
        (ResponsePhase(500), AttemptResult.ERROR, False),
        (ResponsePhase(503), AttemptResult.ERROR, False),
        (ResponsePhase(503, not_started=True), AttemptResult.FULL, False),
        (ResponsePhase(504, not_started=True), AttemptResult.FULL, False),
        (ResponsePhase(500, not_started=True), AttemptResult.ERROR, False),
        (ResponsePhase(503, not_started=True, attempts=2), AttemptResult.ERROR, False),
        (ResponsePhase(503, details=VIA_UPSTREAM, flags=1 << 15), AttemptResult.ERROR, False),
        (ResponsePhase(200, flags=1 << 5), AttemptResult.OK, False),
        (ResponsePhase(200, details="direct_response"), AttemptResult.NOT_SENT, True),
        (
            ResponsePhase(503, details="upstream_reset_before_response_started{protocol_error}"),
            AttemptResult.RESET,
            True,
        ),
        (ResponsePhase(503, details="something_new"), AttemptResult.ERROR, True),
        (ResponsePhase(503, flags=1 << 7, upstream="10.0.0.1:80"), AttemptResult.CANCELLED, True),
        (ResponsePhase(503, flags=1 << 5, upstream="10.0.0.1:80"), AttemptResult.UNREACHABLE, True),
        (ResponsePhase(503, flags=1 << 5 | 1 << 6), AttemptResult.RESET, True),
        (ResponsePhase(503, flags=-1), AttemptResult.TIMEOUT, True),
    ],
)
def test_combinations(phase: ResponsePhase, result: AttemptResult, by_proxy: bool) -> None:
    end = classify_response(phase)
    assert (end.result, end.by_proxy) == (result, by_proxy)


@given(
    status=st.integers(400, 599),
    flags=st.integers(0, 1 << 40),
    attempts=st.integers(1, 3),
    upstream=st.sampled_from([None, "10.0.0.1:80"]),
)
def test_a_result_that_proves_no_execution_needs_only_flags_that_prove_it(
    status: int, flags: int, attempts: int, upstream: str | None
) -> None:
    end = classify_response(
        ResponsePhase(status, flags=flags, attempts=attempts, upstream=upstream)
    )
    if end.result in NOT_EXECUTED:
        set_flags = {flag.short for flag in FLAGS if flags >> flag.bit & 1}
        assert attempts == 1 and set_flags and set_flags <= NEVER_SENT_FLAGS and not flags >> 30
