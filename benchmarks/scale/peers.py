"""HollowCluster nodes that know each other, many to a process: what one of them bears as the group grows.

The protocol, its uses and the codec are those of a node; only sockets and clocks are not. Each
datagram is encoded by who sends it and decoded by who gets it; the processor's time is that of
protocol, uses and codec alone, without the network that is played between them. Times in a group are
virtual, the processor's real.
"""

from __future__ import annotations

import gc
import json
import os
import random
import statistics
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Executor, ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, replace
from multiprocessing import get_context

from badgercart.cluster.codec import MAX_SYNC_BYTES, MTU_BYTES, PacketCodec
from badgercart.cluster.effects import Effect, RegisterChanged
from badgercart.cluster.gossip_registers import RegisterUpdate
from badgercart.cluster.hybrid_logical_clock import HybridTimestamp
from badgercart.cluster.member import ClusterMember
from badgercart.cluster.membership_table import MembershipRecord, MemberStatus
from badgercart.cluster.messages import Gossip, Packet, Sync
from badgercart.cluster.quota_sharing import USAGE_TOPIC, QuotaSharing
from badgercart.cluster.swim import SwimProtocol
from badgercart.cluster.timing import Bootstrap, SwimTiming
from badgercart.config import Address
from benchmarks.scale.fit import doublings
from benchmarks.scale.report import Series
from lab.simulated_cluster import START_UNIX_MS, SimulatedCluster

SHARE_MS = 500.0  # between two reports of use in a small group, as the settings have it
BUSY = 10  # tenants that a node has requests of between two reports
LONG = 600_000.0  # ms of a group in which it must agree
STEP = 1000.0  # ms between looks at whether news is still on its way
LEAST_REST = 60_000.0  # ms of a group at rest over which it is measured
SIZES = (40, 1024)  # nodes, without reports of use
WITH_USE = (40, 320)  # nodes, each with reports of use of `TENANTS`
TENANTS = 10
OVER_TENANTS = (8, 64)  # of `NODES` nodes; a node reports of 64 at most
NODES = 80
MEMBERS = (64, 4096)  # that one node knows by itself; it takes no more
AGAIN = 5  # times that a step of one node is taken
SEEDS = (
    3  # of groups under `MANY` nodes; larger ones, and those with reports of use, are played once
)
MANY = 200
NO_TIME = HybridTimestamp(0, 0)
MOST_AT_ONCE = 4  # groups, each in a process of its own: one of 1,024 takes a GB


@dataclass(slots=True, frozen=True)
class Mark:
    """What all nodes have borne until a moment."""

    at: float  # ms of the group's time
    spent: int  # ns of the processor
    looked: int
    bytes_out: Counter[str]
    bytes_in: Counter[str]
    messages: Counter[str]


