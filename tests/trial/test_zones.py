"""Real nodes that fail over by one plan, with faults between them."""

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
from tests.trial.support import saying
from tests.trial.support import trial as play

REGIONS = (("a", "b"), ("c",))


def shape(nodes: int = 6, **more: object) -> Shape:
    plain: dict[str, object] = {"nodes": nodes, "servers": 6, "cores": 4, "plan": "majority"}
    return Shape(**(plain | more))  # type: ignore[arg-type]


def trial(folder: Path, wanted: Shape, script: Callable[[World], Awaitable[None]]) -> None:
    """Play a script on a world that has its first plan."""

    async def planned(world: World) -> None:
        await world.wait_for_members(wanted.nodes)
        await world.wait_for_plan(list(world.nodes), dict.fromkeys(world.nodes, 0))
        await script(world)

    play(folder, wanted, planned)


def reached(world: World, zone: str, since: float, until: float = float("inf")) -> int:
    """Requests that came to a zone's servers, probes apart."""
    there = [world.servers[name] for name in world.servers_in_zone(zone)]
    return sum(
        bool(seen.id) and since < seen.at < until for server in there for seen in server.seen
    )


def served(world: World, since: float, nodes: set[str] | None = None) -> float:
    """Worth served over worth asked for."""
    told = [a for a in world.sent_requests if a.sent > since and (nodes is None or a.node in nodes)]
    assert told
    return sum(a.result.worth for a in told) / sum(a.result.arrival.kind.worth for a in told)


