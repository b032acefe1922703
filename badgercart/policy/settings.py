"""What a node knows at its start: the classes of requests and the rules of the deployment.

All times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What repeating a request of a class does."""

    IDEMPOTENT = "safe"  # may run any number of times
    KEYED = "keyed"  # a group of servers drops repeats for a while
    NON_IDEMPOTENT = "unsafe"  # must never run twice


class DeduplicationScope(Enum):
    """The servers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def require(ok: bool, name: str, value: object) -> None:
    if not ok:
        raise ValueError(f"settings: {name} can't be {value!r}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its wanted time, its worth, and what a repeat does."""

    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = (
        0.0  # keyed: how long repeats are dropped, from the first send that may have run
    )
    late_value_share: float = 0.0  # share of the worth left after the aim
    serialized_by_key: bool = (
        False  # requests of such classes that share a key run one at a time, as they came
    )

    def __post_init__(self) -> None:
        require(self.latency_objective_ms > 0, "classes[].aim", self.latency_objective_ms)
        require(self.deadline_ms > 0, "classes[].deadline", self.deadline_ms)
        require(self.priority_weight >= 0, "classes[].worth", self.priority_weight)
        require(self.deduplication_window_ms >= 0, "classes[].window", self.deduplication_window_ms)
        require(0 <= self.late_value_share <= 1, "classes[].late_value", self.late_value_share)
        require(isinstance(self.idempotency, Idempotency), "classes[].effect", self.idempotency)
        require(
            isinstance(self.deduplication_scope, DeduplicationScope),
            "classes[].group",
            self.deduplication_scope,
        )

    @property
    def client_may_retry(self) -> bool:
        """Whether a client may be told that trying again does no harm even if the request may have
        run."""
        return self.idempotency is Idempotency.IDEMPOTENT or (
            self.idempotency is Idempotency.KEYED
            and self.deduplication_scope is DeduplicationScope.ALL
        )


@dataclass(slots=True, frozen=True)
class Settings:
    """What a node knows at its start."""

    classes: tuple[RequestClass, ...]
    zone: int = 0  # this node's own zone
    cluster_size: int = 1  # nodes of this tier
    node_index: int = 0  # this node's number among them
    quotas_per_s: tuple[float, ...] = ()  # per tenant: requests a second, over all nodes
    over_quota_weight: float = 1.0
    key_affinity: bool = False  # a server that met a key lately serves it with less work
    polls_endpoints: bool = False  # the list comes only when asked for
    poll_interval_ms: float = 10000.0
    tick_ms: float = 1.0
    may_cancel: bool = False
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0  # 0: clients are told nothing
    full_possibly_executed: bool = False  # servers answer 'full' also to work that they had begun
    key_cooldown_ms: float = (
        0.0  # in order: how long a key rests after an attempt that may be running still
    )
    slow_start_min_capacity: float = 1.0  # a server starts with this share of its capacity or more
    slow_start_duration_ms: float = 0.0
    collapse_load_factor: float = (
        1.0  # sent more than this multiple of its capacity by all nodes together
    )
    collapse_window_ms: float = 1000.0  # within any such time, a cold server falls over

    def __post_init__(self) -> None:
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
