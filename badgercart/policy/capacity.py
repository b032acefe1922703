"""The relative capacity of endpoints, by listed size and learned latency of their kind. No I/O.

`SizeIndex` keeps the listed sizes of one kind in order, so that one changed endpoint costs no look
at all of them. `CapacityModel` owns one index a kind and what follows from them for the fleet.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from badgercart.policy.endpoint import Endpoint
from badgercart.policy.endpoints import EndpointChanges
from badgercart.policy.latency import LatencyModel

BULK_CHANGES = 64  # sizes that are added at once above which the index is sorted anew
EXACT_SUM_SIZE = 100  # sizes below which the sum is always exact
MAX_INCREMENTAL_SUMS = 1000  # changes after which rounding errors of the sum are removed
MIN_SIZE, MAX_SIZE = 0.5, 8.0  # listed sizes that can be taken as requests served at once


@dataclass(slots=True, frozen=True)
class VirtualNodeScale:
    """Maps a listed size to a count of virtual nodes; a closure could not be pickled."""

    virtual_nodes: int
    kind_ratio: float
    strongest: float

    def __call__(self, size: float) -> int:
        """Return the count of a size."""
        return int(self.virtual_nodes * (size / self.kind_ratio / self.strongest))


def _level_of(level: Callable[[float], int], item: tuple[float, int]) -> int:
    return level(item[0])


class SizeIndex:
    """The listed sizes of the ready endpoints of one kind, in order, and their sum."""

    __slots__ = ("changes", "level", "order", "scale", "total")

    def __init__(self) -> None:
        self.order: list[tuple[float, int]] = []  # size, endpoint id
        self.total = 0.0
        self.changes = 0  # since the sum was made exactly
        self.scale: tuple[float, float] | None = None  # by which levels were compared last
        self.level: Callable[[float], int] | None = None

    def add(self, sizes: list[tuple[float, int]]) -> None:
        """Add sizes with their endpoints."""
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
        """Return the largest size; 0 where there is none."""
        return self.order[-1][0] if self.order else 0.0

    def level_changes(
        self, scale: tuple[float, float], level: Callable[[float], int], most: int
    ) -> list[int]:
        """Return the endpoints whose level on this scale differs from the one at the last call.

        A level is at most `most` and grows with the size. New endpoints are not among them.
        """
        if scale == self.scale:
            return []
        old, self.level, self.scale = self.level, level, scale
        if old is None:
            return []
        found: list[int] = []
        for wanted in range(1, most + 1):
            ends = sorted(
                bisect_left(self.order, wanted, key=partial(_level_of, by)) for by in (old, level)
            )
            found += [endpoint_id for _, endpoint_id in self.order[ends[0] : ends[1]]]
        return found


class CapacityModel:
    """What endpoints can do compared with each other; the strongest has weight 1."""

    __slots__ = ("_latency", "mean_weight", "sizes", "slots_per_endpoint", "strongest")

    def __init__(self, latency: LatencyModel) -> None:
        self._latency = latency
        self.sizes: dict[int, SizeIndex] = {}  # of the ready endpoints, by kind
        self.strongest = 1.0  # the largest size over the latency of its kind
        self.mean_weight = 1.0
        # Requests that an endpoint serves at once, this node's part of them.
        self.slots_per_endpoint = 1.0

    def weight(self, endpoint: Endpoint) -> float:
        """Return what an endpoint can do, compared with the strongest one."""
        return endpoint.size / self._latency.kind_ratios.get(endpoint.kind, 1.0) / self.strongest

    def apply_changes(self, changes: EndpointChanges) -> None:
        """Take over which endpoints are ready, and their sizes."""
        added: dict[int, list[tuple[float, int]]] = {}
        for endpoint_id, before, after in changes:
            if before is not None:
                self.sizes[before.kind].remove(before.size, endpoint_id)
            if after is not None:
                added.setdefault(after.kind, []).append((after.size, endpoint_id))
        for kind, sizes in added.items():
            self.sizes.setdefault(kind, SizeIndex()).add(sizes)

    def refresh(self, ready_count: int, cluster_size: int) -> dict[int, float]:
        """Work out the strongest and the mean endpoint anew.

        Returns:
            The latency over the typical one of each kind that has ready endpoints.
        """
        kinds = [(kind, sizes) for kind, sizes in self.sizes.items() if sizes.order]
        ratios = {kind: self._latency.kind_ratios.get(kind, 1.0) for kind, _ in kinds}
        strongest = [sizes.largest / ratios[kind] / self.strongest for kind, sizes in kinds]
        self.strongest *= max(strongest, default=1.0) or 1.0  # a list may give no sizes
        mean_size = sum(sizes.total for _, sizes in kinds) / max(
            1, ready_count
        )  # size 1 serves one at once
        self.slots_per_endpoint = (
            mean_size if MIN_SIZE <= mean_size <= MAX_SIZE else 1.0
        ) / cluster_size
        weights = sum(sizes.total / ratios[kind] / self.strongest for kind, sizes in kinds)
        self.mean_weight = weights / max(1, ready_count)
        return ratios

    def count_changes(
        self, kind_ratios: dict[int, float], virtual_nodes: int, most: int
    ) -> list[int]:
        """Return the endpoints whose count of virtual nodes changed by the last `refresh`."""
        found: list[int] = []
        for kind, ratio in kind_ratios.items():
            scale = VirtualNodeScale(virtual_nodes, ratio, self.strongest)
            found += self.sizes[kind].level_changes((ratio, self.strongest), scale, most)
        return found
