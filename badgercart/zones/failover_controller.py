"""One node's zones: eyes, evidence, gates, plan and council together, and the policy's plain input.
No I/O.

By a plan in force a node sends what the plan says, and what finds no server there may spill over
into the room that the plan has left, its own part of it. Without one it serves near, by its own
eyes, and spills over no more than its part of the blind allowance, which every plan leaves free. A
zone that it sees dark itself it leaves at once, by the same spill.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgspec

from badgercart.cluster.member import Member
from badgercart.cluster.quorum import QuorumState
from badgercart.cluster.swim import Effect as PeersEffect
from badgercart.policy.events import AttemptResult, TrafficPlan
from badgercart.zones.circuit_breaker import Pace, ZoneCircuitBreaker
from badgercart.zones.failure_detector import FORGET, VERDICT_WORDS, Verdict, ZoneFailureDetector
from badgercart.zones.plan_consensus import (
    ASK,
    CHUNKS,
    COMMITS,
    ROUND,
    VOTE,
    InForce,
    Lapsed,
    LeaseSettings,
    PlanConsensus,
    Why,
)
from badgercart.zones.plan_consensus import Effect as CouncilEffect
from badgercart.zones.plan_consensus import RegisterUpdate as CouncilPost
from badgercart.zones.topology import MAX_ZONES, Geography
from badgercart.zones.traffic_plan import PARTS, Limits, Plan, Situation, compute_plan, unpacked
from badgercart.zones.zone_reports import SLOW_FROM, Evidence, Seen, ZoneReport

EYES, ORDERS = "zones.eyes", "zones.orders"  # topics
DRAIN, PIN, RELEASE = WORDS = ("drain", "pin", "release")
LOOK = 100.0  # ms between looks at everything
STEADY = 0.25  # of a rate that is new counts at each claim: a plan must not follow chance
CHANGE = 0.1  # of a row: a plan that moves less is not worth an epoch
MAX_TOLD = 256  # plans that are looked back on
ALIKE = 0.2  # by so much a rate of spilling may change before the policy is told


class Mode(StrEnum):
    MAJORITY = "majority"  # one plan, by more than half of the nodes
    SHARED = "shared"  # each its own, by what all have seen


@dataclass(slots=True, frozen=True)
class FailoverSettings:
    """How plans are made and kept. Times in ms."""

    mode: Mode = Mode.MAJORITY
    limits: Limits = field(default_factory=Limits)
    terms: LeaseSettings = field(default_factory=LeaseSettings)
    pace: Pace = field(default_factory=Pace)
    tell: float = 500.0  # between two claims; at once where a verdict changes
    old: float = 2500.0  # a claim that came so long ago counts for nothing
    blind: float = 0.1  # of a zone's capacity, for all together who go by no plan
    settle: float = 1000.0  # between plans, unless a zone is shut
    per_minute: float = 20.0  # plans
    electorate: int = 1  # nodes that there should be: more than half of them have to agree
    probe_after: float = 2000.0  # a zone that has not answered for so long is asked


@dataclass(slots=True, frozen=True)
class Fleet:
    """What the node's list and policy say now."""

    warm: tuple[float, ...]  # by zone: slots
    cold: tuple[float, ...]  # those of cold servers, by their age
    servers: tuple[int, ...]  # by zone: ready ones
    usual: tuple[float, ...]  # by class: ms of an answer


class OperatorOverride(msgspec.Struct, array_like=True, frozen=True):
    """An operator's word about a zone: `drain` (nothing goes there), `pin` (it stays open) or
    `release`."""

    zone: int
    what: str
    at: int  # Unix ms
    until: int  # Unix ms
    by: str


_orders: Callable[[bytes], tuple[int, list[OperatorOverride]]] = msgspec.msgpack.Decoder(
    tuple[int, list[OperatorOverride]]
).decode


@dataclass(slots=True, frozen=True)
class Told:
    """A change of what is in force, for people."""

    at: float
    epoch: int = 0  # of a plan that is in force from now on
    proposer: str = ""
    why: str = ""
    digest: str = ""
    lapsed: int = 0  # the epoch of one that is not any more
    outdone: int = 0  # the epoch of a proposal of ours that came to nothing
    order: OperatorOverride | None = None  # of an operator