class HollowCluster(SimulatedCluster):
    """A cluster whose packets go as bytes, with what each node bears counted."""

    def __init__(
        self, count: int, tenants: int = 0, seed: int = 1, timing: SwimTiming | None = None
    ) -> None:
        self.spent = 0  # ns of protocol, uses and codec
        self.messages: Counter[str] = Counter()
        self.bytes_in: Counter[str] = Counter()
        self.members: dict[str, ClusterMember] = {}
        self.tenants = tenants
        super().__init__(count, seed, timing, expected=count)
        self.topics = (USAGE_TOPIC,) if tenants else ()
        for name, protocol in self.protocols.items():
            if tenants:
                member = ClusterMember(protocol, [100.0] * tenants, SHARE_MS, ("shares",))
                self.members[name] = member
                self.schedule(self.random.random() * SHARE_MS, self.report, name, member)

    @contextmanager
    def metered(self) -> Iterator[None]:
        """Count the processor's time of what is done within."""
        since = time.thread_time_ns()
        try:
            yield
        finally:
            self.spent += time.thread_time_ns() - since

    def acquaint(self) -> None:
        """Have all know all, as after a push-pull with one who knew them."""
        records = tuple(protocol.local_record for protocol in self.protocols.values())
        me = records[0]
        for protocol in list(self.protocols.values())[1:]:
            serial = self.protocols[me.name].sender.next_sequence()
            packet = Packet(me.name, me.generation, 0, serial, NO_TIME, Sync(), records)
            protocol.receive(self.now, packet, me.address)
            protocol.sender.queue.clear()  # it is no news to anybody
        first = self.protocols[me.name]
        for record in records:
            first.membership.merge(record, me.name)
        first.sender.queue.clear()

    # A node's steps, each as bytes in and bytes out.

    def tick(self, name: str, protocol: SwimProtocol) -> None:
        """Ring a node's timer."""
        if self.protocols[name] is not protocol or not self.up[name] or protocol.due_ms > self.now:
            return
        with self.metered():
            effects = protocol.tick(self.now)
        self.run_effects(name, effects)
        self.arm(name)

    def report(self, name: str, member: ClusterMember) -> None:
        """Do one round of reports as `ClusterComponent` does, and set the next."""
        if self.protocols[name] is not member.protocol or not self.up[name]:
            return
        for tenant in self.random.sample(range(self.tenants), min(BUSY, self.tenants)):
            member.quota_sharing.count_request(tenant)
        with self.metered():
            effects = member.publish(self.now, USAGE_TOPIC, member.quota_sharing.report(self.now))
            member.view_change(self.now)
            every = member.report_interval_ms
        self.run_effects(name, effects)
        self.schedule(self.now + every, self.report, name, member)

    def run_effects(self, name: str, effects: list[Effect]) -> None:
        """Carry out effects, with registers' changes given to the member."""
        member = self.members.get(name)
        for effect in effects:
            if isinstance(effect, RegisterChanged) and member is not None:
                with self.metered():
                    member.receive(self.now, effect)
        super().run_effects(
            name, [effect for effect in effects if not isinstance(effect, RegisterChanged)]
        )

    def encoded(self, name: str, packet: Packet) -> bytes:
        """Return the bytes of a packet, counted for who sends it."""
        with self.metered():
            data = self.codec.encode(packet)
        self.bytes_sent[name] += len(data)
        self.messages[name] += 1
        return data

    def send_datagram(self, name: str, address: Address, packet: Packet) -> None:
        """Send a datagram, which always arrives."""
        data = self.encoded(name, packet)
        to = self.addresses.get(address)
        if to is not None:
            source = self.protocols[name].local_record.address
            self.schedule(
                self.now + self.one_way_delay_ms(), self.received, to, data, source, MTU_BYTES
            )

    def received(self, to: str, data: bytes, source: Address, most: int) -> None:
        """Have a node receive some bytes."""
        if not self.up[to]:
            return
        self.bytes_in[to] += len(data)
        with self.metered():
            effects = self.protocols[to].receive(self.now, self.codec.decode(data, most), source)
        self.run_effects(to, effects)
        self.rearm(to)

    def start_sync(self, name: str, address: Address, packet: Packet) -> None:
        """Send one side of a push-pull."""
        to = self.addresses.get(address)
        if to is not None:
            self.schedule(
                self.now + self.one_way_delay_ms(),
                self.answered,
                name,
                to,
                self.encoded(name, packet),
            )

    def answered(self, name: str, to: str, data: bytes) -> None:
        """Have a node answer a push-pull."""
        if not self.up[to]:
            return
        self.bytes_in[to] += len(data)
        with self.metered():
            asked = self.codec.decode(data, MAX_SYNC_BYTES)
            answer, effects = self.protocols[to].answer_sync(
                self.now, asked, self.protocols[name].local_record.address
            )
        back = self.encoded(to, answer)
        self.run_effects(to, effects)
        self.rearm(to)
        self.schedule(
            self.now + self.one_way_delay_ms(),
            self.received,
            name,
            back,
            self.protocols[to].local_record.address,
            MAX_SYNC_BYTES,
        )

    # What is looked at.

    def quiet(self) -> bool:
        """Return whether nothing waits to be passed on; with usage reports something does."""
        return not any(
            len(protocol.sender.queue) for name, protocol in self.protocols.items() if self.up[name]
        )

    def looked(self) -> int:
        """Return how many member states and queued items were examined."""
        return sum(
            protocol.table.examined_count + protocol.sender.queue.examined_count
            for protocol in self.protocols.values()
        )

    def mark(self) -> Mark:
        """Return the counters as they are now."""
        return Mark(
            self.now,
            self.spent,
            self.looked(),
            self.bytes_sent.copy(),
            self.bytes_in.copy(),
            self.messages.copy(),
        )


def rates(cluster: HollowCluster, since: Mark) -> dict[str, float]:
    """Return what a node bore a second since a mark.

    That is the mean, and of bytes also the most that one node bore.
    """
    seconds, count = (cluster.now - since.at) / 1000, len(cluster.protocols)
    out = [cluster.bytes_sent[name] - since.bytes_out[name] for name in cluster.protocols]
    came = [cluster.bytes_in[name] - since.bytes_in[name] for name in cluster.protocols]
    both = [a + b for a, b in zip(out, came, strict=True)]
    return {
        "bytes out": sum(out) / count / seconds,
        "bytes in": sum(came) / count / seconds,
        "bytes worst": max(both) / seconds,
        "messages": (cluster.messages.total() - since.messages.total()) / count / seconds,
        "processor": (cluster.spent - since.spent) / 1e6 / count / seconds,
        "looked": (cluster.looked() - since.looked) / count / seconds,
    }


