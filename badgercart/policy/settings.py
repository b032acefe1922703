"""The settings of the policy: the request classes and the rules of the deployment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from badgercart.policy.errors import InvalidSettingError


class Idempotency(Enum):
    """The effect of executing a request of a class twice.

    IDEMPOTENT: no harm. KEYED: no harm within a scope of endpoints and a time window, in which
    duplicates are dropped. NON_IDEMPOTENT: harm, so that it must never happen.
    """

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The scope of endpoints that drop each other's duplicates of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def require(ok: bool, name: str, value: object) -> None:
    """Raise `InvalidSettingError` unless a setting's value is allowed.

    Args:
        ok: whether it is allowed.
        name: the name of the setting for operators.
        value: its value.
    """
    if not ok:
        raise InvalidSettingError(name, value)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests.

    Attributes:
        latency_objective_ms: the time within which a response has its full value.
        deadline_ms: the time after which a client abandons a request.
        priority_weight: the value of a timely response relative to other classes.
        idempotency: the effect of executing a request twice.
        deduplication_scope: for KEYED: the endpoints that drop each other's duplicates.
        deduplication_window_ms: for KEYED: the time for which duplicates are dropped, from the
            first attempt that may have been executed.
        late_value_share: the share of the weight that is left after the latency objective.
        serialized_by_key: whether requests that share a key are executed one at a time.
    """

    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    late_value_share: float = 0.0
    serialized_by_key: bool = False

    def __post_init__(self) -> None:
        """Raise `InvalidSettingError` for a value that is not allowed."""
        require(self.latency_objective_ms > 0, "classes[].aim", self.latency_objective_ms)
        require(self.deadline_ms > 0, "classes[].deadline", self.deadline_ms)
        require(self.priority_weight >= 0, "classes[].worth", self.priority_weight)
        require(self.deduplication_window_ms >= 0, "classes[].window", self.deduplication_window_ms)
        require(0 <= self.late_value_share <= 1, "classes[].late_value", self.late_value_share)
        require(isinstance(self.idempotency, Idempotency), "classes[].effect", self.idempotency)
        is_scope = isinstance(self.deduplication_scope, DeduplicationScope)
        require(is_scope, "classes[].group", self.deduplication_scope)

    @property
    def client_may_retry(self) -> bool:
        """Whether a client's retry does no harm even if the request may have been executed."""
        if self.idempotency is Idempotency.IDEMPOTENT:
            return True
        everywhere = self.deduplication_scope is DeduplicationScope.ALL
        return self.idempotency is Idempotency.KEYED and everywhere


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one node.

    Attributes:
        classes: the request classes.
        zone: the index of this node's zone.
        cluster_size: the number of nodes that share the fleet.
        node_index: the index of this node among them.
        quotas_per_s: requests per second over all nodes, by tenant.
        over_quota_weight: factor of the priority weight beyond a tenant's quota.
        key_affinity: whether an endpoint that served a key recently serves it with less work.
        polls_endpoints: whether the endpoints have to be polled.
        poll_interval_ms: the time within which the endpoints have to be polled.
        tick_ms: the resolution of the clocks.
        may_cancel: whether open attempts of a finished request may be cancelled.
        max_attempts: the highest number of attempts of a request.
        max_retry_after_ms: the longest time of the retry advice; 0: clients get none.
        full_possibly_executed: whether endpoints also answer FULL to requests whose execution they
            had begun.
        key_cooldown_ms: for classes serialized by key: how long the key waits after an attempt that
            may still be executing.
        slow_start_min_capacity: the share of its capacity that an endpoint starts with.
        slow_start_duration_ms: the time until an endpoint has its full capacity.
        collapse_load_factor: the load over its capacity above which an endpoint in slow start
            fails.
        collapse_window_ms: the time window of that load, which is the sum of all nodes.
    """

    classes: tuple[RequestClass, ...]
    zone: int = 0
    cluster_size: int = 1
    node_index: int = 0
    quotas_per_s: tuple[float, ...] = ()
    over_quota_weight: float = 1.0
    key_affinity: bool = False
    polls_endpoints: bool = False
    poll_interval_ms: float = 10000.0
    tick_ms: float = 1.0
    may_cancel: bool = False
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0
    full_possibly_executed: bool = False
    key_cooldown_ms: float = 0.0
    slow_start_min_capacity: float = 1.0
    slow_start_duration_ms: float = 0.0
    collapse_load_factor: float = 1.0
    collapse_window_ms: float = 1000.0

    def __post_init__(self) -> None:
        """Raise `InvalidSettingError` for a value that is not allowed."""
        require(len(self.classes) > 0, "classes", self.classes)
        require(self.cluster_size >= 1, "group_size", self.cluster_size)
        require(self.max_attempts >= 1, "max_attempts", self.max_attempts)
        require(0 < self.slow_start_min_capacity <= 1, "cold_from", self.slow_start_min_capacity)
        require(0 <= self.over_quota_weight <= 1, "over_quota_worth", self.over_quota_weight)
        require(self.tick_ms > 0, "tick", self.tick_ms)
        require(self.collapse_load_factor > 0, "tip_multiple", self.collapse_load_factor)
        require(self.collapse_window_ms > 0, "overload_for", self.collapse_window_ms)
        require(self.poll_interval_ms >= 0, "ask_within", self.poll_interval_ms)
        require(self.slow_start_duration_ms >= 0, "ramp_time", self.slow_start_duration_ms)
        require(self.max_retry_after_ms >= 0, "max_retry_after", self.max_retry_after_ms)
        require(self.key_cooldown_ms >= 0, "key_rest", self.key_cooldown_ms)
        for quota in self.quotas_per_s:
            require(quota >= 0, "quotas[]", quota)
