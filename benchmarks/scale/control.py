"""Costs of control outside the policy and the members: zones, saved statistics, connections.

Bytes are those of the real codecs. The times of the zones' consensus and of the zone reports are
those of their state machines alone. The memory of a connection is that of a `serve` process with
idle clients, minus that of the process with `WARM_UP_CLIENTS` of them.
"""

from __future__ import annotations

import asyncio
import gc
import random
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import msgspec

from badgercart.cluster import gossip_registers
from badgercart.cluster.codec import PacketCodec
from badgercart.cluster.hybrid_logical_clock import HybridTimestamp
from badgercart.cluster.messages import Gossip, Packet
from badgercart.policy import Policy, Settings
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import EndpointUpdate, UpdateKind
from badgercart.policy.settings import Idempotency, RequestClass
from badgercart.policy.statistics import export_statistics
from badgercart.statistics.snapshot import StoredEndpoint
from badgercart.zones.consensus_messages import (
    COMMIT_TOPICS,
    VOTE_TOPIC,
    VOTERS_PER_COMMIT,
    Vote,
    encode_message,
)
from badgercart.zones.consensus_state import LeaseSettings, SendMessage
from badgercart.zones.failure_detector import Reachability
from badgercart.zones.plan_codec import decode_plan, encode_plan
from badgercart.zones.plan_consensus import PlanConsensus
from badgercart.zones.topology import Topology, build_topology
from badgercart.zones.traffic_plan import Plan, UtilizationLimits, compute_plan
from badgercart.zones.zone_reports import ZoneReport, ZoneReportTable, encode_report
from benchmarks.scale.fit import doublings
from benchmarks.scale.report import Series
from benchmarks.zones import random_situation
from standins.demo import NodeProcess
from standins.fleet import Fleet, operators_file

# The target.
TARGET_SERVERS = 170_000
TARGET_NODES = 8_600
TARGET_ZONES = 11

MAX_ZONES = 44
CLASSES = 8

# Sockets that the node may open.
MAX_SOCKETS = 8192

# Idle clients. They are less than a third of the clients' part of the sockets: of more, the node
# keeps no idle connection.
MAX_IDLE_CLIENTS = 1200

# Clients that connect before the measurement starts and use up the memory that is already free in
# the process.
WARM_UP_CLIENTS = 400

REPETITIONS = 5


def sizes(smallest: int, largest: int, cap: int | None) -> list[int]:
    """Return doublings that do not exceed the cap."""
    return [size for size in doublings(smallest, largest) if cap is None or size <= cap]


def timed_ms(call: Callable[[], object]) -> float:
    """Return the median processor time of some calls in ms."""
    times_ms = []
    for _ in range(REPETITIONS):
        begun = time.thread_time()
        call()
        times_ms.append(1000 * (time.thread_time() - begun))
    return statistics.median(times_ms)


# The zones' consensus and reports.


def make_topology(zones: int) -> Topology:
    """Return a topology of so many zones in three regions."""
    names = [f"z{number}" for number in range(zones)]
    return build_topology(names, {name: f"r{i % 3}" for i, name in enumerate(names)}, {}, CLASSES)


def random_report(topology: Topology, rng: random.Random) -> bytes:
    """Return the encoded report of one node about its zones."""
    zones = len(topology.zones)
    return encode_report(
        ZoneReport(
            topology.digest,
            [int(Reachability.REACHABLE)] * zones,
            [rng.randrange(80, 130) for _ in range(zones)],
            [rng.randrange(95, 101) for _ in range(zones)],
            [rng.randrange(5000) for _ in range(topology.row_count)],
        )
    )


def datagram_bytes(topic: str, payload: bytes) -> float:
    """Return the size of a datagram that carries a single register update."""
    codec = PacketCodec("lab", b"a secret of the lab alone")
    update = gossip_registers.RegisterUpdate(topic, "node-4711", 1_700_000_000_000, payload)
    timestamp = HybridTimestamp(1_700_000_000_000, 0)
    packet = Packet("node-4711", 1 << 60, 3, 123_456, timestamp, Gossip(), (), (update,))
    return float(len(codec.encode(packet)))


