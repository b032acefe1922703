"""One trial: real nodes, stand-in servers, a list and open-loop clients, all of them joined by the
switch."""

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
from standins.traffic import TENANTS, Arrival, Result, arrivals, ask, class_tables

WORK_MS = {"cab-lookup": (5.0, 15.0), "ride-assign": (8.0, 20.0)}  # ms
PEERS_PORT = 7946
LIST = "list"  # its name on the switch
LATE_RESPONSE_GRACE_MS = (
    500.0  # ms beyond its time in which a late answer is told from a lost one, as on the platform
)
TIMER_CHECK_INTERVAL_S = 0.02  # s between looks at how late this machine is


@dataclass(slots=True, frozen=True)
class Shape:
    """What a trial is made of."""

    nodes: int = 3
    servers: int = 4
    zones: tuple[str, ...] = ("a", "b", "c")  # of nodes and servers, in turn
    cores: int = 8
    queue: int = 16
    quota: float = 1000.0  # requests a second of all tenants together
    cold_from: float = 0.3
    ramp_ms: float = 6000.0
    peers: bool = True
    period_ms: float = (
        200.0  # of the nodes' probes: quicker than in service, so that a trial is short
    )
    remember_s: float = 60.0
    more: str = ""  # further lines of every node's file
    seed: int = 1
    said: int = 0  # how many nodes their files say that there are; 0: the truth
    plan: str = ""  # the mode in which zones fail over; empty: they don't
    regions: tuple[tuple[str, ...], ...] = ()  # zones that lie together
    hold_ms: float = 800.0  # for which a zone must be well
    lease_ms: float = 1500.0  # of a plan: shorter than in service, so that a trial is short


class Block:
    """A block of loopback addresses, 127.N, that no other trial on this machine has at the time."""

    def __init__(self) -> None:
        for self.number in range(2, 255):
            self.lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self.lock.bind((f"127.{self.number}.255.254", PEERS_PORT))
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as first:
                    first.bind((f"127.{self.number}.0.1", PEERS_PORT))  # of a trial that was killed
            except OSError:
                self.lock.close()
            else:
                return
        raise OSError("no block of loopback addresses is free")

    def close(self) -> None:
        self.lock.close()


@dataclass(slots=True)
class SentRequest:
    """A request, the node that it was sent to, and what came of it."""

    node: str
    sent: float  # s on the monotonic clock
    result: Result


@dataclass(slots=True)
class ServerStateChange:
    """A server's line as the list wrote it: when first."""

    server: str
    state: str
    at: float


