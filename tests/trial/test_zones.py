"""Zone failover by one plan, with real nodes and injected faults."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from badgercart.app.cli import main
from badgercart.zones.commands import fetch_zones_page
from lab.trial.world import Shape, World
from tests.trial.support import command_runner, run_trial

REGIONS = (("a", "b"), ("c",))


def shape_of(nodes: int = 6, **more: object) -> Shape:
    """Return the shape of a world whose nodes decide plans by majority."""
    plain: dict[str, object] = {"nodes": nodes, "servers": 6, "cores": 4, "plan": "majority"}
    return Shape(**(plain | more))  # type: ignore[arg-type]


def run_planned_trial(
    folder: Path, wanted: Shape, script: Callable[[World], Awaitable[None]]
) -> None:
    """Run a script on a world once each node has its first plan."""

    async def planned(world: World) -> None:
        await world.wait_for_members(wanted.nodes)
        await world.wait_for_plan(list(world.nodes), dict.fromkeys(world.nodes, 0))
        await script(world)

    run_trial(folder, wanted, planned)


def requests_in_zone(world: World, zone: str, since: float, until: float = float("inf")) -> int:
    """Return how many requests reached the servers of a zone in an interval, probes excluded."""
    there = [world.servers[name] for name in world.servers_in_zone(zone)]
    return sum(
        bool(request.request_id) and since < request.received_at_s < until
        for server in there
        for request in server.received_requests
    )


def served_worth_ratio(world: World, since: float, nodes: set[str] | None = None) -> float:
    """Return the worth served as a share of the worth offered since a time."""
    requests = [
        request
        for request in world.sent_requests
        if request.sent_at_s > since and (nodes is None or request.node in nodes)
    ]
    assert requests
    return sum(request.result.earned_worth for request in requests) / sum(
        request.result.arrival.request_class.worth for request in requests
    )


def test_zone_loss_moves_traffic_by_one_plan_and_back_after_warm_up(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        names = list(world.nodes)
        traffic = asyncio.ensure_future(world.send_traffic(150, 9.0))
        await asyncio.sleep(0)
        counts, died = world.event_counts(), time.monotonic()
        for name in world.servers_in_zone("b"):
            world.crash_server(name)
        events = await world.wait_for_plan(names, counts, lambda event: "b is dark" in event["why"])
        assert len({event["plan"] for event in events if event["epoch"] == events[0]["epoch"]}) == 1
        moved = time.monotonic()
        # n1 is in zone b.
        page = await asyncio.to_thread(fetch_zones_page, world.nodes["n1"].frontend_address)
        assert page["zones"][1]["gate"] == "shut" and sum(map(sum, page["parts"][1])) > 0
        await asyncio.sleep(1.0)
        counts, back = world.event_counts(), time.monotonic()
        for name in world.servers_in_zone("b"):
            await world.revive_server(name)
        gates = (
            world.nodes[n].wait_for_event(
                "zones.gate",
                lambda event: event["zone"] == "b" and event["state"] == "open",
                counts[n],
            )
            for n in names
        )
        await asyncio.gather(*gates)
        assert requests_in_zone(world, "b", back) > 0
        await traffic
        assert served_worth_ratio(world, moved) > 0.9 and served_worth_ratio(world, died) > 0.85

    run_planned_trial(tmp_path, shape_of(ramp_ms=2000.0), script)


def test_proposer_suspended_past_its_lease_follows_the_newer_plan(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        page = await asyncio.to_thread(fetch_zones_page, world.nodes["n0"].frontend_address)
        first = page["proposer"]
        others = [name for name in world.nodes if name != first]
        counts = world.event_counts()
        world.freeze_node(first)
        events = await world.wait_for_plan(others, counts, lambda event: event["proposer"] != first)
        epoch = max(event["epoch"] for event in events)
        counts = world.event_counts()
        woke = time.monotonic()
        world.resume_node(first)
        (again,) = await world.wait_for_plan([first], counts)  # its first plan since then
        assert (
            again["epoch"] >= epoch and again["proposer"] != first and time.monotonic() - woke < 10
        )
        await world.send_traffic(60, 1.0)

    run_planned_trial(tmp_path, shape_of(5), script)


def test_even_split_has_no_plan_until_healed_and_serves_locally(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        names = list(world.nodes)
        traffic = asyncio.ensure_future(world.send_traffic(100, 7.0))
        counts = world.event_counts()
        world.split_groups(["n0", "n2"], ["n1", "n3"])
        await asyncio.gather(
            *(world.nodes[n].wait_for_event("zones.lapsed", since=counts[n]) for n in names)
        )
        page = await asyncio.to_thread(fetch_zones_page, world.nodes["n0"].frontend_address)
        # Without a plan each zone serves itself.
        assert page["epoch"] == 0 and page["zones"][0]["share"] == [1.0] * 4
        since = time.monotonic()
        await asyncio.sleep(1.0)
        # Only n2 is in zone c; the others send there what nodes without a plan send blindly.
        assert requests_in_zone(world, "c", since) < 30
        counts = world.event_counts()
        world.switch.heal()
        events = await world.wait_for_plan(names, counts)
        await traffic
        assert (
            len(Counter(event["plan"] for event in events)) >= 1
            and served_worth_ratio(world, 0.0) > 0.9
        )

    run_planned_trial(tmp_path, shape_of(4), script)


def test_region_cut_off_from_the_endpoint_list_serves_itself(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        inside = [*(n for n, at in zip(world.nodes, "abcabcabc", strict=False) if at == "c")]
        inside += world.servers_in_zone("c")
        outside = [n for n in (*world.nodes, *world.servers, "list") if n not in inside]
        minority = [n for n in inside if n in world.nodes]
        majority = [n for n in world.nodes if n not in minority]
        traffic = asyncio.ensure_future(world.send_traffic(120, 6.0))
        counts = world.event_counts()
        world.switch.set_both_ways(inside, outside, cut=True)
        await asyncio.gather(
            *(world.nodes[n].wait_for_event("zones.lapsed", since=counts[n]) for n in minority)
        )
        await world.wait_for_plan(majority, counts, lambda event: "c is dark" in event["why"])
        cut = time.monotonic()
        await asyncio.sleep(1.5)
        assert (
            served_worth_ratio(world, cut, set(minority)) > 0.95
            and served_worth_ratio(world, cut, set(majority)) > 0.95
        )
        counts = world.event_counts()
        world.switch.heal()
        await world.wait_for_plan(
            list(world.nodes), counts, lambda event: "c is dark" not in event["why"]
        )
        await traffic

    run_planned_trial(tmp_path, shape_of(6, regions=REGIONS), script)


def test_operator_drains_a_zone_while_another_fails(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    run_command = command_runner("zones", capsys)

    async def script(world: World) -> None:
        names = list(world.nodes)
        traffic = asyncio.ensure_future(world.send_traffic(90, 8.0))
        file, front, counts = (
            str(world.nodes["n0"].file),
            world.nodes["n0"].frontend_address,
            world.event_counts(),
        )
        consequences = await asyncio.to_thread(run_command, "if", front, "b")
        assert "refused: " in consequences and "%" in consequences
        assert "drain c" in await asyncio.to_thread(
            run_command, "drain", file, "c", "--for", "60", "--by", "eva"
        )
        orders = await asyncio.gather(
            *(world.nodes[n].wait_for_event("zones.ordered", since=counts[n]) for n in names)
        )
        assert {(event["by"], event["what"], event["zone"]) for event in orders} == {
            ("eva", "drain", "c")
        }
        await world.wait_for_plan(names, counts)
        drained = time.monotonic()
        await asyncio.sleep(1.0)
        assert requests_in_zone(world, "c", drained + 0.5) == 0
        counts = world.event_counts()
        for name in world.servers_in_zone("b"):
            world.crash_server(name)
        await world.wait_for_plan(names, counts, lambda event: "b is dark" in event["why"])
        await asyncio.sleep(0.7)
        late = time.monotonic()
        counts = world.event_counts()
        assert "release c" in await asyncio.to_thread(run_command, "release", file, "c")
        await asyncio.gather(
            *(world.nodes[n].wait_for_event("zones.ordered", since=counts[n]) for n in names)
        )
        await traffic
        assert requests_in_zone(world, "c", late) > 0
        shown = await asyncio.to_thread(run_command, "show", front)
        assert "b     b" in shown and "shut" in shown
        assert "n0 in a: plan" in shown and "refused" in await asyncio.to_thread(
            run_command, "plan", front
        )
        assert "drain c, by eva" in await asyncio.to_thread(run_command, "why", front)
        assert await asyncio.to_thread(main, ["zones", "drain", file, "x"]) == 2
        assert await asyncio.to_thread(main, ["zones", "if", front, "x"]) == 1
        assert await asyncio.to_thread(main, ["zones", "show", "127.0.0.1:9"]) == 1

    run_planned_trial(tmp_path, shape_of(4), script)


def test_region_change_by_sighup_node_by_node_never_mixes_two_maps(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        names = list(world.nodes)
        traffic = asyncio.ensure_future(world.send_traffic(60, 6.0))
        for name in names:
            node, counts = world.nodes[name], world.event_counts()
            text = node.file.read_text() + '[[zones.region]]\nname = "r"\nzones = ["a", "b"]\n'
            node.file.write_text(text)
            node.send_signal(signal.SIGHUP)
            await node.wait_for_event(
                "zones.lapsed", lambda event: "geography" in event["why"], counts[name]
            )
        await world.wait_for_plan(names, counts)
        pages = await asyncio.gather(
            *(asyncio.to_thread(fetch_zones_page, world.nodes[n].frontend_address) for n in names)
        )
        assert len({page["map"] for page in pages}) == 1
        assert pages[0]["zones"][0]["region"] == pages[0]["zones"][1]["region"] == "r"
        await traffic

    run_planned_trial(tmp_path, shape_of(3), script)


def test_rolling_restart_during_a_zone_failover(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        names = list(world.nodes)
        counts = world.event_counts()
        for name in world.servers_in_zone("b"):
            world.crash_server(name)
        await world.wait_for_plan(names, counts, lambda event: "b is dark" in event["why"])

        async def restart(name: str) -> None:
            await world.kill_node(name)
            await world.restart_node(name)
            await world.nodes[name].wait_for_event("zones.plan")

        since = time.monotonic()
        for name in names:
            restarting = asyncio.ensure_future(restart(name))
            # A new seed each time, so that no key repeats.
            while not restarting.done():
                await world.send_traffic(
                    60, 0.5, len(world.sent_requests) + 1, [n for n in names if n != name]
                )
            await restarting
        assert served_worth_ratio(world, since) > 0.9

    run_planned_trial(tmp_path, shape_of(4), script)
