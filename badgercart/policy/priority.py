"""Priority scores: classes of a higher weight get higher scores. No I/O.

The scores from 0 to 100 are divided into bands in the order of the weights. The width of a band is
its share of the offered traffic, where each request counts by its weight.
"""

from __future__ import annotations

from badgercart.policy.events import SettingsChanged

MAX_SCORE = 100.0
NO_TRAFFIC = 1e-9  # in place of 0, so that shares are defined before the first request


class PriorityBands:
    """A band of scores for each priority group.

    The groups are the classes within their tenants' quotas, then the classes beyond them.

    Attributes:
        weights: the priority weight of each group.
        offered: the recent requests of each group, halved periodically.
        bands: the lowest score and the width of the band of each group.
    """

    __slots__ = ("bands", "offered", "weights")

    def __init__(self) -> None:
        self.weights: list[float] = []
        self.offered: list[float] = []
        self.bands: list[tuple[float, float]] = []

    def apply_settings(self, event: SettingsChanged) -> None:
        """Apply the weights; the traffic counts of classes that stay are kept."""
        settings, classes = event.settings, event.settings.classes
        count, known = len(classes), len(self.offered) // 2
        self.weights = [
            request_class.priority_weight * weight
            for weight in (1.0, settings.over_quota_weight)
            for request_class in classes
        ]
        within, beyond = self.offered[:known], self.offered[known:]
        for offered in (within, beyond):
            offered.extend([NO_TRAFFIC] * (count - known))
        # A class that was removed gets no band.
        for index in event.reset_classes | (frozenset(range(count)) - event.live_classes):
            within[index] = beyond[index] = NO_TRAFFIC
        self.offered = within + beyond
        self.bands = (self.bands + [(0.0, MAX_SCORE)] * (2 * count))[: 2 * count]

    def halve_traffic(self) -> None:
        """Halve the weight of older requests."""
        self.offered = [count / 2 for count in self.offered]

    def refresh(self) -> None:
        """Lay out the bands by weight; groups of equal weight share a band."""
        offered = [
            (weight, weight * count)
            for weight, count in zip(self.weights, self.offered, strict=True)
        ]
        total = sum(value for _, value in offered) or 1.0
        for index, weight in enumerate(self.weights):
            low = sum(value for other, value in offered if other < weight)
            same = sum(value for other, value in offered if other == weight)
            self.bands[index] = (MAX_SCORE * low / total, MAX_SCORE * same / total)

    def score(self, group: int, draw: float) -> float:
        """Return a score within a group's band, by a random number between 0 and 1."""
        low, width = self.bands[group]
        return low + width * draw
