"""What the policy keeps of the ready servers, so that one changed line costs no look at all of
them. No I/O.

`Ring` holds the places of servers among hashes; `Sizes` the sizes of one kind of machine. Both give
what a whole look would give.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Set
from dataclasses import dataclass

BLOCK = 64  # points in a block of the ring on average; a block is split at twice that

Point = tuple[int, int]  # hash, server


class Ring:
    """Points in the order of their hashes, in blocks: adding one moves one block, not the whole
    ring."""

    def __init__(self) -> None:
        self.blocks: list[list[Point]] = []
        self.firsts: list[Point] = []  # of each block

    def __len__(self) -> int:
        return sum(map(len, self.blocks))

    def extend(self, points: list[Point]) -> None:
        if len(points) <= 8 * len(self.blocks):
            for point in points:
                self.add(point)
            return
        ordered = sorted(self.points() + points)
        self.blocks = [ordered[at : at + BLOCK] for at in range(0, len(ordered), BLOCK)]
        self.firsts = [block[0] for block in self.blocks]

    def add(self, point: Point) -> None:
        """Only where there are points already."""
        at = max(bisect_right(self.firsts, point) - 1, 0)
        block = self.blocks[at]
        insort(block, point)
        self.firsts[at] = block[0]
        if len(block) >= 2 * BLOCK:
            self.blocks[at : at + 1] = block[:BLOCK], block[BLOCK:]
            self.firsts.insert(at + 1, block[BLOCK])

    def remove(self, point: Point) -> None:
        at = bisect_right(self.firsts, point) - 1
        block = self.blocks[at]
        del block[bisect_left(block, point)]
        if block:
            self.firsts[at] = block[0]
        else:
            del self.blocks[at], self.firsts[at]

    def after(self, spot: int) -> int:
        """The server at the next point behind a hash, round the end. There must be one."""
        at = max(bisect_right(self.firsts, (spot, 0)) - 1, 0)
        block = self.blocks[at]
        place = bisect_right(block, (spot, 0))
        if place < len(block):
            return block[place][1]
        return self.firsts[at + 1 if at + 1 < len(self.firsts) else 0][1]

    def first(self, spot: int, among: Set[int]) -> int | None:
        """The first of these servers behind a hash, within the next two blocks; None where there is
        none."""
        at = max(bisect_right(self.firsts, (spot, 0)) - 1, 0)
        block = self.blocks[at]
        for place in range(bisect_right(block, (spot, 0)), len(block)):
            if block[place][1] in among:
                return block[place][1]
        following = self.blocks[(at + 1) % len(self.blocks)]
        return next((server for _, server in following if server in among), None)

    def points(self) -> list[Point]:
        return [point for block in self.blocks for point in block]


@dataclass(slots=True, frozen=True)
class Level:
    """How many points a size gets: a class, not a closure, so that a policy's state can be kept."""

    points: int
    paced: float
    strongest: float

    def __call__(self, size: float) -> int:
        return int(self.points * (size / self.paced / self.strongest))


class Sizes:
    """The listed sizes of the ready servers of one kind, in order, and their sum."""

    def __init__(self) -> None:
        self.order: list[tuple[float, int]] = []  # size, server
        self.total = 0.0
        self.changes = 0
        self.scale: tuple[float, float] | None = None  # by which levels were looked at last
        self.level: Callable[[float], int] | None = None

    def add(self, sizes: list[tuple[float, int]]) -> None:
        if len(sizes) > 64:
            self.order = sorted(self.order + sizes)
            self.sum()
            return
        for item in sizes:
            insort(self.order, item)
            self.total += item[0]
            self.changed()

    def remove(self, size: float, server: int) -> None:
        del self.order[bisect_left(self.order, (size, server))]
        self.total -= size
        self.changed()

    def changed(self) -> None:
        self.changes += 1
        if self.changes >= 1000 or len(self.order) < 100:
            self.sum()  # what adding and taking away has rounded off must not pile up

    def sum(self) -> None:
        self.changes = 0
        self.total = sum(size for size, _ in self.order)

    @property
    def largest(self) -> float:
        return self.order[-1][0] if self.order else 0.0

    def moved(
        self, scale: tuple[float, float], level: Callable[[float], int], most: int
    ) -> list[int]:
        """The servers whose level, by their size on a scale, is another than when it was looked at
        last.

        A level is at most `most` and grows with the size. New servers are not among them."""
        if scale == self.scale:
            return []
        old, self.level, self.scale = self.level, level, scale
        if old is None:
            return []
        found: list[int] = []
        for wanted in range(1, most + 1):
            ends = sorted(
                bisect_left(self.order, wanted, key=lambda item, by=by: by(item[0]))  # type: ignore[misc]
                for by in (old, level)
            )
            found += [server for _, server in self.order[ends[0] : ends[1]]]
        return found
