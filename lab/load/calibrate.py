"""One day on sockets and in the model, by one seed: how far the model is from what it models.

The sockets' side is this repository's own: stand-in servers, their catalog, and node processes by
an operator's file that says what the day says. What stand-in servers have not (a cold ramp, known
keys, laws of work but the uniform one), and troubles that sockets on loopback can't have, are
faults of the file.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import math
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from lab.arrivals import plan
from lab.chance import generator
from lab.load.driver import LEAD, Told, drive, measured
from lab.model import play_day
from lab.settings import Day, Trouble
from standins.demo import NodeProcess
from standins.fleet import Fleet
from standins.server import DispatchServer

ON_SOCKETS = ("slow", "silent", "errors", "drain", "crash", "surge", "hot_key")
NODE_TIME = 3.0  # s that nodes have to come up before the first request


class CalibrationError(Exception):
    """A day that sockets can't play: why."""


def faults(day: Day) -> Iterator[str]:
    """Why a day can't be played on sockets."""
    if day.fleet.warm_gain or day.fleet.all_cold or any(kind.cold_from < 1 for kind in day.kind):
        yield "stand-in servers are never cold and know no keys"
    if any(cls.dist != "uniform" for cls in day.class_):
        yield 'stand-in servers draw work by the uniform law: dist = "uniform"'
    if any(kind.speed != 1 or kind.error_share for kind in day.kind):
        yield "stand-in servers have a speed of 1 and fail by troubles only"
    if any(cls.effect == "unsafe" for cls in day.class_):
        yield "stand-in servers know safe and keyed classes"
    if day.clients.retries or day.clients.impatient:
        yield "the load's clients ask once, and wait"
    for trouble in day.trouble:
        if trouble.kind not in ON_SOCKETS:
            yield f"the trouble {trouble.kind!r} is none of {', '.join(ON_SOCKETS)}"


@dataclass(slots=True, frozen=True)
class Distance:
    """The two sides of one day."""

    name: str
    seed: int
    sockets: float  # worth in time
    model: float
    sockets_p99: float  # ms
    model_p99: float
    behind: int  # requests that were not sent by their schedule
    requests: int

    @property
    def worth(self) -> float:
        return abs(self.sockets - self.model)

    @property
    def tail(self) -> float:
        """The difference of the 99th percentiles over the sockets'."""
        return abs(self.sockets_p99 - self.model_p99) / max(self.sockets_p99, 1e-9)


def operators_file(day: Day, catalog: str, node: int) -> str:
    """What a node is set to, as the model's nodes are."""
    settings = day.policy_settings(node)
    zones = ", ".join(f'"z{number}"' for number in range(day.net.zones))
    kinds = ", ".join(f'"{kind.name}"' for kind in day.kind)
    lines = [
        f'[node]\nname = "lab-{node}"\nzone = "z{node % day.net.zones}"',
        f"number = {node}\nnodes = {day.fleet.nodes}",
        f"[fleet]\nzones = [{zones}]\nkinds = [{kinds}]\ndrain_grace_ms = {day.node.drain_grace_ms:.0f}",
        f"[retry]\nmax_attempts = {day.node.max_attempts}",
        f"max_retry_after_ms = {day.node.max_retry_after_ms}",
        f"cancel = {str(day.node.cancel).lower()}\nover_share_worth = {day.node.over_share_worth}",
    ]
    for cls in day.class_:
        lines += [
            f'[[class]]\nname = "{cls.name}"\naim_ms = {cls.aim_ms}\ndeadline_ms = {cls.deadline_ms}',
            f'worth = {cls.worth}\neffect = "{cls.effect}"\nlate_value = {cls.late_value}',
            f'group = "{cls.group}"\nwindow_ms = {cls.window_ms}' if cls.effect == "keyed" else "",
        ]
    for tenant, quota in zip(day.tenant, settings.quotas_per_s, strict=True):
        lines.append(f'[[tenant]]\nname = "{tenant.name}"\nquota_per_s = {quota:.3f}')
    return "\n".join(
        [*lines, f'[members]\ncatalog = "{catalog}"', '[fronts.http]\nlisten = "127.0.0.1:0"\n']
    )


