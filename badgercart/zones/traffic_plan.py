"""The plan: which part of each zone's traffic goes to which zone. A pure function of the evidence.
No I/O.

Water-filling by worth and by nearness: classes in the order of their worth, and each first at home
up to the head-room, then to the nearest zones that have room below theirs, then at home up to the
full, then to others up to the full; what is left stays at home, where the measured cut refuses it;
where home is gone others take it up to all that they can do, and the rest is refused. So what can't
be carried is refused as the lowest worth, before it crosses zones. How near it comes to a linear
programme, and what either costs, says
`benchmarks/zones.py`.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

from badgercart.zones.topology import Geography

# that a row is dealt out in: a plan is whole numbers, the same bit by bit wherever it is read
PARTS = 240
ROUNDS = 4  # of dealing what is over at one distance
LEAST = 1e-6  # slots that a row without traffic counts for: it has to go somewhere when it comes
MAX_BODY = 64 * 1024  # bytes of a plan, unpacked


class PlanError(Exception):
    """Bytes that are no plan of this geography: what is wrong."""


@dataclass(slots=True, frozen=True)
class Limits:
    """How full zones are planned to be, as parts of their capacity."""

    head: float = 0.8  # by what is near, while others have room
    full: float = 0.9  # in all; the rest is left to those who go by no plan
    most: float = (
        1.0  # where else what has no home would be refused: a measured cut knows better than a plan
    )


@dataclass(slots=True, frozen=True)
class Situation:
    """What a plan rests on."""

    capacity: tuple[float, ...]  # by zone: slots that count for others, 0 where it is shut
    home: tuple[float, ...]  # and for its own nodes: a zone that was cut off is not strange to them
    demand: tuple[tuple[float, ...], ...]  # by zone and row: slots kept busy
    parted: frozenset[tuple[int, int]] = frozenset()  # links that carry nothing


@dataclass(slots=True, frozen=True)
class Plan:
    """Parts of `PARTS` by source, row and zone; what a row leaves of them is refused."""

    map: int  # digest of the geography
    parts: tuple[tuple[tuple[int, ...], ...], ...]
    room: tuple[int, ...]  # by zone: thousandths of a slot that the plan leaves of `full`
    lost: tuple[int, ...]  # zones that nobody counts on
    why: str = ""
    digest: bytes = field(init=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "digest", hashlib.blake2b(self.body(), digest_size=8).digest())

    def body(self) -> bytes:
        rows = [
            [[zone, part] for zone, part in enumerate(row) if part]
            for rows in self.parts
            for row in rows
        ]
        return msgspec.msgpack.encode((self.map, rows, self.room, self.lost, self.why))

    def shares(self, source: int) -> tuple[tuple[float, ...], ...]:
        """What the nodes of a zone do, by row and zone."""
        return tuple(tuple(part / PARTS for part in row) for row in self.parts[source])


def packed(plan: Plan) -> bytes:
    return zlib.compress(plan.body())


_Body = tuple[int, list[list[tuple[int, int]]], list[int], list[int], str]
_body: Callable[[bytes], _Body] = msgspec.msgpack.Decoder(_Body).decode


def unpacked(data: bytes, geography: Geography) -> Plan:
    """Raises PlanError, with nothing taken."""
    try:
        unpacker = zlib.decompressobj()
        body = unpacker.decompress(data, MAX_BODY)
        if unpacker.unconsumed_tail or not unpacker.eof:
            raise PlanError(f"is cut off, or over {MAX_BODY} bytes")
        digest, rows, room, lost, why = _body(body)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise PlanError(str(error)) from None
    zones, height = len(geography.zones), geography.rows
    if digest != geography.digest:
        raise PlanError("is of another geography")
    if len(rows) != zones * height or len(room) != zones or len(why) > 400:
        raise PlanError(f"is of {len(rows)} rows, there are {zones * height}")
    if any(not 0 <= zone < zones for zone in lost) or any(milli < 0 for milli in room):
        raise PlanError("names a zone that there is not, or room below nothing")
    made = []
    for number, told in enumerate(rows):
        row = [0] * zones
        for zone, part in told:
            if not 0 <= zone < zones or part <= 0 or row[zone]:
                raise PlanError(f"row {number} has no such part: zone {zone}, {part}")
            if not geography.may(number % height, number // height, zone):
                raise PlanError(f"row {number} leaves its region")
            row[zone] = part
        if sum(row) > PARTS:
            raise PlanError(f"row {number} gives {sum(row)} of {PARTS} parts")
        made.append(tuple(row))
    parts = tuple(tuple(made[source * height : (source + 1) * height]) for source in range(zones))
    return Plan(digest, parts, tuple(room), tuple(lost), why)


def compute_plan(
    geography: Geography,
    situation: Situation,
    worths: Sequence[float],
    limits: Limits,
    why: str = "",
) -> Plan:
    """The plan for a situation; `worths` are those of the classes."""
    filling = Filling(geography, situation, limits)
    order = sorted(range(geography.rows), key=lambda row: (-worths[row % geography.classes], -row))
    for row in order:
        filling.place(row)
    room = tuple(
        max(0, int(1000 * (limits.full * min(c, home) - load)))
        for c, home, load in zip(situation.capacity, situation.home, filling.load, strict=True)
    )
    lost = tuple(zone for zone, home in enumerate(situation.home) if home <= 0)
    parts = tuple(
        tuple(whole_parts(filling.placed[source][row], filling.asked[source][row])
              for row in range(geography.rows))
        for source in range(len(geography.zones))
    )  # fmt: skip
    return Plan(geography.digest, parts, room, lost, why[:400])


def whole_parts(placed: Sequence[float], asked: float) -> tuple[int, ...]:
    """Shares as whole parts of PARTS, by the largest remainders; ties go to the lower zone."""
    shares = [PARTS * amount / asked for amount in placed]
    parts = [int(share + 1e-9) for share in shares]
    over = min(round(sum(shares) + 1e-9), PARTS) - sum(parts)
    ranked = sorted(range(len(parts)), key=lambda zone: (parts[zone] - shares[zone], zone))
    for zone in [zone for zone in ranked if shares[zone] > 0][: max(over, 0)]:
        parts[zone] += 1
    return tuple(parts)


class Filling:
    """Zones as they fill up."""

    def __init__(self, geography: Geography, situation: Situation, limits: Limits) -> None:
        self.geography, self.situation, self.limits = geography, situation, limits
        self.zones = range(len(geography.zones))
        self.load = [0.0] * len(self.zones)
        self.visitors = [0.0] * len(self.zones)  # of the load, what comes from elsewhere
        self.asked = [[max(amount, LEAST) for amount in rows] for rows in situation.demand]
        self.placed = [[[0.0] * len(self.zones) for _ in rows] for rows in situation.demand]
        far = {cost for row in geography.cost for cost in row if cost > 0}
        self.distances = sorted(far)

    def place(self, row: int) -> None:
        """All sources' requests of one row."""
        left, limits = [rows[row] for rows in self.asked], self.limits
        for limit in (limits.head, limits.full, limits.most):
            for source in self.zones:
                left[source] -= self.at_home(source, row, left[source], limit)
            for distance in self.distances:
                self.deal(row, left, distance, limit)
        for source in self.zones:
            if self.has_home(source):
                self.add(source, row, source, self.stays(source, left[source]))

    def has_home(self, source: int) -> bool:
        return self.situation.home[source] > 0 and (source, source) not in self.situation.parted

    def room(self, zone: int, limit: float) -> float:
        """Slots that are left for others."""
        return max(0.0, limit * self.situation.capacity[zone] - self.load[zone])

    def at_home(self, source: int, row: int, amount: float, limit: float) -> float:
        """Place as much at home as there is room for; how much."""
        if (source, source) in self.situation.parted:
            return 0.0
        fits = min(amount, max(0.0, limit * self.situation.home[source] - self.load[source]))
        self.add(source, row, source, fits)
        return fits

    def stays(self, source: int, left: float) -> float:
        """What stays at home of what fits nowhere: the measured cut refuses what is too much. Only
        where others' requests, of more worth, take the place is it refused ahead, as much as they
        take."""
        over = self.load[source] + left - self.limits.most * self.situation.home[source]
        return left - min(left, max(over, 0.0), self.visitors[source])

    def add(self, source: int, row: int, zone: int, amount: float) -> None:
        self.placed[source][row][zone] += amount
        self.load[zone] += amount
        if source != zone:
            self.visitors[zone] += amount

    def reach(self, row: int, distance: float, source: int) -> Iterator[int]:
        """Zones at a distance that the requests of a row may go to."""
        for zone in self.zones:
            if zone == source or self.geography.cost[source][zone] != distance:
                continue
            if (
                self.geography.may(row, source, zone)
                and (source, zone) not in self.situation.parted
            ):
                yield zone

    def deal(self, row: int, left: list[float], distance: float, limit: float) -> None:
        """Deal out what is left to zones at one distance, by their room, and to none more than it
        has."""
        for _ in range(ROUNDS):
            asks: dict[int, list[tuple[int, float]]] = {}
            for source in self.zones:
                if left[source] <= LEAST / 100 or (
                    limit > self.limits.full and self.has_home(source)
                ):
                    continue  # up to all that others can do goes only what has no home
                rooms = [
                    (zone, self.room(zone, limit)) for zone in self.reach(row, distance, source)
                ]
                total = sum(room for _, room in rooms)
                for zone, room in rooms:
                    if room > 0:
                        asks.setdefault(zone, []).append((source, left[source] * room / total))
            if not asks:
                return
            for zone, asked in sorted(asks.items()):
                scale = min(1.0, self.room(zone, limit) / sum(amount for _, amount in asked))
                for source, amount in asked:
                    self.add(source, row, zone, amount * scale)
                    left[source] -= amount * scale
