"""What zones tell each other and people, byte for byte as it was written before.

Messages as they travel, a plan packed, the pages of a node, and what the commands make of them. All
come from one consensus, one report and one day of the lab's model under fixed clocks and seeds.
"""

from __future__ import annotations

import http.server
import json
import threading
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest

from badgercart.app.cli import main
from badgercart.zones import commands
from badgercart.zones.consensus_messages import REQUEST_TOPIC, ROUND_TOPIC, VOTE_TOPIC
from badgercart.zones.consensus_state import PlanActivated, SendMessage
from badgercart.zones.failover_controller import FailoverController
from badgercart.zones.failure_detector import Reachability
from badgercart.zones.operator_overrides import OVERRIDES_TOPIC, OperatorOverride
from badgercart.zones.plan_codec import decode_plan, encode_plan
from badgercart.zones.plan_consensus import PlanConsensus
from badgercart.zones.presentation import loss_forecast, status_page
from badgercart.zones.traffic_plan import Plan, PlanInput, UtilizationLimits, compute_plan
from badgercart.zones.zone_reports import ZoneReport, ZoneReportTable
from lab.model import World
from lab.settings import Cell
from tests.app.test_file import ROOT
from tests.lab.support import day
from tests.zones.support import SETTINGS, TOPOLOGY, plan

GOLDEN = Path(__file__).parent / "golden"
WALL_MS = 1_700_000_000_000
NODE = "n1"


def held_to(name: str, data: bytes) -> None:
    assert data == (GOLDEN / name).read_bytes()


def written(messages: list[SendMessage]) -> bytes:
    """Topics, bytes and addressees, a line each."""
    return "".join(
        f"{message.topic} {message.payload.hex()} {message.recipient or '*'}\n"
        for message in messages
    ).encode()


def read() -> list[tuple[str, bytes, str]]:
    lines = (GOLDEN / "consensus.txt").read_text().splitlines()
    found = [line.split(" ") for line in lines]
    return [(topic, bytes.fromhex(said), to) for topic, said, to in found]


def consensus(name: str, incarnation: int) -> PlanConsensus:
    made = PlanConsensus(
        name,
        incarnation,
        SETTINGS,
        lambda data: decode_plan(data, TOPOLOGY),
        lambda: float(WALL_MS),
    )
    made.tick(0.0)
    return made


def conversation() -> list[SendMessage]:
    """A proposal, a node that lost a piece of it and asks, its vote, the commit."""
    first, other = consensus("n0", 7), consensus("n1", 8)
    messages = [
        effect for effect in first.propose(5000.0, plan(1), 3) if isinstance(effect, SendMessage)
    ]
    (opened,) = [message for message in messages if message.topic == ROUND_TOPIC]
    for _ in range(2):
        asked = other.receive(5010.0, "n0", opened.topic, opened.payload)
    messages += [effect for effect in asked if isinstance(effect, SendMessage)]
    messages += [
        e
        for e in first.receive(5020.0, "n1", messages[-1].topic, messages[-1].payload)
        if isinstance(e, SendMessage)
    ]
    for message in messages[:-1]:
        answers = (
            other.receive(5030.0, "n0", message.topic, message.payload)
            if message.topic != REQUEST_TOPIC
            else []
        )
        messages += [effect for effect in answers if isinstance(effect, SendMessage)][:1]
    (vote,) = [message for message in messages if message.topic == VOTE_TOPIC]
    messages += [
        e
        for e in first.receive(5040.0, "n1", VOTE_TOPIC, vote.payload)
        if isinstance(e, SendMessage)
    ]
    return messages


def test_the_consensus_sends_the_same_bytes() -> None:
    held_to("consensus.txt", written(conversation()))


def test_the_consensus_reads_what_was_sent_before() -> None:
    other = consensus("n1", 8)
    effects: list[Any] = []
    for topic, said, to in read():
        if to in ("*", "n1"):
            effects += other.receive(5100.0, "n0", topic, said)
    (in_force,) = [effect for effect in effects if isinstance(effect, PlanActivated)]
    assert in_force.epoch == 6_963_200_000_001_769
    assert in_force.proposer == "n0"
    assert in_force.plan == plan(1)
    assert in_force.plan.reason == "plan 1"
    assert other.rejected_count == 0


def test_a_plan_is_packed_to_the_same_bytes_and_read_back() -> None:
    demand = ((30.0, 12.0), (9.0, 0.0), (1.0, 4.5))
    situation = PlanInput((0.0, 30.0, 50.0), (0.0, 40.0, 50.0), demand, frozenset({(1, 2)}))
    made = compute_plan(TOPOLOGY, situation, (3.0,), UtilizationLimits(), "a is dark, say n0 n1")
    held_to("plan.bin", zlib.decompress(encode_plan(made)) + made.digest)
    data = (GOLDEN / "plan.bin").read_bytes()
    told: Plan = decode_plan(zlib.compress(data[:-8]), TOPOLOGY)
    assert told == made
    assert told.digest == data[-8:]
    assert told.shares == (
        ((0, 73, 167), (0, 0, 0)),
        ((0, 240, 0), (0, 240, 0)),
        ((0, 0, 240), (0, 0, 240)),
    )
    assert told.spare_milli_slots == (0, 8909, 18590)
    assert told.lost_zones == (0,)


