"""What zones tell each other and people, byte for byte as it was written before.

Posts as they travel, a plan packed, the pages of a node, and what the commands make of them. All
come from one council, one claim and one day of the lab's model under fixed clocks and seeds.
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
from badgercart.zones.failover_controller import ORDERS, FailoverController, OperatorOverride
from badgercart.zones.failure_detector import Verdict
from badgercart.zones.plan_consensus import ASK, ROUND, VOTE, InForce, PlanConsensus, RegisterUpdate
from badgercart.zones.traffic_plan import Limits, Plan, Situation, compute_plan, packed, unpacked
from badgercart.zones.zone_reports import Evidence, ZoneReport
from lab.model import World
from lab.settings import Cell
from tests.app.test_file import ROOT
from tests.lab.support import day
from tests.zones.support import MAP, TERMS, plan

GOLDEN = Path(__file__).parent / "golden"
WALL = 1_700_000_000_000
NODE = "n1"


def held_to(name: str, data: bytes) -> None:
    assert data == (GOLDEN / name).read_bytes()


def written(posts: list[RegisterUpdate]) -> bytes:
    """Topics, bytes and addressees, a line each."""
    return "".join(f"{post.topic} {post.said.hex()} {post.to or '*'}\n" for post in posts).encode()


def read() -> list[tuple[str, bytes, str]]:
    lines = (GOLDEN / "council.txt").read_text().splitlines()
    found = [line.split(" ") for line in lines]
    return [(topic, bytes.fromhex(said), to) for topic, said, to in found]


def council(name: str, boot: int) -> PlanConsensus:
    made = PlanConsensus(name, boot, TERMS, lambda data: unpacked(data, MAP), lambda: float(WALL))
    made.tick(0.0)
    return made


def conversation() -> list[RegisterUpdate]:
    """A proposal, a node that lost a piece of it and asks, its vote, the commit."""
    first, other = council("n0", 7), council("n1", 8)
    posts = [
        effect for effect in first.propose(5000.0, plan(1), 3) if isinstance(effect, RegisterUpdate)
    ]
    (opened,) = [post for post in posts if post.topic == ROUND]
    for _ in range(2):
        asked = other.hear(5010.0, "n0", opened.topic, opened.said)
    posts += [effect for effect in asked if isinstance(effect, RegisterUpdate)]
    posts += [
        e
        for e in first.hear(5020.0, "n1", posts[-1].topic, posts[-1].said)
        if isinstance(e, RegisterUpdate)
    ]
    for post in posts[:-1]:
        answers = other.hear(5030.0, "n0", post.topic, post.said) if post.topic != ASK else []
        posts += [effect for effect in answers if isinstance(effect, RegisterUpdate)][:1]
    (vote,) = [post for post in posts if post.topic == VOTE]
    posts += [e for e in first.hear(5040.0, "n1", VOTE, vote.said) if isinstance(e, RegisterUpdate)]
    return posts


def test_a_council_tells_others_the_same_bytes() -> None:
    held_to("council.txt", written(conversation()))


def test_a_council_reads_what_was_told_before() -> None:
    other = council("n1", 8)
    effects: list[Any] = []
    for topic, said, to in read():
        if to in ("*", "n1"):
            effects += other.hear(5100.0, "n0", topic, said)
    (in_force,) = [effect for effect in effects if isinstance(effect, InForce)]
    assert in_force.epoch == 6_963_200_000_001_769 and in_force.proposer == "n0"
    assert in_force.plan == plan(1) and in_force.plan.why == "plan 1"
    assert other.refused == 0


def test_a_plan_is_packed_to_the_same_bytes_and_read_back() -> None:
    demand = ((30.0, 12.0), (9.0, 0.0), (1.0, 4.5))
    situation = Situation((0.0, 30.0, 50.0), (0.0, 40.0, 50.0), demand, frozenset({(1, 2)}))
    made = compute_plan(MAP, situation, (3.0,), Limits(), "a is dark, say n0 n1")
    held_to("plan.bin", zlib.decompress(packed(made)) + made.digest)
    data = (GOLDEN / "plan.bin").read_bytes()
    told: Plan = unpacked(zlib.compress(data[:-8]), MAP)
    assert told == made and told.digest == data[-8:]
    assert told.parts == (
        ((0, 73, 167), (0, 0, 0)),
        ((0, 240, 0), (0, 240, 0)),
        ((0, 0, 240), (0, 0, 240)),
    )
    assert told.room == (0, 8909, 18590) and told.lost == (0,)


def test_a_claim_is_read_as_it_was() -> None:
    said = bytes.fromhex(
        "95"
        + "cf0000"
        + f"{MAP.digest:012x}"
        + "93010200"
        + "9364cd012c00"
        + "9364325a"
        + "92cd05dc00"
    )
    claim = ZoneReport(
        MAP.digest,
        [Verdict.FINE, Verdict.DARK, Verdict.UNKNOWN],
        [100, 300, 0],
        [100, 50, 90],
        [1500, 0],
    )
    assert msgspec.msgpack.encode(claim) == said
    evidence = Evidence(MAP)
    evidence.take("n0", 0, said, 1000.0)
    evidence.take("n1", 0, said, 1000.0)
    seen = evidence.seen(1000.0, 500.0, (10.0, 10.0, 10.0))
    assert (set(seen.down), set(seen.fine), seen.slow, seen.good) == (
        {1},
        {0},
        (1.0, 3.0, 1.0),
        (1.0, 0.5, 1.0),
    )
    assert (
        seen.demand == ((3.0, 0.0), (0.0, 0.0), (0.0, 0.0)) and seen.why == "b is dark, say n0 n1"
    )


def played() -> FailoverController:
    """A node of a day on which a zone is lost, with an operator's word about another."""
    fleet = {"nodes": 6, "peers": True, "zones": "majority", "servers": 6}
    net = {"zones": 3, "regions": 2, "far_ms": 5.0}
    trouble = [{"kind": "zone_loss", "at_s": 7.0, "for_s": 8.0, "zone": 1}]
    world = World(
        Cell(day(10.0, trouble, fleet=fleet, net=net, arrivals={"per_s": 80.0}), "badgercart", 1)
    )
    world.play()
    assert world.companions is not None
    keeper = [one.keeper for one in world.companions.there.values()][0]
    assert keeper is not None
    now = int(keeper.wall())
    word = msgspec.msgpack.encode(
        (keeper.geography.digest, [OperatorOverride(2, "drain", now, now + 60_000, "eva")])
    )
    keeper.on_orders(0.0, "operator c", word)
    return keeper


