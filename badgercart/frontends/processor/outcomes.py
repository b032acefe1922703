"""Derives an attempt's result from the response phase, and so whether it may have been executed.

A response is either a server's or made by the proxy itself. Envoy tells which by the attributes
`response.code_details` and `response.flags` (a bit mask); if neither is sent, only the status is
known. Anything that is not listed here counts as possibly executed. No I/O.

Sources: Envoy's "Attributes" (names), "Response Code Details" and "Access logging,
%RESPONSE_FLAGS%" (meanings), `envoy/stream_info/stream_info.h` (bit numbers); the platform's
protocol for responses of servers.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.core.results import attempt_result
from badgercart.policy.events import NOT_EXECUTED, AttemptResult

VIA_UPSTREAM = "via_upstream"


@dataclass(slots=True, frozen=True)
class Flag:
    """One of Envoy's response flags, and the result that it means if it is the only one."""

    bit: int
    short: str
    result: AttemptResult
    meaning: str


# NOT_SENT and UNREACHABLE prove that the attempt was not executed, if the proxy made no other one.
# NOT_SENT is the proxy's own decision and does not count against the server; UNREACHABLE does.
FLAGS = (
    Flag(0, "LH", AttemptResult.NOT_SENT, "the proxy's health check failed"),
    Flag(1, "UH", AttemptResult.NOT_SENT, "no healthy server in the proxy's cluster"),
    Flag(2, "UT", AttemptResult.TIMEOUT, "the proxy's request time-out"),
    Flag(3, "LR", AttemptResult.CANCELLED, "the proxy reset the connection"),
    Flag(4, "UR", AttemptResult.RESET, "the server reset the stream"),
    Flag(5, "UF", AttemptResult.UNREACHABLE, "no connection to the server"),
    Flag(6, "UC", AttemptResult.RESET, "the connection to the server ended"),
    Flag(7, "UO", AttemptResult.NOT_SENT, "the proxy's circuit breaker"),
    Flag(8, "NR", AttemptResult.NOT_SENT, "no route"),
    Flag(9, "DI", AttemptResult.ERROR, "a delay was injected: says nothing about the server"),
    Flag(10, "FI", AttemptResult.NOT_SENT, "aborted by injected fault"),
    Flag(11, "RL", AttemptResult.NOT_SENT, "the proxy's rate limit"),
    Flag(12, "UAEX", AttemptResult.NOT_SENT, "denied by external authorization"),
    Flag(13, "RLSE", AttemptResult.NOT_SENT, "the proxy's rate limit service failed"),
    Flag(14, "DC", AttemptResult.CANCELLED, "the client ended its connection"),
    Flag(15, "URX", AttemptResult.ERROR, "the proxy's retries were used up"),
    Flag(16, "SI", AttemptResult.TIMEOUT, "the stream was idle for too long"),
    Flag(17, "IH", AttemptResult.NOT_SENT, "a header that the proxy does not accept"),
    Flag(18, "DPE", AttemptResult.CANCELLED, "the client violated the protocol"),
    Flag(19, "UMSDR", AttemptResult.TIMEOUT, "the stream lasted too long"),
    Flag(20, "RFCF", AttemptResult.NOT_SENT, "answered from the proxy's cache"),
    Flag(21, "NFCF", AttemptResult.NOT_SENT, "the proxy's filter has no configuration"),
    Flag(22, "DT", AttemptResult.TIMEOUT, "the request or connection lasted too long"),
    Flag(23, "UPE", AttemptResult.ERROR, "the server violated the protocol"),
    Flag(24, "NC", AttemptResult.NOT_SENT, "no cluster"),
    Flag(25, "OM", AttemptResult.NOT_SENT, "the proxy's overload manager"),
    Flag(26, "DF", AttemptResult.UNREACHABLE, "the server's name could not be looked up"),
    Flag(27, "DO", AttemptResult.NOT_SENT, "shed by the proxy"),
    Flag(28, "DR", AttemptResult.CANCELLED, "the client reset its stream"),
    Flag(29, "UDO", AttemptResult.NOT_SENT, "shed by the proxy, for an unknown reason"),
)
CACHE_FLAG_BIT = 20  # RFCF
# Used if no flag is sent. A detail may be followed by a reason in braces.
DETAILS = {
    "no_healthy_upstream": AttemptResult.NOT_SENT,
    "cluster_not_found": AttemptResult.NOT_SENT,
    "route_not_found": AttemptResult.NOT_SENT,
    "direct_response": AttemptResult.NOT_SENT,
    "maintenance_mode": AttemptResult.NOT_SENT,
    "overload": AttemptResult.NOT_SENT,
    "rate_limited": AttemptResult.NOT_SENT,
    "ext_authz_denied": AttemptResult.NOT_SENT,
    "response_timeout": AttemptResult.TIMEOUT,
    "upstream_response_timeout": AttemptResult.TIMEOUT,
    "upstream_per_try_timeout": AttemptResult.TIMEOUT,
    "upstream_max_stream_duration_reached": AttemptResult.TIMEOUT,
    "upstream_reset_before_response_started{connection_failure}": AttemptResult.UNREACHABLE,
    "upstream_reset_before_response_started{remote_connection_failure}": AttemptResult.UNREACHABLE,
    "upstream_reset_before_response_started{local_connection_failure}": AttemptResult.UNREACHABLE,
    "upstream_reset_before_response_started{connection_timeout}": AttemptResult.UNREACHABLE,
    "upstream_reset_before_response_started{overflow}": AttemptResult.NOT_SENT,
    "upstream_reset_before_response_started": AttemptResult.RESET,
    "upstream_reset_after_response_started": AttemptResult.RESET,
    "downstream_remote_disconnect": AttemptResult.CANCELLED,
    "downstream_local_disconnect": AttemptResult.CANCELLED,
}
# If several results apply, the first of these is used: those that prove that the attempt was not
# executed come last.
_PRECEDENCE = (
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.ERROR,
    AttemptResult.CANCELLED,
    AttemptResult.UNREACHABLE,
    AttemptResult.NOT_SENT,
)