def test_a_report_is_read_as_it_was() -> None:
    said = bytes.fromhex(
        "95"
        + "cf0000"
        + f"{TOPOLOGY.digest:012x}"
        + "93010200"
        + "9364cd012c00"
        + "9364325a"
        + "92cd05dc00"
    )
    report = ZoneReport(
        TOPOLOGY.digest,
        [Reachability.REACHABLE, Reachability.UNREACHABLE, Reachability.UNKNOWN],
        [100, 300, 0],
        [100, 50, 90],
        [1500, 0],
    )
    assert msgspec.msgpack.encode(report) == said
    table = ZoneReportTable(TOPOLOGY)
    table.record("n0", 0, said, 1000.0)
    table.record("n1", 0, said, 1000.0)
    summary = table.summarize(1000.0, 500.0, (10.0, 10.0, 10.0))
    assert (
        set(summary.down),
        set(summary.reachable),
        summary.relative_latency,
        summary.success_rate,
    ) == (
        {1},
        {0},
        (1.0, 3.0, 1.0),
        (1.0, 0.5, 1.0),
    )
    assert summary.demand == ((3.0, 0.0), (0.0, 0.0), (0.0, 0.0))
    assert summary.reason == "b is dark, say n0 n1"


def played() -> FailoverController:
    """A node of a day on which a zone is lost, with an operator's override of another."""
    fleet = {"nodes": 6, "peers": True, "zones": "majority", "servers": 6}
    net = {"zones": 3, "regions": 2, "far_ms": 5.0}
    trouble = [{"kind": "zone_loss", "at_s": 7.0, "for_s": 8.0, "zone": 1}]
    world = World(
        Cell(day(10.0, trouble, fleet=fleet, net=net, arrivals={"per_s": 80.0}), "badgercart", 1)
    )
    world.play()
    assert world.companions is not None
    controller = next(one.controller for one in world.companions.there.values())
    assert controller is not None
    now = int(controller.wall_ms())
    payload = msgspec.msgpack.encode(
        (controller.topology.digest, [OperatorOverride(2, "drain", now, now + 60_000, "eva")])
    )
    controller.on_overrides(0.0, "operator c", payload)
    return controller


@pytest.fixture(scope="module")
def controller() -> FailoverController:
    return played()


def test_the_pages_of_a_node_are_as_they_were(controller: FailoverController) -> None:
    now = controller.member.protocol.now_ms
    held_to("page.json", json.dumps(status_page(controller, now), indent=1).encode())
    held_to("if.json", json.dumps(loss_forecast(controller), indent=1).encode())


def test_what_a_node_reports_of_zones_travels_in_the_same_bytes(
    controller: FailoverController,
) -> None:
    topics = sorted(topic for topic in controller.member.published if topic.startswith("zones."))
    held_to(
        "posts.txt",
        "".join(
            f"{topic} {controller.member.published[topic].hex()}\n" for topic in topics
        ).encode(),
    )


@contextmanager
def serving() -> Iterator[str]:
    """An HTTP frontend that has the golden pages."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            name = {"/_zones": "page.json", "/_zones/if": "if.json"}[self.path]
            self.send_response(200)
            self.end_headers()
            self.wfile.write((GOLDEN / name).read_bytes())

        def log_message(self, *_: object) -> None:
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def test_the_commands_print_what_they_printed(capsys: pytest.CaptureFixture[str]) -> None:
    told = ""
    with serving() as node:
        for words in (["show"], ["plan"], ["why"], ["show", "--json"], ["if", "z1"], ["if", "x"]):
            status = main(["zones", words[0], node, *words[1:]])
            found = capsys.readouterr()
            told += f"$ {' '.join(words)}\n{found.out}{found.err.replace(node, 'NODE')}status {status}\n"
    held_to("commands.txt", told.encode())


def test_an_operators_override_travels_in_the_same_bytes(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    sent = []

    def exchange_packet(installation: Any, packet: Any) -> Any:
        sent.extend(packet.updates)
        return packet

    monkeypatch.setattr(commands, "exchange_packet", exchange_packet)
    monkeypatch.setattr(commands.time, "time", lambda: WALL_MS / 1000)
    monkeypatch.chdir(ROOT)
    for words in (["drain", "szeged", "--for", "60"], ["pin", "kelenfold"], ["release", "szeged"]):
        assert main(["zones", words[0], "deploy/zones.toml", *words[1:], "--by", "eva"]) == 0
    assert main(["zones", "drain", "deploy/zones.toml", "x", "--by", "eva"]) == 2
    lines = [f"{topic} {author} {number} {said.hex()}\n" for topic, author, number, said in sent]
    assert OVERRIDES_TOPIC == "zones.orders"
    told = capsys.readouterr()
    held_to("orders.txt", ("".join(lines) + told.out + told.err).encode())