class FailoverController:
    """Told of attempts and requests; `look` every `LOOK` ms. `out` collects what peers have to be
    told."""

    def __init__(
        self,
        member: Member,
        geography: Geography,
        zone: int,
        worths: Sequence[float],
        ways: FailoverSettings,
    ) -> None:
        self.member, self.geography, self.zone = member, geography, zone
        self.worths, self.ways, self.name = tuple(worths), ways, member.name
        self.wall = member.machine.clock.wall
        self.council = PlanConsensus(
            self.name, member.machine.me.boot, ways.terms,
            lambda data: unpacked(data, self.geography), self.wall,
        )  # fmt: skip
        self.settle_map(geography)
        self.out: list[PeersEffect] = []
        nothing = (0.0,) * len(geography.zones)
        self.fleet = Fleet(nothing, nothing, (0,) * len(geography.zones), ())
        self.capacity = nothing  # by zone: slots that the policy may fill
        self.probing: set[int] = set()  # zones that a probe is out to
        self.counts = [0] * geography.rows
        self.demand = [0.0] * geography.rows  # slots that our own requests keep busy
        self.least = 0.0  # ms of an answer at its quickest, forgotten in time; 0: none yet
        self.counted = self.claimed = 0.0
        self.verdicts: tuple[Verdict, ...] = ()
        self.seen: Seen | None = None
        self.situation: Situation | None = None
        self.question: Situation | None = None  # of which a plan is wanted
        self.considered = 0.0  # when one was asked for last
        self.electorate = ways.electorate
        self.own: Plan | None = None  # in force here without a majority, in the mode `shared`
        self.planned_at = float("-inf")
        self.budget = ways.per_minute
        self.budget_at = 0.0
        self.short = False  # of plans this minute
        self.orders: dict[int, OperatorOverride] = {}  # by zone, whoever took them
        self.told: list[Told] = []
        self.unsaid: list[Told] = []
        self.plans = 0  # that were in force here
        self.answering = False  # whether somebody works out the plan of the question
        self.wake: Callable[[], None] = lambda: None  # called when `out` has something
        self.event: TrafficPlan | None = None  # as the policy was told last
        self.listen()

    def listen(self) -> None:
        member = self.member
        member.listen(EYES, self.on_claim)
        member.listen(ORDERS, self.on_orders, urgent=True)
        for topic in (*CHUNKS, *COMMITS, ROUND):
            member.listen(topic, self.hears(topic), urgent=True)
        for topic in (VOTE, ASK):
            member.listen(topic, self.hears(topic), direct=True)

    def settle_map(self, geography: Geography) -> None:
        zones = len(geography.zones)
        self.geography = geography
        self.eyes, self.evidence = ZoneFailureDetector(zones), Evidence(geography)
        self.gates = [ZoneCircuitBreaker(self.ways.pace) for _ in range(zones)]

    def relocate(self, now: float, geography: Geography, zone: int) -> None:
        """Another map from now on: what rests on the old one is void."""
        if geography == self.geography and zone == self.zone:
            return
        self.zone = zone
        self.settle_map(geography)
        self.counts, self.demand = [0] * geography.rows, [0.0] * geography.rows
        self.question = self.own = self.seen = self.situation = None
        self.carry(now, self.council.forget(Why.MAP))

    # What the join tells.

    def sent(self, now: float, zone: int, server: int) -> None:
        if 0 <= zone < len(self.eyes.zones):
            self.eyes.sent(now, zone, server)

    def ended(self, now: float, zone: int, result: AttemptResult, took: float) -> None:
        if 0 <= zone < len(self.eyes.zones):
            self.eyes.ended(now, zone, result, took)

    def probed(self, now: float, zone: int, server: int, answered: bool) -> None:
        self.probing.discard(zone)
        if zone < len(self.eyes.zones):
            self.eyes.probed(now, zone, server, answered)

    def asked(self, cls: int, tenant: int) -> None:
        row = self.geography.row_of(cls, tenant)
        if row < len(self.counts):
            self.counts[row] += 1

    def probes(self, now: float) -> list[int]:
        """Zones that want a probe now; `probed` tells what came of each."""
        there = (
            z
            for z in range(len(self.eyes.zones))
            if self.fleet.servers[z] and z not in self.probing
        )
        wanted = [zone for zone in there if self.eyes.wants_probe(now, zone, self.ways.probe_after)]
        self.probing |= set(wanted)
        return wanted

    # What others say.

    def hears(self, topic: str) -> Callable[[float, str, bytes], None]:
        def hear(now: float, author: str, said: bytes) -> None:
            self.carry(now, self.council.hear(now, author, topic, said))

        return hear

    def on_claim(self, now: float, author: str, said: bytes) -> None:
        belief = self.member.machine.view.beliefs.get(author)
        if author != self.name and belief is not None and belief.claim.zone in self.geography.zones:
            self.evidence.take(author, self.geography.zones.index(belief.claim.zone), said, now)

    def carry(self, now: float, effects: list[CouncilEffect]) -> None:
        for effect in effects:
            if isinstance(effect, CouncilPost):
                self.out += self.member.say(now, effect.topic, effect.said, effect.to)
            elif isinstance(effect, InForce):
                plan, self.plans = effect.plan, self.plans + 1
                self.note(Told(now, effect.epoch, effect.proposer, plan.why, plan.digest.hex()))
            elif isinstance(effect, Lapsed):
                self.note(Told(now, why=effect.why, lapsed=effect.epoch))
            else:
                self.note(Told(now, outdone=effect.epoch))
        if self.out:
            self.wake()

    def note(self, told: Told) -> None:
        self.told.append(told)
        self.unsaid.append(told)
        del self.told[:-MAX_TOLD], self.unsaid[:-MAX_TOLD]

    def news(self) -> list[Told]:
        """What was noted since the last call."""
        told, self.unsaid = self.unsaid, []
        return told

    def lease_left(self, now: float) -> float:
        """ms for which the plan in force holds if it is not renewed."""
        held = self.council.current
        return held.until - now if held is not None else 0.0

    # The look.

    def look(self, now: float, fleet: Fleet) -> TrafficPlan | None:
        """Everything that time brings; what the policy has to be told, None where it knows."""
        self.fleet = fleet
        self.expire()
        self.carry(now, self.council.tick(now))
        self.claim(now)
        standing = self.member.machine.standing()
        self.evidence.keep(standing.live)
        whole = [warm + cold for warm, cold in zip(fleet.warm, fleet.cold, strict=True)]
        self.seen = seen = self.evidence.seen(now, self.ways.old * self.scale, whole)
        # The policy gives a cold server what a warm one of its age's part would have: no more than
        # the load.
        load = min(sum(map(sum, seen.demand)) / max(sum(whole), 1e-9), 1.0)
        self.capacity = tuple(w + c * load for w, c in zip(fleet.warm, fleet.cold, strict=True))
        self.watch_gates(now, seen)
        self.situation = Situation(
            tuple(round(c * g.factor, 3) for c, g in zip(self.capacity, self.gates, strict=True)),
            tuple(round(self.home(zone, seen), 3) for zone in range(len(self.gates))),
            tuple(tuple(round(amount, 3) for amount in rows) for rows in seen.demand),
            seen.parted,
        )
        self.steer(now, standing)
        return self.direct(len(standing.live), standing.may_live)

    def home(self, zone: int, seen: Seen) -> float:
        """Slots that a zone has for its own nodes: all that they reach, unless an operator drains
        it."""
        order = self.orders.get(zone)
        if order is not None and order.what == DRAIN:
            return 0.0
        gate, capacity = self.gates[zone], self.capacity[zone]
        return capacity * (
            max(gate.factor, strength(seen.slow[zone], seen.good[zone]))
            if zone in seen.own
            else gate.factor
        )

    @property
    def scale(self) -> float:
        """How many times less often a member of a large group reports."""
        return self.member.every / self.member.share_ms

    def claim(self, now: float) -> None:
        """Say what we see: at once where a verdict changes, else now and then."""
        eyes = self.eyes
        verdicts = tuple(
            eyes.verdict(now, zone, count) for zone, count in enumerate(self.fleet.servers)
        )
        due = now - self.claimed >= self.ways.tell * self.scale
        if not due and verdicts == self.verdicts:
            return
        self.verdicts, self.claimed = verdicts, now
        passed = now - self.counted
        if passed >= self.ways.tell / 2:
            self.weigh(passed)
            self.counts, self.counted = [0] * len(self.counts), now
        said = msgspec.msgpack.encode(
            ZoneReport(
                self.geography.digest, list(map(int, verdicts)),
                [round(100 * eye.slow) if eye.known(now) else 0 for eye in eyes.zones],
                [round(100 * eye.good) for eye in eyes.zones],
                [round(1000 * amount) for amount in self.demand],
            )
        )  # fmt: skip
        self.evidence.take(self.name, self.zone, said, now)
        self.out += self.member.say(now, EYES, said)

    def weigh(self, passed: float) -> None:
        """How many slots our requests of the last while kept busy. All in all by what answers took
        at their quickest, since what is usual now may be that of a slow zone; the classes beside
        each other as usual."""
        grown = self.least * (1 + min(passed, FORGET) / FORGET)
        self.least = min(grown or self.eyes.mean, self.eyes.mean)
        usual, classes = self.fleet.usual, self.geography.classes
        works = [usual[row % classes] if usual else 1.0 for row in range(len(self.counts))]
        total = sum(count * work for count, work in zip(self.counts, works, strict=True))
        scale = self.least * sum(self.counts) / total if total else 0.0
        for row, count in enumerate(self.counts):
            self.demand[row] += STEADY * (count / passed * works[row] * scale - self.demand[row])

    def watch_gates(self, now: float, seen: Seen) -> None:
        for zone, gate in enumerate(self.gates):
            order = self.orders.get(zone)
            down = zone in seen.down
            if order is not None and order.what in (DRAIN, PIN):
                down = order.what == DRAIN
            gate.tick(now, down, zone in seen.fine, strength(seen.slow[zone], seen.good[zone]))

    # Planning.

    def steer(self, now: float, standing: QuorumState) -> None:
        """Ask for a plan of what is, where that is ours to do: `question`, which `answer` takes
        up."""
        ways, council = self.ways, self.council
        self.budget = min(
            self.budget + (now - self.budget_at) * ways.per_minute / 60_000, ways.per_minute
        )
        self.budget_at = now
        if ways.mode is Mode.MAJORITY:
            self.electorate = max(standing.may_live, ways.electorate)
            if not standing.majority or 2 * len(standing.live) <= self.electorate:
                return
            if council.mine is None and not council.turn(now, standing.live.index(self.name)):
                return
        before = self.proposed
        urgent = before is not None and self.closes(before)
        if self.question is None and (
            urgent or before is None or now - self.considered >= ways.settle / 4
        ):
            self.considered, self.question = now, self.situation

    @property
    def proposed(self) -> Plan | None:
        """What we have others go by, or ourselves where each has a plan of its own."""
        if self.ways.mode is Mode.SHARED:
            return self.own
        return self.council.mine.plan if self.council.mine is not None else None

    def work_out(self, question: Situation) -> Plan:
        """The plan of a situation: a pure function, for another thread where it takes long."""
        why = self.seen.why if self.seen is not None else ""
        return compute_plan(self.geography, question, self.worths, self.ways.limits, why)

    def answer(self, now: float, plan: Plan) -> None:
        """The plan that was asked for: propose it, where it is worth an epoch."""
        self.question, before, self.answering = None, self.proposed, False
        if plan.map != self.geography.digest:
            return
        if before is not None:
            urgent = self.closes(before)
            if not self.worth_it(before, plan) or (
                now - self.planned_at < self.ways.settle and not urgent
            ):
                return
            if self.budget < 1 and not set(plan.lost) > set(before.lost):
                self.short = True  # what is in force stays: it gives less to those that come and go
                return
        self.short = False
        self.budget, self.planned_at = max(self.budget - 1, 0.0), now
        if self.ways.mode is Mode.SHARED:
            self.own = plan
            self.plans += 1  # its number here: there is no epoch in common
            self.note(Told(now, self.plans, self.name, plan.why, plan.digest.hex()))
        else:
            self.carry(now, self.council.propose(now, plan, self.electorate))

    def closes(self, before: Plan) -> bool:
        """Whether a zone or a link has gone that the plan still counts on."""
        assert self.situation is not None
        if any(
            not home and zone not in before.lost for zone, home in enumerate(self.situation.home)
        ):
            return True
        for zone, capacity in enumerate(self.situation.capacity):
            if not capacity and any(
                row[zone]
                for source, rows in enumerate(before.parts)
                if source != zone
                for row in rows
            ):
                return True
        return any(
            row[zone] for source, zone in self.situation.parted for row in before.parts[source]
        )

    def worth_it(self, before: Plan, after: Plan) -> bool:
        if before.lost != after.lost or self.closes(before):
            return True
        return any(
            abs(new - old) > CHANGE * PARTS
            for rows_before, rows_after in zip(before.parts, after.parts, strict=True)
            for row_before, row_after in zip(rows_before, rows_after, strict=True)
            for old, new in zip(row_before, row_after, strict=True)
        )

    # The policy's input.

    @property
    def plan(self) -> Plan | None:
        """What this node goes by now."""
        if self.ways.mode is Mode.SHARED:
            return self.own
        return self.council.current.plan if self.council.current is not None else None

    def direct(self, live: int, may_live: int) -> TrafficPlan | None:
        """What the policy has to be told; None where it knows."""
        plan, zones = self.plan, range(len(self.geography.zones))
        service = (
            max(self.eyes.mean, 1.0) if self.least else 100.0
        )  # ms that an attempt keeps a slot
        lost = {zone for zone in zones if self.verdicts[zone] is Verdict.DARK}
        lost |= {zone for zone, order in self.orders.items() if order.what == DRAIN}
        if plan is not None:
            shares = plan.shares(self.zone)
            lost |= set(plan.lost)
            spill = [milli / 1000 / max(live, 1) / service for milli in plan.room]
        else:
            home = tuple(1.0 if zone == self.zone else 0.0 for zone in zones)
            shares = (home,) * self.geography.rows
            blind = self.ways.blind / max(may_live, 1) / service
            spill = [blind * capacity for capacity in self.capacity]
        event = TrafficPlan(
            shares, tuple(0.0 if zone in lost else round(rate, 6) for zone, rate in enumerate(spill)),
            frozenset(lost), self.geography.bound_tenants, self.strain(),
        )  # fmt: skip
        if self.event is not None and same(self.event, event):
            return None
        self.event = event
        return event

    def strain(self) -> tuple[float, ...]:
        """By zone: how much of its part it is spared, since it is slow to us and the plan may not
        know yet.

        In fifths, so that the policy hears of changes only."""
        found = []
        for eye, gate in zip(self.eyes.zones, self.gates, strict=True):
            can = strength(eye.slow, eye.good)
            found.append(round(5 * (1 - min(1.0, can / max(gate.factor, 1e-9)))) / 5)
        return tuple(found) if any(found) else ()

    # For operators.

    def page(self, now: float) -> dict[str, Any]:
        """All of it, as plain data."""
        names, held, plan, seen = self.geography.zones, self.council.current, self.plan, self.seen
        zones = [
            {
                "zone": name,
                "region": self.geography.regions[zone],
                "seen": VERDICT_WORDS[self.verdicts[zone]] if self.verdicts else "unknown",
                "gate": self.gates[zone].state.value,
                "open": round(self.gates[zone].factor, 3),
                "capacity": round(self.capacity[zone], 2),
                "demand": round(sum(seen.demand[zone]), 2) if seen is not None else 0.0,
                "slow": round(seen.slow[zone], 2) if seen is not None else 1.0,
                "share": [row[zone] for row in self.event.shares] if self.event is not None else [],
                "order": self.orders[zone].what if zone in self.orders else "",
            }
            for zone, name in enumerate(names)
        ]
        return {
            "name": self.name,
            "zone": names[self.zone],
            "mode": self.ways.mode.value,
            "map": self.geography.digest,
            "epoch": held.ballot.epoch if held is not None else 0,
            "proposer": held.proposer if held is not None else "",
            "plan": plan.digest.hex() if plan is not None else "",
            "why": plan.why if plan is not None else "",
            "lease_ms": round(self.lease_left(now)),
            "short": self.short,
            "zones": zones,
            "parts": [list(map(list, rows)) for rows in plan.parts] if plan is not None else [],
            "changes": [self.worded(told) for told in self.told[-32:]],
        }

    def worded(self, told: Told) -> dict[str, Any]:
        plain: dict[str, Any] = {"at_ms": round(told.at), "why": told.why}
        if told.order is not None:
            name = self.geography.zones[told.order.zone]
            return plain | {"order": f"{told.order.what} {name}", "by": told.order.by}
        epochs = {"epoch": told.epoch, "lapsed": told.lapsed, "outdone": told.outdone}
        plain |= {key: epoch for key, epoch in epochs.items() if epoch}
        return plain | ({"proposer": told.proposer, "plan": told.digest} if told.epoch else {})

    def if_gone(self) -> dict[str, Any]:
        """What would happen if a zone went now, by the live evidence: how full the others would be,
        and what part of all requests would be refused."""
        found: dict[str, Any] = {}
        if self.situation is None:
            return found
        now = self.situation
        total = sum(map(sum, now.demand))
        for zone, name in enumerate(self.geography.zones):
            gone = Situation(
                tuple(0.0 if z == zone else c for z, c in enumerate(now.capacity)),
                tuple(0.0 if z == zone else h for z, h in enumerate(now.home)),
                now.demand,
                now.parted,
            )
            loads, refused = loads_of(self.work_out(gone), now.demand)
            full = {
                other: round(load / capacity, 3)
                for other, load, capacity in zip(
                    self.geography.zones, loads, gone.home, strict=True
                )
                if capacity
            }
            found[name] = {"full": full, "refused": round(refused / total, 3) if total else 0.0}
        return found

    def on_orders(self, now: float, author: str, said: bytes) -> None:
        try:
            digest, orders = _orders(said)
        except msgspec.MsgspecError:
            self.evidence.turned_away += 1
            return
        if digest == self.geography.digest:
            for order in orders[:MAX_ZONES]:
                if 0 <= order.zone < len(self.geography.zones) and order.what in WORDS:
                    self.obey(order)

    def obey(self, order: OperatorOverride) -> None:
        before = self.orders.get(order.zone)
        if before is None or (order.at, order.by) > (before.at, before.by):
            self.orders[order.zone] = order
            self.note(Told(self.member.machine.now, order=order))

    def expire(self) -> None:
        """Words whose time is over hold no longer."""
        now = self.wall()
        for zone in [zone for zone, order in self.orders.items() if order.until <= now]:
            del self.orders[zone]


def loads_of(plan: Plan, demand: Sequence[Sequence[float]]) -> tuple[list[float], float]:
    """How many slots a plan fills in each zone by such a demand, and how many requests' slots it
    refuses."""
    loads, refused = [0.0] * len(demand), 0.0
    for rows, asked in zip(plan.parts, demand, strict=True):
        for parts, amount in zip(rows, asked, strict=True):
            refused += amount * (1 - sum(parts) / PARTS)
            for zone, part in enumerate(parts):
                loads[zone] += amount * part / PARTS
    return loads, refused


def strength(slow: float, good: float) -> float:
    """What its answers say that a zone can do, of its capacity."""
    return min(1.0, good / (slow if slow >= SLOW_FROM else 1.0))


def same(one: TrafficPlan, other: TrafficPlan) -> bool:
    """Whether two inputs differ by a little in their rates of spilling at most."""
    if (one.shares, one.lost_zones, one.planned_tenants, one.zone_strain) != (
        other.shares,
        other.lost_zones,
        other.planned_tenants,
        other.zone_strain,
    ):
        return False
    return all(
        abs(a - b) <= ALIKE * max(a, b)
        for a, b in zip(one.spillover_rates, other.spillover_rates, strict=True)
    )
