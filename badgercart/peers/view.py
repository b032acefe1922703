"""What a node believes of the others: claims that merge in any order to the same view. No I/O."""

from __future__ import annotations

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


@dataclass(slots=True, frozen=True)
class Claim:
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
        """Claims of one member are in one total order, so that the largest wins whatever came first.

        Incarnation and status as SWIM has them; the rest only makes equal ones comparable."""
        return (self.incarnation, int(self.status), self.boot, self.address, self.zone, self.region)


@dataclass(slots=True, frozen=True)
class Belief:
    """A claim that is held, since when (ms on the node's clock), and by whose word."""

    claim: Claim
    since: float
    word: str

    @property
    def status(self) -> Status:
        return self.claim.status


class View:
    """All beliefs by name, the node's own among them."""

    def __init__(self, most: int = MAX_MEMBERS) -> None:
        self.beliefs: dict[str, Belief] = {}
        self.most = most
        self.turned_away = 0  # claims of new names beyond the bound

    def merge(self, claim: Claim, now: float, word: str) -> tuple[Belief | None, Belief] | None:
        """Take over a claim if it wins: what was believed before, and is now; None: no change."""
        before = self.beliefs.get(claim.name)
        if before is not None and claim.rank <= before.claim.rank:
            return None
        if before is None and len(self.beliefs) >= self.most:
            self.turned_away += 1
            return None
        same = before is not None and before.status is claim.status
        since = before.since if before is not None and same else now
        belief = Belief(claim, since, word)
        self.beliefs[claim.name] = belief
        return before, belief

    def forget(self, name: str) -> None:
        self.beliefs.pop(name, None)

    def of(self, *statuses: Status) -> Iterator[Belief]:
        return (belief for belief in self.beliefs.values() if belief.status in statuses)

    def claims(self) -> list[Claim]:
        return [belief.claim for belief in self.beliefs.values()]


def refuting(claim: Claim, against: int) -> Claim:
    """The claim of a live member that outdoes what is said of it at incarnation `against`."""
    return replace(claim, status=Status.ALIVE, incarnation=max(claim.incarnation, against) + 1)
