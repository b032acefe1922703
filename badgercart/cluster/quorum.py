"""How much of its group a node can vouch for, against the largest group that it has seen. No
I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from badgercart.cluster.membership_table import MembershipTable, Status


class Level(StrEnum):
    """What a node may decide by itself, from most to least."""

    WHOLE = "whole"  # all that may live are in reach
    MOST = "most"  # more than half of them are: no other part of the group can say so
    SOME = "some"
    ALONE = "alone"


@dataclass(slots=True, frozen=True)
class QuorumState:
    """What a node can count on at a moment."""

    level: Level
    live: tuple[str, ...]  # in reach, itself among them, by name
    may_live: int  # those and all that may be cut off only

    @property
    def majority(self) -> bool:
        return self.level in (Level.WHOLE, Level.MOST)


def level_of(reach: int, largest: int) -> Level:
    """The level by so many in reach, the node among them, of so many that may live."""
    if reach >= largest:
        return Level.WHOLE
    if 2 * reach > largest:
        return Level.MOST
    return Level.SOME if reach > 1 else Level.ALONE


def standing(
    view: MembershipTable,
    me: str,
    now: float,
    remember: float,
    expected: int = 1,
    stands_back: bool = False,
) -> QuorumState:
    """Where the node stands. `remember` (ms): for so long one that was seen may live though it is
    silent.

    The largest group is the union of all that were seen in that time and did not leave by their own
    word, not what gossip says at the moment: a half that buried the other must not take itself for
    the whole. `expected` is how many there should be where too little has been seen yet. One that
    stands back, since another process has its name, counts on nobody."""
    live = sorted({me} | {belief.claim.name for belief in view.of(Status.ALIVE, Status.SUSPECT)})
    sure = len({me} | {belief.claim.name for belief in view.of(Status.ALIVE)})
    buried = sum(1 for belief in view.of(Status.DEAD) if now - belief.since < remember)
    left = sum(1 for belief in view.of(Status.LEFT) if belief.claim.name != me)
    largest = max(len(live) + buried, expected - left)
    if stands_back:
        return QuorumState(Level.ALONE, (me,), largest)
    return QuorumState(level_of(sure, largest), tuple(live), largest)
