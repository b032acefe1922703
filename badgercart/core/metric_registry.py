"""The port by which subsystems offer figures: a name, a meaning, and a function that reads the
present value.

Whoever shows them asks when it wants to know, so that a figure costs nothing in between.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

MAX_LABEL_VALUES = 64  # values of a figure's label; the rest is summed up as `other`
OTHER_LABEL_VALUE = "other"
_METRIC_NAME = re.compile(r"[a-z][a-z0-9_]*")

MetricValue = float | Mapping[str, float]  # one value, or one for each value of the label


class MetricKind(Enum):
    COUNTER = "counter"  # only grows while the process runs
    GAUGE = "gauge"


@dataclass(slots=True, frozen=True)
class Metric:
    name: str  # with its unit: `badgercart_list_age_seconds`
    description: str
    kind: MetricKind
    read: Callable[[], MetricValue]
    label: str | None = None

    def values(self) -> dict[str, float]:
        """By the label's value, at most MAX_LABELS of them; `""` where there is no label."""
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
    """All figures of one installation."""

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
        """ValueError where the name is taken, or none."""
        if not _METRIC_NAME.fullmatch(name):
            raise ValueError(f"{name!r} is no name of a figure")
        if name in self.metrics:
            raise ValueError(f"there are two figures {name}")
        self.metrics[name] = Metric(name, description, kind, read, label)

    def counter(
        self, name: str, description: str, read: Callable[[], MetricValue], label: str | None = None
    ) -> None:
        self.add(MetricKind.COUNTER, name, description, read, label)

    def gauge(
        self, name: str, description: str, read: Callable[[], MetricValue], label: str | None = None
    ) -> None:
        self.add(MetricKind.GAUGE, name, description, read, label)
