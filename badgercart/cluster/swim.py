"""The membership of a group as a machine: events with their time in, effects out. No I/O.

SWIM's probes, suspicion and dissemination with Lifeguard's mends, push-pull for joins and for
healing, and what tells a restart from two processes of one name. Times are ms on a clock of the
node's own; the driver calls `tick` when `due` says so.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from badgercart.cluster.broadcast_queue import Queue
from badgercart.cluster.codec import (
    MTU,
    Ack,
    Behind,
    Body,
    Gossip,
    Nack,
    Packet,
    Ping,
    PingReq,
    Sync,
    Window,
    size_of,
    size_of_post,
)
from badgercart.cluster.gossip_registers import GossipRegisters
from badgercart.cluster.hybrid_logical_clock import HybridClock, Stamp
from badgercart.cluster.membership_table import (
    MAX_MEMBERS,
    MembershipRecord,
    MembershipTable,
    MemberState,
    Status,
    refuting,
)
from badgercart.cluster.quorum import QuorumState, standing
from badgercart.cluster.suspicion import CONFIRMATIONS, Health, Suspicion, shortest
from badgercart.config import Address

ROOM = MTU - 200  # bytes for what a packet carries beside its head and body
MAX_QUEUE = 4 * MAX_MEMBERS  # items that wait to be passed on
MAX_WINDOWS = 2 * MAX_MEMBERS  # processes whose serials are remembered
MAX_RIVALS = 8  # other processes of our name that are remembered
MAX_RELAYED = 1024  # probes on behalf of others that are out


@dataclass(slots=True, frozen=True)
class Timing:
    """The protocol's times, in ms, and its counts."""

    period: float = 1000.0  # between two probes
    patience: float = 500.0  # for an answer before others are asked
    indirect: int = 3  # members that are asked then
    gossip_every: float = 200.0
    fanout: int = 3  # members that gossip goes to
    suspicion: float = 4.0  # periods of the shortest suspicion, for each power of ten of members
    longest: float = 6.0  # times the shortest: a suspicion that nobody confirms
    sync_every: float = 30_000.0  # between push-pulls with a random member
    retry_every: float = (
        2000.0  # between tries to reach a dead member, or a seed while nobody is in reach
    )
    remember: float = 600_000.0  # a dead member may live for so long, and is tried again
    expect: float = (
        60_000.0  # for so long from its start on a node goes by how many it was told that there are
    )


# Effects.


@dataclass(slots=True, frozen=True)
class SendTo:
    """Send a datagram."""

    address: Address
    packet: Packet


@dataclass(slots=True, frozen=True)
class SyncWith:
    """Open a connection, send the packet, and give the machine what comes back."""

    address: Address
    packet: Packet


@dataclass(slots=True, frozen=True)
class Changed:
    """A belief has changed."""

    before: MemberState | None
    now: MemberState


@dataclass(slots=True, frozen=True)
class Posted:
    """A post that is news."""

    topic: str
    author: str
    number: int
    said: bytes


@dataclass(slots=True, frozen=True)
class Conflict:
    """Another process has our name; whether we stand back for it."""

    boot: int
    stands_back: bool


@dataclass(slots=True, frozen=True)
class Paused:
    """The node stood still for so long (ms): what it believed is old."""

    gap: float


Effect = SendTo | SyncWith | Changed | Posted | Conflict | Paused


@dataclass(slots=True)
class Probe:
    """The member that is probed now."""

    name: str
    number: int
    nacks: int = 0  # that came
    asked: int = 0  # members that were asked
    answered: bool = False


