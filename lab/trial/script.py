"""The trial file: its tables, its validation, and the steps that inject each kind of fault.

Tables and keys follow those of the model's experiment files where both have the same thing.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Awaitable, Callable
from typing import Annotated, Literal

from pydantic import Field, ValidationError

from badgercart.app import document
from badgercart.app.faults import SettingsFileError, of_model, problem
from badgercart.app.locate import lines_of
from badgercart.app.model import Listed, Name, Names, Table
from lab.settings import NODE_FAULT_KINDS, ZONE_FAULT_KINDS, Share
from lab.trial.world import LIST, Shape, World

MAX_OVERRUN_S = 5  # by which a fault may last beyond the end of the traffic


class TrialTable(Table):
    """a trial of real processes"""

    name: Name = Field(description="its name in tables and reports")
    seconds: float = Field(10.0, ge=1, le=3600, description="how long requests come (s)")
    nodes: int = Field(3, ge=1, le=200, description="node processes")
    servers: int = Field(4, ge=1, le=1000, description="stand-in servers")
    zones: Names = Field(
        ("a", "b", "c"), min_length=1, description="zones; nodes and servers are spread over them"
    )
    cores: int = Field(8, ge=1, le=1024, description="requests that a server serves at once")
    queue: int = Field(
        16, ge=0, le=100_000, description="requests that wait at a server; more are turned away"
    )
    per_s: float = Field(100.0, gt=0, le=100_000, description="requests a second over all nodes")
    quota: float = Field(
        1000.0, gt=0, le=1e6, description="all tenants' shares together (requests a second)"
    )
    cold_from: float = Field(
        0.3, ge=0.01, le=1, description="what a started server can do at first"
    )
    ramp_ms: float = Field(6000.0, ge=0, le=3_600_000, description="the time until it is warm (ms)")
    peers: bool = Field(True, description="whether nodes know each other")
    period_ms: float = Field(
        200.0, ge=50, le=60_000, description="the time between a node's probes (ms)"
    )
    seed: int = Field(1, ge=0, description="of requests, servers and the switch")
    plan: Literal["", "shared", "majority"] = Field(
        "", description="the mode in which zones fail over; none"
    )
    said: int = Field(
        0, ge=0, le=65536, description="how many nodes their files say there are; 0: the truth"
    )

    def shape(self) -> Shape:
        """Return the shape of the world that this trial needs."""
        return Shape(
            self.nodes, self.servers, self.zones, self.cores, self.queue, self.quota, self.cold_from,
            self.ramp_ms, self.peers, self.period_ms, seed=self.seed, configured_nodes=self.said, plan=self.plan,
        )  # fmt: skip


class InjectedFault(Table):
    """something that happens"""

    kind: Literal[
        "slow", "silent", "errors", "drain", "restart", "partition", "loss", "node_restart",
        "freeze", "kill", "split", "one_way", "list_cut",
        "zone_loss", "zone_slow", "zone_flap", "zone_way", "region_cut",
    ] = Field(description="what happens")  # fmt: skip
    at_s: float = Field(ge=0, le=3600, description="when it begins (s)")
    for_s: float = Field(2.0, gt=0, le=3600, description="how long it lasts (s)")
    share: Share = Field(
        0.25, description="the part of the servers that it befalls; of the nodes for a split"
    )
    size: float = Field(4.0, ge=0, le=1000, description="slow: how many times slower")
    chance: Share = Field(
        1.0, description="silent, errors, loss: the part of requests or datagrams"
    )
    zone: Name = Field("", description="partition, zone_…: the zone that it befalls")
    to: Name = Field("", description="zone_way: nothing passes from `zone` to this one")
    zones: Names = Field(
        (), description="region_cut: the zones that are cut off from all others together"
    )
    nodes: Annotated[tuple[Name, ...], Listed] = Field(
        (), description="freeze, kill, list_cut, one_way: which"
    )


class TrialFile(Table):
    """a trial's file"""

    trial: TrialTable
    trouble: Annotated[tuple[InjectedFault, ...], Listed] = Field((), description="what happens")