def fleet_of(day: Day, seed: int) -> Fleet:
    """Stand-in servers as the model's: kinds in the same places."""
    from lab.chance import uniform
    from lab.clock import Clock
    from lab.servers import fleet

    work = {}
    for cls in day.class_:
        half = cls.work_ms * min(cls.cv * math.sqrt(3.0), 1.0)
        work[cls.name] = (cls.work_ms - half, cls.work_ms + half)
    made = Fleet(0, seed)
    for server in fleet(Clock(), day, lambda number: uniform(generator(seed, "server", number))):
        made.servers.append(
            DispatchServer(
                f"s-{server.number}", work, server.kind.cores, server.kind.queue, server.kind.name,
                f"z{server.zone}", seed,
            )
        )  # fmt: skip
    return made


async def befall(fleet: Fleet, day: Day, seed: int, start: float) -> None:
    """The day's troubles, to the same servers as in the model."""
    steps: list[tuple[float, Trouble, bool, list[DispatchServer]]] = []
    for number, trouble in enumerate(day.trouble):
        if trouble.kind in ("surge", "hot_key"):
            continue
        count = max(1, round(trouble.share * len(fleet.servers)))
        chosen = generator(seed, "trouble", number).choice(len(fleet.servers), count, replace=False)
        servers = [fleet.servers[at] for at in sorted(chosen.tolist())]
        steps.append((trouble.at_s, trouble, True, servers))
        steps.append((trouble.at_s + trouble.for_s, trouble, False, servers))
    for at, trouble, begins, servers in sorted(steps, key=lambda step: step[0]):
        await asyncio.sleep(max(0.0, start + at - time.monotonic()))
        for server in servers:
            await step(fleet, day, trouble, begins, server)


async def step(
    fleet: Fleet, day: Day, trouble: Trouble, begins: bool, server: DispatchServer
) -> None:
    """One trouble begins or ends at one server."""
    if trouble.kind == "slow":
        server.slowness = trouble.size if begins else 1.0
    elif trouble.kind == "silent":
        server.silent = trouble.chance if begins else 0.0
    elif trouble.kind == "errors":
        server.failing = trouble.chance if begins else 0.0
    elif trouble.kind == "crash" and begins:
        server.stop()
        server.state = "left"
        asyncio.get_running_loop().call_later(
            day.lists.crash_notice_ms / 1000, told_later, fleet, server
        )
    elif trouble.kind == "crash":
        await server.start(server.port)
        server.state = "active"
        asyncio.get_running_loop().call_later(day.lists.notice_ms / 1000, told_later, fleet, server)
    else:
        server.state = "leaving" if begins else "active"
        asyncio.get_running_loop().call_later(day.lists.notice_ms / 1000, told_later, fleet, server)


def told_later(fleet: Fleet, server: DispatchServer) -> None:
    fleet.catalog.change(server.entry())


async def on_sockets(day: Day, seed: int, processes: int) -> Told:
    """Play a day against node processes. Raises RuntimeError where one does not come up, and
    OSError."""
    fleet = await fleet_of(day, seed).start()
    nodes: list[NodeProcess] = []
    loop = asyncio.get_running_loop()
    try:
        with tempfile.TemporaryDirectory() as folder:
            for number in range(day.fleet.nodes):
                file = Path(folder) / f"node-{number}.toml"
                file.write_text(operators_file(day, fleet.catalog.address, number))
                nodes.append(NodeProcess(("http",)))
                await nodes[-1].start(file)
            addresses = [node.fronts["http"] for node in nodes]
            start = time.monotonic() + LEAD
            troubles = asyncio.ensure_future(befall(fleet, day, seed, start))
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                told = await loop.run_in_executor(
                    pool, lambda: drive(addresses, day, seed, "http", processes, start=start)
                )
            troubles.cancel()
    finally:
        for node in nodes:
            await node.stop()
        await fleet.stop()
    return told


def calibrate(day: Day, seed: int, processes: int = 2) -> Distance:
    """Both sides of a day. Raises CalibrationError, RuntimeError and OSError."""
    if found := list(faults(day)):
        raise CalibrationError("; ".join(found))
    told = asyncio.run(on_sockets(day, seed, max(processes, day.fleet.nodes)))
    measure = measured(day, seed, told)
    figures = measure.plain()
    modelled = play_day(day, "badgercart", seed)
    return Distance(
        day.experiment.name, seed, figures["share"], modelled["share"], figures["quantiles"]["p99"],
        modelled["quantiles"]["p99"], told.behind, len(plan(day, seed)),
    )  # fmt: skip
