"""The events that the policy is told of.

`Policy(settings, seed).handle(now_ms, event)` takes one event and returns the actions that the
caller has to carry out, in that order. Clock times are milliseconds on one monotonic clock, whose
origin is unspecified.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from badgercart.policy.endpoint import Endpoint
from badgercart.policy.settings import Settings, require

MAX_SHARE_SUM = 1.001  # of a traffic plan's row: shares are rounded


class UpdateKind(IntEnum):
    """How an endpoint update came."""

    DELTA = 0  # changed endpoints only
    SNAPSHOT = 1  # all endpoints; what is missing is gone
    CACHED = 2  # all endpoints as they were kept from before a restart
    FAILED = 3  # a call failed or the subscription broke; the endpoints stay as they are


class AttemptResult(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3  # the endpoint took on nothing more
    TIMEOUT = 4
    UNREACHABLE = 5  # no connection came about
    RESET = 6  # the connection broke
    CANCELLED = 7
    NOT_SENT = 8


# Results that prove that the request was not executed.
NOT_EXECUTED = frozenset({AttemptResult.FULL, AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT})

# Results after which the endpoint may still be at work.
POSSIBLY_STILL_EXECUTING = frozenset(
    {AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED}
)


@dataclass(slots=True)
class EndpointUpdate:
    """Which endpoints there are."""

    kind: UpdateKind
    version: int
    endpoints: list[Endpoint]


@dataclass(slots=True)
class Request:
    """A request has come."""

    id: int
    class_index: int  # among the settings' classes
    deadline_at_ms: float  # clock time at which the client gives up on this try
    key: int = 0  # 0: none
    tenant: int = 0  # among the settings' quotas
    expected_work_ms: float = 0.0  # 0: unknown
    is_client_retry: bool = False  # as marked by the client
    max_fallbacks: int = 0  # further endpoints that the transport may go on to by itself
    possibly_executed: bool = False  # by earlier attempts, of which this node knows nothing
    reachable_endpoints: frozenset[int] | None = None  # the only ones it may go to; None: all
    complete: bool = True  # else `RequestCompleted` follows, and the deadline is infinite till then


@dataclass(slots=True)
class RequestCompleted:
    """A request has come in whole: its times count from now on."""

    id: int  # of the request
    deadline_at_ms: float  # clock time


@dataclass(slots=True)
class ResponseStarted:
    """An answer is streamed to the client: no other attempt is possible, no deadline runs."""

    id: int  # of the request
    attempt: int
    endpoint_id: int
    elapsed_ms: float  # since it was sent


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended."""

    id: int  # of the request
    endpoint_id: int
    request_finished: bool  # the request has its final answer, by this attempt or before it
    result: int  # an `AttemptResult`
    attempt: int
    elapsed_ms: float  # since it was sent
    report: tuple[float, ...] = ()  # numbers that the endpoint sent along
    retry_deferred: bool = False  # nothing is decided until `RetryDecisionDue`
    body_consumed: bool = False  # the request can't be sent again


@dataclass(slots=True)
class AttemptRerouted:
    """An attempt has ended, and its transport went on to another endpoint by itself."""

    id: int  # of the request
    attempt: int
    endpoint_id: int
    result: int  # an `AttemptResult`
    elapsed_ms: float  # since it was sent
    next_endpoint_id: int


@dataclass(slots=True)
class RetryDecisionDue:
    """A request whose last attempt was parked is to be decided now."""

    id: int  # of the request
    may_retry: bool  # else only how it ends


@dataclass(slots=True)
class HealthCheckResult:
    """A health check has ended."""

    endpoint_id: int
    result: int  # an `AttemptResult`
    elapsed_ms: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class TimerFired:
    """A timer that was set has fired."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """Another node sent something."""

    sender: int
    data: bytes


@dataclass(slots=True)
class RequestCancelled:
    """The client has left: no answer is owed any more."""

    id: int  # of the request


@dataclass(slots=True)
class DeadlineExceeded:
    """A request has no time left, and is to be ended now."""

    id: int  # of the request


@dataclass(slots=True)
class SettingsChanged:
    """Other settings are in force from now on; pending requests keep their terms.

    A class keeps its index, and so do tenants, zones and kinds of machine.
    """

    settings: Settings
    live_classes: frozenset[int]  # that requests may still come with
    reset_classes: frozenset[int] = frozenset()  # that begin anew, though another had their index
    reset_tenants: frozenset[int] = frozenset()  # the same of tenants


@dataclass(slots=True)
class ClusterView:
    """Which nodes share the fleet from now on, in place of what the settings say."""

    size: int  # nodes that are taken to share it, this one among them
    node_index: int  # of this node among them
    possibly_alive: int  # these nodes, and those that may only be cut off
    quota_shares: tuple[float, ...] = ()  # this node's, by tenant; empty: one of `possibly_alive`
    failure_reports: tuple[tuple[int, float], ...] = ()  # endpoints, and how much they fail, 0 to 1

    def __post_init__(self) -> None:
        """Raise `InvalidSettingError` where a value can't be."""
        require(self.size >= 1, "size", self.size)
        require(0 <= self.node_index < self.size, "me", self.node_index)
        require(self.possibly_alive >= self.size, "may_live", self.possibly_alive)
        require(all(0 < share <= 1 for share in self.quota_shares), "parts", self.quota_shares)


@dataclass(slots=True)
class TrafficPlan:
    """Where requests go, zone by zone, in place of the own zone first. Without shares: no plan."""

    # By class, then once more by class for `planned_tenants`; in each by zone: the share of these
    # requests that goes there. What the shares leave of 1 is shed.
    shares: tuple[tuple[float, ...], ...] = ()
    spillover_rates_per_ms: tuple[float, ...] = ()  # attempts a ms beside a zone's share, by zone
    lost_zones: frozenset[int] = frozenset()  # where nothing goes
    planned_tenants: frozenset[int] = frozenset()  # that have shares of their own
    offload_shares: tuple[
        float, ...
    ] = ()  # of a zone's share, what others take where they can, by zone

    def __post_init__(self) -> None:
        """Raise `InvalidSettingError` where a value can't be."""
        zones = len(self.spillover_rates_per_ms)
        for row in self.shares:
            valid = len(row) == zones and min(row) >= 0 and sum(row) <= MAX_SHARE_SUM
            require(valid, "shares", row)
        require(
            all(rate >= 0 for rate in self.spillover_rates_per_ms),
            "spill",
            self.spillover_rates_per_ms,
        )


Event = (
    EndpointUpdate
    | Request
    | RequestCompleted
    | ResponseStarted
    | AttemptEnded
    | AttemptRerouted
    | RetryDecisionDue
    | HealthCheckResult
    | TimerFired
    | PeerMessage
    | RequestCancelled
    | SettingsChanged
    | ClusterView
    | TrafficPlan
    | DeadlineExceeded
)
