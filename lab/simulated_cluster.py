"""A cluster in virtual time: loss, delay, duplication, reordering, cuts and pauses.

The membership protocols are those that run in a node; the network between them is a table of
directed links. Figures that need hundreds of nodes come from here, as do the tests of orders that
real processes would not meet twice.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from badgercart.cluster.codec import PacketCodec
from badgercart.cluster.effects import (
    Effect,
    MemberChanged,
    NameConflict,
    ProcessPaused,
    RegisterChanged,
    SendDatagram,
    StartSync,
)
from badgercart.cluster.membership_table import MembershipRecord, MemberStatus
from badgercart.cluster.messages import Packet
from badgercart.cluster.quorum import QuorumLevel
from badgercart.cluster.swim import SwimProtocol
from badgercart.cluster.timing import Bootstrap, SwimTiming
from badgercart.config import Address

STOP_CHECK_INTERVAL_MS = 20.0  # between checks whether to go on
START_UNIX_MS = 1_700_000_000_000.0  # the wall clock at the virtual time 0
SOCKET_BUFFER_PACKETS = 200  # that a paused process finds as it goes on
SLOW_FACTOR = 20  # by which a reordered datagram takes longer
SEEDS: tuple[Address, ...] = (("127.0.0.1", 7946), ("127.0.1.1", 7946))


@dataclass(slots=True)
class NetworkConditions:
    """What happens to datagrams and connections on the way. Shares are 0 to 1."""

    min_delay_ms: float = 0.2  # one way
    max_delay_ms: float = 2.0
    loss_share: float = 0.0
    duplicate_share: float = 0.0
    reorder_share: float = 0.0  # of datagrams so slow that others overtake them
    cut_links: set[tuple[str, str]] = field(default_factory=set)  # directed pairs of names


@dataclass(slots=True)
class ObservedChange:
    """A change of one node's membership table."""

    at_ms: float
    observer: str
    name: str
    status: MemberStatus
    reporter: str


