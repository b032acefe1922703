"""Costs of a cluster member as the cluster grows, in simulated clusters of many nodes per process.

The protocol, its features and the codec are those of a real node; only sockets and clocks are
simulated. Each datagram is encoded by its sender and decoded by its receiver. Processor times are
real and cover protocol, features and codec, without the simulated network. Times within a cluster
are virtual.
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

# Time between two usage reports in a small cluster, as in the default settings.
REPORT_INTERVAL_MS = 500.0

# Tenants from which a node receives requests between two reports.
ACTIVE_TENANTS = 10

# A cluster must agree within this virtual time.
AGREEMENT_TIMEOUT_MS = 600_000.0

# Virtual time between two checks whether updates are still being passed on.
QUIET_CHECK_INTERVAL_MS = 1000.0

# The shortest virtual time over which a cluster at rest is measured.
MIN_REST_MS = 60_000.0

# Nodes of the clusters without usage reports.
MIN_NODES = 40
MAX_NODES = 1024

# Nodes of the clusters with usage reports of `TENANTS` tenants each.
MIN_REPORTING_NODES = 40
MAX_REPORTING_NODES = 320
TENANTS = 10

# Tenants of a cluster of `TENANT_SERIES_NODES` nodes. A node reports at most 64.
MIN_TENANTS = 8
MAX_TENANTS = 64
TENANT_SERIES_NODES = 80

# Members that a single node knows. It accepts no more than 4,096.
MIN_MEMBERS = 64
MAX_MEMBERS = 4096

# How often a step of a single node is repeated.
REPETITIONS = 5

# Small clusters without usage reports are simulated with several seeds, others with one.
SMALL_CLUSTER_SEEDS = 3
MAX_SMALL_CLUSTER_NODES = 200

NO_TIME = HybridTimestamp(0, 0)

# Clusters that are simulated at a time, each in its own process: one of 1,024 nodes takes 1 GB.
MAX_CONCURRENT_CLUSTERS = 4


@dataclass(slots=True, frozen=True)
class Usage:
    """The costs of all nodes up to a time.

    Attributes:
        time_ms: the virtual time.
        processor_ns: the processor time.
        examined: the number of member states and queued items that were examined.
        bytes_out: the sent bytes by node.
        bytes_in: the received bytes by node.
        messages: the sent messages by node.
    """

    time_ms: float
    processor_ns: int
    examined: int
    bytes_out: Counter[str]
    bytes_in: Counter[str]
    messages: Counter[str]


class HollowCluster(SimulatedCluster):
    """A cluster of hollow nodes, which exchange encoded packets, with the costs of each node.

    Hollow nodes run the real protocol without the rest of a node.
    """

    def __init__(
        self, count: int, tenants: int = 0, seed: int = 1, timing: SwimTiming | None = None
    ) -> None:
        # Processor time of protocol, features and codec.
        self.processor_ns = 0
        self.messages: Counter[str] = Counter()
        self.bytes_in: Counter[str] = Counter()
        self.members: dict[str, ClusterMember] = {}
        self.tenants = tenants
        super().__init__(count, seed, timing, expected=count)
        self.topics = (USAGE_TOPIC,) if tenants else ()
        for name, protocol in self.protocols.items():
            if tenants:
                member = ClusterMember(protocol, [100.0] * tenants, REPORT_INTERVAL_MS, ("shares",))
                self.members[name] = member
                self.schedule(self.random.random() * REPORT_INTERVAL_MS, self.report, name, member)

    @contextmanager
    def count_processor_time(self) -> Iterator[None]:
        """Count the processor time of the block."""
        begun_ns = time.thread_time_ns()
        try:
            yield
        finally:
            self.processor_ns += time.thread_time_ns() - begun_ns

    def acquaint(self) -> None:
        """Introduce all nodes to each other, as after a push-pull with a node that knew all."""
        records = tuple(protocol.local_record for protocol in self.protocols.values())
        me = records[0]
        for protocol in list(self.protocols.values())[1:]:
            serial = self.protocols[me.name].sender.next_sequence()
            packet = Packet(me.name, me.generation, 0, serial, NO_TIME, Sync(), records)
            protocol.receive(self.now, packet, me.address)
            # All nodes have these updates, so none is passed on.
            protocol.sender.queue.clear()
        first = self.protocols[me.name]
        for record in records:
            first.membership.merge(record, me.name)
        first.sender.queue.clear()

    # A node's steps, each as bytes in and bytes out.

    def tick(self, name: str, protocol: SwimProtocol) -> None:
        """Run a node's timer if it is due."""
        if self.protocols[name] is not protocol or not self.up[name] or protocol.due_ms > self.now:
            return
        with self.count_processor_time():
            effects = protocol.tick(self.now)
        self.run_effects(name, effects)
        self.arm(name)

    def report(self, name: str, member: ClusterMember) -> None:
        """Publish a round of reports as `ClusterComponent` does, and schedule the next one."""
        if self.protocols[name] is not member.protocol or not self.up[name]:
            return
        for tenant in self.random.sample(range(self.tenants), min(ACTIVE_TENANTS, self.tenants)):
            member.quota_sharing.count_request(tenant)
        with self.count_processor_time():
            effects = member.publish(self.now, USAGE_TOPIC, member.quota_sharing.report(self.now))
            member.view_change(self.now)
            interval_ms = member.report_interval_ms
        self.run_effects(name, effects)
        self.schedule(self.now + interval_ms, self.report, name, member)

    def run_effects(self, name: str, effects: list[Effect]) -> None:
        """Carry out effects; changes of registers go to the member."""
        member = self.members.get(name)
        for effect in effects:
            if isinstance(effect, RegisterChanged) and member is not None:
                with self.count_processor_time():
                    member.receive(self.now, effect)
        super().run_effects(
            name, [effect for effect in effects if not isinstance(effect, RegisterChanged)]
        )

    def encode(self, name: str, packet: Packet) -> bytes:
        """Encode a packet and count it for its sender."""
        with self.count_processor_time():
            data = self.codec.encode(packet)
        self.bytes_sent[name] += len(data)
        self.messages[name] += 1
        return data

    def send_datagram(self, name: str, address: Address, packet: Packet) -> None:
        """Send a datagram, which always arrives."""
        data = self.encode(name, packet)
        to = self.addresses.get(address)
        if to is not None:
            source = self.protocols[name].local_record.address
            self.schedule(
                self.now + self.one_way_delay_ms(), self.receive, to, data, source, MTU_BYTES
            )

    def receive(self, to: str, data: bytes, source: Address, max_bytes: int) -> None:
        """Have a node receive a datagram or one side of a push-pull."""
        if not self.up[to]:
            return
        self.bytes_in[to] += len(data)
        with self.count_processor_time():
            effects = self.protocols[to].receive(
                self.now, self.codec.decode(data, max_bytes), source
            )
        self.run_effects(to, effects)
        self.rearm(to)

    def start_sync(self, name: str, address: Address, packet: Packet) -> None:
        """Send the first side of a push-pull."""
        to = self.addresses.get(address)
        if to is not None:
            self.schedule(
                self.now + self.one_way_delay_ms(),
                self.answer_encoded_sync,
                name,
                to,
                self.encode(name, packet),
            )

    def answer_encoded_sync(self, name: str, to: str, data: bytes) -> None:
        """Have a node receive the first side of a push-pull and send the second one."""
        if not self.up[to]:
            return
        self.bytes_in[to] += len(data)
        with self.count_processor_time():
            request = self.codec.decode(data, MAX_SYNC_BYTES)
            answer, effects = self.protocols[to].answer_sync(
                self.now, request, self.protocols[name].local_record.address
            )
        response = self.encode(to, answer)
        self.run_effects(to, effects)
        self.rearm(to)
        self.schedule(
            self.now + self.one_way_delay_ms(),
            self.receive,
            name,
            response,
            self.protocols[to].local_record.address,
            MAX_SYNC_BYTES,
        )

    # Measurements.

    def quiet(self) -> bool:
        """Return whether no update waits to be passed on; with usage reports some always do."""
        return not any(
            len(protocol.sender.queue) for name, protocol in self.protocols.items() if self.up[name]
        )

    def examined(self) -> int:
        """Return how many member states and queued items were examined."""
        return sum(
            protocol.table.examined_count + protocol.sender.queue.examined_count
            for protocol in self.protocols.values()
        )

    def usage(self) -> Usage:
        """Return the costs up to now."""
        return Usage(
            self.now,
            self.processor_ns,
            self.examined(),
            self.bytes_sent.copy(),
            self.bytes_in.copy(),
            self.messages.copy(),
        )


