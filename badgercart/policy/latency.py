"""Learned latencies: by class, by kind of machine, and of a warm endpoint's work. No I/O."""

from __future__ import annotations

from badgercart.policy.events import SettingsChanged
from badgercart.policy.settings import Settings

# The latency of a class before its first response is assumed as its objective divided by this.
ASSUMED_OBJECTIVE_DIVISOR = 4
WORK_GAIN = 0.1  # weight of one response in a kind's work time
# Weight of one response in a class's latency, below and above OVERLOAD_LIMIT.
CLASS_GAIN = 0.02
CLASS_GAIN_OVERLOADED = 0.002
OVERLOAD_LIMIT = 0.2  # above this overload, latencies show queueing more than work
# Weights of one response in the latency ratio of a kind, which gets many samples, and of an
# endpoint, which gets few.
KIND_GAIN = 0.005
ENDPOINT_GAIN = 0.4
MAX_RATIO = 8.0  # highest latency over the typical one that is taken from one response


class LatencyModel:
    """The latencies that this node learned.

    Attributes:
        typical_ms: the typical latency, by class.
        kind_ratios: latency over the typical one, by kind of machine.
        warm_work_ms: the time that a warm endpoint takes for a response, by kind of machine.
    """

    __slots__ = ("kind_ratios", "typical_ms", "warm_work_ms")

    def __init__(self) -> None:
        self.typical_ms: list[float] = []
        self.kind_ratios: dict[int, float] = {}
        self.warm_work_ms: dict[int, float] = {}

    def apply_settings(self, event: SettingsChanged) -> None:
        """Add new classes, and assume a latency for each of the event's `reset_classes`."""
        classes = event.settings.classes
        self.typical_ms += [0.0] * (len(classes) - len(self.typical_ms))
        for index in event.reset_classes:
            self.typical_ms[index] = assumed_latency_ms(event.settings, index)

    def record_work(
        self, kind: int, class_index: int, work_ms: float, elapsed_ms: float, overload: float
    ) -> None:
        """Update the work time of a kind and the latency of a class by a response.

        Args:
            kind: the endpoint's kind of machine.
            class_index: the request's class.
            work_ms: the latency that a warm endpoint would have had.
            elapsed_ms: the latency itself.
            overload: the overload signal, 0 to 1.
        """
        work = self.warm_work_ms.get(kind) or max(self.typical_ms)
        self.warm_work_ms[kind] = work + WORK_GAIN * (work_ms - work)
        gain = CLASS_GAIN if overload < OVERLOAD_LIMIT else CLASS_GAIN_OVERLOADED
        self.typical_ms[class_index] += gain * (elapsed_ms - self.typical_ms[class_index])

    def record_ratio(self, kind: int, class_index: int, elapsed_ms: float) -> float:
        """Update the latency ratio of a kind of machine by a response.

        Returns:
            The latency over the typical one of class and kind.
        """
        ratio = min(elapsed_ms / self.typical_ms[class_index], MAX_RATIO)
        kind_ratio = self.kind_ratios.get(kind, 1.0)
        self.kind_ratios[kind] = kind_ratio + KIND_GAIN * (ratio - kind_ratio)
        return ratio / kind_ratio


def assumed_latency_ms(settings: Settings, class_index: int) -> float:
    """Return the latency that is assumed of a class before its first response."""
    return settings.classes[class_index].latency_objective_ms / ASSUMED_OBJECTIVE_DIVISOR
