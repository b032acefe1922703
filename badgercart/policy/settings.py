"""What a node knows at its start: the classes of requests and the rules of the deployment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from badgercart.policy.errors import InvalidSettingError


class Idempotency(Enum):
    """What executing a request of a class twice does."""

    IDEMPOTENT = "safe"  # no harm, however often
    KEYED = "keyed"  # no harm within a scope of endpoints and a window of time: repeats are dropped
    NON_IDEMPOTENT = "unsafe"  # harm: it must never happen


class DeduplicationScope(Enum):
    """The endpoints that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def require(ok: bool, name: str, value: object) -> None:
    """Raise `InvalidSettingError` unless a setting's value is allowed.

    Args:
        ok: whether it is.
        name: the setting, as operators know it.
        value: its value.
    """
    if not ok:
        raise InvalidSettingError(name, value)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its latency objective, its weight, and what a repeat does."""

    latency_objective_ms: float
    deadline_ms: float
    # What an answer within the objective is worth, compared with other classes.
    priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # from the first attempt that may have been executed
    late_value_share: float = 0.0  # of the weight that is left after the latency objective
    serialized_by_key: bool = False  # requests of such classes that share a key run one at a time

    def __post_init__(self) -> None:
        """Raise `InvalidSettingError` where a value can't be."""
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
    """The rules of the deployment."""

    classes: tuple[RequestClass, ...]
    zone: int = 0  # of this node
    cluster_size: int = 1  # nodes that share the fleet
    node_index: int = 0  # of this node among them
    quotas_per_s: tuple[float, ...] = ()  # requests a second over all nodes, by tenant
    over_quota_weight: float = 1.0  # factor of the priority weight beyond a tenant's quota
    key_affinity: bool = False  # an endpoint that met a key lately serves it with less work
    polls_endpoints: bool = False  # endpoints come only when they are asked for
    poll_interval_ms: float = 10000.0
    tick_ms: float = 1.0  # of the clocks
    may_cancel: bool = False  # whether open attempts of a finished request may be cancelled
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0  # 0: clients are told nothing
    full_possibly_executed: bool = False  # endpoints say FULL also of work that they had begun
    key_cooldown_ms: float = 0.0  # serialized: after an attempt that may still be executing
    slow_start_min_capacity: float = 1.0  # the share of its capacity that an endpoint starts with
    slow_start_duration_ms: float = 0.0
    # Of its capacity, above which an endpoint in slow start fails.
    collapse_load_factor: float = 1.0
    collapse_window_ms: float = 1000.0  # within which that load comes from all nodes together

    def __post_init__(self) -> None:
        """Raise `InvalidSettingError` where a value can't be."""
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