def rates(cluster: HollowCluster, since: Usage) -> dict[str, float]:
    """Return the costs per second of a node since then.

    These are the means over all nodes, and for bytes also the maximum of a node.
    """
    seconds, count = (cluster.now - since.time_ms) / 1000, len(cluster.protocols)
    bytes_out = [cluster.bytes_sent[name] - since.bytes_out[name] for name in cluster.protocols]
    bytes_in = [cluster.bytes_in[name] - since.bytes_in[name] for name in cluster.protocols]
    total_bytes = [a + b for a, b in zip(bytes_out, bytes_in, strict=True)]
    return {
        "bytes out": sum(bytes_out) / count / seconds,
        "bytes in": sum(bytes_in) / count / seconds,
        "bytes worst": max(total_bytes) / seconds,
        "messages": (cluster.messages.total() - since.messages.total()) / count / seconds,
        "processor": (cluster.processor_ns - since.processor_ns) / 1e6 / count / seconds,
        "looked": (cluster.examined() - since.examined) / count / seconds,
    }


def simulate(count: int, tenants: int = 0, seed: int = 1) -> dict[str, float]:
    """Simulate a cluster from a cold start to agreement, at rest, and after the death of a node."""
    begun = time.process_time()
    cluster = HollowCluster(count, tenants, seed)
    gc.collect()
    # The garbage collector does not examine the nodes again and again.
    gc.freeze()
    start = cluster.usage()
    results = {"one view": cluster.run(AGREEMENT_TIMEOUT_MS, cluster.agreed) / 1000}
    results |= {f"{name} at start": value for name, value in rates(cluster, start).items()}
    if not cluster.agreed():
        return results
    while not tenants and not cluster.quiet():
        cluster.run(cluster.now + QUIET_CHECK_INTERVAL_MS)
    results["settled"] = cluster.now / 1000
    rest = cluster.usage()
    interval_ms = max(
        (member.report_interval_ms for member in cluster.members.values()), default=0.0
    )
    cluster.run(cluster.now + max(MIN_REST_MS, 2 * interval_ms))
    results |= rates(cluster, rest)
    if tenants:
        results |= usage_counters(cluster)
    cluster.kill("n1")
    died_ms = cluster.now
    results["one view after a death"] = (
        cluster.run(
            died_ms + AGREEMENT_TIMEOUT_MS,
            lambda: cluster.all_declared_dead("n1") and cluster.agreed(),
        )
        - died_ms
    ) / 1000
    took_s = time.process_time() - begun
    figures = json.dumps({name: float(f"{value:.4g}") for name, value in results.items()})
    print(
        f"{count} nodes, {tenants} tenants, seed {seed}: {took_s:.0f} s of a core, {figures}",
        file=sys.stderr,
    )
    return results


