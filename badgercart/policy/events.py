"""The events that the policy handles.

`Policy(settings, seed).handle(now_ms, event)` takes one event and returns the actions that the
caller has to execute, in that order. Clock times are milliseconds on one monotonic clock, whose
origin is unspecified.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from badgercart.policy.endpoint import Endpoint
from badgercart.policy.settings import Settings, require

# The sum of the shares in a row of a traffic plan may exceed 1 by this much, since shares are
# rounded.
MAX_SHARE_SUM = 1.001


class UpdateKind(IntEnum):
    """What an endpoint update contains.

    A FAILED update lists no endpoints: a poll failed or the subscription broke. The endpoints that
    are known stay as they are.
    """

    DELTA = 0  # changed endpoints only
    SNAPSHOT = 1  # all endpoints; an endpoint that is missing from it is gone
    CACHED = 2  # all endpoints, as stored before a restart
    FAILED = 3


class AttemptResult(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3  # the endpoint rejected the request for lack of capacity
    TIMEOUT = 4
    UNREACHABLE = 5  # no connection could be established
    RESET = 6  # the connection broke
    CANCELLED = 7
    NOT_SENT = 8


# Results which prove that the request was not executed.
NOT_EXECUTED = frozenset({AttemptResult.FULL, AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT})

# Results after which the endpoint may still be executing the request.
POSSIBLY_STILL_EXECUTING = frozenset(
    {AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED}
)


@dataclass(slots=True)
class EndpointUpdate:
    """The endpoints that exist, or those of them that changed."""

    kind: UpdateKind
    version: int
    endpoints: list[Endpoint]


@dataclass(slots=True)
class Request:
    """A request has arrived.

    Attributes:
        id: the id of the request.
        class_index: the index of its class in the settings.
        deadline_at_ms: the clock time at which the client abandons the request.
        key: its key for affinity and serialization; 0: none.
        tenant: the index of its tenant in the settings' quotas.
        expected_work_ms: the client's estimate of the work; 0: unknown.
        is_client_retry: whether the client marked it as a retry.
        max_fallbacks: how many further endpoints the transport may try without asking the policy.
        possibly_executed: whether it may have been executed by earlier attempts that this node
            knows nothing of.
        reachable_endpoints: the only endpoints that it may be sent to; None: all.
        complete: whether its body has arrived. If not, `RequestCompleted` follows, and the deadline
            is infinite until then.
    """

    id: int
    class_index: int
    deadline_at_ms: float
    key: int = 0
    tenant: int = 0
    expected_work_ms: float = 0.0
    is_client_retry: bool = False
    max_fallbacks: int = 0
    possibly_executed: bool = False
    reachable_endpoints: frozenset[int] | None = None
    complete: bool = True


@dataclass(slots=True)
class RequestCompleted:
    """The last part of a request has arrived: its time limits count from now on.

    Attributes:
        id: the id of the request.
        deadline_at_ms: the clock time at which the client abandons the request.
    """

    id: int
    deadline_at_ms: float


@dataclass(slots=True)
class ResponseStarted:
    """A response is being streamed to the client, which ends the deadline and all retries.

    Attributes:
        id: the id of the request.
        attempt: the number of the attempt.
        endpoint_id: the endpoint of the attempt.
        elapsed_ms: the time since the attempt was sent.
    """

    id: int
    attempt: int
    endpoint_id: int
    elapsed_ms: float


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        id: the id of the request.
        endpoint_id: the endpoint of the attempt.
        request_finished: whether the request has its final answer, by this attempt or before it.
        result: an `AttemptResult`.
        attempt: the number of the attempt.
        elapsed_ms: the time since the attempt was sent.
        report: load values that the endpoint sent with its response.
        retry_deferred: whether the decision on a retry waits for `RetryDecisionDue`.
        body_consumed: whether the body is gone, so that the request can't be sent again.
    """

    id: int
    endpoint_id: int
    request_finished: bool
    result: int
    attempt: int
    elapsed_ms: float
    report: tuple[float, ...] = ()
    retry_deferred: bool = False
    body_consumed: bool = False


