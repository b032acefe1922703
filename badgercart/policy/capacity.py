"""The relative capacity of endpoints, by listed size and learned latency of their kind. No I/O.

`SizeIndex` keeps the listed sizes of one kind in order, so that a change of one endpoint needs no
scan of all of them. `CapacityModel` owns one index per kind and the fleet's values derived from
them.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from badgercart.policy.endpoint import Endpoint
from badgercart.policy.endpoints import EndpointChanges
from badgercart.policy.latency import LatencyModel

BULK_CHANGES = 64  # if more sizes are added at once, the whole index is sorted again
EXACT_SUM_SIZE = 100  # an index of fewer sizes is always summed exactly
MAX_INCREMENTAL_SUMS = 1000  # after this many changes an exact sum removes rounding errors
# A mean listed size in this range is used as the number of requests that an endpoint serves at
# once.
MIN_SIZE = 0.5
MAX_SIZE = 8.0


@dataclass(slots=True, frozen=True)
class VirtualNodeScale:
    """Maps a listed size to a number of virtual nodes.

    This is a class because a capture pickles it, which is not possible with a closure.
    """

    virtual_nodes: int
    kind_ratio: float
    strongest: float

    def __call__(self, size: float) -> int:
        """Return the number of virtual nodes for a size."""
        return int(self.virtual_nodes * (size / self.kind_ratio / self.strongest))


def _level_of(level: Callable[[float], int], item: tuple[float, int]) -> int:
    return level(item[0])


class SizeIndex:
    """The listed sizes of the ready endpoints of one kind, in order, and their sum.

    Attributes:
        order: size and endpoint id of each endpoint, sorted.
        total: the sum of the sizes.
        changes: incremental changes of the sum since it was last computed exactly.
        scale: the scale of the last call of `level_changes`.
        level: the level function of that call.
    """

    __slots__ = ("changes", "level", "order", "scale", "total")

    def __init__(self) -> None:
        self.order: list[tuple[float, int]] = []
        self.total = 0.0
        self.changes = 0
        self.scale: tuple[float, float] | None = None
        self.level: Callable[[float], int] | None = None

    def add(self, sizes: list[tuple[float, int]]) -> None:
        """Add sizes, each with the id of its endpoint."""
        if len(sizes) > BULK_CHANGES:
            self.order = sorted(self.order + sizes)
            self._sum_exactly()
            return
        for item in sizes:
            insort(self.order, item)
            self.total += item[0]
            self._count_change()

    def remove(self, size: float, endpoint_id: int) -> None:
        """Remove an endpoint that was added with this size."""
        del self.order[bisect_left(self.order, (size, endpoint_id))]
        self.total -= size
        self._count_change()

    def _count_change(self) -> None:
        self.changes += 1
        if self.changes >= MAX_INCREMENTAL_SUMS or len(self.order) < EXACT_SUM_SIZE:
            self._sum_exactly()

    def _sum_exactly(self) -> None:
        self.changes = 0
        self.total = sum(size for size, _ in self.order)

    @property
    def largest(self) -> float:
        """Return the largest size; 0 if there is none."""
        return self.order[-1][0] if self.order else 0.0

    def level_changes(
        self, scale: tuple[float, float], level: Callable[[float], int], max_level: int
    ) -> list[int]:
        """Return the endpoints whose level differs from their level at the last call.

        Endpoints that were added since are not included.

        Args:
            scale: identifies the level function; the same scale means the same levels.
            level: returns the level of a size; it grows with the size.
            max_level: the highest level.
        """
        if scale == self.scale:
            return []
        old_level, self.level, self.scale = self.level, level, scale
        if old_level is None:
            return []
        changed: list[int] = []
        for wanted in range(1, max_level + 1):
            bounds = sorted(
                bisect_left(self.order, wanted, key=partial(_level_of, function))
                for function in (old_level, level)
            )
            changed += [endpoint_id for _, endpoint_id in self.order[bounds[0] : bounds[1]]]
        return changed


class CapacityModel:
    """The capacity of endpoints relative to each other; the strongest has weight 1.

    Attributes:
        sizes: the sizes of the ready endpoints, by kind.
        strongest: the largest size divided by the latency ratio of its kind.
        mean_weight: the mean weight of the ready endpoints.
        slots_per_endpoint: requests that a mean endpoint serves at once, divided by the number of
            nodes.
    """

    __slots__ = ("_latency", "mean_weight", "sizes", "slots_per_endpoint", "strongest")

    def __init__(self, latency: LatencyModel) -> None:
        self._latency = latency
        self.sizes: dict[int, SizeIndex] = {}
        self.strongest = 1.0
        self.mean_weight = 1.0
        self.slots_per_endpoint = 1.0

    def weight(self, endpoint: Endpoint) -> float:
        """Return an endpoint's capacity relative to the strongest one."""
        return endpoint.size / self._latency.kind_ratios.get(endpoint.kind, 1.0) / self.strongest

    def apply_changes(self, changes: EndpointChanges) -> None:
        """Update the sizes of the endpoints that became ready, changed, or are no longer ready."""
        added: dict[int, list[tuple[float, int]]] = {}
        for endpoint_id, before, after in changes:
            if before is not None:
                self.sizes[before.kind].remove(before.size, endpoint_id)
            if after is not None:
                added.setdefault(after.kind, []).append((after.size, endpoint_id))
        for kind, sizes in added.items():
            self.sizes.setdefault(kind, SizeIndex()).add(sizes)

    def refresh(self, ready_count: int, cluster_size: int) -> dict[int, float]:
        """Recompute the strongest and the mean endpoint.

        Returns:
            For each kind that has ready endpoints, its latency over the typical one.
        """
        kinds = [(kind, sizes) for kind, sizes in self.sizes.items() if sizes.order]
        ratios = {kind: self._latency.kind_ratios.get(kind, 1.0) for kind, _ in kinds}
        strongest = [sizes.largest / ratios[kind] / self.strongest for kind, sizes in kinds]
        # All sizes are 0 if the endpoint list gives none.
        self.strongest *= max(strongest, default=1.0) or 1.0
        # An endpoint of size 1 serves one request at once.
        mean_size = sum(sizes.total for _, sizes in kinds) / max(1, ready_count)
        self.slots_per_endpoint = (
            mean_size if MIN_SIZE <= mean_size <= MAX_SIZE else 1.0
        ) / cluster_size
        weights = sum(sizes.total / ratios[kind] / self.strongest for kind, sizes in kinds)
        self.mean_weight = weights / max(1, ready_count)
        return ratios

    def count_changes(
        self, kind_ratios: dict[int, float], virtual_nodes: int, max_level: int
    ) -> list[int]:
        """Return the endpoints whose number of virtual nodes changed with the last `refresh`.

        Args:
            kind_ratios: what `refresh` returned.
            virtual_nodes: the number of virtual nodes of the strongest endpoint.
            max_level: the highest number of virtual nodes to look at; 0: only note the new scale.
        """
        changed: list[int] = []
        for kind, ratio in kind_ratios.items():
            scale = VirtualNodeScale(virtual_nodes, ratio, self.strongest)
            changed += self.sizes[kind].level_changes((ratio, self.strongest), scale, max_level)
        return changed