def load(path: str) -> TrialFile:
    """Read and validate a trial file.

    Raises SettingsFileError, which names every problem by line and key.
    """
    settings = document.read(path, os.environ)
    lines = lines_of(settings.text)

    def settings_error(found: list[tuple[tuple[str | int, ...], str]]) -> SettingsFileError:
        return SettingsFileError(
            settings.path,
            [problem(key, message, lines, settings.origins) for key, message in found],
        )

    try:
        file = TrialFile.model_validate(settings.raw)
    except ValidationError as error:
        raise settings_error(list(of_model(error, TrialFile))) from None
    problems: list[tuple[tuple[str | int, ...], str]] = []
    node_names = {f"n{number}" for number in range(file.trial.nodes)}
    for index, fault in enumerate(file.trouble):
        if fault.at_s + fault.for_s > file.trial.seconds + MAX_OVERRUN_S:
            problems.append((("trouble", index, "for_s"), "lasts beyond the trial's end"))
        required_zones = (
            [("zone", fault.zone)] if fault.kind in ("partition", *ZONE_FAULT_KINDS[:-1]) else []
        )
        required_zones += [("to", fault.to)] if fault.kind == "zone_way" else []
        for key, zone in (*required_zones, *(("zones", zone) for zone in fault.zones)):
            if zone not in file.trial.zones:
                problems.append((("trouble", index, key), f"{zone!r} is none of trial.zones"))
        for position, name in enumerate(fault.nodes):
            if name not in node_names:
                problems.append(
                    (
                        ("trouble", index, "nodes", position),
                        f"{name!r} is none of n0 to n{len(node_names) - 1}",
                    )
                )
        if fault.kind in (*NODE_FAULT_KINDS, "node_restart") and not fault.nodes:
            problems.append(
                (("trouble", index, "nodes"), f"is missing: {fault.kind} befalls nodes")
            )
        if fault.kind == "one_way" and len(fault.nodes) != 2:
            problems.append((("trouble", index, "nodes"), "one_way takes two: from and to"))
    if file.trial.plan and not file.trial.peers:
        problems.append((("trial", "plan"), "takes peers = true"))
    if problems:
        raise settings_error(problems)
    return file


# The begin and end steps of each kind of fault. A step may wait until what it starts is up, no
# longer.

FaultStep = Callable[[World, InjectedFault, list[str]], Awaitable[None]]