class SwimProtocol:
    """One member. Every call gives what to do; `due` is when the next `tick` is wanted."""

    def __init__(
        self,
        me: MembershipRecord,
        timing: Timing,
        seeds: Iterable[Address],
        rng: random.Random,
        wall_offset: float = 0.0,  # Unix ms at the time 0 of the node's clock
        expected: int = 1,  # how many the group should have, where nothing has been seen yet
    ) -> None:
        self.me, self.timing, self.random, self.expected = me, timing, rng, expected
        self.seeds = [seed for seed in seeds if seed != me.address]
        self.now = self.began = 0.0
        self.offset = wall_offset
        self.clock = HybridClock(lambda: self.now + self.offset)
        self.view, self.board, self.queue = MembershipTable(), GossipRegisters(), Queue(MAX_QUEUE)
        self.health = Health()
        self.suspicions: dict[str, Suspicion] = {}
        self.ring: list[str] = []  # whom to probe, in a shuffled order
        self.probe: Probe | None = None
        self.relayed: dict[
            int, tuple[Address, int]
        ] = {}  # probes for others: who asked, by which number
        self.windows: dict[tuple[str, int], Window] = {}
        self.rivals: dict[int, int] = {}  # by process: the incarnation that it was first heard at
        self.stands_back = False
        self.leaving = False
        self.healing = False  # a push-pull is due with one that was taken for dead
        self.unsure = False  # since a pause, until somebody has told what is
        self.serial = self.number = 0
        self.effects: list[Effect] = []
        self.timers: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.timer_count = 0
        self.merge(me, me.name)
        self.effects.clear()

    # Time.

    @property
    def due(self) -> float:
        return self.timers[0][0] if self.timers else math.inf

    def after(self, delay: float, what: Callable[[Any], None], argument: Any = None) -> None:
        self.timer_count += 1
        heapq.heappush(self.timers, (self.now + delay, self.timer_count, what, argument))

    def start(self, now: float) -> list[Effect]:
        self.now = self.began = now
        timing, jitter = self.timing, self.random.random
        self.after(timing.period * jitter(), self.probe_next)
        self.after(timing.gossip_every * jitter(), self.gossip)
        self.after(timing.retry_every * (0.5 + 0.5 * jitter()), self.retry)
        self.after(timing.sync_every * (0.5 + 0.5 * jitter()), self.sync_some)
        if self.seeds:
            self.sync_with(self.random.choice(self.seeds))
        return self.done()

    def tick(self, now: float) -> list[Effect]:
        """Do what is due. A tick that comes far too late means that the node stood still, not the
        others."""
        late = now - self.due
        if late > self.pause_limit:
            self.woke(now, late)
        self.now = max(self.now, now)
        while self.timers and self.timers[0][0] <= self.now:
            _, _, what, argument = heapq.heappop(self.timers)
            what(argument)
        return self.done()

    @property
    def pause_limit(self) -> float:
        return 2 * self.timing.period

    def woke(self, now: float, gap: float) -> None:
        """Its own silence is no proof against anybody: every wait begins again where it stopped."""
        self.timers = [
            (at + gap, count, what, argument) for at, count, what, argument in self.timers
        ]
        heapq.heapify(self.timers)
        for suspicion in self.suspicions.values():
            suspicion.since += gap
        self.now, self.probe, self.unsure = now, None, True
        self.health.change(1)
        self.effects.append(Paused(gap))
        if (member := self.some(1)) or self.seeds:
            self.sync_with(member[0].claim.address if member else self.random.choice(self.seeds))

    def done(self) -> list[Effect]:
        told, self.effects = self.effects, []
        return told

    # What is known.

    def standing(self) -> QuorumState:
        """What the node can count on now."""
        # At first no more than the file's word tells how many there are; in time what was seen
        # does.
        expected = self.expected if self.now - self.began < self.timing.expect else 1
        nobody = self.stands_back or self.unsure or self.leaving
        return standing(self.view, self.me.name, self.now, self.timing.remember, expected, nobody)

    def live(self) -> list[MemberState]:
        """Others that are alive or only suspected."""
        return [
            b for b in self.view.of(Status.ALIVE, Status.SUSPECT) if b.claim.name != self.me.name
        ]

    def some(self, count: int, without: str = "") -> list[MemberState]:
        return self.view.draw(
            count, self.random, (self.me.name, without) if without else (self.me.name,)
        )

    # Claims.

    def merge(self, claim: MembershipRecord, word: str) -> None:
        """Take over a claim, and pass on what is news."""
        if claim.name == self.me.name and claim.rank != self.me.rank:
            self.on_own_name(claim)
            return
        known = self.view.beliefs.get(claim.name)
        if known is None and claim.status in (Status.DEAD, Status.LEFT):
            return  # else those forgotten would come back with every push-pull
        suspicion = self.suspicions.get(claim.name)
        if (
            suspicion is not None
            and claim.status is Status.SUSPECT
            and claim.incarnation == suspicion.incarnation
            and suspicion.confirm(claim.by)
        ):
            self.after(max(0.0, suspicion.until - self.now), self.suspicion_over, claim.name)
            self.pass_on(claim)
        if (told := self.view.merge(claim, self.now, word)) is None:
            return
        before, now = told
        self.suspicions.pop(claim.name, None)
        if claim.status is Status.SUSPECT:
            self.begin_suspicion(claim)
        elif claim.status is Status.ALIVE and before is None and claim.name != self.me.name:
            self.ring.insert(self.random.randint(0, len(self.ring)), claim.name)
        self.pass_on(claim)
        self.effects.append(Changed(before, now))
        if before is not None and before.status is Status.DEAD and claim.status is Status.ALIVE:
            self.on_return(claim)

    def on_return(self, claim: MembershipRecord) -> None:
        """One of the dead lives: what was cut off is back, and knows more than gossip is sure to
        bring."""
        if not self.healing:
            self.healing = True
            self.after(self.random.random() * self.timing.retry_every, self.heal, claim.address)

    def heal(self, address: Address) -> None:
        self.healing = False
        self.sync_with(address)

    def pass_on(self, claim: MembershipRecord) -> None:
        self.queue.put(("claim", claim.name, claim.by), claim, size_of(claim))

    def on_own_name(self, claim: MembershipRecord) -> None:
        """What others say of us: refuted, unless a process has our name with better right."""
        if claim.rank <= self.me.rank:
            return  # what we were before a restart, or said ourselves
        if claim.boot != self.me.boot:
            self.on_rival(claim)
            if self.stands_back:
                return
        if self.leaving:
            return
        if claim.boot == self.me.boot and claim.status is not Status.ALIVE:
            self.health.change(1)  # Lifeguard: who is accused may be unwell itself
        self.me = refuting(self.me, claim.incarnation)
        self.view.merge(self.me, self.now, self.me.name)
        self.pass_on(self.me)

    def on_rival(self, claim: MembershipRecord) -> None:
        """Another process has our name: what we were before a restart, or one that answers us."""
        if claim.status in (Status.DEAD, Status.LEFT):
            if self.rivals.pop(claim.boot, None) is not None:
                self.stands_back = False
            return
        first = self.rivals.get(claim.boot)
        if first is None:
            if len(self.rivals) < MAX_RIVALS:
                self.rivals[claim.boot] = claim.incarnation
            return
        if claim.incarnation > first and not self.stands_back:
            back = claim.boot > self.me.boot  # it began later
            self.effects.append(Conflict(claim.boot, back))
            if back:  # outdone once more, so that the other hears of us too
                self.me = refuting(self.me, claim.incarnation)
                self.pass_on(self.me)
            self.stands_back = back

    def begin_suspicion(self, claim: MembershipRecord) -> None:
        members = len(self.view.reach) + (self.me.name not in self.view.places)
        least = shortest(members, self.timing.period, self.timing.suspicion)
        wanted = min(CONFIRMATIONS, max(0, members - 2))
        suspicion = Suspicion(
            claim.incarnation, self.now, least, least * self.timing.longest, wanted
        )
        suspicion.confirm(claim.by)
        self.suspicions[claim.name] = suspicion
        self.after(suspicion.until - self.now, self.suspicion_over, claim.name)

    def suspicion_over(self, name: str) -> None:
        suspicion, belief = self.suspicions.get(name), self.view.beliefs.get(name)
        if suspicion is None or belief is None or self.now < suspicion.until:
            return
        self.merge(replace(belief.claim, status=Status.DEAD, by=self.me.name), self.me.name)

    def suspect(self, name: str) -> None:
        belief = self.view.beliefs.get(name)
        if belief is not None and belief.status in (Status.ALIVE, Status.SUSPECT):
            self.merge(replace(belief.claim, status=Status.SUSPECT, by=self.me.name), self.me.name)

    def leave(self, now: float) -> list[Effect]:
        """Say goodbye to some; they pass it on."""
        self.now, self.leaving = max(self.now, now), True
        self.me = replace(self.me, status=Status.LEFT)
        self.view.merge(self.me, self.now, self.me.name)
        self.pass_on(self.me)
        for belief in self.some(2 * self.timing.fanout):
            self.send(belief.claim.address, Gossip())
        return self.done()

    # Packets out.

    def packet(
        self, body: Body, claims: tuple[MembershipRecord, ...] = (), posts: tuple[Any, ...] = ()
    ) -> Packet:
        self.serial += 1
        me, stamp = self.me, self.clock.tick()
        return Packet(me.name, me.boot, me.incarnation, self.serial, stamp, body, claims, posts)

    def send(
        self,
        address: Address,
        body: Body,
        about: MembershipRecord | None = None,
        posts: tuple[Any, ...] = (),
    ) -> None:
        """A datagram with what it has room for of the queue; `about` goes first (Lifeguard's
        buddies)."""
        room, first = ROOM - sum(map(size_of_post, posts)), []
        if about is not None:
            room -= size_of(about)
            first.append(about)
        items = self.queue.take(room, len(self.view.beliefs))
        claims = first + [item for item in items if isinstance(item, MembershipRecord)]
        posts += tuple(item for item in items if not isinstance(item, MembershipRecord))
        self.effects.append(SendTo(address, self.packet(body, tuple(claims), posts)))

    def everything(self) -> Packet:
        """One side of a push-pull."""
        claims = [claim for claim in self.view.claims() if claim.name != self.me.name]
        return self.packet(Sync(), (*claims, self.me), tuple(self.board.posts.values()))

    def sync_with(self, address: Address) -> None:
        self.effects.append(SyncWith(address, self.everything()))

    # Rounds.

    def gossip(self, _: Any) -> None:
        self.after(self.timing.gossip_every, self.gossip)
        self.spread()

    def spread(self) -> None:
        """Pass on what waits, to some."""
        if len(self.queue):
            for belief in self.some(self.timing.fanout):
                if not len(self.queue):
                    break
                self.send(belief.claim.address, Gossip())

    def sync_some(self, _: Any) -> None:
        # As memberlist has it: else the push-pulls of a large group would grow with it, each
        # larger, too.
        scale = max(1.0, math.log2(max(len(self.view.beliefs), 1) / 32) + 1)
        self.after(self.timing.sync_every * scale, self.sync_some)
        for belief in self.some(1):
            self.sync_with(belief.claim.address)

    def retry(self, _: Any) -> None:
        """Try one of the dead again, and a seed that is not in reach; forget those dead for
        long."""
        self.after(self.timing.retry_every * (0.5 + self.random.random()), self.retry)
        gone = [self.view.beliefs[name] for name in self.view.gone]
        over = [b.claim.name for b in gone if self.now - b.since >= self.timing.remember]
        for name in over:
            if name != self.me.name:
                self.view.forget(name)
        if over:
            self.board.forget(over)
        dead = [b for b in gone if b.status is Status.DEAD and b.claim.name not in over]
        # Groups that formed apart know nothing of each other: a seed that is not with us may be
        # with them.
        if targets := [seed for seed in self.seeds if seed not in self.view.addresses]:
            self.sync_with(self.random.choice(targets))
        elif self.unsure:
            for belief in self.some(1):
                self.sync_with(belief.claim.address)
        if dead:
            belief = self.random.choice(dead)
            self.send(belief.claim.address, Ping(self.next_number()), belief.claim)

    def next_number(self) -> int:
        self.number += 1
        return self.number

    def probe_next(self, _: Any) -> None:
        """The end of one period and the beginning of the next."""
        if self.probe is not None:
            self.judge(self.probe)
        self.probe = None
        self.after(self.health.scaled(self.timing.period), self.probe_next)
        while (name := self.next_in_ring()) is not None:
            belief = self.view.beliefs.get(name)
            if (
                belief is None
                or belief.status not in (Status.ALIVE, Status.SUSPECT)
                or name == self.me.name
            ):
                continue
            self.probe = Probe(name, self.next_number())
            about = belief.claim if belief.status is Status.SUSPECT else None
            self.send(belief.claim.address, Ping(self.probe.number), about)
            self.after(self.health.scaled(self.timing.patience), self.ask_others, self.probe)
            return

    def next_in_ring(self) -> str | None:
        """Every member once in a round, in an order that is drawn anew for each (SWIM, section
        4.3)."""
        if not self.ring:
            self.ring = [belief.claim.name for belief in self.live()]
            self.random.shuffle(self.ring)
        return self.ring.pop() if self.ring else None

    def ask_others(self, probe: Probe) -> None:
        belief = self.view.beliefs.get(probe.name)
        if probe is not self.probe or probe.answered or belief is None:
            return
        host, port = belief.claim.address
        helpers = self.some(self.timing.indirect, without=probe.name)
        probe.asked = len(helpers)
        for helper in helpers:
            request = PingReq(probe.number, probe.name, host, port, self.timing.patience * 0.8)
            self.send(helper.claim.address, request)

    def judge(self, probe: Probe) -> None:
        """Whether the probed member answered, and what its silence says of us."""
        if probe.answered:
            self.health.change(-1)
            return
        # Those asked who did not even say no are a sign that it is we who are cut off.
        self.health.change(probe.asked - probe.nacks if probe.asked else 1)
        self.suspect(probe.name)

    # Packets in.

    def receive(self, now: float, packet: Packet, source: Address) -> list[Effect]:
        """Take a packet, unless it was taken before."""
        if now - self.due > self.pause_limit:
            self.woke(now, now - self.due)
        self.now = max(self.now, now)
        self.clock.hear(packet.stamp)
        if packet.sender == self.me.name and packet.boot == self.me.boot:
            return []  # our own, come back
        window = self.windows.get((packet.sender, packet.boot))
        if window is None:
            if len(self.windows) >= MAX_WINDOWS:
                self.windows.pop(next(iter(self.windows)))
            window = self.windows[packet.sender, packet.boot] = Window()
        if not window.take(packet.serial):
            return []
        if not isinstance(packet.body, Sync) and not self.current(packet, source):
            return self.done()
        for claim in packet.claims:
            self.merge(claim, packet.sender)
        urgent = False
        for post in packet.posts:
            if self.board.merge(post):
                self.effects.append(Posted(*post))
                if post[0] not in self.board.direct:
                    self.queue.put(("post", post[0], post[1]), post, size_of_post(post))
                    urgent = urgent or post[0] in self.board.urgent
        self.handle(packet.body, packet, source)
        if urgent:
            self.spread()
        return self.done()

    def current(self, packet: Packet, source: Address) -> bool:
        """Whether the sender speaks by its last incarnation; one that does not is told so, and no
        more."""
        if packet.sender == self.me.name:
            self.on_own_name(replace(self.me, incarnation=packet.incarnation, boot=packet.boot))
            return False
        belief = self.view.beliefs.get(packet.sender)
        if belief is None:
            return True
        known = belief.claim
        if (packet.incarnation, packet.boot) < (known.incarnation, known.boot):
            self.effects.append(SendTo(source, self.packet(Behind(known.incarnation, known.boot))))
            return False
        if belief.status is not Status.ALIVE and packet.incarnation == known.incarnation:
            # It speaks, and does not know what is said of it.
            self.send(source, Gossip(), known)
        return True

    def handle(self, body: Body, packet: Packet, source: Address) -> None:
        if isinstance(body, Ping):
            self.send(source, Ack(body.number))
        elif isinstance(body, PingReq):
            self.on_ping_req(body, source)
        elif isinstance(body, Ack):
            self.on_ack(body)
        elif isinstance(body, Nack):
            if self.probe is not None and body.number == self.probe.number:
                self.probe.nacks += 1
        elif isinstance(body, Behind):
            if (body.incarnation, body.boot) > (self.me.incarnation, self.me.boot):
                self.on_own_name(replace(self.me, incarnation=body.incarnation, boot=body.boot))
        elif isinstance(body, Sync):
            self.unsure = False

    def on_ping_req(self, body: PingReq, source: Address) -> None:
        if len(self.relayed) >= MAX_RELAYED:
            return
        number = self.next_number()
        self.relayed[number] = source, body.number
        self.send((body.host, body.port), Ping(number))
        self.after(min(body.patience, self.timing.period), self.relay_over, number)

    def relay_over(self, number: int) -> None:
        if (asked := self.relayed.pop(number, None)) is not None:
            self.send(asked[0], Nack(asked[1]))

    def on_ack(self, body: Ack) -> None:
        if self.probe is not None and body.number == self.probe.number:
            self.probe.answered = True
        elif (asked := self.relayed.pop(body.number, None)) is not None:
            self.send(asked[0], Ack(asked[1]))

    def answer_sync(
        self, now: float, packet: Packet, source: Address
    ) -> tuple[Packet, list[Effect]]:
        """The other side of a push-pull: what goes back, and what follows."""
        told = self.receive(now, packet, source)
        return self.everything(), told

    # What others want carried.

    def post(self, now: float, topic: str, number: int, said: bytes) -> list[Effect]:
        """Have every node told; a higher number takes the place of what was posted before."""
        self.now = max(self.now, now)
        post = (topic, self.me.name, number, said)
        if self.board.merge(post):
            self.queue.put(("post", topic, self.me.name), post, size_of_post(post))
            if topic in self.board.urgent:
                self.spread()
        return self.done()

    def tell(self, now: float, name: str, topic: str, number: int, said: bytes) -> list[Effect]:
        """Have one member told, now; whether it comes is not known."""
        self.now = max(self.now, now)
        belief = self.view.beliefs.get(name)
        if belief is not None:
            self.send(belief.claim.address, Gossip(), posts=((topic, self.me.name, number, said),))
        return self.done()

    def stamp(self) -> Stamp:
        """For an event of this node's own."""
        return self.clock.tick()
