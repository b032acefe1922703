"""A simulated cluster in virtual time, with a network that loses, delays and reorders datagrams.

The membership protocols are those of real nodes. This module serves measurements that need
hundreds of nodes, and tests of message orders that real processes could not reproduce.
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

STOP_CHECK_INTERVAL_MS = 20.0  # between checks of the stop condition of `run`
START_UNIX_MS = 1_700_000_000_000.0  # wall clock at virtual time 0
SOCKET_BUFFER_PACKETS = 200  # that are kept while a process is paused
REORDERED_DELAY_FACTOR = 20  # of a datagram that others overtake
SEEDS: tuple[Address, ...] = (("127.0.0.1", 7946), ("127.0.1.1", 7946))


@dataclass(slots=True)
class NetworkConditions:
    """Delays and faults of the network. Shares are between 0 and 1."""

    min_delay_ms: float = 0.2  # one way
    max_delay_ms: float = 2.0
    loss_share: float = 0.0
    duplicate_share: float = 0.0
    reorder_share: float = 0.0  # of messages, delayed so much that others overtake them
    cut_links: set[tuple[str, str]] = field(default_factory=set)  # directed pairs of node names


@dataclass(slots=True)
class ObservedChange:
    """A change in the membership table of one node."""

    at_ms: float
    observer: str
    name: str
    status: MemberStatus
    reporter: str


class SimulatedCluster:
    """Membership protocols by node name, and the messages between them. Times are in ms.

    Args:
        count: Number of nodes at the start, named n0, n1 and so on.
        seed: Seed of all random draws.
        timing: Timing of the protocols.
        links: Conditions of the network.
        expected: Cluster size that the nodes are configured with.
        join: Whether the nodes have seed addresses through which they join.
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
        self.paused: dict[str, list[tuple[Packet, Address]]] = {}  # received since
        self.delays_ms: dict[str, float] = {}  # by which timers and datagrams of a node are late
        self.addresses: dict[Address, str] = {}
        self.changes: list[ObservedChange] = []
        self.register_changes: list[tuple[float, str, RegisterChanged]] = []
        self.conflicts: list[tuple[str, NameConflict]] = []
        self.pauses: list[tuple[str, ProcessPaused]] = []
        self.bytes_sent: Counter[str] = Counter()
        self.largest_datagram_bytes = 0
        self.last_disagreeing = ""  # node that disagreed at the last check
        self.tables_compared = 0
        self.topics: tuple[str, ...] = ("test",)
        for number in range(count):
            self.add(f"n{number}", number, join)

    # Nodes.

    def add(
        self, name: str, number: int, join: bool = True, wall: float = START_UNIX_MS
    ) -> SwimProtocol:
        """Start a process of a node, which may replace an earlier one of the same name."""
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
        """Stop a process at once."""
        self.up[name] = False

    def restart(self, name: str, wall: float = START_UNIX_MS) -> SwimProtocol:
        """Start a new process of a node, with the same address but without any state."""
        number = list(self.protocols).index(name)
        return self.add(name, number, True, wall)

    def pause(self, name: str) -> None:
        """Pause a process as SIGSTOP does: received packets wait in its socket buffers."""
        self.paused[name] = []

    def resume(self, name: str) -> None:
        """Continue a paused process."""
        waiting = self.paused.pop(name)
        protocol = self.protocols[name]
        self.run_effects(name, protocol.tick(self.now))
        for packet, source in waiting[-SOCKET_BUFFER_PACKETS:]:
            self.run_effects(name, protocol.receive(self.now, packet, source))
        self.arm(name)

    def split(self, *parts: list[str]) -> None:
        """Partition the network into these parts, in both directions."""
        for one in parts:
            for other in parts:
                if one is not other:
                    self.network.cut_links |= {(a, b) for a in one for b in other}

    def heal(self) -> None:
        """Restore all links."""
        self.network.cut_links.clear()

    # The network.

    def schedule(self, time: float, action: Callable[..., None], *arguments: Any) -> None:
        """Schedule an action at a time."""
        self.event_count += 1
        heapq.heappush(self.scheduled, (time, self.event_count, action, arguments))

    def arm(self, name: str) -> None:
        """Schedule the next timer of a node's protocol."""
        protocol = self.protocols[name]
        due_ms = max(protocol.due_ms, self.now) + self.delays_ms.get(name, 0.0)
        self.schedule(due_ms, self.tick, name, protocol)

    def tick(self, name: str, protocol: SwimProtocol) -> None:
        """Run a node's timer, unless it belongs to an earlier process or was rescheduled."""
        if self.protocols[name] is not protocol or not self.up[name] or name in self.paused:
            return
        if protocol.due_ms <= self.now:
            self.run_effects(name, protocol.tick(self.now))
            self.arm(name)

    def one_way_delay_ms(self) -> float:
        """Draw the delay of the next message."""
        network = self.network
        delay_ms = self.random.uniform(network.min_delay_ms, network.max_delay_ms)
        return delay_ms * (
            REORDERED_DELAY_FACTOR if self.random.random() < network.reorder_share else 1
        )

    def run_effects(self, name: str, effects: list[Effect]) -> None:
        """Carry out the effects of a node's protocol, and record its notifications."""
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
        """Record a notification of a node's protocol."""
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
        """Send a datagram under the conditions of the network."""
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
        """Deliver a packet to a node, or keep it while the node is paused."""
        if not self.up[to]:
            return
        if to in self.paused:
            self.paused[to].append((packet, source))
            return
        self.run_effects(to, self.protocols[to].receive(self.now, packet, source))
        self.rearm(to)

    def rearm(self, name: str) -> None:
        """Schedule a node's timer if its protocol became due at once."""
        if self.protocols[name].due_ms <= self.now:
            self.arm(name)

    def start_sync(self, name: str, address: Address, packet: Packet) -> None:
        """Send the request of a push-pull over a connection, which loses no messages."""
        to = self.addresses.get(address)
        cut_links = self.network.cut_links
        if to is None or (name, to) in cut_links or (to, name) in cut_links:
            return
        arrival = self.now + self.one_way_delay_ms()
        self.schedule(arrival, self.answer_sync, name, self.protocols[name], to, packet)

    def answer_sync(self, name: str, asking: SwimProtocol, to: str, packet: Packet) -> None:
        """Answer a push-pull if both processes are still running."""
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
        """Run until a time, or until `stop` returns True, and return the time reached.

        `stop` is called at most once in `STOP_CHECK_INTERVAL_MS`.
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

    # The views of the nodes.

    def statuses(self, observer: str) -> dict[str, MemberStatus]:
        """Return the status of each member in the table of one node."""
        states = self.protocols[observer].table.members
        return {name: state.status for name, state in states.items()}

    def agreed(self) -> bool:
        """Return whether all running nodes consider exactly the running nodes alive."""
        names = [name for name, up in self.up.items() if up and name not in self.paused]
        running = set(names)
        # Start with the node that disagreed at the last check, because it usually still does, and
        # checking all tables takes time quadratic in the number of members.
        first = names.index(self.last_disagreeing) if self.last_disagreeing in running else 0
        for name in names[first:] + names[:first]:
            self.tables_compared += 1
            states = self.protocols[name].table.members.values()
            if {s.record.name for s in states if s.status is MemberStatus.ALIVE} != running:
                self.last_disagreeing = name
                return False
        return True

    def all_declared_dead(self, name: str) -> bool:
        """Return whether all running nodes consider a node dead."""
        tables = [self.protocols[other].table.members for other, up in self.up.items() if up]
        return all(name in states and states[name].status is MemberStatus.DEAD for states in tables)

    def quorum_level(self, name: str) -> QuorumLevel:
        """Return the quorum level as one node sees it."""
        return self.protocols[name].quorum().level