def usage_counters(cluster: HollowCluster) -> dict[str, float]:
    """Return the usage counters per node, their median age and the report interval (s)."""
    counter_counts, ages_ms = [], []
    for name, member in cluster.members.items():
        peer_usage = member.quota_sharing.peer_usage
        counter_counts.append(
            sum(len(sample.counts) for usage in peer_usage.values() for sample in usage.samples)
        )
        ages_ms += [
            cluster.now - usage.received_ms for other, usage in peer_usage.items() if other != name
        ]
    interval_ms = statistics.fmean(member.report_interval_ms for member in cluster.members.values())
    return {
        "entries of use": statistics.fmean(counter_counts),
        "age of use": statistics.median(ages_ms) / 1000 if ages_ms else float("nan"),
        "between reports": interval_ms / 1000,
    }


# A single node that knows all other members.


def informed_member(members: int, tenants: int) -> ClusterMember:
    """Return a node that knows so many other members and two usage reports of each."""
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
    local_record = MembershipRecord("me", 0, MemberStatus.ALIVE, ("10.9.9.9", 7946), 1)
    protocol = SwimProtocol(
        local_record, SwimTiming(), Bootstrap((), members), random.Random(1), START_UNIX_MS
    )
    member = ClusterMember(protocol, [100.0] * tenants, REPORT_INTERVAL_MS, ("shares",))
    data = codec.encode(
        Packet(records[0].name, records[0].generation, 0, 1, NO_TIME, Sync(), tuple(records))
    )
    protocol.receive(1.0, codec.decode(data, MAX_SYNC_BYTES), records[0].address)
    for serial in (2, 3):
        for record in records if tenants else ():
            packet = codec.decode(codec.encode(usage_packet(record, serial, tenants)))
            for effect in protocol.receive(float(serial), packet, record.address):
                if isinstance(effect, RegisterChanged):
                    member.receive(float(serial), effect)
    # After a while all updates have been passed on.
    protocol.sender.queue.clear()
    return member


def by_itself(members: int, tenants: int) -> dict[str, float]:
    """Return the memory of a single node for each member, and the costs of its longest steps."""
    gc.collect()
    tracemalloc.start()
    member = informed_member(members, tenants)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    codec, protocol = PacketCodec("lab", b"a secret of the lab alone"), member.protocol

    def usage_round() -> None:
        member.last_view = None
        member.view_change(4.0)

    def push_pull() -> None:
        """Encode one side and receive the other, which contains nothing new."""
        codec.encode(protocol.anti_entropy.full_state())
        response = codec.decode(data, len(data))
        protocol.receive(
            5.0,
            replace(response, serial=protocol.sender.next_sequence()),
            protocol.local_record.address,
        )

    data = codec.encode(replace(protocol.anti_entropy.full_state(), sender="another", generation=0))
    return {
        "memory": memory / members,
        "a round of use": timed_ms(usage_round),
        "a push-pull": timed_ms(push_pull),
        "bytes of a push-pull": float(len(data)),
    }