def test_a_zones_servers_die_its_traffic_moves_by_one_plan_and_comes_back_by_warmth(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        names = list(world.nodes)
        traffic = asyncio.ensure_future(world.send_traffic(150, 9.0))
        await asyncio.sleep(0)
        mark, died = world.event_counts(), time.monotonic()
        for name in world.servers_in_zone("b"):
            world.crash_server(name)
        told = await world.wait_for_plan(names, mark, lambda e: "b is dark" in e["why"])
        assert len({e["plan"] for e in told if e["epoch"] == told[0]["epoch"]}) == 1
        moved = time.monotonic()
        page = await asyncio.to_thread(
            fetch_zones_page, world.nodes["n1"].frontend_address
        )  # of zone b
        assert page["zones"][1]["gate"] == "shut" and sum(map(sum, page["parts"][1])) > 0
        await asyncio.sleep(1.0)
        mark, back = world.event_counts(), time.monotonic()
        for name in world.servers_in_zone("b"):
            await world.revive_server(name)
        gates = (
            world.nodes[n].wait_for_event(
                "zones.gate", lambda e: e["zone"] == "b" and e["state"] == "open", mark[n]
            )
            for n in names
        )
        await asyncio.gather(*gates)
        assert reached(world, "b", back) > 0
        await traffic
        assert served(world, moved) > 0.9 and served(world, died) > 0.85

    trial(tmp_path, shape(ramp_ms=2000.0), script)


def test_the_proposer_frozen_through_its_lease_wakes_and_acts_on_nothing_old(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        page = await asyncio.to_thread(fetch_zones_page, world.nodes["n0"].frontend_address)
        first = page["proposer"]
        others = [name for name in world.nodes if name != first]
        mark = world.event_counts()
        world.freeze_node(first)
        told = await world.wait_for_plan(others, mark, lambda e: e["proposer"] != first)
        epoch = max(e["epoch"] for e in told)
        mark = world.event_counts()
        woke = time.monotonic()
        world.resume_node(first)
        (again,) = await world.wait_for_plan([first], mark)  # the first that it goes by since
        assert (
            again["epoch"] >= epoch and again["proposer"] != first and time.monotonic() - woke < 10
        )
        await world.send_traffic(60, 1.0)

    trial(tmp_path, shape(5), script)


def test_two_equal_halves_have_no_plan_serve_near_and_have_one_again_when_healed(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        names = list(world.nodes)
        traffic = asyncio.ensure_future(world.send_traffic(100, 7.0))
        mark = world.event_counts()
        world.split_groups(["n0", "n2"], ["n1", "n3"])
        await asyncio.gather(
            *(world.nodes[n].wait_for_event("zones.lapsed", since=mark[n]) for n in names)
        )
        page = await asyncio.to_thread(fetch_zones_page, world.nodes["n0"].frontend_address)
        assert page["epoch"] == 0 and page["zones"][0]["share"] == [1.0] * 4  # near only
        since = time.monotonic()
        await asyncio.sleep(1.0)
        assert reached(world, "c", since) < 30  # none but n2 are of c; others send their blind part
        mark = world.event_counts()
        world.switch.heal()
        told = await world.wait_for_plan(names, mark)
        await traffic
        assert len(Counter(e["plan"] for e in told)) >= 1 and served(world, 0.0) > 0.9

    trial(tmp_path, shape(4), script)


def test_a_region_cut_off_with_the_list_on_the_other_side_serves_itself(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        inside = [*(n for n, at in zip(world.nodes, "abcabcabc", strict=False) if at == "c")]
        inside += world.servers_in_zone("c")
        outside = [n for n in (*world.nodes, *world.servers, "list") if n not in inside]
        few = [n for n in inside if n in world.nodes]
        many = [n for n in world.nodes if n not in few]
        traffic = asyncio.ensure_future(world.send_traffic(120, 6.0))
        mark = world.event_counts()
        world.switch.set_both_ways(inside, outside, cut=True)
        await asyncio.gather(
            *(world.nodes[n].wait_for_event("zones.lapsed", since=mark[n]) for n in few)
        )
        await world.wait_for_plan(many, mark, lambda e: "c is dark" in e["why"])
        cut = time.monotonic()
        await asyncio.sleep(1.5)
        assert served(world, cut, set(few)) > 0.95 and served(world, cut, set(many)) > 0.95
        mark = world.event_counts()
        world.switch.heal()
        await world.wait_for_plan(list(world.nodes), mark, lambda e: "c is dark" not in e["why"])
        await traffic

    trial(tmp_path, shape(6, regions=REGIONS), script)


def test_a_zone_drained_by_an_operator_while_another_fails(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    said = saying("zones", capsys)

    async def script(world: World) -> None:
        names = list(world.nodes)
        traffic = asyncio.ensure_future(world.send_traffic(90, 8.0))
        file, front, mark = (
            str(world.nodes["n0"].file),
            world.nodes["n0"].frontend_address,
            world.event_counts(),
        )
        gone = await asyncio.to_thread(said, "if", front, "b")
        assert "refused: " in gone and "%" in gone
        assert "drain c" in await asyncio.to_thread(
            said, "drain", file, "c", "--for", "60", "--by", "eva"
        )
        orders = await asyncio.gather(
            *(world.nodes[n].wait_for_event("zones.ordered", since=mark[n]) for n in names)
        )
        assert {(e["by"], e["what"], e["zone"]) for e in orders} == {("eva", "drain", "c")}
        await world.wait_for_plan(names, mark)
        drained = time.monotonic()
        await asyncio.sleep(1.0)
        assert reached(world, "c", drained + 0.5) == 0
        mark = world.event_counts()
        for name in world.servers_in_zone("b"):
            world.crash_server(name)
        await world.wait_for_plan(names, mark, lambda e: "b is dark" in e["why"])
        await asyncio.sleep(0.7)
        late = time.monotonic()
        mark = world.event_counts()
        assert "release c" in await asyncio.to_thread(said, "release", file, "c")
        await asyncio.gather(
            *(world.nodes[n].wait_for_event("zones.ordered", since=mark[n]) for n in names)
        )
        await traffic
        assert reached(world, "c", late) > 0
        shown = await asyncio.to_thread(said, "show", front)
        assert "b     b" in shown and "shut" in shown
        assert "n0 in a: plan" in shown and "refused" in await asyncio.to_thread(
            said, "plan", front
        )
        assert "drain c, by eva" in await asyncio.to_thread(said, "why", front)
        assert await asyncio.to_thread(main, ["zones", "drain", file, "x"]) == 2
        assert await asyncio.to_thread(main, ["zones", "if", front, "x"]) == 1
        assert await asyncio.to_thread(main, ["zones", "show", "127.0.0.1:9"]) == 1

    trial(tmp_path, shape(4), script)


def test_new_regions_by_sighup_node_by_node_never_mix_two_maps(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        names = list(world.nodes)
        traffic = asyncio.ensure_future(world.send_traffic(60, 6.0))
        for name in names:
            node, mark = world.nodes[name], world.event_counts()
            told = node.file.read_text() + '[[zones.region]]\nname = "r"\nzones = ["a", "b"]\n'
            node.file.write_text(told)
            node.send_signal(signal.SIGHUP)
            await node.wait_for_event("zones.lapsed", lambda e: "geography" in e["why"], mark[name])
        await world.wait_for_plan(names, mark)
        pages = await asyncio.gather(
            *(asyncio.to_thread(fetch_zones_page, world.nodes[n].frontend_address) for n in names)
        )
        assert len({page["map"] for page in pages}) == 1
        assert pages[0]["zones"][0]["region"] == pages[0]["zones"][1]["region"] == "r"
        await traffic

    trial(tmp_path, shape(3), script)


def test_each_node_restarted_in_turn_during_a_failover(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        names = list(world.nodes)
        mark = world.event_counts()
        for name in world.servers_in_zone("b"):
            world.crash_server(name)
        await world.wait_for_plan(names, mark, lambda e: "b is dark" in e["why"])

        async def again(name: str) -> None:
            await world.kill_node(name)
            await world.restart_node(name)
            await world.nodes[name].wait_for_event("zones.plan")

        since = time.monotonic()
        for name in names:
            restart = asyncio.ensure_future(again(name))
            while not restart.done():  # each time by another seed: keys are not to come twice
                await world.send_traffic(
                    60, 0.5, len(world.sent_requests) + 1, [n for n in names if n != name]
                )
            await restart
        assert served(world, since) > 0.9

    trial(tmp_path, shape(4), script)