def play(count: int, tenants: int = 0, seed: int = 1) -> dict[str, float]:
    """Play a cluster from a cold start to agreement, at rest, and to agreement after a death."""
    begun = time.process_time()
    cluster = HollowCluster(count, tenants, seed)
    gc.collect()
    gc.freeze()  # what stands is not looked at again and again
    start = cluster.mark()
    found = {"one view": cluster.run(LONG, cluster.agreed) / 1000}
    found |= {f"{name} at start": value for name, value in rates(cluster, start).items()}
    if not cluster.agreed():
        return found
    while not tenants and not cluster.quiet():
        cluster.run(cluster.now + STEP)
    found["settled"] = cluster.now / 1000
    rest = cluster.mark()
    every = max((member.report_interval_ms for member in cluster.members.values()), default=0.0)
    cluster.run(cluster.now + max(LEAST_REST, 2 * every))
    found |= rates(cluster, rest)
    if tenants:
        found |= entries(cluster)
    cluster.kill("n1")
    died = cluster.now
    found["one view after a death"] = (
        cluster.run(died + LONG, lambda: cluster.all_declared_dead("n1") and cluster.agreed())
        - died
    ) / 1000
    took = time.process_time() - begun
    figures = json.dumps({name: float(f"{value:.4g}") for name, value in found.items()})
    print(
        f"{count} nodes, {tenants} tenants, seed {seed}: {took:.0f} s of a core, {figures}",
        file=sys.stderr,
    )
    return found


def entries(cluster: HollowCluster) -> dict[str, float]:
    """Return how many counts of use a node keeps, and their median age (s)."""
    kept, ages = [], []
    for name, member in cluster.members.items():
        heard = member.quota_sharing.peer_usage
        kept.append(sum(len(s.counts) for told in heard.values() for s in told.samples))
        ages += [cluster.now - told.received_ms for other, told in heard.items() if other != name]
    every = statistics.fmean(member.report_interval_ms for member in cluster.members.values())
    return {
        "entries of use": statistics.fmean(kept),
        "age of use": statistics.median(ages) / 1000 if ages else float("nan"),
        "between reports": every / 1000,
    }


# One node by itself, which has heard of all others.


def informed(members: int, tenants: int) -> ClusterMember:
    """Return a node that knows so many others, and two usage reports from each."""
    codec = PacketCodec("lab", b"a secret of the lab alone")
    records = [
        MembershipRecord(
            f"node-{n}",
            0,
            MemberStatus.ALIVE,
            (f"10.1.{n >> 8}.{n & 255}", 7946),
            int(START_UNIX_MS) * 1024 + n,
            "zone-1",
            "r",
        )
        for n in range(members)
    ]
    me = MembershipRecord("me", 0, MemberStatus.ALIVE, ("10.9.9.9", 7946), 1)
    protocol = SwimProtocol(
        me, SwimTiming(), Bootstrap((), members), random.Random(1), START_UNIX_MS
    )
    member = ClusterMember(protocol, [100.0] * tenants, SHARE_MS, ("shares",))
    data = codec.encode(
        Packet(records[0].name, records[0].generation, 0, 1, NO_TIME, Sync(), tuple(records))
    )
    protocol.receive(1.0, codec.decode(data, MAX_SYNC_BYTES), records[0].address)
    for serial in (2, 3):
        for record in records if tenants else ():
            packet = codec.decode(codec.encode(_use(record, serial, tenants)))
            for effect in protocol.receive(float(serial), packet, record.address):
                if isinstance(effect, RegisterChanged):
                    member.receive(float(serial), effect)
    protocol.sender.queue.clear()  # what waits to be passed on is gone after a while
    return member


def by_itself(members: int, tenants: int) -> dict[str, float]:
    """Return what that node keeps of each other member, and how long its long steps take."""
    gc.collect()
    tracemalloc.start()
    member = informed(members, tenants)
    gc.collect()
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    codec, protocol = PacketCodec("lab", b"a secret of the lab alone"), member.protocol

    def round_of_use() -> None:
        member.last_view = None
        member.view_change(4.0)

    def push_pull() -> None:
        """Encode one side and receive the other, in which nothing is news."""
        codec.encode(protocol.anti_entropy.full_state())
        heard = codec.decode(data, len(data))
        protocol.receive(
            5.0,
            replace(heard, serial=protocol.sender.next_sequence()),
            protocol.local_record.address,
        )

    data = codec.encode(replace(protocol.anti_entropy.full_state(), sender="another", generation=0))
    return {
        "memory": kept / members,
        "a round of use": took_ms(round_of_use),
        "a push-pull": took_ms(push_pull),
        "bytes of a push-pull": float(len(data)),
    }