@pytest.fixture(scope="module")
def keeper() -> FailoverController:
    return played()


def test_the_pages_of_a_node_are_as_they_were(keeper: FailoverController) -> None:
    now = keeper.member.machine.now
    held_to("page.json", json.dumps(keeper.page(now), indent=1).encode())
    held_to("if.json", json.dumps(keeper.if_gone(), indent=1).encode())


def test_what_a_node_says_of_its_zones_travels_in_the_same_bytes(
    keeper: FailoverController,
) -> None:
    topics = sorted(topic for topic in keeper.member.out if topic.startswith("zones."))
    held_to(
        "posts.txt",
        "".join(f"{topic} {keeper.member.out[topic].hex()}\n" for topic in topics).encode(),
    )


@contextmanager
def serving() -> Iterator[str]:
    """An HTTP front that has the golden pages."""

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


def test_an_operators_word_travels_in_the_same_bytes(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    sent = []

    def exchange(site: Any, packet: Any) -> Any:
        sent.extend(packet.posts)
        return packet

    monkeypatch.setattr(commands, "exchange", exchange)
    monkeypatch.setattr(commands.time, "time", lambda: WALL / 1000)
    monkeypatch.chdir(ROOT)
    for words in (["drain", "szeged", "--for", "60"], ["pin", "kelenfold"], ["release", "szeged"]):
        assert main(["zones", words[0], "deploy/zones.toml", *words[1:], "--by", "eva"]) == 0
    assert main(["zones", "drain", "deploy/zones.toml", "x", "--by", "eva"]) == 2
    lines = [f"{topic} {author} {number} {said.hex()}\n" for topic, author, number, said in sent]
    assert ORDERS == "zones.orders"
    told = capsys.readouterr()
    held_to("orders.txt", ("".join(lines) + told.out + told.err).encode())
