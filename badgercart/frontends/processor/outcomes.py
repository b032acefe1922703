"""What a response phase proves of an attempt: its outcome, and so whether it may have run. No I/O.

A proxy's response comes from the server, or the proxy made it itself. Envoy tells which by the
attributes `response.code_details` and `response.flags` (a bit mask); where neither is sent, only
the status speaks. What is not listed here counts as may have run.

Sources: Envoy's "Attributes" (names), "Response Code Details" and "Access logging,
%RESPONSE_FLAGS%" (what each means), `envoy/stream_info/stream_info.h` (the numbers of the bits);
the platform's protocol for answers of servers.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.core.results import attempt_result
from badgercart.policy.events import NOT_EXECUTED, AttemptResult

VIA_UPSTREAM = "via_upstream"


@dataclass(slots=True, frozen=True)
class Flag:
    """One of Envoy's response flags: which outcome it means where it stands alone."""

    bit: int
    short: str
    result: AttemptResult
    why: str


# Never ran, by the flag alone, where the proxy made no other attempt. NOT_SENT is the proxy's own
# doing and is not counted against the server; UNREACHABLE is.
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
    Flag(9, "DI", AttemptResult.ERROR, "a delay was injected: tells nothing of the server"),
    Flag(10, "FI", AttemptResult.NOT_SENT, "aborted by injected fault"),
    Flag(11, "RL", AttemptResult.NOT_SENT, "the proxy's rate limit"),
    Flag(12, "UAEX", AttemptResult.NOT_SENT, "denied by external authorization"),
    Flag(13, "RLSE", AttemptResult.NOT_SENT, "the proxy's rate limit service failed"),
    Flag(14, "DC", AttemptResult.CANCELLED, "the client ended its connection"),
    Flag(15, "URX", AttemptResult.ERROR, "the proxy's retries were used up"),
    Flag(16, "SI", AttemptResult.TIMEOUT, "the stream stood idle for too long"),
    Flag(17, "IH", AttemptResult.NOT_SENT, "a header that the proxy does not take"),
    Flag(18, "DPE", AttemptResult.CANCELLED, "the client broke the protocol"),
    Flag(19, "UMSDR", AttemptResult.TIMEOUT, "the stream lasted too long"),
    Flag(20, "RFCF", AttemptResult.NOT_SENT, "answered from the proxy's cache"),
    Flag(21, "NFCF", AttemptResult.NOT_SENT, "the proxy's filter has no configuration"),
    Flag(22, "DT", AttemptResult.TIMEOUT, "the request or connection lasted too long"),
    Flag(23, "UPE", AttemptResult.ERROR, "the server broke the protocol"),
    Flag(24, "NC", AttemptResult.NOT_SENT, "no cluster"),
    Flag(25, "OM", AttemptResult.NOT_SENT, "the proxy's overload manager"),
    Flag(26, "DF", AttemptResult.UNREACHABLE, "the server's name could not be looked up"),
    Flag(27, "DO", AttemptResult.NOT_SENT, "shed by the proxy"),
    Flag(28, "DR", AttemptResult.CANCELLED, "the client reset its stream"),
    Flag(29, "UDO", AttemptResult.NOT_SENT, "shed by the proxy, whatever it was"),
)
CACHED = 20  # the bit of RFCF
# Details that stand alone or ahead of a reason in braces, where no flag came along.
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
# What speaks for the outcome where several do: the first of these; proofs that it never ran count
# last.
_DOUBT = (
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.ERROR,
    AttemptResult.CANCELLED,
    AttemptResult.UNREACHABLE,
    AttemptResult.NOT_SENT,
)


@dataclass(slots=True)
class Phase:
    """What a response phase tells."""

    status: int
    not_started: bool = False
    flags: int | None = None  # None: the proxy does not send them
    details: str | None = None
    upstream: str | None = None  # the address that the proxy sent to last
    attempts: int = 1  # that the proxy made in all


@dataclass(slots=True)
class End:
    """How the last attempt ended."""

    result: AttemptResult
    by_proxy: bool  # the response was made by the proxy

    @property
    def may_have_run(self) -> bool:
        return self.result not in NOT_EXECUTED


def read_end(phase: Phase) -> End:
    """The one outcome of a response phase."""
    if phase.details == VIA_UPSTREAM:
        return End(_whole(phase), False)
    if phase.status < 400:
        # No failure, so flags are those of an earlier try; only who answered is open.
        own = (phase.flags or 0) >> CACHED & 1 or DETAILS.get(
            phase.details or ""
        ) is AttemptResult.NOT_SENT
        return End(AttemptResult.NOT_SENT, True) if own else End(_whole(phase), False)
    found = _by_flags(phase.flags)
    if found is None and phase.details:
        found = _by_details(phase.details)
    if found is None:
        # Nothing says that the proxy made it: the status speaks, as for an answer that came to the
        # node.
        return End(_whole(phase), False)
    if found in NOT_EXECUTED and phase.attempts > 1:
        found = AttemptResult.ERROR  # an earlier attempt of the proxy's own may have run
    if found is AttemptResult.NOT_SENT and phase.upstream:
        found = (
            AttemptResult.CANCELLED
        )  # the proxy names a server that it sent to: no proof any more
    return End(found, True)


def _whole(phase: Phase) -> AttemptResult:
    result = attempt_result(phase.status, phase.not_started)
    return AttemptResult.ERROR if result is AttemptResult.FULL and phase.attempts > 1 else result


def _by_flags(flags: int | None) -> AttemptResult | None:
    if not flags:
        return None
    results = {flag.result for flag in FLAGS if flags >> flag.bit & 1}
    if flags >> len(FLAGS) or flags < 0:
        results.add(AttemptResult.ERROR)  # a flag that is not known here
    return next(result for result in _DOUBT if result in results)


def _by_details(details: str) -> AttemptResult | None:
    whole = DETAILS.get(details)
    if whole is not None:
        return whole
    # A reason that is not listed leaves what stands ahead of the braces; other words are not known.
    return DETAILS.get(details.partition("{")[0], AttemptResult.ERROR)


def harmless(may_have_run: bool, refusable: bool) -> bool:
    """Whether a 429 or 503 may reach the client: it says that trying again does no harm."""
    return refusable or not may_have_run
