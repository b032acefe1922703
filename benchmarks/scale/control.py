"""What control sends and keeps beside policy and peers: the zones' council, what was learned,
connections.

Bytes are those of the real codecs. The council's and the evidence's times are of their machines
alone; a connection's memory is that of a `serve` process with so many idle clients, less that with
none.
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
from badgercart.statistics.snapshot import ServerPart
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

SERVERS = 170_000
NODES = 8_600
ZONES = 11
ZONES_MOST = 44
CLASSES = 8
SOCKETS = 8192  # that the node may hold
CONNECTIONS = 1200  # idle clients: under a third of their part, else none is kept
WARM = 400  # clients that are there before: what was free in the process is used up
ROUNDS = 5


def sizes(least: int, most: int, cap: int | None) -> list[int]:
    return [size for size in doublings(least, most) if cap is None or size <= cap]


def timed(call: Callable[[], object]) -> float:
    """Median ms of the processor."""
    took = []
    for _ in range(ROUNDS):
        began = time.thread_time()
        call()
        took.append(1000 * (time.thread_time() - began))
    return statistics.median(took)


# The zones' council and evidence.


def world(zones: int) -> Topology:
    names = [f"z{number}" for number in range(zones)]
    return build_topology(names, {name: f"r{i % 3}" for i, name in enumerate(names)}, {}, CLASSES)


def claim(map_: Topology, rng: random.Random) -> bytes:
    zones = len(map_.zones)
    return encode_report(
        ZoneReport(
            map_.digest,
            [int(Reachability.REACHABLE)] * zones,
            [rng.randrange(80, 130) for _ in range(zones)],
            [rng.randrange(95, 101) for _ in range(zones)],
            [rng.randrange(5000) for _ in range(map_.row_count)],
        )
    )


def datagram(topic: str, said: bytes) -> float:
    """Bytes of one that carries nothing but a post."""
    codec = PacketCodec("lab", b"a secret of the lab alone")
    post = gossip_registers.RegisterUpdate(topic, "node-4711", 1_700_000_000_000, said)
    stamp = HybridTimestamp(1_700_000_000_000, 0)
    packet = Packet("node-4711", 1 << 60, 3, 123_456, stamp, Gossip(), (), (post,))
    return float(len(codec.encode(packet)))


def evidence(nodes: int, map_: Topology) -> tuple[float, float]:
    """ms of one look at the claims of so many nodes, and bytes that they are kept in."""
    rng = random.Random(nodes)
    claims = [claim(map_, rng) for _ in range(nodes)]
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = ZoneReportTable(map_)
    for number, said in enumerate(claims):
        kept.record(f"node-{number}", number % len(map_.zones), said, 0.0)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(kept.reports) == nodes
    capacity = [100.0] * len(map_.zones)
    return timed(lambda: kept.summarize(1.0, 2500.0, capacity)), float(grown)


def round_of(nodes: int, map_: Topology) -> tuple[float, float, float]:
    """One round of a proposer of so many nodes: ms for all votes, bytes of these, and of the
    commit."""
    _, situation = random_situation(len(map_.zones), 3, CLASSES, 1)
    plan = compute_plan(map_, situation, [1.0] * CLASSES, UtilizationLimits())
    council = PlanConsensus(
        "node-0", 1, LeaseSettings(), lambda data: decode_plan(data, map_), lambda: 1.7e12
    )
    council.tick(0.0)
    council.propose(5000.0, plan, nodes)
    assert council.proposal is not None
    ballot = council.proposal.ballot
    votes = [encode_message(Vote(ballot, 1 << 60 | number)) for number in range(1, nodes)]
    effects: list[object] = []
    began = time.thread_time()
    for number, vote in enumerate(votes, 1):
        effects += council.receive(5001.0, f"node-{number}", VOTE_TOPIC, vote)
    spent = 1000 * (time.thread_time() - began)
    posts = [
        effect
        for effect in effects
        if isinstance(effect, SendMessage) and effect.topic in COMMIT_TOPICS
    ]
    commit = sum(datagram(post.topic, post.payload) for post in posts)
    return spent, sum(datagram(VOTE_TOPIC, vote) for vote in votes), commit


def plan_of(zones: int) -> tuple[float, float, float]:
    """ms to work out a plan for so many zones, its bytes, and those of one claim."""
    map_ = world(zones)
    _, situation = random_situation(zones, 3, CLASSES, 1)
    worths = [1.0 + number for number in range(CLASSES)]

    def plan() -> Plan:
        return compute_plan(map_, situation, worths, UtilizationLimits())

    return (
        timed(plan),
        float(len(encode_plan(plan()))),
        datagram("zones.eyes", claim(map_, random.Random(1))),
    )


def zones_series(cap: int | None) -> list[Series]:
    map_ = world(ZONES)
    found: dict[tuple[str, str, str], list[tuple[float, float]]] = {}

    def note(name: str, unit: str, over: str, size: float, value: float) -> None:
        found.setdefault((name, unit, over), []).append((size, value))

    for nodes in sizes(16, NODES, cap):
        look, kept = evidence(nodes, map_)
        note("look at the evidence", "ms", "nodes", nodes, look)
        note("claims kept", "bytes", "nodes", nodes, kept)
        spent, votes, commit = round_of(nodes, map_)
        note("votes counted", "ms", "nodes", nodes, spent)
        note("votes of a round", "bytes", "nodes", nodes, votes)
        if nodes <= 2 * VOTERS_PER_COMMIT * len(
            COMMIT_TOPICS
        ):  # more than half are not named beyond that
            note("commit of a round", "bytes", "nodes", nodes, commit)
        print(f"control: {nodes} nodes", file=sys.stderr, flush=True)
    for zones in doublings(3, ZONES_MOST):
        spent, size, said = plan_of(zones)
        note("plan", "ms", "zones", zones, spent)
        note("plan", "bytes", "zones", zones, size)
        note("claim", "bytes", "zones", zones, said)
    return [
        Series(name, unit, over, "median" if unit == "ms" and name != "votes counted" else "one", points,
               {"zones": ZONES, "classes": CLASSES} if over == "nodes" else {"classes": CLASSES})
        for (name, unit, over), points in found.items()
    ]  # fmt: skip


# What was learned.


def learned(servers: int) -> tuple[float, float]:
    """ms for which a save of what was learned holds the loop, and bytes of the file."""
    classes = tuple(
        RequestClass(580.0, 1400.0, 2.0, Idempotency.IDEMPOTENT) for _ in range(CLASSES)
    )
    policy = Policy(Settings(classes=classes), 1)
    entries = [
        Endpoint(n + 1, n % ZONES, 0, 0, EndpointState.READY, 1.0, 0.0) for n in range(servers)
    ]
    policy.handle(0.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    held = timed(lambda: export_statistics(policy))
    servers_of = [ServerPart(n, 0.0, k.relative_latency, k.recent_attempts, [0.01] * CLASSES, [0.0] * CLASSES)
                  for n, k in export_statistics(policy).servers.items()]  # fmt: skip
    return held, float(len(msgspec.msgpack.encode(servers_of)))


def learned_series(cap: int | None) -> list[Series]:
    found = [(float(size), learned(size)) for size in sizes(1000, SERVERS, cap)]
    held = [(size, ms) for size, (ms, _) in found]
    saved = [(size, count) for size, (_, count) in found]
    fixed = {"classes": float(CLASSES)}
    return [
        Series("save holds the loop", "ms", "servers", "median", held, fixed),
        Series("saved", "bytes", "servers", "one", saved, fixed),
    ]


# A connection.


def resident(process: int) -> float:
    """Bytes that a process has in memory."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return 4096.0 * pages


