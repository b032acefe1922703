"""The world of one trial: real nodes, stand-in servers, an endpoint list and open-loop clients.

All of them reach each other through the switch.
"""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lab.trial.processes import NodeProcess
from lab.trial.switch import Switch
from standins import http1
from standins.catalog import Catalog
from standins.server import DispatchServer
from standins.traffic import TENANTS, Arrival, Result, class_tables, draw_arrivals, send_request

# Bounds of the service time of each request class.
WORK_MS = {"cab-lookup": (5.0, 15.0), "ride-assign": (8.0, 20.0)}
PEERS_PORT = 7946
LIST = "list"  # the endpoint list's name on the switch
# Time after the deadline in which a late response still counts as late, not as lost; the platform
# has the same.
LATE_RESPONSE_GRACE_MS = 500.0
TIMER_CHECK_INTERVAL_S = 0.02
# The kinds of processes, each with a range of its own in the trial's block of addresses.
NODE_RANGE = 0
LIST_RANGE = 1
SERVER_RANGE = 2
SEED_NODES = 3  # peers that a node contacts first


@dataclass(slots=True, frozen=True)
class Shape:
    """The size and settings of a trial's world."""

    nodes: int = 3
    servers: int = 4
    zones: tuple[str, ...] = ("a", "b", "c")  # nodes and servers are assigned to them round-robin
    cores: int = 8
    queue: int = 16
    quota: float = 1000.0  # requests per second, all tenants together
    cold_from: float = 0.3
    ramp_ms: float = 6000.0
    peers: bool = True
    # Interval of the nodes' probes: shorter than in service, so that a trial is short.
    period_ms: float = 200.0
    remember_s: float = 60.0
    extra_lines: str = ""  # appended to the settings file of every node
    seed: int = 1
    configured_nodes: int = 0  # number of nodes that the settings files state; 0: the real number
    plan: str = ""  # mode of zone failover; empty: none
    regions: tuple[tuple[str, ...], ...] = ()  # groups of zones
    hold_ms: float = 800.0  # time for which a zone must stay healthy
    # Lease of a plan: shorter than in service, so that a trial is short.
    lease_ms: float = 1500.0


class AddressBlock:
    """A block of loopback addresses, 127.N, that no other trial on this machine uses meanwhile."""

    def __init__(self) -> None:
        for self.number in range(2, 255):
            self.lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self.lock.bind((f"127.{self.number}.255.254", PEERS_PORT))
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as first:
                    # Fails while a node of a killed trial still has the address.
                    first.bind((f"127.{self.number}.0.1", PEERS_PORT))
            except OSError:
                self.lock.close()
            else:
                return
        raise OSError("no block of loopback addresses is free")

    def close(self) -> None:
        """Release the block."""
        self.lock.close()


@dataclass(slots=True)
class SentRequest:
    """A request, the node that it was sent to, and its result."""

    node: str
    sent_at_s: float  # monotonic clock
    result: Result


@dataclass(slots=True)
class ServerStateChange:
    """A state of a server, and when the endpoint list first published it."""

    server: str
    state: str
    published_at_s: float  # monotonic clock


