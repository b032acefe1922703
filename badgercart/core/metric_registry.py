"""The registry where subsystems declare metrics.

A metric has a name, a description and a function that reads its present value. The value is read
only when an exporter asks for it, so that a metric costs nothing in between.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

# Values of a metric's label; the rest is summed up as `other`.
MAX_LABEL_VALUES = 64
OTHER_LABEL_VALUE = "other"
_METRIC_NAME = re.compile(r"[a-z][a-z0-9_]*")

# One value, or one for each value of the label.
MetricValue = float | Mapping[str, float]


class MetricKind(Enum):
    """How the values of a metric behave over time."""

    COUNTER = "counter"  # only grows while the process runs
    GAUGE = "gauge"


@dataclass(slots=True, frozen=True)
class Metric:
    """One metric. Its name ends with the unit, such as `badgercart_list_age_seconds`."""

    name: str
    description: str
    kind: MetricKind
    read: Callable[[], MetricValue]
    label: str | None = None

    def values(self) -> dict[str, float]:
        """Return the values by label value, `""` where there is no label.

        There are at most MAX_LABEL_VALUES: the largest, and the sum of the rest as `other`.
        """
        values = self.read()
        if not isinstance(values, Mapping):
            return {"": float(values)}
        if len(values) <= MAX_LABEL_VALUES:
            return {key: float(value) for key, value in values.items()}
        ranked = sorted(values.items(), key=lambda item: (-item[1], item[0]))
        kept = {key: float(value) for key, value in ranked[: MAX_LABEL_VALUES - 1]}
        kept[OTHER_LABEL_VALUE] = kept.get(OTHER_LABEL_VALUE, 0.0) + float(
            sum(value for _, value in ranked[MAX_LABEL_VALUES - 1 :])
        )
        return kept


class MetricRegistry:
    """All metrics of one installation."""

    def __init__(self) -> None:
        self.metrics: dict[str, Metric] = {}

    def add(
        self,
        kind: MetricKind,
        name: str,
        description: str,
        read: Callable[[], MetricValue],
        label: str | None = None,
    ) -> None:
        """Add a metric. Raises ValueError where the name is invalid or taken."""
        if not _METRIC_NAME.fullmatch(name):
            raise ValueError(f"{name!r} is not a valid metric name")
        if name in self.metrics:
            raise ValueError(f"the metric {name} is already registered")
        self.metrics[name] = Metric(name, description, kind, read, label)

    def counter(
        self, name: str, description: str, read: Callable[[], MetricValue], label: str | None = None
    ) -> None:
        """Add a counter."""
        self.add(MetricKind.COUNTER, name, description, read, label)

    def gauge(
        self, name: str, description: str, read: Callable[[], MetricValue], label: str | None = None
    ) -> None:
        """Add a gauge."""
        self.add(MetricKind.GAUGE, name, description, read, label)
