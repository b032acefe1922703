"""Real nodes that know each other, with faults between them."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from pathlib import Path

import pytest

from badgercart.app.cli import main
from badgercart.cluster.commands import fetch_cluster_page
from lab.trial.world import Shape, World
from tests.trial.support import saying, trial

GRACE = 0.5  # s


def test_halves_are_cut_apart_under_traffic_with_a_drain_told_to_one_and_heal(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        few, many = ["n0", "n1"], ["n2", "n3", "n4"]
        await world.wait_for_members(5)
        traffic = asyncio.ensure_future(world.send_traffic(120, 6.0))
        mark = world.event_counts()
        world.split_groups(few, many)
        await world.wait_for_level("some", few, mark)
        await world.wait_for_level("most", many, mark)
        world.switch.set_both_ways(few, ["list"], cut=True)  # they hear nothing of what follows
        world.drain_server("s-1")
        mark = world.event_counts()
        world.switch.set_both_ways(few, many, cut=False)
        await asyncio.gather(
            *(world.nodes[n].wait_for_event("peers.drained", since=mark[n]) for n in few)
        )
        rumoured = time.monotonic()
        await world.wait_for_level("whole", list(world.nodes), mark)
        await traffic
        sources = {world.switch.endpoints[name].switch_address[0] for name in few}
        late = [
            s for s in world.servers["s-1"].seen if s.source in sources and s.at > rumoured + GRACE
        ]
        assert late == []
        assert any(s.source in sources for s in world.servers["s-1"].seen)

    trial(tmp_path, Shape(nodes=5), script)


def test_one_frozen_for_long_is_buried_and_wakes_into_a_world_that_goes_on(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(4)
        traffic = asyncio.ensure_future(world.send_traffic(80, 8.0, nodes=["n1", "n2", "n3"]))
        node, mark = world.nodes["n0"], world.event_counts()
        world.freeze_node("n0")
        buried = (
            world.nodes[n].wait_for_event(
                "peers.changed", lambda e: e["peer"] == "n0" and e["status"] == "dead", mark[n]
            )
            for n in ("n1", "n2", "n3")
        )
        await asyncio.gather(*buried)
        mark = world.event_counts()
        world.resume_node("n0")
        await node.wait_for_event("peers.paused", since=mark["n0"])
        await world.wait_for_level("whole", list(world.nodes), mark)
        await traffic
        # It accused nobody for its own silence.
        later = [e for n in world.nodes for e in world.nodes[n].events[mark[n] :]]
        assert not [e for e in later if e["event"] == "peers.changed" and e["status"] == "dead"]

    trial(tmp_path, Shape(nodes=4), script)


def test_one_killed_is_back_by_its_name_within_its_suspicion_and_nobody_is_confused(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(4)
        mark = world.event_counts()
        await world.kill_node("n3")
        await world.nodes["n0"].wait_for_event(
            "peers.changed", lambda e: e["peer"] == "n3", mark["n0"]
        )
        await world.restart_node("n3")
        await world.nodes["n3"].wait_for_event("peers.level", lambda e: e["standing"] == "whole")
        await world.nodes["n0"].wait_for_event(
            "peers.changed", lambda e: e["peer"] == "n3" and e["status"] == "alive", mark["n0"]
        )
        assert not [
            e
            for node in world.nodes.values()
            for e in node.events
            if e["event"] == "peers.conflict"
        ]

    trial(tmp_path, Shape(nodes=4), script)


def test_a_lossy_network_buries_nobody_and_one_that_is_killed_all_the_same(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(4)
        world.switch.set_both_ways(
            list(world.nodes), list(world.nodes), loss=0.3, duplicate=0.1, reorder=0.1, jitter_ms=5
        )
        mark = world.event_counts()
        await world.send_traffic(60, 4.0)
        await world.kill_node("n3")
        await asyncio.gather(
            *(
                world.nodes[n].wait_for_event(
                    "peers.changed", lambda e: e["peer"] == "n3" and e["status"] == "dead", mark[n]
                )
                for n in ("n0", "n1", "n2")
            )
        )

    trial(tmp_path, Shape(nodes=4), script)


def test_a_flood_of_what_is_not_theirs_costs_no_request(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(3)
        target = world.switch.endpoints["n0"].real_address
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stranger.bind(("127.1.99.1", 0))
        stranger.setblocking(False)
        junk = [b"x", b"bc\x01" + bytes(60), b"bc\x07" + bytes(60), bytes(1600)]

        async def flood() -> int:
            sent = 0
            while True:
                for _ in range(200):
                    try:
                        sent += stranger.sendto(junk[sent % 4], target) > 0
                    except BlockingIOError:
                        break
                await asyncio.sleep(0.002)

        flooding = asyncio.ensure_future(flood())
        await world.send_traffic(100, 3.0)
        flooding.cancel()
        stranger.close()
        outcomes = [asked.result.outcome for asked in world.sent_requests]
        assert outcomes.count("served") == len(outcomes) > 200

    world = trial(tmp_path, Shape(nodes=3), script)
    kinds = {e["kind"] for e in world.nodes["n0"].events if e["event"] == "peers.refused"}
    assert kinds & {"stray", "forged", "version", "oversized"}


def test_what_one_node_does_not_use_of_a_share_another_may_and_lies_take_no_more(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(3)
        await world.send_traffic(110, 3.0, nodes=["n0"])
        told = await asyncio.to_thread(fetch_cluster_page, world.nodes["n0"].frontend_address)
        assert (
            told["level"] == "whole" and sum(told["parts"]) / len(told["parts"]) > 0.6
        )  # a third of it without peers
        other = await asyncio.to_thread(fetch_cluster_page, world.nodes["n1"].frontend_address)
        assert sum(other["parts"]) / len(other["parts"]) < 0.3
        changes = {change["peer"] for change in told["changes"]}
        assert changes == {"n1", "n2"} and len(told["members"]) == 3

    trial(tmp_path, Shape(nodes=3, quota=100.0), script)


def test_operators_see_who_is_there_and_why_and_have_a_node_leave(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    said = saying("peers", capsys)

    async def script(world: World) -> None:
        await world.wait_for_members(3)
        front, mark = world.nodes["n0"].frontend_address, world.event_counts()
        assert "3 of 3 in reach, whole" in await asyncio.to_thread(said, "list", front)
        out = await asyncio.to_thread(said, "leave", str(world.nodes["n1"].file))
        assert "n1 has left trial; it knew 2 others" in out
        await world.nodes["n1"].wait_for_event(
            "peers.level", lambda e: e["standing"] == "alone", mark["n1"]
        )
        await world.nodes["n0"].wait_for_event(
            "peers.level", lambda e: e["may_live"] == 2, mark["n0"]
        )
        assert "n1: left for" in await asyncio.to_thread(said, "why", front, "n1")
        assert "n1 left by the word of" in await asyncio.to_thread(
            said, "watch", front, "--times", "1"
        )
        assert (
            json.loads(await asyncio.to_thread(said, "list", front, "--json"))["level"] == "whole"
        )
        assert await asyncio.to_thread(main, ["peers", "why", front, "n9"]) == 1
        assert await asyncio.to_thread(main, ["peers", "list", "127.0.0.1:9"]) == 1
        assert await asyncio.to_thread(main, ["peers", "leave", str(tmp_path / "none.toml")]) == 2
        await world.send_traffic(60, 1.0)  # it serves on

    trial(tmp_path, Shape(nodes=3), script)


def test_half_of_them_killed_at_once_while_no_list_comes(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        left, gone = ["n0", "n1", "n2"], ["n3", "n4", "n5"]
        await world.wait_for_members(6)
        world.switch.set_both_ways(left, ["list"], cut=True)
        traffic = asyncio.ensure_future(world.send_traffic(80, 5.0, nodes=left))
        mark = world.event_counts()
        await asyncio.gather(*(world.kill_node(name) for name in gone))
        await world.wait_for_level("some", left, mark)  # three of six are no majority
        told = await asyncio.to_thread(fetch_cluster_page, world.nodes["n0"].frontend_address)
        assert told["may_live"] == 6 and set(told["parts"]) == {1 / 6}
        mark = world.event_counts()
        await asyncio.gather(*(world.restart_node(name) for name in gone))
        await world.wait_for_level("whole", left, mark)
        await traffic

    trial(tmp_path, Shape(nodes=6), script)


def test_a_ring_of_links_cut_one_way_buries_nobody(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(5)
        names, mark = list(world.nodes), world.event_counts()
        for one, other in zip(names, names[1:] + names[:1], strict=True):
            world.switch.set_fault(one, other, cut=True)
        await world.send_traffic(60, 5.0)
        later = [e for n in names for e in world.nodes[n].events[mark[n] :]]
        assert not [e for e in later if e["event"] == "peers.changed" and e["status"] == "dead"]

    trial(tmp_path, Shape(nodes=5), script)