@dataclass(slots=True)
class ResponsePhase:
    """The content of a response phase."""

    status: int
    not_started: bool = False
    flags: int | None = None  # None if the proxy does not send them
    details: str | None = None
    upstream: str | None = None  # the address of the proxy's last attempt
    attempts: int = 1  # how many the proxy made in total


@dataclass(slots=True)
class AttemptEnd:
    """How the proxy's last attempt ended."""

    result: AttemptResult
    by_proxy: bool  # the response was made by the proxy

    @property
    def possibly_executed(self) -> bool:
        """Whether the request may have been executed."""
        return self.result not in NOT_EXECUTED


def classify_response(phase: ResponsePhase) -> AttemptEnd:
    """Return how the attempt of a response phase ended."""
    if phase.details == VIA_UPSTREAM:
        return AttemptEnd(_result_by_status(phase), False)
    if phase.status < 400:
        # Flags are those of an earlier attempt then. Only who made the response is open.
        by_proxy = (phase.flags or 0) >> CACHE_FLAG_BIT & 1 or DETAILS.get(
            phase.details or ""
        ) is AttemptResult.NOT_SENT
        return (
            AttemptEnd(AttemptResult.NOT_SENT, True)
            if by_proxy
            else AttemptEnd(_result_by_status(phase), False)
        )
    found = _by_flags(phase.flags)
    if found is None and phase.details:
        found = _by_details(phase.details)
    if found is None:
        # Nothing shows that the proxy made the response, so the status decides, as for a response
        # that the node receives itself.
        return AttemptEnd(_result_by_status(phase), False)
    if found in NOT_EXECUTED and phase.attempts > 1:
        # An earlier attempt of the proxy may have been executed.
        found = AttemptResult.ERROR
    if found is AttemptResult.NOT_SENT and phase.upstream:
        # The proxy names a server that it sent to, so the request may have been executed.
        found = AttemptResult.CANCELLED
    return AttemptEnd(found, True)


def _result_by_status(phase: ResponsePhase) -> AttemptResult:
    result = attempt_result(phase.status, phase.not_started)
    return AttemptResult.ERROR if result is AttemptResult.FULL and phase.attempts > 1 else result


def _by_flags(flags: int | None) -> AttemptResult | None:
    if not flags:
        return None
    results = {flag.result for flag in FLAGS if flags >> flag.bit & 1}
    if flags >> len(FLAGS) or flags < 0:
        results.add(AttemptResult.ERROR)  # there is an unknown flag
    return next(result for result in _PRECEDENCE if result in results)


def _by_details(details: str) -> AttemptResult | None:
    result = DETAILS.get(details)
    if result is not None:
        return result
    # If the reason in braces is not listed, the detail before it decides. Others are unknown.
    return DETAILS.get(details.partition("{")[0], AttemptResult.ERROR)


def is_safe_to_retry(possibly_executed: bool, client_may_retry: bool) -> bool:
    """Return whether a client may get a 429 or 503, which says that a retry does no harm."""
    return client_may_retry or not possibly_executed
