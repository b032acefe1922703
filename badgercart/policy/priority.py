"""Scores: heavier classes score higher, and a band is as wide as its share of traffic. No I/O."""

from __future__ import annotations

from badgercart.policy.events import SettingsChanged

MAX_SCORE = 100.0
NO_TRAFFIC = 1e-9  # in place of 0, so that shares are defined before the first request


class PriorityBands:
    """A band of scores for each group: classes within their tenants' quotas, then beyond."""

    __slots__ = ("bands", "offered", "weights")

    def __init__(self) -> None:
        self.weights: list[float] = []
        self.offered: list[float] = []  # recent requests, halved now and then
        self.bands: list[tuple[float, float]] = []  # lowest score and width

    def apply_settings(self, event: SettingsChanged) -> None:
        """Take over the weights; traffic that was counted of a class that stays is kept."""
        settings, classes = event.settings, event.settings.classes
        count, known = len(classes), len(self.offered) // 2
        self.weights = [
            cls.priority_weight * weight
            for weight in (1.0, settings.over_quota_weight)
            for cls in classes
        ]
        within, beyond = self.offered[:known], self.offered[known:]
        for offered in (within, beyond):
            offered.extend([NO_TRAFFIC] * (count - known))
        # A class that vanished draws no band.
        for index in event.reset_classes | (frozenset(range(count)) - event.live_classes):
            within[index] = beyond[index] = NO_TRAFFIC
        self.offered = within + beyond
        self.bands = (self.bands + [(0.0, MAX_SCORE)] * (2 * count))[: 2 * count]

    def halve_traffic(self) -> None:
        """Let older requests weigh half."""
        self.offered = [count / 2 for count in self.offered]

    def refresh(self) -> None:
        """Lay out the bands by weight, as wide as offered; equal weights share a band."""
        offered = [(w, w * count) for w, count in zip(self.weights, self.offered, strict=True)]
        total = sum(value for _, value in offered) or 1.0
        for index, weight in enumerate(self.weights):
            low = sum(value for other, value in offered if other < weight)
            same = sum(value for other, value in offered if other == weight)
            self.bands[index] = (MAX_SCORE * low / total, MAX_SCORE * same / total)

    def score(self, group: int, draw: float) -> float:
        """Return a score within a group's band, by a draw from 0 to 1."""
        low, width = self.bands[group]
        return low + width * draw
