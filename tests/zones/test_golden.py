"""Compatibility of messages, plans, admin pages and commands with golden files, byte for byte.

The data come from one consensus, one report and one run of the lab's model, with fixed clocks and
seeds.
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
from lab.model import Simulation
from lab.settings import Cell
from tests.app.test_file import ROOT
from tests.lab.support import day
from tests.zones.support import SETTINGS, TOPOLOGY, plan

GOLDEN = Path(__file__).parent / "golden"
WALL_MS = 1_700_000_000_000
NODE = "n1"


def assert_matches_golden(name: str, data: bytes) -> None:
    """Compare data with a golden file."""
    assert data == (GOLDEN / name).read_bytes()


def format_messages(messages: list[SendMessage]) -> bytes:
    """Return one line per message with its topic, payload and recipient."""
    return "".join(
        f"{message.topic} {message.payload.hex()} {message.recipient or '*'}\n"
        for message in messages
    ).encode()


def golden_messages() -> list[tuple[str, bytes, str]]:
    """Return the topic, payload and recipient of each message in the golden file."""
    lines = (GOLDEN / "consensus.txt").read_text().splitlines()
    fields = [line.split(" ") for line in lines]
    return [(topic, bytes.fromhex(payload), recipient) for topic, payload, recipient in fields]


def consensus(name: str, incarnation: int) -> PlanConsensus:
    """Return the consensus of a node after its first tick, with a fixed wall clock."""
    node = PlanConsensus(
        name,
        incarnation,
        SETTINGS,
        lambda data: decode_plan(data, TOPOLOGY),
        lambda: float(WALL_MS),
    )
    node.tick(0.0)
    return node


def message_exchange() -> list[SendMessage]:
    """Return the messages of a proposal, a request of a lost chunk, a vote and the commit."""
    first, other = consensus("n0", 7), consensus("n1", 8)
    messages = [
        effect for effect in first.propose(5000.0, plan(1), 3) if isinstance(effect, SendMessage)
    ]
    (round_message,) = [message for message in messages if message.topic == ROUND_TOPIC]
    for _ in range(2):
        requests = other.receive(5010.0, "n0", round_message.topic, round_message.payload)
    messages += [effect for effect in requests if isinstance(effect, SendMessage)]
    messages += [
        e
        for e in first.receive(5020.0, "n1", messages[-1].topic, messages[-1].payload)
        if isinstance(e, SendMessage)
    ]
    for message in messages[:-1]:
        replies = (
            other.receive(5030.0, "n0", message.topic, message.payload)
            if message.topic != REQUEST_TOPIC
            else []
        )
        messages += [effect for effect in replies if isinstance(effect, SendMessage)][:1]
    (vote,) = [message for message in messages if message.topic == VOTE_TOPIC]
    messages += [
        e
        for e in first.receive(5040.0, "n1", VOTE_TOPIC, vote.payload)
        if isinstance(e, SendMessage)
    ]
    return messages


def test_consensus_messages_match_their_golden_file() -> None:
    """A node of the previous version must understand the messages."""
    assert_matches_golden("consensus.txt", format_messages(message_exchange()))


def test_the_consensus_accepts_golden_messages() -> None:
    """A node must understand the messages of the previous version."""
    other = consensus("n1", 8)
    effects: list[Any] = []
    for topic, payload, recipient in golden_messages():
        if recipient in ("*", "n1"):
            effects += other.receive(5100.0, "n0", topic, payload)
    (activated,) = [effect for effect in effects if isinstance(effect, PlanActivated)]
    assert activated.epoch == 6_963_200_000_001_769
    assert activated.proposer == "n0"
    assert activated.plan == plan(1)
    assert activated.plan.reason == "plan 1"
    assert other.rejected_count == 0


def test_an_encoded_plan_matches_its_golden_file() -> None:
    """Nodes of two versions must compute the same digest of a plan."""
    demand = ((30.0, 12.0), (9.0, 0.0), (1.0, 4.5))
    situation = PlanInput((0.0, 30.0, 50.0), (0.0, 40.0, 50.0), demand, frozenset({(1, 2)}))
    computed = compute_plan(
        TOPOLOGY, situation, (3.0,), UtilizationLimits(), "a is dark, say n0 n1"
    )
    assert_matches_golden("plan.bin", zlib.decompress(encode_plan(computed)) + computed.digest)
    data = (GOLDEN / "plan.bin").read_bytes()
    decoded: Plan = decode_plan(zlib.compress(data[:-8]), TOPOLOGY)
    assert decoded == computed
    assert decoded.digest == data[-8:]
    assert decoded.shares == (
        ((0, 73, 167), (0, 0, 0)),
        ((0, 240, 0), (0, 240, 0)),
        ((0, 0, 240), (0, 0, 240)),
    )
    assert decoded.spare_milli_slots == (0, 8909, 18590)
    assert decoded.lost_zones == (0,)


def test_a_report_is_compatible_with_the_previous_version() -> None:
    """The bytes, the field order and the summary of a report must not change."""
    payload = bytes.fromhex(
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
    assert msgspec.msgpack.encode(report) == payload
    table = ZoneReportTable(TOPOLOGY)
    table.record("n0", 0, payload, 1000.0)
    table.record("n1", 0, payload, 1000.0)
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


def played_controller() -> FailoverController:
    """Return a controller after a run with a lost zone, and with an override of another zone."""
    fleet = {"nodes": 6, "peers": True, "zones": "majority", "servers": 6}
    net = {"zones": 3, "regions": 2, "far_ms": 5.0}
    trouble = [{"kind": "zone_loss", "at_s": 7.0, "for_s": 8.0, "zone": 1}]
    world = Simulation(
        Cell(day(10.0, trouble, fleet=fleet, net=net, arrivals={"per_s": 80.0}), "badgercart", 1)
    )
    world.run()
    assert world.cluster is not None
    controller = next(node.controller for node in world.cluster.nodes.values())
    assert controller is not None
    wall_ms = int(controller.wall_ms())
    payload = msgspec.msgpack.encode(
        (
            controller.topology.digest,
            [OperatorOverride(2, "drain", wall_ms, wall_ms + 60_000, "eva")],
        )
    )
    controller.on_overrides(0.0, "operator c", payload)
    return controller


@pytest.fixture(scope="module")
def controller() -> FailoverController:
    """Return a controller whose state is the same in all tests of this module."""
    return played_controller()


def test_admin_pages_match_their_golden_files(controller: FailoverController) -> None:
    """Operators' tools read the keys and words of the pages."""
    now_ms = controller.member.protocol.now_ms
    assert_matches_golden(
        "page.json", json.dumps(status_page(controller, now_ms), indent=1).encode()
    )
    assert_matches_golden("if.json", json.dumps(loss_forecast(controller), indent=1).encode())