@dataclass(slots=True)
class AttemptRerouted:
    """An attempt has ended, and the transport has sent the next one to a fallback endpoint.

    Attributes:
        id: the id of the request.
        attempt: the number of the attempt that has ended.
        endpoint_id: the endpoint of that attempt.
        result: an `AttemptResult`.
        elapsed_ms: the time since that attempt was sent.
        next_endpoint_id: the endpoint of the next attempt.
    """

    id: int
    attempt: int
    endpoint_id: int
    result: int
    elapsed_ms: float
    next_endpoint_id: int


@dataclass(slots=True)
class RetryDecisionDue:
    """The retry decision that an `AttemptEnded` deferred has to be made now.

    Attributes:
        id: the id of the request.
        may_retry: whether another attempt is possible; otherwise the request is ended.
    """

    id: int
    may_retry: bool


@dataclass(slots=True)
class HealthCheckResult:
    """A health check has ended; its result is an `AttemptResult`."""

    endpoint_id: int
    result: int
    elapsed_ms: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class TimerFired:
    """A timer that `SetTimer` set has fired."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """Another node sent a message."""

    sender: int
    data: bytes


@dataclass(slots=True)
class RequestCancelled:
    """The client has cancelled the request with this id: it gets no answer."""

    id: int


@dataclass(slots=True)
class DeadlineExceeded:
    """The deadline of the request with this id has passed: it has to be ended now."""

    id: int


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply from now on; pending requests keep the settings of their class.

    A class keeps its index, and so do tenants, zones and kinds of machine.

    Attributes:
        settings: the new settings.
        live_classes: the classes that new requests may still have.
        reset_classes: classes that are new, though another class had their index before.
        reset_tenants: the same for tenants.
    """

    settings: Settings
    live_classes: frozenset[int]
    reset_classes: frozenset[int] = frozenset()
    reset_tenants: frozenset[int] = frozenset()


@dataclass(slots=True)
class ClusterView:
    """The nodes that share the fleet from now on, in place of those that the settings give.

    Attributes:
        size: the number of nodes that share the fleet, including this one.
        node_index: the index of this node among them.
        possibly_alive: the number of these nodes plus those that may only be partitioned from this
            one.
        quota_shares: this node's share of each tenant's quota; empty: one of `possibly_alive`
            equal shares.
        failure_reports: ids of endpoints that other nodes found failing, each with its failure
            rate, 0 to 1.
    """

    size: int
    node_index: int
    possibly_alive: int
    quota_shares: tuple[float, ...] = ()
    failure_reports: tuple[tuple[int, float], ...] = ()

    def __post_init__(self) -> None:
        """Raise `InvalidSettingError` for a value that is not allowed."""
        require(self.size >= 1, "size", self.size)
        require(0 <= self.node_index < self.size, "me", self.node_index)
        require(self.possibly_alive >= self.size, "may_live", self.possibly_alive)
        require(all(0 < share <= 1 for share in self.quota_shares), "parts", self.quota_shares)


@dataclass(slots=True)
class TrafficPlan:
    """Which zones requests go to, in place of the own zone first. Without shares: no plan.

    Attributes:
        shares: rows by class, then once more by class for `planned_tenants`. Each row has, by zone,
            the share of these requests that goes there. What the shares leave of 1 is shed.
        spillover_rates_per_ms: attempts per ms that a zone may get beyond its share, by zone.
        lost_zones: zones that get no requests.
        planned_tenants: tenants that have rows of their own.
        offload_shares: the part of a zone's share that other zones take where they can, by zone.
    """

    shares: tuple[tuple[float, ...], ...] = ()
    spillover_rates_per_ms: tuple[float, ...] = ()
    lost_zones: frozenset[int] = frozenset()
    planned_tenants: frozenset[int] = frozenset()
    offload_shares: tuple[float, ...] = ()

    def __post_init__(self) -> None:
        """Raise `InvalidSettingError` for a value that is not allowed."""
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