@dataclass(slots=True)
class World:
    """Everything of a trial, by name: nodes n0, n1, …, servers s-1, s-2, …"""

    shape: Shape
    folder: Path
    switch: Switch = field(init=False)
    block: Block = field(init=False)
    nodes: dict[str, NodeProcess] = field(default_factory=dict)
    servers: dict[str, DispatchServer] = field(default_factory=dict)
    effect_times: dict[str, float] = field(
        default_factory=dict
    )  # keys that had their effect: one group
    sent_requests: list[SentRequest] = field(default_factory=list)
    state_changes: list[ServerStateChange] = field(default_factory=list)
    catalog: Catalog = field(init=False)
    started_at_s: float = 0.0
    max_timer_delay_s: float = 0.0  # s by which this machine was late with a timer, at worst
    timer_monitor: asyncio.Task[None] | None = None
    background_tasks: list[asyncio.Task[None]] = field(
        default_factory=list
    )  # what befalls by itself
    downtimes: dict[str, list[list[float]]] = field(
        default_factory=dict
    )  # when nodes did not run: from, until

    def __post_init__(self) -> None:
        self.switch = Switch(self.shape.seed)
        self.block = Block()

    def addresses(self, kind: int, number: int) -> tuple[str, str]:
        """What one sends from, and what the switch shows for it, in this trial's block of
        addresses."""
        place = f"{kind * 32 + (number >> 8)}.{number & 255}"
        shown = f"{128 + kind * 32 + (number >> 8)}.{number & 255}"
        return f"127.{self.block.number}.{place}", f"127.{self.block.number}.{shown}"

    async def start(self) -> World:
        """All of it. What is up is put down again where something does not come up."""
        try:
            await self.start_processes()
        except BaseException:
            await self.stop()
            raise
        self.started_at_s = time.monotonic()
        return self

    async def start_processes(self) -> None:
        shape = self.shape
        for number in range(1, shape.servers + 1):
            zone = shape.zones[number % len(shape.zones)]
            server = DispatchServer(
                f"s-{number}", WORK_MS, shape.cores, shape.queue, "k", zone, shape.seed
            )
            server.done = self.effect_times
            server.host, shown = self.addresses(2, number)
            await server.start()
            await self.switch.add(server.name, (server.host, server.port), (shown, 0))
            server.shown = "{}:{}".format(*self.switch.endpoints[server.name].switch_address)
            self.servers[server.name] = server
        self.catalog = Catalog([server.entry() for server in self.servers.values()])
        self.catalog.host, shown = self.addresses(1, 1)
        await self.catalog.start()
        await self.switch.add(LIST, (self.catalog.host, self.catalog.port), (shown, 0))
        for number in range(shape.nodes):
            real, shown = self.addresses(0, number + 1)
            await self.switch.add(f"n{number}", (real, PEERS_PORT), (shown, PEERS_PORT))
            file = self.folder / f"n{number}.toml"
            file.write_text(self.node_file(number))
            self.nodes[f"n{number}"] = NodeProcess(f"n{number}", file)
        await asyncio.gather(*(node.start() for node in self.nodes.values()))
        self.timer_monitor = asyncio.ensure_future(self.monitor_timers())
        await asyncio.gather(*(node.wait_for_event("list.taken") for node in self.nodes.values()))

    def node_file(self, number: int) -> str:
        """A node's operator's file."""
        shape, (real, shown) = self.shape, self.addresses(0, number + 1)
        zone, said = shape.zones[number % len(shape.zones)], shape.said or shape.nodes
        zones = ", ".join(f'"{zone}"' for zone in shape.zones)
        lines = [
            f'[node]\nname = "n{number}"\nzone = "{zone}"\nseed = "{number:x}"',
            f'source = "{real}"\nnumber = {number % said}\nnodes = {said}',
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
            first = [self.addresses(0, at + 1)[1] for at in range(min(3, shape.nodes))]
            seeds = ", ".join(f'"{host}:{PEERS_PORT}"' for host in first)
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
        return "\n".join([*lines, shape.more]) + "\n"

    async def monitor_timers(self) -> None:
        """How late timers ring here: by so much a node may be late, too, for no fault of its
        own."""
        while True:
            due = time.monotonic() + TIMER_CHECK_INTERVAL_S
            await asyncio.sleep(TIMER_CHECK_INTERVAL_S)
            self.max_timer_delay_s = max(self.max_timer_delay_s, time.monotonic() - due)

    async def stop(self) -> dict[str, int]:
        """End all of it; gives the exit status of each node that still ran."""
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

    # What befalls them.

    def publish_state(self, server: DispatchServer) -> None:
        """Have the list say what the server is now."""
        self.catalog.change(server.entry())
        self.state_changes.append(ServerStateChange(server.name, server.state, time.monotonic()))

    def drain_server(self, name: str) -> None:
        self.servers[name].state = "leaving"
        self.publish_state(self.servers[name])

    def restart_server(self, name: str) -> None:
        """Started anew, cold."""
        server = self.servers[name]
        server.state, server.started_at = "active", int(time.time() * 1000)
        self.publish_state(server)

    def crash_server(self, name: str) -> None:
        """A server dies: its connections break, new ones are refused, and the list says nothing
        yet."""
        self.servers[name].stop()

    async def revive_server(self, name: str) -> None:
        """It is back on its address, cold."""
        server = self.servers[name]
        await server.start(server.port)
        self.restart_server(name)

    def servers_in_zone(self, zone: str) -> list[str]:
        return [server.name for server in self.servers.values() if server.zone == zone]

    def split_by_zone(self, zone: str) -> tuple[list[str], list[str]]:
        """Nodes and servers of a zone, and all others."""
        zones = self.shape.zones
        there = {name: zones[at % len(zones)] for at, name in enumerate(self.nodes)}
        there |= {server.name: server.zone for server in self.servers.values()}
        return [n for n, z in there.items() if z == zone], [
            n for n, z in there.items() if z != zone
        ]

    async def kill_node(self, name: str) -> None:
        """SIGKILL."""
        self.downtimes.setdefault(name, []).append([time.monotonic(), math.inf])
        await self.nodes[name].kill()

    async def restart_node(self, name: str) -> None:
        """A killed one, by its name and address."""
        await self.nodes[name].start()
        self.downtimes[name][-1][1] = time.monotonic()

    def freeze_node(self, name: str) -> None:
        """SIGSTOP."""
        self.downtimes.setdefault(name, []).append([time.monotonic(), math.inf])
        self.nodes[name].freeze()

    def resume_node(self, name: str) -> None:
        self.nodes[name].resume()
        self.downtimes[name][-1][1] = time.monotonic()

    def split_groups(self, *parts: list[str]) -> None:
        """Cut these groups of names from each other."""
        for at, part in enumerate(parts):
            for other in parts[at + 1 :]:
                self.switch.set_both_ways(part, other, cut=True)

    def event_counts(self) -> dict[str, int]:
        """A moment in what each node has said, for `level`."""
        return {name: len(node.events) for name, node in self.nodes.items()}

    async def wait_for_level(self, level: str, names: list[str], since: dict[str, int]) -> None:
        """Until each of these nodes has said, since a moment, that it stands there."""
        waits = (
            self.nodes[n].wait_for_event(
                "peers.level", lambda told: told["standing"] == level, since[n]
            )
            for n in names
        )
        await asyncio.gather(*waits)

    async def wait_for_plan(
        self,
        names: list[str],
        since: dict[str, int],
        matches: Callable[[dict[str, Any]], bool] = lambda e: True,
    ) -> list[dict[str, Any]]:
        """Until each of these nodes has said, since a moment, that such a plan is in force
        there."""
        waits = (
            self.nodes[name].wait_for_event("zones.plan", matches, since[name]) for name in names
        )
        return list(await asyncio.gather(*waits))

    async def wait_for_members(self, size: int, among: list[str] | None = None) -> None:
        """Until each of these nodes has so many in reach."""
        names = among or list(self.nodes)
        await asyncio.gather(
            *(
                self.nodes[name].wait_for_event("peers.level", lambda told: told["live"] == size)
                for name in names
            )
        )

    # Clients.

    async def send_traffic(
        self, rate: float, seconds: float, seed: int = 1, nodes: list[str] | None = None
    ) -> None:
        """Requests at seeded times, whatever came of those before, over those of these nodes that
        run."""
        names = nodes or list(self.nodes)
        connections, start = http1.Connections(), time.monotonic()
        asking: list[asyncio.Task[None]] = []
        for number, arrival in enumerate(arrivals(seed, rate, seconds)):
            await asyncio.sleep(max(0.0, start + arrival.at - time.monotonic()))
            running = [
                n for n in names if all(until < math.inf for _, until in self.downtimes.get(n, ()))
            ]
            if not running:
                continue
            name = running[number % len(running)]
            asking.append(asyncio.ensure_future(self.send_request(name, arrival, connections)))
        await asyncio.gather(*asking)
        connections.close()

    async def send_request(
        self, name: str, arrival: Arrival, connections: http1.Connections
    ) -> None:
        sent = time.monotonic()
        result = await ask(
            self.nodes[name].frontend_address, arrival, connections, LATE_RESPONSE_GRACE_MS
        )
        self.sent_requests.append(SentRequest(name, sent, result))
