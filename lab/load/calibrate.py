"""Calibration: one experiment on sockets and in the model, with one seed, and how far they differ.

The experiment on sockets uses stand-in servers, their catalog, and node processes whose settings
file follows the experiment. What stand-in servers lack (a cold ramp, known keys, service-time
distributions other than the uniform one), and faults that can't be injected on loopback sockets,
are reported as problems of the experiment file.
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

from lab.arrivals import plan_requests
from lab.load.driver import START_DELAY_S, LoadResults, drive, measured
from lab.model import simulate_day
from lab.random_streams import generator
from lab.settings import Day, Trouble
from standins.demo import NodeProcess
from standins.fleet import Fleet
from standins.server import DispatchServer

SUPPORTED_FAULTS = ("slow", "silent", "errors", "drain", "crash", "surge", "hot_key")
NODE_START_TIME_S = 3.0  # for nodes to start before the first request


class CalibrationError(Exception):
    """An experiment can't run on sockets; the message says why."""


def problems_of(day: Day) -> Iterator[str]:
    """Yield each reason why an experiment can't run on sockets."""
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
    for fault in day.trouble:
        if fault.kind not in SUPPORTED_FAULTS:
            yield f"the trouble {fault.kind!r} is none of {', '.join(SUPPORTED_FAULTS)}"


@dataclass(slots=True, frozen=True)
class Calibration:
    """The results of one experiment on sockets and in the model."""

    name: str
    seed: int
    sockets: float  # worth of the requests served in time, as a share
    model: float
    sockets_p99: float  # ms
    model_p99: float
    behind: int  # requests that were not sent on schedule
    requests: int

    @property
    def worth(self) -> float:
        """Return the difference of the worth in time."""
        return abs(self.sockets - self.model)

    @property
    def tail(self) -> float:
        """Return the difference of the 99th percentiles, relative to the one on sockets."""
        return abs(self.sockets_p99 - self.model_p99) / max(self.sockets_p99, 1e-9)


def operators_file(day: Day, catalog: str, node: int) -> str:
    """Return the settings file of a node, with the settings of the model's nodes."""
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
    """Return stand-in servers that match the model's, with the same kinds at the same numbers."""
    from lab.clock import VirtualClock
    from lab.random_streams import uniform_stream
    from lab.servers import build_fleet

    work = {}
    for cls in day.class_:
        half = cls.work_ms * min(cls.cv * math.sqrt(3.0), 1.0)
        work[cls.name] = (cls.work_ms - half, cls.work_ms + half)
    stand_ins = Fleet(0, seed)
    for server in build_fleet(
        VirtualClock(), day, lambda number: uniform_stream(generator(seed, "server", number))
    ):
        stand_ins.servers.append(
            DispatchServer(
                f"s-{server.number}", work, server.kind.cores, server.kind.queue, server.kind.name,
                f"z{server.zone}", seed,
            )
        )  # fmt: skip
    return stand_ins


async def inject_faults(fleet: Fleet, day: Day, seed: int, start: float) -> None:
    """Inject the experiment's faults into the same servers as in the model."""
    steps: list[tuple[float, Trouble, bool, list[DispatchServer]]] = []
    for number, fault in enumerate(day.trouble):
        if fault.kind in ("surge", "hot_key"):
            continue
        count = max(1, round(fault.share * len(fleet.servers)))
        chosen = generator(seed, "trouble", number).choice(len(fleet.servers), count, replace=False)
        servers = [fleet.servers[index] for index in sorted(chosen.tolist())]
        steps.append((fault.at_s, fault, True, servers))
        steps.append((fault.at_s + fault.for_s, fault, False, servers))
    for at_s, fault, begins, servers in sorted(steps, key=lambda step: step[0]):
        await asyncio.sleep(max(0.0, start + at_s - time.monotonic()))
        for server in servers:
            await set_fault(fleet, day, fault, begins, server)


async def set_fault(
    fleet: Fleet, day: Day, fault: Trouble, begins: bool, server: DispatchServer
) -> None:
    """Begin or end one fault at one server."""
    if fault.kind == "slow":
        server.service_time_factor = fault.size if begins else 1.0
    elif fault.kind == "silent":
        server.silent_share = fault.chance if begins else 0.0
    elif fault.kind == "errors":
        server.error_share = fault.chance if begins else 0.0
    elif fault.kind == "crash" and begins:
        server.stop()
        server.state = "left"
        asyncio.get_running_loop().call_later(
            day.lists.crash_notice_ms / 1000, publish_entry, fleet, server
        )
    elif fault.kind == "crash":
        await server.start(server.port)
        server.state = "active"
        asyncio.get_running_loop().call_later(
            day.lists.notice_ms / 1000, publish_entry, fleet, server
        )
    else:
        server.state = "leaving" if begins else "active"
        asyncio.get_running_loop().call_later(
            day.lists.notice_ms / 1000, publish_entry, fleet, server
        )


def publish_entry(fleet: Fleet, server: DispatchServer) -> None:
    """Publish the server's entry in the catalog."""
    fleet.catalog.change(server.entry())


async def run_on_sockets(day: Day, seed: int, processes: int) -> LoadResults:
    """Run an experiment against node processes.

    Raises RuntimeError if a node doesn't come up, and OSError.
    """
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
            start = time.monotonic() + START_DELAY_S
            faults = asyncio.ensure_future(inject_faults(fleet, day, seed, start))
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                results = await loop.run_in_executor(
                    pool, lambda: drive(addresses, day, seed, "http", processes, start=start)
                )
            faults.cancel()
    finally:
        for node in nodes:
            await node.stop()
        await fleet.stop()
    return results


def calibrate(day: Day, seed: int, processes: int = 2) -> Calibration:
    """Run an experiment on sockets and in the model.

    Raises CalibrationError, RuntimeError and OSError.
    """
    if problems := list(problems_of(day)):
        raise CalibrationError("; ".join(problems))
    results = asyncio.run(run_on_sockets(day, seed, max(processes, day.fleet.nodes)))
    measure = measured(day, seed, results)
    figures = measure.to_dict()
    modelled = simulate_day(day, "badgercart", seed)
    return Calibration(
        day.experiment.name, seed, figures["share"], modelled["share"], figures["quantiles"]["p99"],
        modelled["quantiles"]["p99"], results.behind, len(plan_requests(day, seed)),
    )  # fmt: skip
