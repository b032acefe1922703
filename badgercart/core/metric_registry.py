"""The port by which subsystems offer metrics: a name, a meaning, and a function that reads a value.

Values are read when somebody asks, so that a metric costs nothing in between.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from badgercart.core.errors import CoreError

MAX_LABEL_VALUES = 64  # of one metric; the rest is summed up as `other`
OTHER = "other"
_NAME = re.compile(r"[a-z][a-z0-9_]*")

# One value, or one for each value of the metric's label.
MetricValue = float | Mapping[str, float]


class MetricNameError(CoreError, ValueError):
    """A name that is malformed or taken."""

    def __init__(self, name: str, reason: str) -> None:
        """Keep the name, and the reason in words."""
        super().__init__(reason)
        self.name = name


class MetricKind(Enum):
    """Whether a value may fall."""

    COUNTER = "counter"  # only grows while the process runs
    GAUGE = "gauge"


@dataclass(slots=True, frozen=True)
class Metric:
    """One metric and how to read it."""

    name: str  # with its unit: `badgercart_list_age_seconds`
    description: str
    kind: MetricKind
    read: Callable[[], MetricValue]
    label: str | None = None

    def values(self) -> dict[str, float]:
        """Return the present values by the label's value; under `""` where there is no label.

        Of more than MAX_LABEL_VALUES the largest are kept and the rest is summed up.
        """
        value = self.read()
        if not isinstance(value, Mapping):
            return {"": float(value)}
        if len(value) <= MAX_LABEL_VALUES:
            return {key: float(number) for key, number in value.items()}
        ranked = sorted(value.items(), key=lambda item: (-item[1], item[0]))
        kept = {key: float(number) for key, number in ranked[: MAX_LABEL_VALUES - 1]}
        rest = sum(number for _, number in ranked[MAX_LABEL_VALUES - 1 :])
        kept[OTHER] = kept.get(OTHER, 0.0) + float(rest)
        return kept


class MetricRegistry:
    """All metrics of one installation, by name."""

    def __init__(self) -> None:
        """Set up an empty registry."""
        self.metrics: dict[str, Metric] = {}

    def add(
        self,
        kind: MetricKind,
        name: str,
        description: str,
        read: Callable[[], MetricValue],
        label: str | None = None,
    ) -> None:
        """Add a metric.

        Raises:
            MetricNameError: the name is malformed or taken.
        """
        if not _NAME.fullmatch(name):
            raise MetricNameError(name, f"{name!r} is no name of a figure")
        if name in self.metrics:
            raise MetricNameError(name, f"there are two figures {name}")
        self.metrics[name] = Metric(name, description, kind, read, label)

    def counter(
        self,
        name: str,
        description: str,
        read: Callable[[], MetricValue],
        label: str | None = None,
    ) -> None:
        """Add a counter; see `add`."""
        self.add(MetricKind.COUNTER, name, description, read, label)

    def gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], MetricValue],
        label: str | None = None,
    ) -> None:
        """Add a gauge; see `add`."""
        self.add(MetricKind.GAUGE, name, description, read, label)