def took_ms(what: Callable[[], None]) -> float:
    """Return the processor's time in ms, the median of some calls."""
    found = []
    for _ in range(AGAIN):
        since = time.thread_time_ns()
        what()
        found.append((time.thread_time_ns() - since) / 1e6)
    return statistics.median(found)


def _use(record: MembershipRecord, serial: int, tenants: int) -> Packet:
    sharing = QuotaSharing([100.0] * tenants, record.generation)
    sharing.counts = [serial * 1000 + tenant for tenant in range(tenants)]
    update = RegisterUpdate(USAGE_TOPIC, record.name, serial, sharing.report(1000.0 * serial))
    return Packet(record.name, record.generation, 0, serial, NO_TIME, Gossip(), (), (update,))


# The runs.


Plays = list[tuple[int, int, list[dict[str, float]]]]  # nodes, tenants, what each seed gave


def plays(pool: Executor, sizes: Sequence[int], tenants: Sequence[int]) -> Callable[[], Plays]:
    """Begin clusters of these sizes with so many tenants; return what waits for them."""
    begun = [
        (
            nodes,
            of,
            [pool.submit(play, nodes, of, seed) for seed in range(1, 1 + seeds_of(nodes, of))],
        )
        for nodes in reversed(sizes)  # the longest first
        for of in tenants
    ]
    return lambda: [
        (nodes, of, [one.result() for one in told]) for nodes, of, told in reversed(begun)
    ]


def seeds_of(nodes: int, tenants: int) -> int:
    """Return how many seeds a cluster is played with."""
    return SEEDS if nodes < MANY and not tenants else 1


UNITS = {  # of what a group is measured by
    "one view": "s",
    "one view after a death": "s",
    "bytes out at start": "B/s a node",
    "messages at start": "/s a node",
    "processor at start": "ms/s a node",
    "bytes out": "B/s a node",
    "bytes in": "B/s a node",
    "bytes worst": "B/s",
    "messages": "/s a node",
    "processor": "ms/s a node",
    "looked": "beliefs and items/s a node",
}
BY_ITSELF = {
    "memory": "B a member",
    "a round of use": "ms",
    "a push-pull": "ms",
    "bytes of a push-pull": "B",
}
OF_USE = {"entries of use": "counts a node", "age of use": "s", "between reports": "s"}


def as_series(
    found: Plays, over: str, fixed: dict[str, float],
    units: dict[str, str],
) -> list[Series]:  # fmt: skip
    """Return series of the median of the seeds, and of the time to agreement also the worst."""
    series = []
    for name, unit in units.items():
        for statistic, of in (("median", statistics.median), ("worst", max)):
            if statistic == "worst" and not name.startswith("one view"):
                continue
            points = sorted(
                (
                    float(tenants if over == "tenants" else nodes),
                    float(of([one[name] for one in told])),
                )
                for nodes, tenants, told in found
                if all(name in one for one in told)
            )
            series.append(Series(name, unit, over, statistic, points, fixed))
    return series


def measure(most: int | None) -> list[Series]:
    """Return all series; `most` caps nodes, and tenants too."""
    cap = most if most is not None else sys.maxsize

    def sizes(least: int, last: int) -> list[int]:
        return [size for size in doublings(least, last) if size <= cap]

    cores = len(os.sched_getaffinity(0))
    with ProcessPoolExecutor(
        min(cores, MOST_AT_ONCE), get_context("spawn"), max_tasks_per_child=1
    ) as pool:
        without = plays(pool, sizes(*SIZES), [0])
        with_use = plays(pool, sizes(*WITH_USE), [TENANTS])
        over_tenants = plays(pool, [NODES], sizes(*OVER_TENANTS))
        series = as_series(without(), "nodes", {"tenants": 0}, UNITS)
        series += as_series(with_use(), "nodes", {"tenants": TENANTS}, UNITS | OF_USE)
        series += as_series(over_tenants(), "tenants", {"nodes": NODES}, UNITS | OF_USE)
    for tenants in (0, TENANTS, OVER_TENANTS[1]):
        found = [(members, tenants, [by_itself(members, tenants)]) for members in sizes(*MEMBERS)]
        series += as_series(found, "members", {"tenants": tenants}, BY_ITSELF)
    return series
