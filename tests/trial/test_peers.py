"""Cluster membership among real nodes, with injected faults."""

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
from tests.trial.support import command_runner, run_trial

DRAIN_GRACE_S = 0.5


def test_drain_known_to_one_side_of_a_partition_spreads_when_it_heals(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        minority, majority = ["n0", "n1"], ["n2", "n3", "n4"]
        await world.wait_for_members(5)
        traffic = asyncio.ensure_future(world.send_traffic(120, 6.0))
        counts = world.event_counts()
        world.split_groups(minority, majority)
        await world.wait_for_level("some", minority, counts)
        await world.wait_for_level("most", majority, counts)
        # The minority gets no changes of the endpoint list from here on.
        world.switch.set_both_ways(minority, ["list"], cut=True)
        world.drain_server("s-1")
        counts = world.event_counts()
        world.switch.set_both_ways(minority, majority, cut=False)
        await asyncio.gather(
            *(world.nodes[n].wait_for_event("peers.drained", since=counts[n]) for n in minority)
        )
        informed_at_s = time.monotonic()
        await world.wait_for_level("whole", list(world.nodes), counts)
        await traffic
        sources = {world.switch.endpoints[name].switch_address[0] for name in minority}
        late = [
            request
            for request in world.servers["s-1"].received_requests
            if request.peer_ip in sources and request.received_at_s > informed_at_s + DRAIN_GRACE_S
        ]
        assert late == []
        assert any(request.peer_ip in sources for request in world.servers["s-1"].received_requests)

    run_trial(tmp_path, Shape(nodes=5), script)


def test_suspended_node_is_declared_dead_and_rejoins_without_accusing_others(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(4)
        traffic = asyncio.ensure_future(world.send_traffic(80, 8.0, nodes=["n1", "n2", "n3"]))
        node, counts = world.nodes["n0"], world.event_counts()
        world.freeze_node("n0")
        declared_dead = (
            world.nodes[n].wait_for_event(
                "peers.changed",
                lambda event: event["peer"] == "n0" and event["status"] == "dead",
                counts[n],
            )
            for n in ("n1", "n2", "n3")
        )
        await asyncio.gather(*declared_dead)
        counts = world.event_counts()
        world.resume_node("n0")
        await node.wait_for_event("peers.paused", since=counts["n0"])
        await world.wait_for_level("whole", list(world.nodes), counts)
        await traffic
        # It declared no other node dead because of its own pause.
        later = [e for n in world.nodes for e in world.nodes[n].events[counts[n] :]]
        assert not [e for e in later if e["event"] == "peers.changed" and e["status"] == "dead"]

    run_trial(tmp_path, Shape(nodes=4), script)


def test_node_restarted_during_its_suspicion_causes_no_name_conflict(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(4)
        counts = world.event_counts()
        await world.kill_node("n3")
        await world.nodes["n0"].wait_for_event(
            "peers.changed", lambda event: event["peer"] == "n3", counts["n0"]
        )
        await world.restart_node("n3")
        await world.nodes["n3"].wait_for_event(
            "peers.level", lambda event: event["standing"] == "whole"
        )
        await world.nodes["n0"].wait_for_event(
            "peers.changed",
            lambda event: event["peer"] == "n3" and event["status"] == "alive",
            counts["n0"],
        )
        assert not [
            e
            for node in world.nodes.values()
            for e in node.events
            if e["event"] == "peers.conflict"
        ]

    run_trial(tmp_path, Shape(nodes=4), script)


def test_killed_node_is_detected_on_a_lossy_network(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(4)
        world.switch.set_both_ways(
            list(world.nodes), list(world.nodes), loss=0.3, duplicate=0.1, reorder=0.1, jitter_ms=5
        )
        counts = world.event_counts()
        await world.send_traffic(60, 4.0)
        await world.kill_node("n3")
        await asyncio.gather(
            *(
                world.nodes[n].wait_for_event(
                    "peers.changed",
                    lambda event: event["peer"] == "n3" and event["status"] == "dead",
                    counts[n],
                )
                for n in ("n0", "n1", "n2")
            )
        )

    run_trial(tmp_path, Shape(nodes=4), script)


def test_a_flood_of_what_is_not_theirs_costs_no_request(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(3)
        target = world.switch.endpoints["n0"].real_address
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.bind(("127.1.99.1", 0))
        sender.setblocking(False)
        invalid_datagrams = [b"x", b"bc\x01" + bytes(60), b"bc\x07" + bytes(60), bytes(1600)]

        async def flood() -> int:
            sent = 0
            while True:
                for _ in range(200):
                    try:
                        sent += sender.sendto(invalid_datagrams[sent % 4], target) > 0
                    except BlockingIOError:
                        break
                await asyncio.sleep(0.002)

        flooding = asyncio.ensure_future(flood())
        await world.send_traffic(100, 3.0)
        flooding.cancel()
        sender.close()
        outcomes = [asked.result.outcome for asked in world.sent_requests]
        assert outcomes.count("served") == len(outcomes) > 200

    world = run_trial(tmp_path, Shape(nodes=3), script)
    kinds = {e["kind"] for e in world.nodes["n0"].events if e["event"] == "peers.refused"}
    assert kinds & {"stray", "forged", "version", "oversized"}


def test_unused_quota_of_idle_nodes_goes_to_the_busy_node(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(3)
        await world.send_traffic(110, 3.0, nodes=["n0"])
        page = await asyncio.to_thread(fetch_cluster_page, world.nodes["n0"].frontend_address)
        # Without peers it would be a third.
        assert page["level"] == "whole" and sum(page["parts"]) / len(page["parts"]) > 0.6
        other = await asyncio.to_thread(fetch_cluster_page, world.nodes["n1"].frontend_address)
        assert sum(other["parts"]) / len(other["parts"]) < 0.3
        changes = {change["peer"] for change in page["changes"]}
        assert changes == {"n1", "n2"} and len(page["members"]) == 3

    run_trial(tmp_path, Shape(nodes=3, quota=100.0), script)


def test_operator_commands_show_members_and_make_a_node_leave(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    run_command = command_runner("peers", capsys)

    async def script(world: World) -> None:
        await world.wait_for_members(3)
        front, counts = world.nodes["n0"].frontend_address, world.event_counts()
        assert "3 of 3 in reach, whole" in await asyncio.to_thread(run_command, "list", front)
        out = await asyncio.to_thread(run_command, "leave", str(world.nodes["n1"].file))
        assert "n1 has left trial; it knew 2 others" in out
        await world.nodes["n1"].wait_for_event(
            "peers.level", lambda event: event["standing"] == "alone", counts["n1"]
        )
        await world.nodes["n0"].wait_for_event(
            "peers.level", lambda event: event["may_live"] == 2, counts["n0"]
        )
        assert "n1: left for" in await asyncio.to_thread(run_command, "why", front, "n1")
        assert "n1 left by the word of" in await asyncio.to_thread(
            run_command, "watch", front, "--times", "1"
        )
        assert (
            json.loads(await asyncio.to_thread(run_command, "list", front, "--json"))["level"]
            == "whole"
        )
        assert await asyncio.to_thread(main, ["peers", "why", front, "n9"]) == 1
        assert await asyncio.to_thread(main, ["peers", "list", "127.0.0.1:9"]) == 1
        assert await asyncio.to_thread(main, ["peers", "leave", str(tmp_path / "none.toml")]) == 2
        await world.send_traffic(60, 1.0)  # n1 still serves

    run_trial(tmp_path, Shape(nodes=3), script)


def test_half_of_the_nodes_killed_while_the_endpoint_list_is_unreachable(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        remaining, killed = ["n0", "n1", "n2"], ["n3", "n4", "n5"]
        await world.wait_for_members(6)
        world.switch.set_both_ways(remaining, ["list"], cut=True)
        traffic = asyncio.ensure_future(world.send_traffic(80, 5.0, nodes=remaining))
        counts = world.event_counts()
        await asyncio.gather(*(world.kill_node(name) for name in killed))
        await world.wait_for_level("some", remaining, counts)  # three of six are not a majority
        page = await asyncio.to_thread(fetch_cluster_page, world.nodes["n0"].frontend_address)
        assert page["may_live"] == 6 and set(page["parts"]) == {1 / 6}
        counts = world.event_counts()
        await asyncio.gather(*(world.restart_node(name) for name in killed))
        await world.wait_for_level("whole", remaining, counts)
        await traffic

    run_trial(tmp_path, Shape(nodes=6), script)


def test_one_way_cuts_in_a_ring_cause_no_false_deaths(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        await world.wait_for_members(5)
        names, counts = list(world.nodes), world.event_counts()
        for one, other in zip(names, names[1:] + names[:1], strict=True):
            world.switch.set_fault(one, other, cut=True)
        await world.send_traffic(60, 5.0)
        later = [e for n in names for e in world.nodes[n].events[counts[n] :]]
        assert not [e for e in later if e["event"] == "peers.changed" and e["status"] == "dead"]

    run_trial(tmp_path, Shape(nodes=5), script)