async def slow(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Multiply the service times of the chosen servers."""
    for name in servers:
        world.servers[name].service_time_factor *= fault.size


async def slow_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Restore the service times of the chosen servers."""
    for name in servers:
        world.servers[name].service_time_factor /= fault.size


async def silent(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Have the chosen servers leave a share of their requests unanswered."""
    for name in servers:
        world.servers[name].silent_share = fault.chance


async def errors(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Have the chosen servers answer a share of their requests with errors."""
    for name in servers:
        world.servers[name].error_share = fault.chance


async def clear_errors(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Have the chosen servers answer every request again."""
    for name in servers:
        world.servers[name].silent_share = world.servers[name].error_share = 0.0


async def drain(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Announce in the endpoint list that the chosen servers are leaving."""
    for name in servers:
        world.drain_server(name)


async def drain_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Announce in the endpoint list that the chosen servers are active again."""
    for name in servers:
        world.servers[name].state = "active"
        world.publish_state(world.servers[name])


async def restart_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Return the chosen servers to the endpoint list as freshly started ones."""
    for name in servers:
        world.restart_server(name)


async def partition(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Cut a zone off from everything else."""
    inside, outside = world.split_by_zone(fault.zone)
    world.switch.set_both_ways(inside, outside, cut=True)


async def partition_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Reconnect a zone with everything else."""
    inside, outside = world.split_by_zone(fault.zone)
    world.switch.set_both_ways(inside, outside, cut=False)


async def zone_loss(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Stop all servers of a zone at once; its nodes keep running."""
    for name in world.servers_in_zone(fault.zone):
        world.crash_server(name)


async def zone_loss_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Start the zone's servers again."""
    for name in world.servers_in_zone(fault.zone):
        await world.revive_server(name)


async def zone_slow(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Multiply the service times of all servers of a zone."""
    await slow(world, fault, world.servers_in_zone(fault.zone))


async def zone_slow_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Restore the service times of all servers of a zone."""
    await slow_end(world, fault, world.servers_in_zone(fault.zone))


async def zone_flap(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Cut a zone off and reconnect it, for `size` seconds each, until the fault's time is over."""
    inside, outside = world.split_by_zone(fault.zone)

    async def flap() -> None:
        cut = True
        for _ in range(int(fault.for_s / fault.size) - 1):
            world.switch.set_both_ways(inside, outside, cut=cut)
            await asyncio.sleep(fault.size)
            cut = not cut

    world.background_tasks.append(asyncio.ensure_future(flap()))


async def zone_way(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Cut the direction from one zone to another."""
    world.switch.set_one_way(
        world.split_by_zone(fault.zone)[0], world.split_by_zone(fault.to)[0], cut=True
    )


async def zone_way_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Reopen the direction from one zone to another."""
    world.switch.set_one_way(
        world.split_by_zone(fault.zone)[0], world.split_by_zone(fault.to)[0], cut=False
    )


def region_sides(world: World, fault: InjectedFault) -> tuple[list[str], list[str]]:
    """Return the members of these zones, and all others with the endpoint list."""
    inside = [name for zone in fault.zones for name in world.split_by_zone(zone)[0]]
    everything = [*world.nodes, *world.servers, LIST]
    return inside, [name for name in everything if name not in inside]


async def region_cut(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Cut several zones off together from all others."""
    world.switch.set_both_ways(*region_sides(world, fault), cut=True)


async def region_cut_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Reconnect the zones with all others."""
    world.switch.set_both_ways(*region_sides(world, fault), cut=False)


async def loss(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Drop a share of the datagrams between nodes."""
    world.switch.set_both_ways(list(world.nodes), list(world.nodes), loss=fault.chance)


async def loss_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Stop dropping datagrams between nodes."""
    world.switch.set_both_ways(list(world.nodes), list(world.nodes), loss=0.0)


async def kill(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Kill the named nodes."""
    await asyncio.gather(*(world.kill_node(name) for name in fault.nodes))


async def kill_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Start the named nodes again."""
    await asyncio.gather(*(world.restart_node(name) for name in fault.nodes))


async def freeze(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Suspend the named nodes."""
    for name in fault.nodes:
        world.freeze_node(name)


async def freeze_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Resume the named nodes."""
    for name in fault.nodes:
        world.resume_node(name)


def split_sides(world: World, fault: InjectedFault) -> tuple[list[str], list[str]]:
    """Return the nodes in two groups, the first as large as the fault's share of them."""
    names = list(world.nodes)
    first_group_size = max(1, round(fault.share * len(names)))
    return names[:first_group_size], names[first_group_size:]


async def split(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Cut one group of nodes off from the others."""
    world.switch.set_both_ways(*split_sides(world, fault), cut=True)


async def split_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Reconnect the two groups of nodes."""
    world.switch.set_both_ways(*split_sides(world, fault), cut=False)


async def one_way(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Cut the direction from the first named node to the second."""
    world.switch.set_fault(*fault.nodes, cut=True)


async def one_way_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Reopen the direction from the first named node to the second."""
    world.switch.set_fault(*fault.nodes, cut=False)


async def list_cut(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Cut the named nodes off from the endpoint list."""
    world.switch.set_both_ways(list(fault.nodes), [LIST], cut=True)


async def list_cut_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Reconnect the named nodes with the endpoint list."""
    world.switch.set_both_ways(list(fault.nodes), [LIST], cut=False)


FAULT_STEPS: dict[str, tuple[FaultStep, FaultStep]] = {
    "slow": (slow, slow_end),
    "silent": (silent, clear_errors),
    "errors": (errors, clear_errors),
    "drain": (drain, drain_end),
    "restart": (drain, restart_end),
    "partition": (partition, partition_end),
    "loss": (loss, loss_end),
    "node_restart": (kill, kill_end),
    "freeze": (freeze, freeze_end),
    "kill": (kill, kill_end),
    "split": (split, split_end),
    "one_way": (one_way, one_way_end),
    "list_cut": (list_cut, list_cut_end),
    "zone_loss": (zone_loss, zone_loss_end),
    "zone_slow": (zone_slow, zone_slow_end),
    "zone_flap": (zone_flap, partition_end),
    "zone_way": (zone_way, zone_way_end),
    "region_cut": (region_cut, region_cut_end),
}


async def inject_fault(world: World, fault: InjectedFault, number: int) -> None:
    """Inject one fault, from its beginning to its end.

    The affected servers are drawn from the trial's seed and the fault's position in the file.
    """
    rng = random.Random(f"{world.shape.seed} trouble {number}")
    servers = sorted(
        rng.sample(list(world.servers), max(1, round(fault.share * len(world.servers))))
    )
    begin, end = FAULT_STEPS[fault.kind]
    await asyncio.sleep(fault.at_s)
    await begin(world, fault, servers)
    await asyncio.sleep(fault.for_s)
    await end(world, fault, servers)


async def play(file: TrialFile, world: World) -> None:
    """Send requests and inject faults until both are over.

    Clients send to the nodes that are running.
    """
    if file.trial.peers:
        await world.wait_for_members(file.trial.nodes)
    faults = [inject_fault(world, fault, number) for number, fault in enumerate(file.trouble)]
    traffic = world.send_traffic(file.trial.per_s, file.trial.seconds, file.trial.seed)
    await asyncio.gather(traffic, *faults)
