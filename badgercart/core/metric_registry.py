"""The port by which subsystems offer figures: a name, a meaning, and a function that reads the
present value.

Whoever shows them asks when it wants to know, so that a figure costs nothing in between.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

MAX_LABELS = 64  # values of a figure's label; the rest is summed up as `other`
OTHER = "other"
_NAME = re.compile(r"[a-z][a-z0-9_]*")

Reading = float | Mapping[str, float]  # one value, or one for each value of the label


class Kind(Enum):
    COUNTER = "counter"  # only grows while the process runs
    GAUGE = "gauge"


@dataclass(slots=True, frozen=True)
class Metric:
    name: str  # with its unit: `badgercart_list_age_seconds`
    about: str
    kind: Kind
    read: Callable[[], Reading]
    label: str | None = None

    def values(self) -> dict[str, float]:
        """By the label's value, at most MAX_LABELS of them; `""` where there is no label."""
        told = self.read()
        if not isinstance(told, Mapping):
            return {"": float(told)}
        if len(told) <= MAX_LABELS:
            return {key: float(value) for key, value in told.items()}
        ranked = sorted(told.items(), key=lambda item: (-item[1], item[0]))
        kept = {key: float(value) for key, value in ranked[: MAX_LABELS - 1]}
        kept[OTHER] = kept.get(OTHER, 0.0) + float(
            sum(value for _, value in ranked[MAX_LABELS - 1 :])
        )
        return kept


class MetricRegistry:
    """All figures of one installation."""

    def __init__(self) -> None:
        self.metrics: dict[str, Metric] = {}

    def add(
        self,
        kind: Kind,
        name: str,
        about: str,
        read: Callable[[], Reading],
        label: str | None = None,
    ) -> None:
        """ValueError where the name is taken, or none."""
        if not _NAME.fullmatch(name):
            raise ValueError(f"{name!r} is no name of a figure")
        if name in self.metrics:
            raise ValueError(f"there are two figures {name}")
        self.metrics[name] = Metric(name, about, kind, read, label)

    def counter(
        self, name: str, about: str, read: Callable[[], Reading], label: str | None = None
    ) -> None:
        self.add(Kind.COUNTER, name, about, read, label)

    def gauge(
        self, name: str, about: str, read: Callable[[], Reading], label: str | None = None
    ) -> None:
        self.add(Kind.GAUGE, name, about, read, label)