def test_published_register_values_match_their_golden_file(
    controller: FailoverController,
) -> None:
    """The values of all topics of a node must be compatible with the previous version."""
    topics = sorted(topic for topic in controller.member.published if topic.startswith("zones."))
    assert_matches_golden(
        "posts.txt",
        "".join(
            f"{topic} {controller.member.published[topic].hex()}\n" for topic in topics
        ).encode(),
    )


@contextmanager
def serving() -> Iterator[str]:
    """Serve the golden pages over HTTP, and yield the address."""

    class Handler(http.server.BaseHTTPRequestHandler):
        """Responds with the golden page of a path."""

        def do_GET(self) -> None:
            """Send the golden page."""
            name = {"/_zones": "page.json", "/_zones/if": "if.json"}[self.path]
            self.send_response(200)
            self.end_headers()
            self.wfile.write((GOLDEN / name).read_bytes())

        def log_message(self, *_: object) -> None:
            """Do not log requests."""

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def test_commands_print_the_golden_transcript(capsys: pytest.CaptureFixture[str]) -> None:
    """Output, errors and exit statuses of the commands are an interface."""
    transcript = ""
    with serving() as node:
        for arguments in (
            ["show"],
            ["plan"],
            ["why"],
            ["show", "--json"],
            ["if", "z1"],
            ["if", "x"],
        ):
            status = main(["zones", arguments[0], node, *arguments[1:]])
            printed = capsys.readouterr()
            transcript += (
                f"$ {' '.join(arguments)}\n{printed.out}"
                f"{printed.err.replace(node, 'NODE')}status {status}\n"
            )
    assert_matches_golden("commands.txt", transcript.encode())


def test_operator_overrides_match_their_golden_file(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """An override of a command must be understood by nodes of the previous version."""
    updates = []

    def exchange_packet(installation: Any, packet: Any) -> Any:
        updates.extend(packet.updates)
        return packet

    monkeypatch.setattr(commands, "exchange_packet", exchange_packet)
    monkeypatch.setattr(commands.time, "time", lambda: WALL_MS / 1000)
    monkeypatch.chdir(ROOT)
    for arguments in (
        ["drain", "szeged", "--for", "60"],
        ["pin", "kelenfold"],
        ["release", "szeged"],
    ):
        assert (
            main(["zones", arguments[0], "deploy/zones.toml", *arguments[1:], "--by", "eva"]) == 0
        )
    assert main(["zones", "drain", "deploy/zones.toml", "x", "--by", "eva"]) == 2
    lines = [
        f"{topic} {author} {version} {payload.hex()}\n"
        for topic, author, version, payload in updates
    ]
    assert OVERRIDES_TOPIC == "zones.orders"
    printed = capsys.readouterr()
    assert_matches_golden("orders.txt", ("".join(lines) + printed.out + printed.err).encode())
