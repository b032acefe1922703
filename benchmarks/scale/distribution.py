"""Cost of the distribution: hollow nodes and replicas on a virtual clock, real machines and codec.

A fleet of so many nodes has its part of the target's servers, services and changes, and all the
replicas that are set aside. Each node follows the services that it serves; beside that stands the
same fleet in which every node follows everything, which is what a watch of the whole list costs.
Bytes are those of the frames, without TCP's own; processor times are those of the machines and the
codec, in one process; the network takes 1 ms.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import statistics
import time
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any

from badgercart.distribution.effects import (
    Close,
    Dial,
    Effect,
    RecoveredState,
    Send,
    UpdateTopic,
)
from badgercart.distribution.follower import Follower
from badgercart.distribution.messages import (
    ANY_VERSION,
    Codec,
    Delta,
    Entry,
    Hello,
    Propose,
    ProposeResponse,
    Snapshot,
)
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaTiming
from badgercart.distribution.replica_selector import FollowerTiming, ReplicaSelector
from benchmarks.capacity.target import TARGET
from benchmarks.scale.report import Series

SIZES = (125, 250, 500, 1000, 2000, 4000, 8600)
MAX_NODES_ALL_TOPICS = 500  # nodes, where each follows everything
REPLICAS = TARGET.control_machines
VOTERS = 5
TOPICS_PER_NODE = 40  # services that a node serves; assumed, as in docs/CAPACITY.md
HOP_MS = 1.0
DURATION_S = 10.0  # of changes
START_SPREAD_MS = 5000.0  # over which nodes start
TOPICS_AT_A_TIME = 100  # proposed at a time, below what a replica has pending
CHANGES_PER_RESTART = 3  # changes of a list for each restart: drains, is gone, is back
DAY_S = 86400.0


class SimulatedProcess:
    """A replica or a follower, and what it has cost."""

    def __init__(self, machine: Any, name: str = "") -> None:
        self.machine, self.name = machine, name
        self.busy_s = 0.0  # of processor time
        self.sent_bytes = self.read_bytes = self.frame_count = 0
        self.links: dict[
            int, tuple[SimulatedProcess, int]
        ] = {}  # by connection: who is at the other end, by which
        self.wake_ms = float("inf")
        self.dialled: set[str] = set()

    def clear(self) -> None:
        self.busy_s, self.sent_bytes, self.read_bytes, self.frame_count = 0.0, 0, 0, 0


class SimulatedFleet:
    """All replicas and nodes of one group in one process, on a virtual clock."""

    def __init__(self, nodes: int, topics: Callable[[int], tuple[str, ...]], seed: int) -> None:
        self.now_ms, self.next_number, self.order = 0.0, itertools.count(1), itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.codec, self.random = Codec("scale", b"a secret of the scale test"), random.Random(seed)
        self.applied_at: dict[tuple[str, int], list[float]] = defaultdict(
            list
        )  # by topic and version
        self.responses: dict[int, ProposeResponse] = {}
        self.dial_times_ms: list[float] = []  # of nodes
        names = tuple(f"store-{n:02d}" for n in range(REPLICAS))
        self.replicas = {
            name: SimulatedProcess(
                Replica(
                    ReplicaGroup(name, names[:VOTERS], names),
                    ReplicaTiming(),
                    random.Random(n),
                    RecoveredState(),
                ),
                name,
            )
            for n, name in enumerate(names)
        }
        timing = FollowerTiming()
        self.nodes = [
            SimulatedProcess(
                Follower(
                    f"node-{n}",
                    topics(n),
                    ReplicaSelector(REPLICAS, timing, random.Random(1000 + n)),
                    timing,
                )
            )
            for n in range(nodes)
        ]
        for process in self.replicas.values():
            self.perform(process, process.machine.start)
        # Not in the same instant: no replica takes so many connections at once.
        for position, process in enumerate(self.nodes):
            self.at(
                START_SPREAD_MS * position / nodes,
                partial(self.perform, process, process.machine.start),
            )

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), what))

    def perform(
        self, process: SimulatedProcess, call: Callable[..., list[Effect]], *arguments: Any
    ) -> None:
        """Call a machine and carry out its effects."""
        begun = time.thread_time()
        effects = call(self.now_ms, *arguments)
        frame_count = [
            (effect, self.codec.encode(effect.message) if isinstance(effect, Send) else b"")
            for effect in effects
        ]
        process.busy_s += time.thread_time() - begun
        machine = process.machine
        for effect, data in frame_count:
            if isinstance(effect, Send):
                process.sent_bytes += len(data) + 4
                if (end := process.links.get(effect.connection)) is not None:
                    self.at(self.now_ms + HOP_MS, partial(self.deliver, *end, data))
            elif isinstance(effect, Dial):
                self.dial_times_ms.append(self.now_ms)
                self.connect(
                    process, effect.connection, list(self.replicas.values())[effect.replica]
                )
                self.at(
                    self.now_ms + HOP_MS,
                    partial(self.perform, process, machine.connected, effect.connection),
                )
            elif isinstance(effect, UpdateTopic):
                self.applied_at[effect.topic, effect.version].append(self.now_ms)
            elif isinstance(effect, Close):
                self.disconnect(process, effect.connection)
        if isinstance(machine, Replica):
            for name in machine.replicas_to_dial():
                if name not in process.dialled:
                    process.dialled.add(name)
                    mine = next(self.next_number)
                    self.connect(process, mine, self.replicas[name])
                    self.at(
                        self.now_ms + HOP_MS,
                        partial(self.perform, process, machine.connected, mine, name),
                    )
        if machine.due_ms < process.wake_ms or process.wake_ms < self.now_ms:
            process.wake_ms = machine.due_ms
            if process.wake_ms < float("inf"):
                self.at(max(process.wake_ms, self.now_ms), partial(self.tick, process))

    def connect(self, caller: SimulatedProcess, mine: int, called: SimulatedProcess) -> None:
        theirs = next(self.next_number)
        caller.links[mine], called.links[theirs] = (called, theirs), (caller, mine)
        self.at(
            self.now_ms + HOP_MS / 2, partial(self.perform, called, called.machine.accepted, theirs)
        )

    def disconnect(self, process: SimulatedProcess, connection: int) -> None:
        if (end := process.links.pop(connection, None)) is not None:
            other, theirs = end
            other.links.pop(theirs, None)
            for one, by in ((process, other), (other, process)):
                one.dialled.discard(by.name)
            self.at(
                self.now_ms + HOP_MS, partial(self.perform, other, other.machine.closed, theirs)
            )
            self.perform(process, process.machine.closed, connection)

    def deliver(self, process: SimulatedProcess, connection: int, data: bytes) -> None:
        if connection not in process.links:
            return
        begun = time.thread_time()
        message = self.codec.decode(data)
        process.busy_s += time.thread_time() - begun
        process.read_bytes += len(data) + 4
        process.frame_count += isinstance(message, Delta | Snapshot)
        self.perform(process, process.machine.received, connection, message)

    def tick(self, process: SimulatedProcess) -> None:
        if process.machine.due_ms <= self.now_ms:
            process.wake_ms = float("inf")
            self.perform(process, process.machine.tick)
        elif process.machine.due_ms < float("inf"):
            process.wake_ms = process.machine.due_ms
            self.at(process.wake_ms, partial(self.tick, process))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now_ms, _, what = heapq.heappop(self.queue)
            what()
        self.now_ms = until

    # Proposals.

    def leader(self) -> SimulatedProcess:
        """Return the replica that leads, once the group has elected one."""
        for _ in range(600):
            self.run(self.now_ms + 100.0)
            for process in self.replicas.values():
                if process.machine.raft.state.is_leader:
                    return process
        raise RuntimeError("no store led within a minute")

    def propose(self, caller: OperatorConnection, topic: str, entries: tuple[Entry, ...]) -> int:
        """Propose a change now and return the id by which its response is known."""
        request_id = next(self.next_number)
        data = self.codec.encode(Propose(request_id, topic, entries, ANY_VERSION))
        process, connection = caller.process.links[caller.connection]
        self.at(self.now_ms + HOP_MS, partial(self.deliver, process, connection, data))
        return request_id


class OperatorConnection:
    """An operator's connection to the leader, as a machine that takes responses."""

    due_ms = float("inf")

    def __init__(self, fleet: SimulatedFleet, leader: SimulatedProcess) -> None:
        self.fleet, self.process, self.connection = fleet, SimulatedProcess(self), 0
        fleet.connect(self.process, 0, leader)
        fleet.run(fleet.now_ms + 2 * HOP_MS)
        process, connection = self.process.links[0]
        fleet.deliver(process, connection, fleet.codec.encode(Hello("operator", False)))

    def received(self, now_ms: float, connection: int, message: object) -> list[Effect]:
        if isinstance(message, ProposeResponse):
            self.fleet.responses[message.request_id] = message
        return []

    def closed(self, now_ms: float, connection: int) -> list[Effect]:
        raise RuntimeError("the leader has closed its operator's connection")


