"""The metrics of zone failover; names, help texts and labels must not change."""

from __future__ import annotations

from collections.abc import Sequence

from badgercart.core.metric_registry import MetricRegistry
from badgercart.zones.failover_controller import FailoverController


def register_metrics(
    metrics: MetricRegistry, controller: FailoverController, zone_names: Sequence[str]
) -> None:
    """Register the metrics of a controller."""
    metrics.gauge(
        "badgercart_zones_epoch",
        "The plan in force; 0: none.",
        lambda: controller.consensus.epoch,
    )
    metrics.gauge(
        "badgercart_zones_open",
        "Of its capacity, what counts of a zone.",
        lambda: {
            zone_names[zone]: breaker.admitted_share
            for zone, breaker in enumerate(controller.conditions.breakers)
        },
        "zone",
    )
    metrics.gauge(
        "badgercart_zones_share",
        "Of this node's requests, what goes to a zone by its plan.",
        lambda: dict(zip(zone_names, mean_shares(controller, len(zone_names)), strict=True)),
        "zone",
    )
    metrics.counter(
        "badgercart_zones_plans",
        "Plans that were in force here.",
        lambda: controller.history.plan_count,
    )


def mean_shares(controller: FailoverController, zone_count: int) -> list[float]:
    """Return the share of this node's requests for each zone, averaged over the classes."""
    traffic_plan = controller.feed.last
    if traffic_plan is None:
        return [0.0] * zone_count
    rows = traffic_plan.shares[: controller.topology.class_count]
    return [sum(row[zone] for row in rows) / len(rows) for zone in range(len(rows[0]))]