def measure_reports(nodes: int, topology: Topology) -> tuple[float, float]:
    """Return the ms to summarize the reports of so many nodes, and the bytes that they occupy."""
    rng = random.Random(nodes)
    reports = [random_report(topology, rng) for _ in range(nodes)]
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = ZoneReportTable(topology)
    for number, report in enumerate(reports):
        table.record(f"node-{number}", number % len(topology.zones), report, 0.0)
    growth = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(table.reports) == nodes
    capacity = [100.0] * len(topology.zones)
    return timed_ms(lambda: table.summarize(1.0, 2500.0, capacity)), float(growth)


def measure_round(nodes: int, topology: Topology) -> tuple[float, float, float]:
    """Run one round of the consensus of so many nodes at its proposer.

    Returns:
        The ms to count all votes, the bytes of the votes, and the bytes of the commit.
    """
    _, situation = random_situation(len(topology.zones), 3, CLASSES, 1)
    plan = compute_plan(topology, situation, [1.0] * CLASSES, UtilizationLimits())
    consensus = PlanConsensus(
        "node-0", 1, LeaseSettings(), lambda data: decode_plan(data, topology), lambda: 1.7e12
    )
    consensus.tick(0.0)
    consensus.propose(5000.0, plan, nodes)
    assert consensus.proposal is not None
    ballot = consensus.proposal.ballot
    votes = [encode_message(Vote(ballot, 1 << 60 | number)) for number in range(1, nodes)]
    effects: list[object] = []
    begun = time.thread_time()
    for number, vote in enumerate(votes, 1):
        effects += consensus.receive(5001.0, f"node-{number}", VOTE_TOPIC, vote)
    counting_ms = 1000 * (time.thread_time() - begun)
    commit_messages = [
        effect
        for effect in effects
        if isinstance(effect, SendMessage) and effect.topic in COMMIT_TOPICS
    ]
    commit_bytes = sum(
        datagram_bytes(message.topic, message.payload) for message in commit_messages
    )
    return counting_ms, sum(datagram_bytes(VOTE_TOPIC, vote) for vote in votes), commit_bytes


def measure_plan(zones: int) -> tuple[float, float, float]:
    """Return the ms to compute a plan for so many zones, its bytes, and those of one report."""
    topology = make_topology(zones)
    _, situation = random_situation(zones, 3, CLASSES, 1)
    class_weights = [1.0 + number for number in range(CLASSES)]

    def plan() -> Plan:
        return compute_plan(topology, situation, class_weights, UtilizationLimits())

    return (
        timed_ms(plan),
        float(len(encode_plan(plan()))),
        datagram_bytes("zones.eyes", random_report(topology, random.Random(1))),
    )


def zone_series(cap: int | None) -> list[Series]:
    """Return the series of the zones; `cap` caps the nodes."""
    topology = make_topology(TARGET_ZONES)
    points_by_series: dict[tuple[str, str, str], list[tuple[float, float]]] = {}

    def add(name: str, unit: str, over: str, size: float, value: float) -> None:
        points_by_series.setdefault((name, unit, over), []).append((size, value))

    for nodes in sizes(16, TARGET_NODES, cap):
        summary_ms, reports_bytes = measure_reports(nodes, topology)
        add("look at the evidence", "ms", "nodes", nodes, summary_ms)
        add("claims kept", "bytes", "nodes", nodes, reports_bytes)
        counting_ms, votes_bytes, commit_bytes = measure_round(nodes, topology)
        add("votes counted", "ms", "nodes", nodes, counting_ms)
        add("votes of a round", "bytes", "nodes", nodes, votes_bytes)
        # Of more nodes, a commit cannot name the majority.
        if nodes <= 2 * VOTERS_PER_COMMIT * len(COMMIT_TOPICS):
            add("commit of a round", "bytes", "nodes", nodes, commit_bytes)
        print(f"control: {nodes} nodes", file=sys.stderr, flush=True)
    for zones in doublings(3, MAX_ZONES):
        plan_ms, plan_bytes, report_bytes = measure_plan(zones)
        add("plan", "ms", "zones", zones, plan_ms)
        add("plan", "bytes", "zones", zones, plan_bytes)
        add("claim", "bytes", "zones", zones, report_bytes)
    return [
        Series(
            name,
            unit,
            over,
            "median" if unit == "ms" and name != "votes counted" else "one",
            points,
            {"zones": TARGET_ZONES, "classes": CLASSES}
            if over == "nodes"
            else {"classes": CLASSES},
        )
        for (name, unit, over), points in points_by_series.items()
    ]


