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

from badgercart.core.results import result_of
from badgercart.policy.events import NEVER_RAN, Result

VIA_UPSTREAM = "via_upstream"


@dataclass(slots=True, frozen=True)
class Flag:
    """One of Envoy's response flags: which outcome it means where it stands alone."""

    bit: int
    short: str
    result: Result
    why: str


# Never ran, by the flag alone, where the proxy made no other attempt. NOT_SENT is the proxy's own
# doing and is not counted against the server; UNREACHABLE is.
FLAGS = (
    Flag(0, "LH", Result.NOT_SENT, "the proxy's health check failed"),
    Flag(1, "UH", Result.NOT_SENT, "no healthy server in the proxy's cluster"),
    Flag(2, "UT", Result.TIMEOUT, "the proxy's request time-out"),
    Flag(3, "LR", Result.CANCELLED, "the proxy reset the connection"),
    Flag(4, "UR", Result.RESET, "the server reset the stream"),
    Flag(5, "UF", Result.UNREACHABLE, "no connection to the server"),
    Flag(6, "UC", Result.RESET, "the connection to the server ended"),
    Flag(7, "UO", Result.NOT_SENT, "the proxy's circuit breaker"),
    Flag(8, "NR", Result.NOT_SENT, "no route"),
    Flag(9, "DI", Result.ERROR, "a delay was injected: tells nothing of the server"),
    Flag(10, "FI", Result.NOT_SENT, "aborted by injected fault"),
    Flag(11, "RL", Result.NOT_SENT, "the proxy's rate limit"),
    Flag(12, "UAEX", Result.NOT_SENT, "denied by external authorization"),
    Flag(13, "RLSE", Result.NOT_SENT, "the proxy's rate limit service failed"),
    Flag(14, "DC", Result.CANCELLED, "the client ended its connection"),
    Flag(15, "URX", Result.ERROR, "the proxy's retries were used up"),
    Flag(16, "SI", Result.TIMEOUT, "the stream stood idle for too long"),
    Flag(17, "IH", Result.NOT_SENT, "a header that the proxy does not take"),
    Flag(18, "DPE", Result.CANCELLED, "the client broke the protocol"),
    Flag(19, "UMSDR", Result.TIMEOUT, "the stream lasted too long"),
    Flag(20, "RFCF", Result.NOT_SENT, "answered from the proxy's cache"),
    Flag(21, "NFCF", Result.NOT_SENT, "the proxy's filter has no configuration"),
    Flag(22, "DT", Result.TIMEOUT, "the request or connection lasted too long"),
    Flag(23, "UPE", Result.ERROR, "the server broke the protocol"),
    Flag(24, "NC", Result.NOT_SENT, "no cluster"),
    Flag(25, "OM", Result.NOT_SENT, "the proxy's overload manager"),
    Flag(26, "DF", Result.UNREACHABLE, "the server's name could not be looked up"),
    Flag(27, "DO", Result.NOT_SENT, "shed by the proxy"),
    Flag(28, "DR", Result.CANCELLED, "the client reset its stream"),
    Flag(29, "UDO", Result.NOT_SENT, "shed by the proxy, whatever it was"),
)
CACHED = 20  # the bit of RFCF
# Details that stand alone or ahead of a reason in braces, where no flag came along.
DETAILS = {
    "no_healthy_upstream": Result.NOT_SENT,
    "cluster_not_found": Result.NOT_SENT,
    "route_not_found": Result.NOT_SENT,
    "direct_response": Result.NOT_SENT,
    "maintenance_mode": Result.NOT_SENT,
    "overload": Result.NOT_SENT,
    "rate_limited": Result.NOT_SENT,
    "ext_authz_denied": Result.NOT_SENT,
    "response_timeout": Result.TIMEOUT,
    "upstream_response_timeout": Result.TIMEOUT,
    "upstream_per_try_timeout": Result.TIMEOUT,
    "upstream_max_stream_duration_reached": Result.TIMEOUT,
    "upstream_reset_before_response_started{connection_failure}": Result.UNREACHABLE,
    "upstream_reset_before_response_started{remote_connection_failure}": Result.UNREACHABLE,
    "upstream_reset_before_response_started{local_connection_failure}": Result.UNREACHABLE,
    "upstream_reset_before_response_started{connection_timeout}": Result.UNREACHABLE,
    "upstream_reset_before_response_started{overflow}": Result.NOT_SENT,
    "upstream_reset_before_response_started": Result.RESET,
    "upstream_reset_after_response_started": Result.RESET,
    "downstream_remote_disconnect": Result.CANCELLED,
    "downstream_local_disconnect": Result.CANCELLED,
}
# What speaks for the outcome where several do: the first of these; proofs that it never ran count
# last.
_DOUBT = (
    Result.TIMEOUT,
    Result.RESET,
    Result.ERROR,
    Result.CANCELLED,
    Result.UNREACHABLE,
    Result.NOT_SENT,
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

    result: Result
    by_proxy: bool  # the response was made by the proxy

    @property
    def may_have_run(self) -> bool:
        return self.result not in NEVER_RAN


def read_end(phase: Phase) -> End:
    """The one outcome of a response phase."""
    if phase.details == VIA_UPSTREAM:
        return End(_whole(phase), False)
    if phase.status < 400:
        # No failure, so flags are those of an earlier try; only who answered is open.
        own = (phase.flags or 0) >> CACHED & 1 or DETAILS.get(
            phase.details or ""
        ) is Result.NOT_SENT
        return End(Result.NOT_SENT, True) if own else End(_whole(phase), False)
    found = _by_flags(phase.flags)
    if found is None and phase.details:
        found = _by_details(phase.details)
    if found is None:
        # Nothing says that the proxy made it: the status speaks, as for an answer that came to the
        # node.
        return End(_whole(phase), False)
    if found in NEVER_RAN and phase.attempts > 1:
        found = Result.ERROR  # an earlier attempt of the proxy's own may have run
    if found is Result.NOT_SENT and phase.upstream:
        found = Result.CANCELLED  # the proxy names a server that it sent to: no proof any more
    return End(found, True)


def _whole(phase: Phase) -> Result:
    result = result_of(phase.status, phase.not_started)
    return Result.ERROR if result is Result.FULL and phase.attempts > 1 else result


def _by_flags(flags: int | None) -> Result | None:
    if not flags:
        return None
    results = {flag.result for flag in FLAGS if flags >> flag.bit & 1}
    if flags >> len(FLAGS) or flags < 0:
        results.add(Result.ERROR)  # a flag that is not known here
    return next(result for result in _DOUBT if result in results)


def _by_details(details: str) -> Result | None:
    whole = DETAILS.get(details)
    if whole is not None:
        return whole
    # A reason that is not listed leaves what stands ahead of the braces; other words are not known.
    return DETAILS.get(details.partition("{")[0], Result.ERROR)


def harmless(may_have_run: bool, refusable: bool) -> bool:
    """Whether a 429 or 503 may reach the client: it says that trying again does no harm."""
    return refusable or not may_have_run