def timed_ms(call: Callable[[], None]) -> float:
    """Return the median processor time of some calls in ms."""
    times_ms = []
    for _ in range(REPETITIONS):
        begun_ns = time.thread_time_ns()
        call()
        times_ms.append((time.thread_time_ns() - begun_ns) / 1e6)
    return statistics.median(times_ms)


def usage_packet(record: MembershipRecord, serial: int, tenants: int) -> Packet:
    """Return a packet with a usage report of a member."""
    sharing = QuotaSharing([100.0] * tenants, record.generation)
    sharing.counts = [serial * 1000 + tenant for tenant in range(tenants)]
    update = RegisterUpdate(USAGE_TOPIC, record.name, serial, sharing.report(1000.0 * serial))
    return Packet(record.name, record.generation, 0, serial, NO_TIME, Gossip(), (), (update,))


# The runs.


# Nodes, tenants, and the results by seed.
ClusterResults = list[tuple[int, int, list[dict[str, float]]]]


def start_simulations(
    pool: Executor, node_counts: Sequence[int], tenant_counts: Sequence[int]
) -> Callable[[], ClusterResults]:
    """Start simulations of clusters and return a function that waits for their results."""
    # The largest clusters take longest, so they start first.
    started = [
        (
            nodes,
            tenants,
            [
                pool.submit(simulate, nodes, tenants, seed)
                for seed in range(1, 1 + seed_count(nodes, tenants))
            ],
        )
        for nodes in reversed(node_counts)
        for tenants in tenant_counts
    ]
    return lambda: [
        (nodes, tenants, [future.result() for future in futures])
        for nodes, tenants, futures in reversed(started)
    ]


def seed_count(nodes: int, tenants: int) -> int:
    """Return with how many seeds a cluster is simulated."""
    return SMALL_CLUSTER_SEEDS if nodes < MAX_SMALL_CLUSTER_NODES and not tenants else 1


# Units of the results of a cluster.
CLUSTER_UNITS = {
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

# Units of the results of a single node.
SINGLE_MEMBER_UNITS = {
    "memory": "B a member",
    "a round of use": "ms",
    "a push-pull": "ms",
    "bytes of a push-pull": "B",
}

# Units of the results that clusters with usage reports have in addition.
USAGE_UNITS = {"entries of use": "counts a node", "age of use": "s", "between reports": "s"}


def to_series(
    results: ClusterResults, over: str, fixed: dict[str, float], units: dict[str, str]
) -> list[Series]:
    """Return series of the median over the seeds, and also of the maximum of agreement times."""
    series = []
    for name, unit in units.items():
        for statistic, combine in (("median", statistics.median), ("worst", max)):
            if statistic == "worst" and not name.startswith("one view"):
                continue
            points = sorted(
                (
                    float(tenants if over == "tenants" else nodes),
                    float(combine([result[name] for result in by_seed])),
                )
                for nodes, tenants, by_seed in results
                if all(name in result for result in by_seed)
            )
            series.append(Series(name, unit, over, statistic, points, fixed))
    return series


def measure(max_size: int | None) -> list[Series]:
    """Return all series; `max_size` caps nodes, members and tenants."""
    cap = max_size if max_size is not None else sys.maxsize

    def sizes(smallest: int, largest: int) -> list[int]:
        return [size for size in doublings(smallest, largest) if size <= cap]

    cores = len(os.sched_getaffinity(0))
    with ProcessPoolExecutor(
        min(cores, MAX_CONCURRENT_CLUSTERS), get_context("spawn"), max_tasks_per_child=1
    ) as pool:
        without_reports = start_simulations(pool, sizes(MIN_NODES, MAX_NODES), [0])
        with_reports = start_simulations(
            pool, sizes(MIN_REPORTING_NODES, MAX_REPORTING_NODES), [TENANTS]
        )
        over_tenants = start_simulations(
            pool, [TENANT_SERIES_NODES], sizes(MIN_TENANTS, MAX_TENANTS)
        )
        series = to_series(without_reports(), "nodes", {"tenants": 0}, CLUSTER_UNITS)
        series += to_series(
            with_reports(), "nodes", {"tenants": TENANTS}, CLUSTER_UNITS | USAGE_UNITS
        )
        series += to_series(
            over_tenants(), "tenants", {"nodes": TENANT_SERIES_NODES}, CLUSTER_UNITS | USAGE_UNITS
        )
    for tenants in (0, TENANTS, MAX_TENANTS):
        results = [
            (members, tenants, [by_itself(members, tenants)])
            for members in sizes(MIN_MEMBERS, MAX_MEMBERS)
        ]
        series += to_series(results, "members", {"tenants": tenants}, SINGLE_MEMBER_UNITS)
    return series