class SimulatedCluster:
    """Membership protocols by name, and all that is on its way between them. Times are ms.

    Args:
        count: nodes n0, n1, ... that are there from the start.
        seed: of all chance.
        timing: of the protocols.
        links: the network.
        expected: the size of the cluster that nodes are told.
        join: whether nodes have seeds.
    """

    def __init__(
        self,
        count: int,
        seed: int = 1,
        timing: SwimTiming | None = None,
        links: NetworkConditions | None = None,
        expected: int = 1,
        join: bool = True,
    ) -> None:
        self.random = random.Random(f"{seed} network")
        self.seed, self.timing, self.expected = seed, timing or SwimTiming(), expected
        self.network = links or NetworkConditions()
        self.codec = PacketCodec("lab", b"a secret of the lab alone")
        self.now = 0.0
        self.scheduled: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.event_count = self.started_processes = 0
        self.protocols: dict[str, SwimProtocol] = {}
        self.up: dict[str, bool] = {}
        self.paused: dict[str, list[tuple[Packet, Address]]] = {}  # what came meanwhile
        self.delays_ms: dict[str, float] = {}  # by which a node is late with everything
        self.addresses: dict[Address, str] = {}
        self.changes: list[ObservedChange] = []
        self.register_changes: list[tuple[float, str, RegisterChanged]] = []
        self.conflicts: list[tuple[str, NameConflict]] = []
        self.pauses: list[tuple[str, ProcessPaused]] = []
        self.bytes_sent: Counter[str] = Counter()
        self.largest_datagram_bytes = 0
        self.last_disagreeing = ""  # a node that did not agree at the last check
        self.tables_compared = 0
        self.topics: tuple[str, ...] = ("test",)
        for number in range(count):
            self.add(f"n{number}", number, join)

    # Nodes.

    def add(
        self, name: str, number: int, join: bool = True, wall: float = START_UNIX_MS
    ) -> SwimProtocol:
        """Start a process under a name, also one that had it before."""
        self.started_processes += 1
        address = (f"127.{number >> 8}.{number & 255}.1", 7946)
        generation = int(wall + self.now) * 1024 + self.started_processes
        alive, zone = MemberStatus.ALIVE, f"z{number % 3}"
        me = MembershipRecord(name, 0, alive, address, generation, zone, "r")
        bootstrap = Bootstrap(SEEDS if join else (), self.expected)
        rng = random.Random(f"{self.seed} {name} {self.started_processes}")
        protocol = SwimProtocol(me, self.timing, bootstrap, rng, wall)
        for topic in self.topics:
            protocol.registers.declare(topic)
        self.protocols[name], self.up[name], self.addresses[address] = protocol, True, name
        self.run_effects(name, protocol.start(self.now))
        self.arm(name)
        return protocol

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.up[name] = False

    def restart(self, name: str, wall: float = START_UNIX_MS) -> SwimProtocol:
        """Start a process of the same name and address, which knows nothing."""
        number = list(self.protocols).index(name)
        return self.add(name, number, True, wall)

    def pause(self, name: str) -> None:
        """Stop a process as SIGSTOP does: what comes waits in its sockets."""
        self.paused[name] = []

    def resume(self, name: str) -> None:
        """Have a paused process go on."""
        waiting = self.paused.pop(name)
        protocol = self.protocols[name]
        self.run_effects(name, protocol.tick(self.now))
        for packet, source in waiting[-SOCKET_BUFFER_PACKETS:]:
            self.run_effects(name, protocol.receive(self.now, packet, source))
        self.arm(name)

    def split(self, *parts: list[str]) -> None:
        """Cut these parts from each other, both ways."""
        for one in parts:
            for other in parts:
                if one is not other:
                    self.network.cut_links |= {(a, b) for a in one for b in other}

    def heal(self) -> None:
        """Mend all links."""
        self.network.cut_links.clear()

    # The network.

    def schedule(self, time: float, action: Callable[..., None], *arguments: Any) -> None:
        """Have something happen at a time."""
        self.event_count += 1
        heapq.heappush(self.scheduled, (time, self.event_count, action, arguments))

    def arm(self, name: str) -> None:
        """Set a node's timer to what its protocol wants next."""
        protocol = self.protocols[name]
        due_ms = max(protocol.due_ms, self.now) + self.delays_ms.get(name, 0.0)
        self.schedule(due_ms, self.tick, name, protocol)

    def tick(self, name: str, protocol: SwimProtocol) -> None:
        """Ring a node's timer, unless it is of an earlier process or not wanted any more."""
        if self.protocols[name] is not protocol or not self.up[name] or name in self.paused:
            return
        if protocol.due_ms <= self.now:
            self.run_effects(name, protocol.tick(self.now))
            self.arm(name)

    def one_way_delay_ms(self) -> float:
        """Return how long the next message takes."""
        network = self.network
        delay_ms = self.random.uniform(network.min_delay_ms, network.max_delay_ms)
        return delay_ms * (SLOW_FACTOR if self.random.random() < network.reorder_share else 1)

    def run_effects(self, name: str, effects: list[Effect]) -> None:
        """Carry out what a node's protocol asks for, and keep what it tells."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self.send_datagram(name, effect.address, effect.packet)
            elif isinstance(effect, StartSync):
                self.start_sync(name, effect.address, effect.packet)
            else:
                self.record(name, effect)

    def record(
        self, name: str, effect: MemberChanged | RegisterChanged | NameConflict | ProcessPaused
    ) -> None:
        """Keep what a node's protocol tells."""
        if isinstance(effect, MemberChanged):
            state = effect.after
            change = ObservedChange(self.now, name, state.record.name, state.status, state.reporter)
            self.changes.append(change)
        elif isinstance(effect, RegisterChanged):
            self.register_changes.append((self.now, name, effect))
        elif isinstance(effect, NameConflict):
            self.conflicts.append((name, effect))
        else:
            self.pauses.append((name, effect))

    def send_datagram(self, name: str, address: Address, packet: Packet) -> None:
        """Send a datagram by the conditions of the network."""
        size_bytes = len(self.codec.encode(packet))
        self.largest_datagram_bytes = max(self.largest_datagram_bytes, size_bytes)
        self.bytes_sent[name] += size_bytes
        to, network = self.addresses.get(address), self.network
        if to is None or (name, to) in network.cut_links:
            return
        if self.random.random() < network.loss_share:
            return
        source = self.protocols[name].local_record.address
        for _ in range(2 if self.random.random() < network.duplicate_share else 1):
            arrival = self.now + self.one_way_delay_ms() + self.delays_ms.get(to, 0.0)
            self.schedule(arrival, self.deliver_packet, to, packet, source)

    def deliver_packet(self, to: str, packet: Packet, source: Address) -> None:
        """Have a node receive a packet, or keep it while the node is paused."""
        if not self.up[to]:
            return
        if to in self.paused:
            self.paused[to].append((packet, source))
            return
        self.run_effects(to, self.protocols[to].receive(self.now, packet, source))
        self.rearm(to)

    def rearm(self, name: str) -> None:
        """Set a node's timer again if something is due at once."""
        if self.protocols[name].due_ms <= self.now:
            self.arm(name)

    def start_sync(self, name: str, address: Address, packet: Packet) -> None:
        """Send one side of a push-pull, over a connection that no loss meets."""
        to = self.addresses.get(address)
        cut_links = self.network.cut_links
        if to is None or (name, to) in cut_links or (to, name) in cut_links:
            return
        arrival = self.now + self.one_way_delay_ms()
        self.schedule(arrival, self.answer_sync, name, self.protocols[name], to, packet)

    def answer_sync(self, name: str, asking: SwimProtocol, to: str, packet: Packet) -> None:
        """Answer a push-pull, if both sides still run."""
        if not self.up[to] or to in self.paused or self.protocols[name] is not asking:
            return
        answer, effects = self.protocols[to].answer_sync(
            self.now, packet, asking.local_record.address
        )
        self.bytes_sent[name] += len(self.codec.encode(packet))
        self.bytes_sent[to] += len(self.codec.encode(answer))
        self.run_effects(to, effects)
        self.rearm(to)
        arrival = self.now + self.one_way_delay_ms()
        source = self.protocols[to].local_record.address
        self.schedule(arrival, self.deliver_packet, name, answer, source)

    def run(self, until: float, stop: Callable[[], bool] | None = None) -> float:
        """Let time pass to `until`, or until `stop` holds, which is checked now and then.

        Returns the time.
        """
        next_check = 0.0
        while self.scheduled and self.scheduled[0][0] <= until:
            at, _, action, arguments = heapq.heappop(self.scheduled)
            self.now = max(self.now, at)
            action(*arguments)
            if stop is not None and self.now >= next_check:
                if stop():
                    return self.now
                next_check = self.now + STOP_CHECK_INTERVAL_MS
        self.now = max(self.now, until)
        return self.now

    # What the nodes know.

    def statuses(self, observer: str) -> dict[str, MemberStatus]:
        """Return the status of each member by one node's table."""
        states = self.protocols[observer].table.members
        return {name: state.status for name, state in states.items()}

    def agreed(self) -> bool:
        """Return whether all that run take each other, and nobody else, for alive."""
        names = [name for name, up in self.up.items() if up and name not in self.paused]
        running = set(names)
        # A node that disagreed at the last check mostly still does; to check all tables costs the
        # square of the members.
        first = names.index(self.last_disagreeing) if self.last_disagreeing in running else 0
        for name in names[first:] + names[:first]:
            self.tables_compared += 1
            states = self.protocols[name].table.members.values()
            if {s.record.name for s in states if s.status is MemberStatus.ALIVE} != running:
                self.last_disagreeing = name
                return False
        return True

    def all_declared_dead(self, name: str) -> bool:
        """Return whether all that run take a node for dead."""
        tables = [self.protocols[other].table.members for other, up in self.up.items() if up]
        return all(name in states and states[name].status is MemberStatus.DEAD for states in tables)

    def quorum_level(self, name: str) -> QuorumLevel:
        """Return the quorum level by one node's knowledge."""
        return self.protocols[name].quorum().level
