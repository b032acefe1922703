"""What a node believes of the others: claims that merge in any order to the same view. No I/O."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import IntEnum

from badgercart.config import Address

MAX_MEMBERS = 4096  # names in a view; a group is some hundreds


class Status(IntEnum):
    """In the order in which they win at one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # by its own word


REACHED = (Status.ALIVE, Status.SUSPECT)  # who is tried, asked and told


@dataclass(slots=True, frozen=True)
class MembershipRecord:
    """What somebody says of a member."""

    name: str
    incarnation: int
    status: Status
    address: Address
    boot: int  # tells processes of one name apart; grows with the time of their start
    zone: str = ""
    region: str = ""
    by: str = field(default="", compare=False)  # who accuses or buried it

    @property
    def rank(self) -> tuple[int, int, int, Address, str, str]:
        """Claims of one member are in one total order, so that the largest wins whatever came
        first.

        Incarnation and status as SWIM has them; the rest only makes equal ones comparable."""
        return (self.incarnation, int(self.status), self.boot, self.address, self.zone, self.region)


@dataclass(slots=True, frozen=True)
class MemberState:
    """A claim that is held, since when (ms on the node's clock), and by whose word."""

    claim: MembershipRecord
    since: float
    word: str

    @property
    def status(self) -> Status:
        return self.claim.status


class MembershipTable:
    """All beliefs by name, the node's own among them."""

    def __init__(self, most: int = MAX_MEMBERS) -> None:
        self.beliefs: dict[str, MemberState] = {}
        self.most = most
        self.turned_away = 0  # claims of new names beyond the bound
        self.reach: list[str] = []  # names of those alive or only suspected, in no order
        self.places: dict[str, int] = {}  # where each is in it
        self.addresses: Counter[Address] = Counter()  # of those in reach
        self.gone: dict[str, None] = {}  # names of those dead or left
        self.looked = 0  # beliefs looked at, over all questions

    def merge(
        self, claim: MembershipRecord, now: float, word: str
    ) -> tuple[MemberState | None, MemberState] | None:
        """Take over a claim if it wins: what was believed before, and is now; None: no change."""
        before = self.beliefs.get(claim.name)
        if before is not None and claim.rank <= before.claim.rank:
            return None
        if before is None and len(self.beliefs) >= self.most:
            self.turned_away += 1
            return None
        same = before is not None and before.status is claim.status
        since = before.since if before is not None and same else now
        belief = MemberState(claim, since, word)
        self.beliefs[claim.name] = belief
        self.place(before, belief)
        return before, belief

    def forget(self, name: str) -> None:
        self.place(self.beliefs.pop(name, None), None)

    def place(self, before: MemberState | None, now: MemberState | None) -> None:
        """Keep who is in reach and who is gone in step with a belief that has changed."""
        if before is not None:
            name = before.claim.name
            if before.status in REACHED:
                self.addresses[before.claim.address] -= 1
                if not self.addresses[before.claim.address]:
                    del self.addresses[before.claim.address]
                if now is None or now.status not in REACHED:
                    last, at = self.reach.pop(), self.places.pop(name)
                    if last != name:
                        self.reach[at], self.places[last] = last, at
            else:
                self.gone.pop(name, None)
        if now is not None:
            name = now.claim.name
            if now.status in REACHED:
                self.addresses[now.claim.address] += 1
                if name not in self.places:
                    self.places[name] = len(self.reach)
                    self.reach.append(name)
            else:
                self.gone[name] = None

    def draw(
        self, count: int, rng: random.Random, without: tuple[str, ...] = ()
    ) -> list[MemberState]:
        """So many of those in reach by chance, or all there are; the cost goes by how many are
        drawn."""
        drawn = rng.sample(self.reach, min(count + len(without), len(self.reach)))
        self.looked += len(drawn)
        return [self.beliefs[name] for name in drawn if name not in without][:count]

    def of(self, *statuses: Status) -> Iterator[MemberState]:
        """By a look at all; where only some are wanted, there are `reach`, `gone` and `draw`."""
        self.looked += len(self.beliefs)
        return (belief for belief in self.beliefs.values() if belief.status in statuses)

    def claims(self) -> list[MembershipRecord]:
        return [belief.claim for belief in self.beliefs.values()]


def refuting(claim: MembershipRecord, against: int) -> MembershipRecord:
    """The claim of a live member that outdoes what is said of it at incarnation `against`."""
    return replace(claim, status=Status.ALIVE, incarnation=max(claim.incarnation, against) + 1)
