"""Costs of the distribution: simulated nodes and replicas on a virtual clock.

The state machines and the codec are the real ones. A fleet has its share of the target's servers,
services and changes, and all the replicas of the target. Each node follows the services that it
serves. For comparison, the same fleet is measured with nodes that follow everything, which is the
cost of watching the whole list. Bytes are those of the frames, without those of TCP. Processor
times are those of the state machines and the codec, in one process. The network delay is 1 ms.
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
from benchmarks.capacity.target import DAY_S, TARGET
from benchmarks.scale.report import Series

NODE_COUNTS = (125, 250, 500, 1000, 2000, 4000, 8600)

# The largest fleet whose nodes follow everything.
MAX_NODES_ALL_TOPICS = 500

REPLICAS = TARGET.control_machines
VOTERS = 5

# Services that a node serves, as assumed in docs/CAPACITY.md.
TOPICS_PER_NODE = 40

NETWORK_DELAY_MS = 1.0

# How long changes are made.
DURATION_S = 10.0

# The time over which the starts of the nodes are spread.
START_SPREAD_MS = 5000.0

# Topics that are proposed at a time, fewer than the pending proposals that a replica accepts.
TOPICS_PER_BATCH = 100

# Changes of a list for each restart of a server: it drains, is gone, and is back.
CHANGES_PER_RESTART = 3

# Changes that are measured. They are enough to measure at any rate: the cost of one change is the
# difference to the idle run, divided by this number.
CHANGE_COUNT = 200


class SimulatedProcess:
    """A replica, a node or an operator, and its costs.

    Attributes:
        machine: the state machine.
        name: the replica's name.
        busy_s: processor time.
        sent_bytes: bytes of sent frames.
        read_bytes: bytes of received frames.
        frame_count: received frames with entries of topics.
        links: the process and connection at the other end, by connection.
        wake_ms: when the machine's timer is scheduled.
        dialled: the names of the replicas that it has dialled.
    """

    def __init__(self, machine: Any, name: str = "") -> None:
        self.machine, self.name = machine, name
        self.busy_s = 0.0
        self.sent_bytes = self.read_bytes = self.frame_count = 0
        self.links: dict[int, tuple[SimulatedProcess, int]] = {}
        self.wake_ms = float("inf")
        self.dialled: set[str] = set()

    def reset_costs(self) -> None:
        """Set all costs to zero."""
        self.busy_s, self.sent_bytes, self.read_bytes, self.frame_count = 0.0, 0, 0, 0


class SimulatedFleet:
    """All replicas and nodes of one group in one process, on a virtual clock.

    Attributes:
        now_ms: the virtual time.
        queue: the scheduled calls with their times, in a heap.
        applied_at_ms: when nodes have applied a change, by topic and version.
        responses: the responses to proposals, by request id.
        dial_times_ms: when nodes have dialled a replica.
        replicas: the replicas by name.
        nodes: the nodes.
    """

    def __init__(self, nodes: int, topics: Callable[[int], tuple[str, ...]], seed: int) -> None:
        self.now_ms, self.next_number, self.order = 0.0, itertools.count(1), itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.codec, self.random = Codec("scale", b"a secret of the scale test"), random.Random(seed)
        self.applied_at_ms: dict[tuple[str, int], list[float]] = defaultdict(list)
        self.responses: dict[int, ProposeResponse] = {}
        self.dial_times_ms: list[float] = []
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
        # The starts are spread, as no replica accepts so many connections at once.
        for position, process in enumerate(self.nodes):
            self.schedule(
                START_SPREAD_MS * position / nodes,
                partial(self.perform, process, process.machine.start),
            )

    def schedule(self, at_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call at a virtual time."""
        heapq.heappush(self.queue, (at_ms, next(self.order), call))

    def perform(
        self, process: SimulatedProcess, call: Callable[..., list[Effect]], *arguments: Any
    ) -> None:
        """Call a method of a state machine and carry out its effects."""
        begun = time.thread_time()
        effects = call(self.now_ms, *arguments)
        encoded = [
            (effect, self.codec.encode(effect.message) if isinstance(effect, Send) else b"")
            for effect in effects
        ]
        process.busy_s += time.thread_time() - begun
        machine = process.machine
        for effect, data in encoded:
            if isinstance(effect, Send):
                process.sent_bytes += len(data) + 4
                if (peer := process.links.get(effect.connection)) is not None:
                    self.schedule(
                        self.now_ms + NETWORK_DELAY_MS, partial(self.deliver, *peer, data)
                    )
            elif isinstance(effect, Dial):
                self.dial_times_ms.append(self.now_ms)
                self.connect(
                    process, effect.connection, list(self.replicas.values())[effect.replica]
                )
                self.schedule(
                    self.now_ms + NETWORK_DELAY_MS,
                    partial(self.perform, process, machine.connected, effect.connection),
                )
            elif isinstance(effect, UpdateTopic):
                self.applied_at_ms[effect.topic, effect.version].append(self.now_ms)
            elif isinstance(effect, Close):
                self.disconnect(process, effect.connection)
        if isinstance(machine, Replica):
            for name in machine.replicas_to_dial():
                if name not in process.dialled:
                    process.dialled.add(name)
                    connection = next(self.next_number)
                    self.connect(process, connection, self.replicas[name])
                    self.schedule(
                        self.now_ms + NETWORK_DELAY_MS,
                        partial(self.perform, process, machine.connected, connection, name),
                    )
        if machine.due_ms < process.wake_ms or process.wake_ms < self.now_ms:
            process.wake_ms = machine.due_ms
            if process.wake_ms < float("inf"):
                self.schedule(max(process.wake_ms, self.now_ms), partial(self.tick, process))

    def connect(
        self, client: SimulatedProcess, client_connection: int, server: SimulatedProcess
    ) -> None:
        """Open a connection between two processes."""
        server_connection = next(self.next_number)
        client.links[client_connection], server.links[server_connection] = (
            (server, server_connection),
            (client, client_connection),
        )
        self.schedule(
            self.now_ms + NETWORK_DELAY_MS / 2,
            partial(self.perform, server, server.machine.accepted, server_connection),
        )

    def disconnect(self, process: SimulatedProcess, connection: int) -> None:
        """Close a connection at both ends."""
        if (peer := process.links.pop(connection, None)) is not None:
            other, other_connection = peer
            other.links.pop(other_connection, None)
            for one, partner in ((process, other), (other, process)):
                one.dialled.discard(partner.name)
            self.schedule(
                self.now_ms + NETWORK_DELAY_MS,
                partial(self.perform, other, other.machine.closed, other_connection),
            )
            self.perform(process, process.machine.closed, connection)

    def deliver(self, process: SimulatedProcess, connection: int, data: bytes) -> None:
        """Have a process receive a frame, unless the connection is closed."""
        if connection not in process.links:
            return
        begun = time.thread_time()
        message = self.codec.decode(data)
        process.busy_s += time.thread_time() - begun
        process.read_bytes += len(data) + 4
        process.frame_count += isinstance(message, Delta | Snapshot)
        self.perform(process, process.machine.received, connection, message)

    def tick(self, process: SimulatedProcess) -> None:
        """Run the timer of a process, or schedule it again if it is not due yet."""
        if process.machine.due_ms <= self.now_ms:
            process.wake_ms = float("inf")
            self.perform(process, process.machine.tick)
        elif process.machine.due_ms < float("inf"):
            process.wake_ms = process.machine.due_ms
            self.schedule(process.wake_ms, partial(self.tick, process))

    def run(self, until_ms: float) -> None:
        """Run all scheduled calls up to a virtual time."""
        while self.queue and self.queue[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self.queue)
            call()
        self.now_ms = until_ms

    # Proposals.

    def leader(self) -> SimulatedProcess:
        """Return the replica that leads, once the group has elected one."""
        for _ in range(600):
            self.run(self.now_ms + 100.0)
            for process in self.replicas.values():
                if process.machine.raft.state.is_leader:
                    return process
        raise RuntimeError("no replica was elected leader within a minute")

    def propose(self, operator: OperatorConnection, topic: str, entries: tuple[Entry, ...]) -> int:
        """Propose a change now and return the id by which its response is known."""
        request_id = next(self.next_number)
        data = self.codec.encode(Propose(request_id, topic, entries, ANY_VERSION))
        process, connection = operator.process.links[operator.connection]
        self.schedule(
            self.now_ms + NETWORK_DELAY_MS, partial(self.deliver, process, connection, data)
        )
        return request_id


