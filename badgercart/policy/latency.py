"""Learned latencies: by class, by kind of machine, and of a warm endpoint's work. No I/O."""

from __future__ import annotations

from badgercart.policy.events import SettingsChanged
from badgercart.policy.settings import Settings

ASSUMED_OBJECTIVE_SHARE = 4  # a class is assumed to take its latency objective over this
WORK_GAIN = 0.1  # weight of one answer in a kind's work time
CLASS_GAIN, CLASS_GAIN_OVERLOADED = 0.02, 0.002  # the same in a class's latency
OVERLOAD_LIMIT = 0.2  # overload above which latencies tell of queues more than of work
KIND_GAIN = 0.005  # many samples come of a kind
ENDPOINT_GAIN = 0.4  # and few of one endpoint
MAX_RATIO = 8.0


class LatencyModel:
    """What this node learned of latencies."""

    __slots__ = ("kind_ratios", "typical_ms", "warm_work_ms")

    def __init__(self) -> None:
        self.typical_ms: list[float] = []  # by class
        self.kind_ratios: dict[int, float] = {}  # latency over the typical one, by kind of machine
        self.warm_work_ms: dict[
            int, float
        ] = {}  # what a warm endpoint takes for an answer, by kind

    def apply_settings(self, event: SettingsChanged) -> None:
        """Make room for new classes and assume a latency for those that begin anew."""
        classes = event.settings.classes
        self.typical_ms += [0.0] * (len(classes) - len(self.typical_ms))
        for index in event.reset_classes:
            self.typical_ms[index] = assumed_latency_ms(event.settings, index)

    def record_work(
        self, kind: int, class_index: int, work_ms: float, elapsed_ms: float, overload: float
    ) -> None:
        """Learn from an answer.

        Args:
            kind: the kind of machine that answered.
            class_index: the request's class.
            work_ms: the latency as a warm endpoint would have had it.
            elapsed_ms: the latency itself.
            overload: 0 to 1.
        """
        work = self.warm_work_ms.get(kind) or max(self.typical_ms)
        self.warm_work_ms[kind] = work + WORK_GAIN * (work_ms - work)
        gain = CLASS_GAIN if overload < OVERLOAD_LIMIT else CLASS_GAIN_OVERLOADED
        self.typical_ms[class_index] += gain * (elapsed_ms - self.typical_ms[class_index])

    def record_ratio(self, kind: int, class_index: int, elapsed_ms: float) -> float:
        """Learn how slow a kind of machine is.

        Returns:
            The latency over the typical one of class and kind.
        """
        ratio = min(elapsed_ms / self.typical_ms[class_index], MAX_RATIO)
        kind_ratio = self.kind_ratios.get(kind, 1.0)
        self.kind_ratios[kind] = kind_ratio + KIND_GAIN * (ratio - kind_ratio)
        return ratio / kind_ratio


def assumed_latency_ms(settings: Settings, class_index: int) -> float:
    """Return what is assumed of a class before its first answer."""
    return settings.classes[class_index].latency_objective_ms / ASSUMED_OBJECTIVE_SHARE