async def connections(most: int) -> list[tuple[float, float]]:
    """Bytes that a node takes more with so many more idle clients, each of which has had one
    answer."""
    points = []
    fleet = await Fleet(4, 1).start()
    try:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "node.toml"
            text = operators_file(fleet.catalog.address).replace(
                "[node]", f"[node]\nsockets = {SOCKETS}"
            )
            file.write_text(text)
            node = NodeProcess()
            await node.start(file)
            writers: list[asyncio.StreamWriter] = []
            try:
                host, port = node.fronts["http"].rsplit(":", 1)
                await asyncio.sleep(1)
                for size in [WARM, *(WARM + more for more in doublings(100, most))]:
                    while len(writers) < size:
                        reader, writer = await asyncio.open_connection(host, int(port))
                        writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                        await reader.readuntil(b"\r\n\r\n")
                        writers.append(writer)
                    taken = resident(node.process.pid)
                    if size == WARM:
                        empty = taken
                    else:
                        points.append((float(size - WARM), max(taken - empty, 1.0)))
            finally:
                for writer in writers:
                    writer.close()
                await node.stop()
    finally:
        await fleet.stop()
    return points


def measure(most: int | None) -> list[Series]:
    """All series; `most` caps their sizes."""
    series = zones_series(most) + learned_series(most)
    idle = asyncio.run(connections(min(CONNECTIONS, most or CONNECTIONS)))
    series.append(Series("idle clients", "bytes", "connections", "one", idle))
    return series