class OperatorConnection:
    """An operator's connection to the leader, as a state machine that collects responses."""

    due_ms = float("inf")

    def __init__(self, fleet: SimulatedFleet, leader: SimulatedProcess) -> None:
        self.fleet, self.process, self.connection = fleet, SimulatedProcess(self), 0
        fleet.connect(self.process, 0, leader)
        fleet.run(fleet.now_ms + 2 * NETWORK_DELAY_MS)
        process, connection = self.process.links[0]
        fleet.deliver(process, connection, fleet.codec.encode(Hello("operator", False)))

    def received(self, now_ms: float, connection: int, message: object) -> list[Effect]:
        """Store a response to a proposal."""
        if isinstance(message, ProposeResponse):
            self.fleet.responses[message.request_id] = message
        return []

    def closed(self, now_ms: float, connection: int) -> list[Effect]:
        """Fail, as the leader keeps an operator's connection open."""
        raise RuntimeError("the leader has closed the operator's connection")


def server_entry(number: int, state: str = "active") -> Entry:
    """Return the entry of a server in the catalog's format."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    fields = {
        "instanceId": f"s-{number:08x}",
        "hostPort": f"{host}:9000",
        "zone": f"zone-{number % TARGET.zones}",
        "machineType": "m2",
        "cell": number % 64,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": 1_700_000_000_000 + number,
    }
    return Entry(f"s-{number:08x}", json.dumps(fields).encode())


class FleetRun:
    """A started fleet and its costs with and without changes.

    Attributes:
        changes_per_s: the changes per second of this fleet's share of the target.
        idle_run: the costs per second without changes.
        changes_run: the costs per second with `CHANGE_COUNT` changes in `DURATION_S`.
    """

    def __init__(self, nodes: int, follow_all: bool, seed: int = 1) -> None:
        share = nodes / TARGET.nodes
        self.services = max(TOPICS_PER_NODE, round(TARGET.services * share))
        self.servers = max(self.services, round(TARGET.servers * share))
        self.changes_per_s = (
            (TARGET.machine_restarts_per_day * CHANGES_PER_RESTART + TARGET.config_changes_per_day)
            * share
            / DAY_S
        )
        rng = random.Random(seed)
        topic_names = [f"servers/service-{n}" for n in range(self.services)]

        def topics(node: int) -> tuple[str, ...]:
            return (
                tuple(topic_names)
                if follow_all
                else tuple(sorted(rng.sample(topic_names, TOPICS_PER_NODE)))
            )

        self.fleet = fleet = SimulatedFleet(nodes, topics, seed)
        operator = OperatorConnection(fleet, fleet.leader())
        request_ids = []
        for position, name in enumerate(topic_names):
            request_ids.append(
                fleet.propose(
                    operator,
                    name,
                    tuple(server_entry(n) for n in range(position, self.servers, self.services)),
                )
            )
            if position % TOPICS_PER_BATCH == 0:
                fleet.run(fleet.now_ms + 50.0)
        fleet.run(max(fleet.now_ms + 5000.0, 2 * START_SPREAD_MS))
        rejected = [
            response
            for request_id in request_ids
            if (response := fleet.responses.get(request_id)) is None or response.error
        ]
        if rejected:
            raise RuntimeError(
                f"{len(rejected)} of {len(request_ids)} lists were not accepted: {rejected[0]}"
            )
        self.processes = (*fleet.replicas.values(), *fleet.nodes)
        self.idle_run = self.measure_changes(operator, topic_names, rng, 0.0)
        self.changes_run = self.measure_changes(
            operator, topic_names, rng, CHANGE_COUNT / DURATION_S
        )

    def measure_changes(
        self,
        operator: OperatorConnection,
        topic_names: list[str],
        rng: random.Random,
        changes_per_s: float,
    ) -> dict[str, float]:
        """Return the mean costs per second over `DURATION_S` at a rate of changes."""
        fleet, delays_ms = self.fleet, []
        for process in self.processes:
            process.reset_costs()
        begun_ms = fleet.now_ms
        fleet.applied_at_ms.clear()
        proposed: dict[int, tuple[str, float]] = {}
        for step in range(round(DURATION_S * changes_per_s)):
            fleet.run(begun_ms + step / changes_per_s * 1000)
            number = rng.randrange(self.servers)
            name = topic_names[number % self.services]
            proposed[
                fleet.propose(
                    operator,
                    name,
                    (server_entry(number, rng.choice(("active", "leaving")) + str(step)),),
                )
            ] = (
                name,
                fleet.now_ms,
            )
        fleet.run(begun_ms + DURATION_S * 1000)
        for request_id, (name, proposed_at_ms) in proposed.items():
            if (response := fleet.responses.get(request_id)) is None or response.error:
                raise RuntimeError(f"a change was not accepted: {response}")
            delays_ms += [
                last_ms - proposed_at_ms
                for last_ms in fleet.applied_at_ms[name, response.version][-1:]
            ]
        leader = max(fleet.replicas.values(), key=lambda process: process.sent_bytes)
        others = [process for process in fleet.replicas.values() if process is not leader]
        return {
            "to all": max(delays_ms, default=0.0),
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
        """Return a mean cost per second at this fleet's share of the target's rate of changes."""
        return (
            self.idle_run[name]
            + (self.changes_run[name] - self.idle_run[name])
            * self.changes_per_s
            * DURATION_S
            / CHANGE_COUNT
        )


def measure(max_size: int | None) -> list[Series]:
    """Return all series; `max_size` caps the nodes."""
    costs = {
        "bytes at the target's rate of changes": ("node bytes", "B/s a node"),
        "processor at the target's rate of changes": ("node busy", "ms/s a node"),
        "bytes of a leader": ("leader bytes", "B/s"),
        "processor of a leader": ("leader busy", "ms/s"),
        "bytes of the busiest other store": ("store bytes", "B/s"),
        "processor of the busiest other store": ("store busy", "ms/s"),
    }
    points_by_series: dict[tuple[str, bool], list[tuple[float, float]]] = defaultdict(list)
    for follow_all in (False, True):
        for nodes in NODE_COUNTS:
            if nodes > (max_size or NODE_COUNTS[-1]) or (
                follow_all and nodes > MAX_NODES_ALL_TOPICS
            ):
                continue
            fleet_run = FleetRun(nodes, follow_all)
            for name, (key, _) in costs.items():
                points_by_series[name, follow_all].append((nodes, fleet_run.at_target_rate(key)))
            points_by_series["a change in force at the last node", follow_all].append(
                (nodes, fleet_run.changes_run["to all"])
            )
            points_by_series["frames to nodes for a change", follow_all].append(
                (nodes, fleet_run.changes_run["deltas"] / CHANGE_COUNT)
            )
    units = {name: unit for name, (_, unit) in costs.items()}
    return [
        Series(
            name,
            units.get(name, "ms" if "force" in name else "frames"),
            "nodes",
            "worst of 200" if "force" in name else "mean",
            points,
            {
                "stores": REPLICAS,
                "voters": VOTERS,
                "services followed": -1 if follow_all else TOPICS_PER_NODE,
            },
        )
        for (name, follow_all), points in points_by_series.items()
    ]
