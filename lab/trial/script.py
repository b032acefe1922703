"""What a trial's file says: its shape, and what befalls whom and when, by the model's words where
it can."""

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
from lab.settings import BEFALLS_NODES, ZONED, Share
from lab.trial.world import LIST, Shape, World


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
        return Shape(
            self.nodes, self.servers, self.zones, self.cores, self.queue, self.quota, self.cold_from,
            self.ramp_ms, self.peers, self.period_ms, seed=self.seed, said=self.said, plan=self.plan,
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
    """Read and check a trial's file. FileError names all that is wrong, by line and key."""
    read = document.read(path, os.environ)
    lines = lines_of(read.text)

    def faults(found: list[tuple[tuple[str | int, ...], str]]) -> SettingsFileError:
        return SettingsFileError(
            read.path, [problem(place, words, lines, read.origins) for place, words in found]
        )

    try:
        file = TrialFile.model_validate(read.raw)
    except ValidationError as error:
        raise faults(list(of_model(error, TrialFile))) from None
    wrong: list[tuple[tuple[str | int, ...], str]] = []
    known = {f"n{number}" for number in range(file.trial.nodes)}
    for at, trouble in enumerate(file.trouble):
        if trouble.at_s + trouble.for_s > file.trial.seconds + 5:
            wrong.append((("trouble", at, "for_s"), "lasts beyond the trial's end"))
        wanted = [("zone", trouble.zone)] if trouble.kind in ("partition", *ZONED[:-1]) else []
        wanted += [("to", trouble.to)] if trouble.kind == "zone_way" else []
        for key, zone in (*wanted, *(("zones", zone) for zone in trouble.zones)):
            if zone not in file.trial.zones:
                wrong.append((("trouble", at, key), f"{zone!r} is none of trial.zones"))
        for place, name in enumerate(trouble.nodes):
            if name not in known:
                wrong.append(
                    (
                        ("trouble", at, "nodes", place),
                        f"{name!r} is none of n0 to n{len(known) - 1}",
                    )
                )
        if trouble.kind in (*BEFALLS_NODES, "node_restart") and not trouble.nodes:
            wrong.append((("trouble", at, "nodes"), f"is missing: {trouble.kind} befalls nodes"))
        if trouble.kind == "one_way" and len(trouble.nodes) != 2:
            wrong.append((("trouble", at, "nodes"), "one_way takes two: from and to"))
    if file.trial.plan and not file.trial.peers:
        wrong.append((("trial", "plan"), "takes peers = true"))
    if wrong:
        raise faults(wrong)
    return file


# What each kind does. Each step may be awaited for, and none waits longer than what it starts.

FaultStep = Callable[[World, InjectedFault, list[str]], Awaitable[None]]


async def slow(world: World, fault: InjectedFault, servers: list[str]) -> None:
    for name in servers:
        world.servers[name].slowness *= fault.size


async def slow_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    for name in servers:
        world.servers[name].slowness /= fault.size


async def silent(world: World, fault: InjectedFault, servers: list[str]) -> None:
    for name in servers:
        world.servers[name].silent = fault.chance


async def errors(world: World, fault: InjectedFault, servers: list[str]) -> None:
    for name in servers:
        world.servers[name].failing = fault.chance


async def clear_errors(world: World, fault: InjectedFault, servers: list[str]) -> None:
    for name in servers:
        world.servers[name].silent = world.servers[name].failing = 0.0


async def drain(world: World, fault: InjectedFault, servers: list[str]) -> None:
    for name in servers:
        world.drain_server(name)


async def drain_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    for name in servers:
        world.servers[name].state = "active"
        world.publish_state(world.servers[name])


async def restart_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    for name in servers:
        world.restart_server(name)


async def partition(world: World, fault: InjectedFault, servers: list[str]) -> None:
    inside, outside = world.split_by_zone(fault.zone)
    world.switch.set_both_ways(inside, outside, cut=True)


async def partition_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    inside, outside = world.split_by_zone(fault.zone)
    world.switch.set_both_ways(inside, outside, cut=False)


async def zone_loss(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """All servers of a zone die at once; its nodes live."""
    for name in world.servers_in_zone(fault.zone):
        world.crash_server(name)


async def zone_loss_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    for name in world.servers_in_zone(fault.zone):
        await world.revive_server(name)


async def zone_slow(world: World, fault: InjectedFault, servers: list[str]) -> None:
    await slow(world, fault, world.servers_in_zone(fault.zone))


async def zone_slow_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    await slow_end(world, fault, world.servers_in_zone(fault.zone))


async def zone_flap(world: World, fault: InjectedFault, servers: list[str]) -> None:
    """Cut off and joined again for `size` s each, until its time is over."""
    inside, outside = world.split_by_zone(fault.zone)

    async def turns() -> None:
        cut = True
        for _ in range(int(fault.for_s / fault.size) - 1):
            world.switch.set_both_ways(inside, outside, cut=cut)
            await asyncio.sleep(fault.size)
            cut = not cut

    world.background_tasks.append(asyncio.ensure_future(turns()))


async def zone_way(world: World, fault: InjectedFault, servers: list[str]) -> None:
    world.switch.set_one_way(
        world.split_by_zone(fault.zone)[0], world.split_by_zone(fault.to)[0], cut=True
    )


async def zone_way_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    world.switch.set_one_way(
        world.split_by_zone(fault.zone)[0], world.split_by_zone(fault.to)[0], cut=False
    )


def region_sides(world: World, fault: InjectedFault) -> tuple[list[str], list[str]]:
    """All of these zones, and all others with the list."""
    inside = [name for zone in fault.zones for name in world.split_by_zone(zone)[0]]
    everybody = [*world.nodes, *world.servers, LIST]
    return inside, [name for name in everybody if name not in inside]


async def region_cut(world: World, fault: InjectedFault, servers: list[str]) -> None:
    world.switch.set_both_ways(*region_sides(world, fault), cut=True)


async def region_cut_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    world.switch.set_both_ways(*region_sides(world, fault), cut=False)


async def loss(world: World, fault: InjectedFault, servers: list[str]) -> None:
    world.switch.set_both_ways(list(world.nodes), list(world.nodes), loss=fault.chance)


async def loss_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    world.switch.set_both_ways(list(world.nodes), list(world.nodes), loss=0.0)


async def kill(world: World, fault: InjectedFault, servers: list[str]) -> None:
    await asyncio.gather(*(world.kill_node(name) for name in fault.nodes))


async def kill_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    await asyncio.gather(*(world.restart_node(name) for name in fault.nodes))


async def freeze(world: World, fault: InjectedFault, servers: list[str]) -> None:
    for name in fault.nodes:
        world.freeze_node(name)


async def freeze_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    for name in fault.nodes:
        world.resume_node(name)


def split_sides(world: World, fault: InjectedFault) -> tuple[list[str], list[str]]:
    names = list(world.nodes)
    place = max(1, round(fault.share * len(names)))
    return names[:place], names[place:]


async def split(world: World, fault: InjectedFault, servers: list[str]) -> None:
    world.switch.set_both_ways(*split_sides(world, fault), cut=True)


async def split_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    world.switch.set_both_ways(*split_sides(world, fault), cut=False)


async def one_way(world: World, fault: InjectedFault, servers: list[str]) -> None:
    world.switch.set_fault(*fault.nodes, cut=True)


async def one_way_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
    world.switch.set_fault(*fault.nodes, cut=False)


async def list_cut(world: World, fault: InjectedFault, servers: list[str]) -> None:
    world.switch.set_both_ways(list(fault.nodes), [LIST], cut=True)


async def list_cut_end(world: World, fault: InjectedFault, servers: list[str]) -> None:
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


async def inject(world: World, fault: InjectedFault, number: int) -> None:
    """One trouble from its beginning to its end; whom it befalls is drawn by the seed and its
    place."""
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
    """Requests and troubles, until both are over. Clients turn to the nodes that run."""
    if file.trial.peers:
        await world.wait_for_members(file.trial.nodes)
    troubles = [inject(world, fault, number) for number, fault in enumerate(file.trouble)]
    traffic = world.send_traffic(file.trial.per_s, file.trial.seconds, file.trial.seed)
    await asyncio.gather(traffic, *troubles)
