"""What all nodes have seen, put together: a zone that nobody reaches is down, a link that some miss
is cut.

Each claim has its owner and its time; a later one takes its place, an old one counts for nothing.
One node's word decides about its own zone's way at most, and only where it is that zone's only
node. No I/O.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import msgspec

from badgercart.zones.failure_detector import Verdict
from badgercart.zones.topology import Geography

LIE = 4.0  # of an even part of all capacity: no node's demand counts for more
SLOW_FROM = (
    2.5  # times its quickest from which a zone counts as slow: near capacity queues double it
)


class ZoneReport(msgspec.Struct, array_like=True, frozen=True):
    """What a node says. Lists by zone, demand by row of the geography."""

    map: int  # digest of the geography that it is by
    verdicts: list[int]
    slow: list[int]  # hundredths of the usual time; 0: it has sent nothing there of late
    good: list[int]  # hundredths of answers that were no errors
    demand: list[int]  # thousandths of a server's slot that its requests keep busy


_claim: Callable[[bytes], ZoneReport] = msgspec.msgpack.Decoder(ZoneReport).decode


@dataclass(slots=True, frozen=True)
class Heard:
    claim: ZoneReport
    zone: int
    came: float  # ms on our clock


@dataclass(slots=True, frozen=True)
class Seen:
    """What the claims come to. Lists by zone."""

    down: frozenset[int]  # zones
    fine: frozenset[int]  # zones that somebody reaches
    own: frozenset[int]  # zones that their own nodes reach
    parted: frozenset[tuple[int, int]]  # links: from a zone's nodes to a zone's servers
    slow: tuple[float, ...]  # time of answers over the usual, the median of claims
    good: tuple[float, ...]
    demand: tuple[tuple[float, ...], ...]  # by zone of the nodes and row: slots kept busy
    why: str  # in a few words


class Evidence:
    """The latest claim of each node."""

    def __init__(self, geography: Geography) -> None:
        self.geography = geography
        self.heard: dict[str, Heard] = {}
        self.turned_away = 0
        self.other_map = 0  # claims by another geography

    def take(self, author: str, zone: int, said: bytes, now: float) -> None:
        """Take over a claim; what can't be one is passed over."""
        try:
            claim = _claim(said)
        except msgspec.MsgspecError:
            self.turned_away += 1
            return
        if claim.map != self.geography.digest:
            self.other_map += 1
            self.heard.pop(author, None)
            return
        zones, rows = len(self.geography.zones), self.geography.rows
        lengths = {len(claim.verdicts), len(claim.slow), len(claim.good)}
        if lengths != {zones} or len(claim.demand) != rows or not 0 <= zone < zones:
            self.turned_away += 1
            return
        if min((*claim.demand, *claim.slow, *claim.good)) < 0:
            self.turned_away += 1
            return
        self.heard[author] = Heard(claim, zone, now)

    def keep(self, names: Iterable[str]) -> None:
        """Forget all others."""
        wanted = set(names)
        self.heard = {name: heard for name, heard in self.heard.items() if name in wanted}

    def fresh(self, now: float, old: float) -> list[tuple[str, Heard]]:
        """Claims that came less than `old` ms ago, by name."""
        return sorted((name, heard) for name, heard in self.heard.items() if now - heard.came < old)

    def seen(self, now: float, old: float, capacity: Sequence[float]) -> Seen:
        geography, heard = self.geography, self.fresh(now, old)
        zones = range(len(geography.zones))
        votes = [[[0, 0] for _ in zones] for _ in zones]  # by source and zone: fine, dark
        for _, told in heard:
            for zone in zones:
                if (verdict := told.claim.verdicts[zone]) in (Verdict.FINE, Verdict.DARK):
                    votes[told.zone][zone][verdict == Verdict.DARK] += 1
        dark = {(i, z) for i in zones for z in zones if votes[i][z][1] > votes[i][z][0]}
        reached = {(i, z) for i in zones for z in zones if votes[i][z][0] and (i, z) not in dark}
        fine = frozenset(z for _, z in reached)
        accused = [sum(votes[i][z][1] for i in zones) for z in zones]  # by so many nodes
        enough = min(2, len(heard))  # one node's word is about its own way there
        down = frozenset(z for _, z in dark if accused[z] >= enough) - fine
        parted = frozenset((i, z) for i, z in dark if z not in down)
        accusers = sorted(
            {n for n, t in heard for z in down if t.claim.verdicts[z] == Verdict.DARK}
        )
        words = [f"{geography.zones[z]} is dark" for z in sorted(down)]
        words += [
            f"{geography.zones[i]} does not reach {geography.zones[z]}" for i, z in sorted(parted)
        ]
        why = ", ".join(words) + (f", say {' '.join(accusers[:6])}" if accusers else "")
        return Seen(
            down, fine, frozenset(z for z in zones if (z, z) in reached), parted,
            tuple(self.median(heard, zone, lambda claim: claim.slow) for zone in zones),
            tuple(self.median(heard, zone, lambda claim: claim.good) for zone in zones),
            self.demand(heard, capacity), why,
        )  # fmt: skip

    def median(
        self, heard: list[tuple[str, Heard]], zone: int, of: Callable[[ZoneReport], list[int]]
    ) -> float:
        """Of those that send there."""
        told = [of(h.claim)[zone] / 100 for _, h in heard if h.claim.slow[zone]]
        return statistics.median(told) if told else 1.0

    def demand(
        self, heard: list[tuple[str, Heard]], capacity: Sequence[float]
    ) -> tuple[tuple[float, ...], ...]:
        """Slots that each zone's requests keep busy, by row; no node's word counts for more than
        `LIE`."""
        zones, rows = len(self.geography.zones), self.geography.rows
        most = LIE * sum(capacity) / max(1, len(heard))
        total = [[0.0] * rows for _ in range(zones)]
        for _, told in heard:
            asked = sum(told.claim.demand) / 1000
            part = min(1.0, most / asked) if asked else 0.0
            for row, milli in enumerate(told.claim.demand):
                total[told.zone][row] += part * milli / 1000
        return tuple(tuple(row) for row in total)