@dataclass(slots=True)
class World:
    """All parts of a trial by name: the nodes n0, n1, … and the servers s-1, s-2, and so on."""

    shape: Shape
    folder: Path
    switch: Switch = field(init=False)
    block: AddressBlock = field(init=False)
    nodes: dict[str, NodeProcess] = field(default_factory=dict)
    servers: dict[str, DispatchServer] = field(default_factory=dict)
    # When each idempotency key had its effect; all servers share it.
    effect_times: dict[str, float] = field(default_factory=dict)
    sent_requests: list[SentRequest] = field(default_factory=list)
    state_changes: list[ServerStateChange] = field(default_factory=list)
    catalog: Catalog = field(init=False)
    started_at_s: float = 0.0
    max_timer_delay_s: float = 0.0
    timer_monitor: asyncio.Task[None] | None = None
    # Faults that change by themselves while they last.
    background_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    # Start and end of each time in which a node did not run; infinity while it lasts.
    downtimes: dict[str, list[list[float]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.switch = Switch(self.shape.seed)
        self.block = AddressBlock()

    def addresses(self, address_range: int, number: int) -> tuple[str, str]:
        """Return the host that a process sends from, and the switch's host at which it is reached."""
        real = f"{address_range * 32 + (number >> 8)}.{number & 255}"
        shown = f"{128 + address_range * 32 + (number >> 8)}.{number & 255}"
        return f"127.{self.block.number}.{real}", f"127.{self.block.number}.{shown}"

    async def start(self) -> World:
        """Start everything; if a part doesn't come up, stop what is already running."""
        try:
            await self.start_processes()
        except BaseException:
            await self.stop()
            raise
        self.started_at_s = time.monotonic()
        return self

    async def start_processes(self) -> None:
        """Start servers, endpoint list and nodes, and wait until each node has taken the list."""
        shape = self.shape
        for number in range(1, shape.servers + 1):
            zone = shape.zones[number % len(shape.zones)]
            server = DispatchServer(
                f"s-{number}", WORK_MS, shape.cores, shape.queue, "k", zone, shape.seed
            )
            server.effect_times = self.effect_times
            server.host, shown = self.addresses(SERVER_RANGE, number)
            await server.start()
            await self.switch.add(server.name, (server.host, server.port), (shown, 0))
            server.advertised_address = "{}:{}".format(
                *self.switch.endpoints[server.name].switch_address
            )
            self.servers[server.name] = server
        self.catalog = Catalog([server.entry() for server in self.servers.values()])
        self.catalog.host, shown = self.addresses(LIST_RANGE, 1)
        await self.catalog.start()
        await self.switch.add(LIST, (self.catalog.host, self.catalog.port), (shown, 0))
        for number in range(shape.nodes):
            real, shown = self.addresses(NODE_RANGE, number + 1)
            await self.switch.add(f"n{number}", (real, PEERS_PORT), (shown, PEERS_PORT))
            file = self.folder / f"n{number}.toml"
            file.write_text(self.node_file(number))
            self.nodes[f"n{number}"] = NodeProcess(f"n{number}", file)
        await asyncio.gather(*(node.start() for node in self.nodes.values()))
        self.timer_monitor = asyncio.ensure_future(self.monitor_timers())
        await asyncio.gather(*(node.wait_for_event("list.taken") for node in self.nodes.values()))

    def node_file(self, number: int) -> str:
        """Return the text of a node's settings file."""
        shape, (real, shown) = self.shape, self.addresses(NODE_RANGE, number + 1)
        zone, node_count = (
            shape.zones[number % len(shape.zones)],
            shape.configured_nodes or shape.nodes,
        )
        zones = ", ".join(f'"{zone}"' for zone in shape.zones)
        lines = [
            f'[node]\nname = "n{number}"\nzone = "{zone}"\nseed = "{number:x}"',
            f'source = "{real}"\nnumber = {number % node_count}\nnodes = {node_count}',
            f'[fleet]\nzones = [{zones}]\nkinds = ["k"]',
            f"cold_from = {shape.cold_from}\nramp_ms = {shape.ramp_ms}",
            "[retry]\nmax_attempts = 3\nmax_retry_after_ms = 600",
            '[members]\ncatalog = "{}:{}"'.format(*self.switch.endpoints[LIST].switch_address),
            f'[fronts.http]\nlisten = "{real}:0"',
        ]
        lines += class_tables()
        for name, share in TENANTS.items():
            lines.append(f'[[tenant]]\nname = "{name}"\nquota_per_s = {shape.quota * share:.3f}')
        if shape.peers:
            seed_hosts = [
                self.addresses(NODE_RANGE, index + 1)[1]
                for index in range(min(SEED_NODES, shape.nodes))
            ]
            seeds = ", ".join(f'"{host}:{PEERS_PORT}"' for host in seed_hosts)
            lines += [
                f'[peers]\nlisten = "{real}:{PEERS_PORT}"\nadvertise = "{shown}:{PEERS_PORT}"',
                f'group = "trial"\nsecret = "a secret of this trial"\nseeds = [{seeds}]',
                f'allow = ["127.0.0.0/8"]\nperiod_ms = {shape.period_ms}',
                f"patience_ms = {shape.period_ms / 2}",
                f"gossip_ms = {shape.period_ms / 5}\nretry_ms = {2 * shape.period_ms}",
                f"sync_s = {max(5.0, shape.period_ms * 0.03)}\nexpect_s = 600.0",
                f"remember_s = {shape.remember_s}\nshare_ms = {max(250.0, shape.period_ms / 2)}",
            ]
        if shape.plan:
            lines += [
                f'[zones]\nmode = "{shape.plan}"\nserves = 1.0\nlease_ms = {shape.lease_ms}',
                f"renew_ms = {shape.lease_ms / 4}\npatience_ms = {shape.lease_ms / 2}",
                f"tell_ms = 200.0\nhold_ms = {shape.hold_ms}\nprobe_ms = 200.0",
            ]
            for at, region in enumerate(shape.regions):
                names = ", ".join(f'"{name}"' for name in region)
                lines.append(f'[[zones.region]]\nname = "r{at}"\nzones = [{names}]')
        return "\n".join([*lines, shape.extra_lines]) + "\n"

    async def monitor_timers(self) -> None:
        """Record the largest delay of a timer in this process.

        A busy machine may delay a node as much without a fault of the node.
        """
        while True:
            due = time.monotonic() + TIMER_CHECK_INTERVAL_S
            await asyncio.sleep(TIMER_CHECK_INTERVAL_S)
            self.max_timer_delay_s = max(self.max_timer_delay_s, time.monotonic() - due)

    async def stop(self) -> dict[str, int]:
        """Stop everything and return the exit status of each node that was still running."""
        for task in (self.timer_monitor, *self.background_tasks):
            if task is not None:
                task.cancel()
        running = [n for n in self.nodes.values() if n.process and n.process.returncode is None]
        codes = await asyncio.gather(*(node.stop() for node in running))
        if hasattr(self, "catalog"):
            self.catalog.stop()
        for server in self.servers.values():
            server.stop()
        self.switch.close()
        self.block.close()
        return {node.name: code for node, code in zip(running, codes, strict=True)}

    # Faults.

    def publish_state(self, server: DispatchServer) -> None:
        """Publish the server's current state in the endpoint list."""
        self.catalog.change(server.entry())
        self.state_changes.append(ServerStateChange(server.name, server.state, time.monotonic()))

    def drain_server(self, name: str) -> None:
        """Publish that the server is leaving."""
        self.servers[name].state = "leaving"
        self.publish_state(self.servers[name])

    def restart_server(self, name: str) -> None:
        """Publish the server as freshly started, hence cold."""
        server = self.servers[name]
        server.state, server.started_at_ms = "active", int(time.time() * 1000)
        self.publish_state(server)

    def crash_server(self, name: str) -> None:
        """Stop a server without notice.

        Its connections break and new ones are refused, while the endpoint list still has it.
        """
        self.servers[name].stop()

    async def revive_server(self, name: str) -> None:
        """Start a crashed server at its former address, cold."""
        server = self.servers[name]
        await server.start(server.port)
        self.restart_server(name)

    def servers_in_zone(self, zone: str) -> list[str]:
        """Return the names of the servers in a zone."""
        return [server.name for server in self.servers.values() if server.zone == zone]

    def split_by_zone(self, zone: str) -> tuple[list[str], list[str]]:
        """Return the nodes and servers of a zone, and all others."""
        zones = self.shape.zones
        zone_of = {name: zones[at % len(zones)] for at, name in enumerate(self.nodes)}
        zone_of |= {server.name: server.zone for server in self.servers.values()}
        return [name for name, other in zone_of.items() if other == zone], [
            name for name, other in zone_of.items() if other != zone
        ]

    async def kill_node(self, name: str) -> None:
        """Kill a node with SIGKILL."""
        self.downtimes.setdefault(name, []).append([time.monotonic(), math.inf])
        await self.nodes[name].kill()

    async def restart_node(self, name: str) -> None:
        """Start a killed node again with the same name and address."""
        await self.nodes[name].start()
        self.downtimes[name][-1][1] = time.monotonic()

    def freeze_node(self, name: str) -> None:
        """Suspend a node with SIGSTOP."""
        self.downtimes.setdefault(name, []).append([time.monotonic(), math.inf])
        self.nodes[name].freeze()

    def resume_node(self, name: str) -> None:
        """Resume a suspended node."""
        self.nodes[name].resume()
        self.downtimes[name][-1][1] = time.monotonic()

    def split_groups(self, *parts: list[str]) -> None:
        """Cut these groups of names off from each other."""
        for at, part in enumerate(parts):
            for other in parts[at + 1 :]:
                self.switch.set_both_ways(part, other, cut=True)

    def event_counts(self) -> dict[str, int]:
        """Return the number of events that each node has logged so far; the waits start there."""
        return {name: len(node.events) for name, node in self.nodes.items()}

    async def wait_for_level(self, level: str, names: list[str], since: dict[str, int]) -> None:
        """Wait until each of these nodes has logged this level after the given event counts."""
        waits = (
            self.nodes[n].wait_for_event(
                "peers.level", lambda event: event["standing"] == level, since[n]
            )
            for n in names
        )
        await asyncio.gather(*waits)

    async def wait_for_common_levels(self, levels: dict[str, str]) -> None:
        """Wait until each of these nodes has, at one time, its level as the last one it logged.

        A node may lose a level while others have yet to reach theirs: after a partition, each side
        still spreads that the other one is dead, until that is refuted.
        """
        while behind := [name for name in levels if self.last_level(name) != levels[name]]:
            await self.wait_for_level(levels[behind[0]], behind[:1], self.event_counts())

    def last_level(self, name: str) -> str:
        """Return the level that a node has logged last. Raises NodeError if there is none."""
        return str(self.nodes[name].last_event("peers.level")["standing"])

    async def wait_for_plan(
        self,
        names: list[str],
        since: dict[str, int],
        matches: Callable[[dict[str, Any]], bool] = lambda event: True,
    ) -> list[dict[str, Any]]:
        """Wait until each of these nodes has a matching plan in force, and return the events.

        Only events after the given event counts are considered.
        """
        waits = (
            self.nodes[name].wait_for_event("zones.plan", matches, since[name]) for name in names
        )
        return list(await asyncio.gather(*waits))

    async def wait_for_members(self, size: int, among: list[str] | None = None) -> None:
        """Wait until each of these nodes reaches this number of nodes, itself included."""
        names = among or list(self.nodes)
        await asyncio.gather(
            *(
                self.nodes[name].wait_for_event("peers.level", lambda event: event["live"] == size)
                for name in names
            )
        )

    # Clients.

    async def send_traffic(
        self, rate: float, seconds: float, seed: int = 1, nodes: list[str] | None = None
    ) -> None:
        """Send requests at seeded times to those of these nodes that are running.

        The load is open-loop: requests don't wait for the results of earlier ones.
        """
        names = nodes or list(self.nodes)
        connections, start = http1.ConnectionPool(), time.monotonic()
        request_tasks: list[asyncio.Task[None]] = []
        for number, arrival in enumerate(draw_arrivals(seed, rate, seconds)):
            await asyncio.sleep(max(0.0, start + arrival.send_at_s - time.monotonic()))
            running = [
                n for n in names if all(until < math.inf for _, until in self.downtimes.get(n, ()))
            ]
            if not running:
                continue
            name = running[number % len(running)]
            request_tasks.append(
                asyncio.ensure_future(self.send_request(name, arrival, connections))
            )
        try:
            await asyncio.gather(*request_tasks)
        finally:
            connections.close()

    async def send_request(
        self, name: str, arrival: Arrival, connections: http1.ConnectionPool
    ) -> None:
        """Send one request to a node and record its result."""
        sent_at_s = time.monotonic()
        result = await send_request(
            self.nodes[name].frontend_address, arrival, connections, LATE_RESPONSE_GRACE_MS
        )
        self.sent_requests.append(SentRequest(name, sent_at_s, result))
