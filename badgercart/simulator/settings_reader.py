"""Reads a node's settings from the JSON of the simulator and the platform."""

from __future__ import annotations

import json
from typing import Any

from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from badgercart.simulator.errors import WireError

IDEMPOTENCIES = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
# Values of "Discovery": endpoint updates are pushed, or have to be polled.
PUSH, ASK = "push", "ask"


def read_settings(text: bytes) -> Settings:
    """Return the settings of a JSON object. Unknown keys are ignored.

    Raises:
        WireError: The text is not JSON, or a value is missing or not allowed.
    """
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings: not JSON: {error}") from error
    try:
        return _settings(raw)
    except KeyError as error:
        raise WireError(f"settings: {error} is missing or has an unknown value") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise WireError(f"settings: {error}") from error


def _settings(raw: dict[str, Any]) -> Settings:
    allowed, rules = raw["Allowed"], raw["Obligations"]
    discovery = raw["Discovery"]
    if discovery not in (PUSH, ASK):
        raise ValueError(f"Discovery can't be {discovery!r}")
    return Settings(
        classes=tuple(map(_request_class, raw["Classes"])),
        zone=int(raw.get("MyZone", 0)),
        cluster_size=int(raw.get("GroupSize", 1)),
        node_index=int(raw.get("Me", 0)),
        quotas_per_s=tuple(float(tenant["QuotaPerS"]) for tenant in raw.get("Customers", ())),
        over_quota_weight=float(raw.get("OverShareWorth", 1.0)),
        key_affinity=bool(raw.get("Domain", {}).get("WarmKeys", False)),
        polls_endpoints=discovery == ASK,
        poll_interval_ms=float(rules.get("AskWithin", 10000.0)),
        tick_ms=float(raw["Tick"]),
        may_cancel=bool(allowed.get("MayCancel", False)),
        max_attempts=int(allowed["MaxAttempts"]),
        max_retry_after_ms=float(allowed["MaxRetryAfter"]) if allowed.get("RetryAfter") else 0.0,
        full_possibly_executed=bool(rules.get("ShedAfterStart", False)),
        key_cooldown_ms=float(rules.get("KeyRest", 0.0)),
        slow_start_min_capacity=float(rules["ColdFrom"]),
        slow_start_duration_ms=float(rules["RampTime"]),
        collapse_load_factor=float(rules.get("TipMultiple", 1.0)),
        collapse_window_ms=float(rules.get("OverloadFor", 1000.0)),
    )


def _request_class(raw: dict[str, Any]) -> RequestClass:
    return RequestClass(
        latency_objective_ms=float(raw["Aim"]),
        deadline_ms=float(raw["Deadline"]),
        priority_weight=float(raw["Worth"]),
        idempotency=IDEMPOTENCIES[raw["Idempotency"]],
        deduplication_scope=SCOPES[raw.get("Group", "all")],
        deduplication_window_ms=float(raw.get("Window", 0.0)),
        late_value_share=float(raw.get("LateValue", 0.0)),
        serialized_by_key=bool(raw.get("SerialByKey", False)),
    )