# Saved statistics.


def measure_save(servers: int) -> tuple[float, float]:
    """Return the ms for which saving the statistics blocks the event loop, and the file's bytes."""
    classes = tuple(
        RequestClass(580.0, 1400.0, 2.0, Idempotency.IDEMPOTENT) for _ in range(CLASSES)
    )
    policy = Policy(Settings(classes=classes), 1)
    endpoints = [
        Endpoint(n + 1, n % TARGET_ZONES, 0, 0, EndpointState.READY, 1.0, 0.0)
        for n in range(servers)
    ]
    policy.handle(0.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, endpoints))
    blocked_ms = timed_ms(lambda: export_statistics(policy))
    idle_classes = [0.01] * CLASSES, [0.0] * CLASSES
    stored_endpoints = [
        StoredEndpoint(n, 0.0, endpoint.relative_latency, endpoint.recent_attempts, *idle_classes)
        for n, endpoint in export_statistics(policy).endpoints.items()
    ]
    return blocked_ms, float(len(msgspec.msgpack.encode(stored_endpoints)))


def save_series(cap: int | None) -> list[Series]:
    """Return the series of saving the statistics; `cap` caps the servers."""
    results = [(float(size), measure_save(size)) for size in sizes(1000, TARGET_SERVERS, cap)]
    blocked = [(size, ms) for size, (ms, _) in results]
    saved = [(size, count) for size, (_, count) in results]
    fixed = {"classes": float(CLASSES)}
    return [
        Series("save holds the loop", "ms", "servers", "median", blocked, fixed),
        Series("saved", "bytes", "servers", "one", saved, fixed),
    ]


# Connections.


def resident_bytes(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return 4096.0 * pages


async def measure_connections(max_clients: int) -> list[tuple[float, float]]:
    """Return the bytes by which idle clients grow a node, each after one response."""
    points = []
    fleet = await Fleet(4, 1).start()
    try:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "node.toml"
            text = operators_file(fleet.catalog.address).replace(
                "[node]", f"[node]\nsockets = {MAX_SOCKETS}"
            )
            file.write_text(text)
            node = NodeProcess()
            await node.start(file)
            writers: list[asyncio.StreamWriter] = []
            try:
                host, port = node.fronts["http"].rsplit(":", 1)
                await asyncio.sleep(1)
                for size in [
                    WARM_UP_CLIENTS,
                    *(WARM_UP_CLIENTS + clients for clients in doublings(100, max_clients)),
                ]:
                    while len(writers) < size:
                        reader, writer = await asyncio.open_connection(host, int(port))
                        writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                        await reader.readuntil(b"\r\n\r\n")
                        writers.append(writer)
                    memory = resident_bytes(node.process.pid)
                    if size == WARM_UP_CLIENTS:
                        baseline = memory
                    else:
                        points.append((float(size - WARM_UP_CLIENTS), max(memory - baseline, 1.0)))
            finally:
                for writer in writers:
                    writer.close()
                await node.stop()
    finally:
        await fleet.stop()
    return points


def measure(max_size: int | None) -> list[Series]:
    """Return all series; `max_size` caps their sizes."""
    series = zone_series(max_size) + save_series(max_size)
    idle = asyncio.run(measure_connections(min(MAX_IDLE_CLIENTS, max_size or MAX_IDLE_CLIENTS)))
    series.append(Series("idle clients", "bytes", "connections", "one", idle))
    return series