def server_entry(number: int, state: str = "active") -> Entry:
    """Return one server as the catalog has it."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    fields = {
        "instanceId": f"s-{number:08x}", "hostPort": f"{host}:9000",
        "zone": f"zone-{number % TARGET.zones}", "machineType": "m2", "cell": number % 64,
        "lifecycle": state, "weight": 1.0, "startedAtMs": 1_700_000_000_000 + number,
    }  # fmt: skip
    return Entry(f"s-{number:08x}", json.dumps(fields).encode())


class FleetRun:
    """One fleet of a size, brought up, and its costs with and without changes."""

    def __init__(self, nodes: int, everything: bool, seed: int = 1) -> None:
        share = nodes / TARGET.nodes
        self.services = max(TOPICS_PER_NODE, round(TARGET.services * share))
        self.servers = max(self.services, round(TARGET.servers * share))
        self.rate = (
            (TARGET.machine_restarts_per_day * CHANGES_PER_RESTART + TARGET.config_changes_per_day)
            * share
            / DAY_S
        )  # changes a second
        rng = random.Random(seed)
        names = [f"servers/service-{n}" for n in range(self.services)]

        def topics(node: int) -> tuple[str, ...]:
            return tuple(names) if everything else tuple(sorted(rng.sample(names, TOPICS_PER_NODE)))

        self.fleet = fleet = SimulatedFleet(nodes, topics, seed)
        caller = OperatorConnection(fleet, fleet.leader())
        request_ids = []
        for at, name in enumerate(names):
            request_ids.append(
                fleet.propose(
                    caller,
                    name,
                    tuple(server_entry(n) for n in range(at, self.servers, self.services)),
                )
            )
            if at % TOPICS_AT_A_TIME == 0:
                fleet.run(fleet.now_ms + 50.0)
        fleet.run(max(fleet.now_ms + 5000.0, 2 * START_SPREAD_MS))
        rejected = [
            response
            for request_id in request_ids
            if (response := fleet.responses.get(request_id)) is None or response.error
        ]
        if rejected:
            raise RuntimeError(
                f"{len(rejected)} of {len(request_ids)} lists were not taken: {rejected[0]}"
            )
        self.processes = (*fleet.replicas.values(), *fleet.nodes)
        self.idle_run = self.measure_changes(caller, names, rng, 0.0)
        # Enough changes to measure at any rate: costs of one are the difference to the idle run.
        self.count = 200
        self.changes_run = self.measure_changes(caller, names, rng, self.count / DURATION_S)

    def measure_changes(
        self, caller: OperatorConnection, names: list[str], rng: random.Random, rate: float
    ) -> dict[str, float]:
        """Return the means a second over DURATION_S with so many changes a second."""
        fleet, answered = self.fleet, []
        for process in self.processes:
            process.clear()
        begun = fleet.now_ms
        fleet.applied_at.clear()
        proposed: dict[int, tuple[str, float]] = {}
        for step in range(round(DURATION_S * rate)):
            fleet.run(begun + step / rate * 1000)
            number = rng.randrange(self.servers)
            name = names[number % self.services]
            proposed[
                fleet.propose(
                    caller,
                    name,
                    (server_entry(number, rng.choice(("active", "leaving")) + str(step)),),
                )
            ] = (
                name,
                fleet.now_ms,
            )
        fleet.run(begun + DURATION_S * 1000)
        for request_id, (name, at) in proposed.items():
            if (response := fleet.responses.get(request_id)) is None or response.error:
                raise RuntimeError(f"a change was not taken: {response}")
            answered += [last - at for last in fleet.applied_at[name, response.version][-1:]]
        leader = max(fleet.replicas.values(), key=lambda process: process.sent_bytes)
        others = [process for process in fleet.replicas.values() if process is not leader]
        return {
            "to all": max(answered, default=0.0),
            "node bytes": statistics.mean(
                process.read_bytes + process.sent_bytes for process in fleet.nodes
            )
            / DURATION_S,
            "node busy": statistics.mean(process.busy_s for process in fleet.nodes)
            / DURATION_S
            * 1000,
            "leader bytes": (leader.read_bytes + leader.sent_bytes) / DURATION_S,
            "leader busy": leader.busy_s / DURATION_S * 1000,
            "store bytes": max(process.read_bytes + process.sent_bytes for process in others)
            / DURATION_S,
            "store busy": max(process.busy_s for process in others) / DURATION_S * 1000,
            "deltas": sum(process.frame_count for process in fleet.nodes),
        }

    def at_target_rate(self, name: str) -> float:
        """Return a mean a second at this fleet's share of the target's rate of changes."""
        return (
            self.idle_run[name]
            + (self.changes_run[name] - self.idle_run[name]) * self.rate * DURATION_S / self.count
        )


def measure(most: int | None) -> list[Series]:
    """Return the costs of all sizes up to `most` nodes."""
    costs = {
        "bytes at the target's rate of changes": ("node bytes", "B/s a node"),
        "processor at the target's rate of changes": ("node busy", "ms/s a node"),
        "bytes of a leader": ("leader bytes", "B/s"),
        "processor of a leader": ("leader busy", "ms/s"),
        "bytes of the busiest other store": ("store bytes", "B/s"),
        "processor of the busiest other store": ("store busy", "ms/s"),
    }
    found: dict[tuple[str, bool], list[tuple[float, float]]] = defaultdict(list)
    for everything in (False, True):
        for nodes in SIZES:
            if nodes > (most or SIZES[-1]) or (everything and nodes > MAX_NODES_ALL_TOPICS):
                continue
            played = FleetRun(nodes, everything)
            for name, (key, _) in costs.items():
                found[name, everything].append((nodes, played.at_target_rate(key)))
            found["a change in force at the last node", everything].append(
                (nodes, played.changes_run["to all"])
            )
            found["frames to nodes for a change", everything].append(
                (nodes, played.changes_run["deltas"] / played.count)
            )
    units = {name: unit for name, (_, unit) in costs.items()}
    return [
        Series(
            name, units.get(name, "ms" if "force" in name else "frames"), "nodes",
            "worst of 200" if "force" in name else "mean", points,
            {
                "stores": REPLICAS, "voters": VOTERS,
                "services followed": -1 if everything else TOPICS_PER_NODE,
            },
        )
        for (name, everything), points in found.items()
    ]  # fmt: skip
