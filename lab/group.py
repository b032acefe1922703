"""A group of membership machines in virtual time: loss, delay, duplication, reordering, cuts and
pauses.

The machines are those that run in a node; the network between them is a table of directed links.
Figures that need hundreds of nodes come from here, as do the tests of orders that real processes
would not meet twice.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from badgercart.cluster.codec import Codec, Packet
from badgercart.cluster.membership_table import MembershipRecord, Status
from badgercart.cluster.quorum import Level
from badgercart.cluster.swim import (
    Changed,
    Conflict,
    Effect,
    Paused,
    Posted,
    SendTo,
    SwimProtocol,
    SyncWith,
    Timing,
)
from badgercart.config import Address

LOOK = 20.0  # ms between looks at whether to go on
WALL = 1_700_000_000_000.0  # Unix ms as a day begins


@dataclass(slots=True)
class Links:
    """What befalls datagrams and connections on the way."""

    low: float = 0.2  # ms one way
    high: float = 2.0
    loss: float = 0.0
    twice: float = 0.0  # share of datagrams that come twice
    reorder: float = 0.0  # share that takes so much longer that others overtake it
    cut: set[tuple[str, str]] = field(default_factory=set)  # directed pairs that nothing passes


@dataclass(slots=True)
class Seen:
    """A change of a view."""

    at: float
    observer: str
    name: str
    status: Status
    word: str


class Group:
    """Machines by name, and all that is on its way between them."""

    def __init__(
        self, count: int, seed: int = 1, timing: Timing | None = None, links: Links | None = None,
        expected: int = 1, join: bool = True,
    ) -> None:  # fmt: skip
        self.random = random.Random(f"{seed} network")
        self.seed, self.timing, self.expected = seed, timing or Timing(), expected
        self.links = links or Links()
        self.codec = Codec("lab", b"a secret of the lab alone")
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = self.boots = 0
        self.machines: dict[str, SwimProtocol] = {}
        self.up: dict[str, bool] = {}
        self.paused: dict[str, list[tuple[Packet, Address, bool]]] = {}
        self.slow: dict[str, float] = {}  # ms by which a node is late with everything
        self.addresses: dict[Address, str] = {}
        self.seen: list[Seen] = []
        self.posted: list[tuple[float, str, Posted]] = []
        self.conflicts: list[tuple[str, Conflict]] = []
        self.pauses: list[tuple[str, Paused]] = []
        self.bytes: Counter[str] = Counter()
        self.largest = 0
        self.doubter = ""  # who was found to disagree at the last look
        self.asked_views = 0  # looks at one node's view
        self.topics: tuple[str, ...] = ("test",)
        for number in range(count):
            self.add(f"n{number}", number, join)

    # Nodes.

    def add(self, name: str, number: int, join: bool = True, wall: float = WALL) -> SwimProtocol:
        """A process under a name, also one that had it before."""
        self.boots += 1
        address = (f"127.{number >> 8}.{number & 255}.1", 7946)
        me = MembershipRecord(
            name,
            0,
            Status.ALIVE,
            address,
            int(wall + self.now) * 1024 + self.boots,
            f"z{number % 3}",
            "r",
        )
        seeds = [("127.0.0.1", 7946), ("127.0.1.1", 7946)] if join else []
        rng = random.Random(f"{self.seed} {name} {self.boots}")
        machine = SwimProtocol(me, self.timing, seeds, rng, wall, self.expected)
        for topic in self.topics:
            machine.board.follow(topic)
        self.machines[name], self.up[name], self.addresses[address] = machine, True, name
        self.run_effects(name, machine.start(self.now))
        self.arm(name)
        return machine

    def kill(self, name: str) -> None:
        self.up[name] = False

    def restart(self, name: str, wall: float = WALL) -> SwimProtocol:
        """The same name on the same address, with nothing that it knew."""
        number = list(self.machines).index(name)
        return self.add(name, number, True, wall)

    def pause(self, name: str) -> None:
        """As SIGSTOP does: what comes waits in the sockets."""
        self.paused[name] = []

    def wake(self, name: str) -> None:
        waiting = self.paused.pop(name)
        machine = self.machines[name]
        self.run_effects(name, machine.tick(self.now))
        for packet, source, _ in waiting[-200:]:  # a socket's buffer holds only so much
            self.run_effects(name, machine.receive(self.now, packet, source))
        self.arm(name)

    def split(self, *parts: list[str]) -> None:
        """Cut these parts from each other, both ways."""
        for one in parts:
            for other in parts:
                if one is not other:
                    self.links.cut |= {(a, b) for a in one for b in other}

    def heal(self) -> None:
        self.links.cut.clear()

    # The network.

    def at(self, time: float, what: Callable[..., None], *arguments: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (time, self.count, what, arguments))

    def arm(self, name: str) -> None:
        machine = self.machines[name]
        self.at(max(machine.due, self.now) + self.slow.get(name, 0.0), self.ring, name, machine)

    def ring(self, name: str, machine: SwimProtocol) -> None:
        if self.machines[name] is not machine or not self.up[name] or name in self.paused:
            return
        if machine.due <= self.now:
            self.run_effects(name, machine.tick(self.now))
            self.arm(name)

    def way(self) -> float:
        links = self.links
        return self.random.uniform(links.low, links.high) * (
            20 if self.random.random() < links.reorder else 1
        )

    def run_effects(self, name: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendTo):
                self.datagram(name, effect.address, effect.packet)
            elif isinstance(effect, SyncWith):
                self.sync(name, effect.address, effect.packet)
            elif isinstance(effect, Changed):
                told = effect.now
                self.seen.append(Seen(self.now, name, told.claim.name, told.status, told.word))
            elif isinstance(effect, Posted):
                self.posted.append((self.now, name, effect))
            elif isinstance(effect, Conflict):
                self.conflicts.append((name, effect))
            else:
                self.pauses.append((name, effect))

    def datagram(self, name: str, address: Address, packet: Packet) -> None:
        size = len(self.codec.encode(packet))
        self.largest = max(self.largest, size)
        self.bytes[name] += size
        to = self.addresses.get(address)
        if to is None or (name, to) in self.links.cut or self.random.random() < self.links.loss:
            return
        source = self.machines[name].me.address
        for _ in range(2 if self.random.random() < self.links.twice else 1):
            self.at(
                self.now + self.way() + self.slow.get(to, 0.0), self.deliver, to, packet, source
            )

    def deliver(self, to: str, packet: Packet, source: Address) -> None:
        if not self.up[to]:
            return
        if to in self.paused:
            self.paused[to].append((packet, source, False))
            return
        self.run_effects(to, self.machines[to].receive(self.now, packet, source))
        self.rearm(to)

    def rearm(self, name: str) -> None:
        machine = self.machines[name]
        if machine.due <= self.now:
            self.arm(name)

    def sync(self, name: str, address: Address, packet: Packet) -> None:
        to = self.addresses.get(address)
        if to is None or (name, to) in self.links.cut or (to, name) in self.links.cut:
            return
        self.at(self.now + self.way(), self.asked, name, self.machines[name], to, packet)

    def asked(self, name: str, asking: SwimProtocol, to: str, packet: Packet) -> None:
        if not self.up[to] or to in self.paused or self.machines[name] is not asking:
            return
        answer, effects = self.machines[to].answer_sync(self.now, packet, asking.me.address)
        self.bytes[name] += len(self.codec.encode(packet))
        self.bytes[to] += len(self.codec.encode(answer))
        self.run_effects(to, effects)
        self.rearm(to)
        self.at(self.now + self.way(), self.deliver, name, answer, self.machines[to].me.address)

    def run(self, until: float, stop: Callable[[], bool] | None = None) -> float:
        """Let time pass to `until` ms, or until `stop` holds, which is looked at now and then; the
        time."""
        look = 0.0
        while self.queue and self.queue[0][0] <= until:
            at, _, what, arguments = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            what(*arguments)
            if stop is not None and self.now >= look:
                if stop():
                    return self.now
                look = self.now + LOOK
        self.now = max(self.now, until)
        return self.now

    # What the views say.

    def statuses(self, observer: str) -> dict[str, Status]:
        return {name: b.status for name, b in self.machines[observer].view.beliefs.items()}

    def agreed(self) -> bool:
        """Whether all that run take each other, and nobody else, for alive."""
        names = [name for name, up in self.up.items() if up and name not in self.paused]
        running = set(names)
        # Who disagreed at the last look mostly still does; a look at all views costs members times
        # members.
        first = names.index(self.doubter) if self.doubter in running else 0
        for name in names[first:] + names[:first]:
            self.asked_views += 1
            beliefs = self.machines[name].view.beliefs.values()
            if {b.claim.name for b in beliefs if b.status is Status.ALIVE} != running:
                self.doubter = name
                return False
        return True

    def buried(self, name: str) -> bool:
        """Whether all that run take one for dead."""
        views = [self.machines[other].view.beliefs for other, up in self.up.items() if up]
        return all(name in beliefs and beliefs[name].status is Status.DEAD for beliefs in views)

    def level(self, name: str) -> Level:
        return self.machines[name].standing().level
