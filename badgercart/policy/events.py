"""The events that the policy is told of, and the types that they carry.

``Policy(settings, seed).handle(now, event)`` takes one event and returns a list of actions, which the caller
carries out in that order. All times are milliseconds on one monotonic clock, whose origin is unspecified.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from badgercart.policy.endpoint import Endpoint
from badgercart.policy.settings import Settings, require


class UpdateKind(IntEnum):
    """How a server list came."""

    DELTA = 0  # changed entries only
    SNAPSHOT = 1  # the whole list; who is missing is gone
    CACHED = 2  # the whole list as it was held before a restart
    FAILED = 3  # a call failed or the subscription broke; the old list stays in force


class AttemptResult(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    UNREACHABLE = 5
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8


NOT_EXECUTED = frozenset(
    {AttemptResult.FULL, AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT}
)  # these results prove it

POSSIBLY_STILL_EXECUTING = frozenset(
    {AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED}
)  # the attempt may be at work still


@dataclass(slots=True)
class EndpointUpdate:
    kind: UpdateKind
    version: int
    endpoints: list[Endpoint]


@dataclass(slots=True)
class Request:
    id: int
    class_index: int
    deadline: float  # clock time at which the client gives up on this try
    key: int = 0  # 0: none
    tenant: int = 0
    expected_work_ms: float = 0.0  # expected work, 0: unknown
    is_client_retry: bool = False  # marked by the client as its retry
    max_fallbacks: int = 0  # further servers that whoever carries it out may turn to by itself
    possibly_executed: bool = (
        False  # earlier attempts, of which this node knows nothing, may have run
    )
    reachable_endpoints: frozenset[int] | None = (
        None  # the only servers that whoever carries it out can reach
    )
    complete: bool = (
        True  # else its times count from the `Whole` that follows, and `due` is infinite
    )


@dataclass(slots=True)
class RequestCompleted:
    """A request has come in whole: its times count from now on."""

    id: int
    deadline: float


@dataclass(slots=True)
class ResponseStarted:
    """The answer goes on to the client as it comes: no other attempt, and no deadline runs any
    longer."""

    id: int
    attempt: int
    endpoint_id: int
    elapsed_ms: float


@dataclass(slots=True)
class AttemptEnded:
    id: int
    endpoint_id: int
    completed: bool  # the request is over, by this outcome or before it
    result: int
    attempt: int
    elapsed_ms: float
    report: tuple[float, ...] = ()
    parked: bool = (
        False  # nothing is decided until a Resume: who would carry it out has yet to come back
    )
    body_consumed: bool = False  # what it would take to send the request again is gone


@dataclass(slots=True)
class AttemptRerouted:
    """An attempt ended, and its carrier went on to another server by itself, as the next
    attempt."""

    id: int
    attempt: int
    endpoint_id: int
    result: int
    elapsed_ms: float
    next_endpoint_id: int


@dataclass(slots=True)
class RetryDecisionDue:
    """A request whose last outcome was parked: decide now, by sending again or only how it ends."""

    id: int
    may_retry: bool


@dataclass(slots=True)
class HealthCheckResult:
    endpoint_id: int
    result: int
    elapsed_ms: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class PeerMessage:
    sender: int
    data: bytes


@dataclass(slots=True)
class RequestCancelled:
    """The client has left; nothing more is owed."""

    id: int


@dataclass(slots=True)
class DeadlineExceeded:
    """No time is left for a request: it is to be ended now."""

    id: int


@dataclass(slots=True)
class SettingsChanged:
    """Other settings from now on; requests that are there keep the terms of their class.

    A class has the number that it had, and tenants, zones and kinds theirs."""

    settings: Settings
    live_classes: frozenset[int]  # classes that requests may still come with; the others only end
    reset_classes: frozenset[int] = (
        frozenset()
    )  # classes that begin anew, also where another had their number
    reset_tenants: frozenset[int] = frozenset()  # the same of tenants


@dataclass(slots=True)
class ClusterView:
    """Which nodes share the fleet from now on, in place of the settings' `group_size` and `me`."""

    size: int  # nodes that are taken to share it, this one among them
    node_index: int  # this node's number among them
    possibly_alive: int  # these, and those that may only be cut off
    quota_shares: tuple[float, ...] = ()  # of each tenant's quota, ours; empty: one of `may_live`
    failure_reports: tuple[
        tuple[int, float], ...
    ] = ()  # servers that others find failing, and how much, 0 to 1

    def __post_init__(self) -> None:
        require(self.size >= 1, "size", self.size)
        require(0 <= self.node_index < self.size, "me", self.node_index)
        require(self.possibly_alive >= self.size, "may_live", self.possibly_alive)
        require(all(0 < part <= 1 for part in self.quota_shares), "parts", self.quota_shares)


@dataclass(slots=True)
class TrafficPlan:
    """Where requests go, zone by zone, in place of our own zone first. Without shares: as without a
    plan."""

    # By class, then once more by class for `bound` tenants; in each by zone: the part of these
    # requests that goes there. What the parts leave of 1 is refused.
    shares: tuple[tuple[float, ...], ...] = ()
    spillover_rates: tuple[
        float, ...
    ] = ()  # by zone: attempts a ms that may go there beside their part
    lost_zones: frozenset[int] = frozenset()  # zones where nothing goes
    planned_tenants: frozenset[int] = frozenset()  # tenants
    zone_strain: tuple[
        float, ...
    ] = ()  # by zone: the part of its part that is spared it where others have room

    def __post_init__(self) -> None:
        for row in self.shares:
            require(
                len(row) == len(self.spillover_rates) and min(row) >= 0 and sum(row) <= 1.001,
                "shares",
                row,
            )
        require(all(rate >= 0 for rate in self.spillover_rates), "spill", self.spillover_rates)


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
