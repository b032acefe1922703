"""A node whose list comes from a real store; the store's own process; the operators' commands."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from badgercart.app.cli import main as command_line
from badgercart.app.faults import SettingsFileError
from badgercart.app.file import Installation, load_installation
from badgercart.app.site import Application
from badgercart.config import Address
from badgercart.core.clock import now_ms
from badgercart.discovery.freshness import FreshnessState
from badgercart.distribution.client import Client as ReplicaClient
from badgercart.distribution.component import DistributedDiscoveryComponent, build_replica_driver
from badgercart.distribution.entry_file import parse_entries
from badgercart.distribution.messages import Codec, Entry, Propose, ProposeResponse
from badgercart.distribution.replica_driver import ReplicaDriver
from badgercart.distribution.replica_file import load_replica_file
from badgercart.distribution.settings import FollowerSettings, ReplicaEntry, ReplicaSettings
from badgercart.frontends.http.component import HttpSettings
from badgercart.metrics.component import MetricsSettings
from tests.distribution.test_driver import free_ports
from tests.net import WAIT, Client, Peer, config, request, run

ROOT = Path(__file__).parent.parent.parent
GROUP, SECRET, TOPIC = "test", "a secret of the tests", "servers/dispatch"


def store_settings(folder: Path, port: int = 0, **changes: Any) -> ReplicaSettings:
    entry = ReplicaEntry(name="s1", address=("127.0.0.1", port), voter=True)
    values: dict[str, Any] = {
        "heartbeat_ms": 20.0,
        "election_ms": 200.0,
        "beat_ms": 20.0,
        "store": (entry,),
    }
    return ReplicaSettings(
        listen=("127.0.0.1", port),
        name="s1",
        group=GROUP,
        secret=SECRET,
        folder=str(folder),
        **values | changes,
    )


async def started(folder: Path, port: int = 0) -> ReplicaDriver:
    loop = asyncio.get_running_loop()
    driver = build_replica_driver(store_settings(folder, port), "/", loop, now_ms)
    await driver.start()
    return driver


@asynccontextmanager
async def store(folder: Path, port: int = 0) -> AsyncIterator[ReplicaDriver]:
    driver = await started(folder, port)
    try:
        yield driver
    finally:
        driver.close()


def node_settings(*stores: Address, **changes: Any) -> FollowerSettings:
    values: dict[str, Any] = {
        "group": GROUP, "secret": SECRET, "service": "dispatch", "window_ms": 5.0, "window_most_ms": 20.0,
        "doubtful_after_ms": 200.0, "stale_after_ms": 600.0,
    }  # fmt: skip
    return FollowerSettings(stores=stores, **values | changes)


class Node:
    """A running site and what it believes."""

    def __init__(self, site: Application) -> None:
        self.site, self.http = site, site.components["http"].frontend  # type: ignore[attr-defined]
        part = site.components["distribution"]
        assert isinstance(part, DistributedDiscoveryComponent)
        self.part = part

    def listed(self) -> dict[str, str]:
        return {
            m.name: m.entry.state.name.lower() for m in self.site.endpoint_table.listed.values()
        }

    async def until(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(WAIT):
            while not condition():
                await asyncio.sleep(0.002)

    async def lists(self, **wanted: str) -> None:
        try:
            await self.until(lambda: self.listed() == wanted)
        except TimeoutError:
            raise AssertionError(f"{self.listed()} is not {wanted}") from None

    async def state(self, state: FreshnessState) -> None:
        await self.until(lambda: self.part.state is state)

    async def get(self, data: bytes) -> tuple[int, bytes]:
        client = Client(*await asyncio.open_connection(*self.http.listener.address))
        status, _, body = await client.ask(data)
        client.writer.close()
        return status, body

    async def ask(self) -> int:
        return (await self.get(request()))[0]

    async def health(self) -> int:
        return (await self.get(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0]


@asynccontextmanager
async def node(*stores: Address, **changes: Any) -> AsyncIterator[Node]:
    parts = {
        "http": HttpSettings(listen=("127.0.0.1", 0)),
        "distribution": node_settings(*stores, **changes),
    }
    site = Application(Installation(config(1), parts), asyncio.get_running_loop())
    await site.start()
    try:
        yield Node(site)
    finally:
        site.close()


def line(name: str, peer: Peer | None = None, state: str = "active") -> dict[str, Any]:
    port = peer.port if peer else 7000 + len(name)
    return {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": state}


async def put(
    driver: ReplicaDriver, *lines: dict[str, Any], topic: str = TOPIC, **others: Any
) -> int:
    """Straight to a store, without the command's own checks."""
    values = {each["instanceId"]: json.dumps(each).encode() for each in lines} | others
    entries = tuple(Entry(key, value) for key, value in values.items())
    async with (
        asyncio.timeout(WAIT),
        ReplicaClient(driver.listen, Codec(GROUP, SECRET.encode())) as caller,
    ):
        caller.write(Propose(1, topic, entries, -1))
        while not isinstance(result := await caller.read(), ProposeResponse):
            pass
    assert not result.error, result
    return result.version


NODE_FILE = """\
[fleet]
zones = ["a"]
[[class]]
name = "find"
aim_ms = 400
deadline_ms = 1000
worth = 2
effect = "safe"
[members.distribution]
group = "test"
secret = "a secret of the tests"
service = "dispatch"
stores = [{stores}]
[fronts.http]
listen = "127.0.0.1:0"
"""


def node_file(folder: Path, *stores: Address) -> str:
    path = folder / "node.toml"
    path.write_text(NODE_FILE.format(stores=", ".join(f'"{host}:{port}"' for host, port in stores)))
    return str(path)


async def command(capsys: pytest.CaptureFixture[str], *words: str) -> tuple[int, str, str]:
    status = await asyncio.to_thread(command_line, ["distribution", *words])
    result = capsys.readouterr()
    return status, result.out, result.err


# The node.


def test_the_list_is_followed_and_a_drain_that_is_put_reaches_the_policy(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        async with store(tmp_path / "s") as s, node(s.listen) as n:
            assert await n.health() == 503 and await n.ask() == 503  # nothing is known yet
            await n.until(lambda: n.part.follower.topics.unknown)
            first, second = await Peer().start(), await Peer().start()
            path, lines = node_file(tmp_path, s.listen), tmp_path / "lines.json"
            lines.write_text(json.dumps([line("a", first)]))
            result = await command(capsys, "put", path, TOPIC, "--file", str(lines))
            assert result == (0, f"{TOPIC}: in force as number 1\n", "")
            await n.lists(a="ready")
            await n.state(FreshnessState.FRESH)
            assert await n.health() == 200 and await n.ask() == 200 and first.requests.qsize() == 1
            lines.write_text(json.dumps([line("a", first, "leaving"), line("b", second)]))
            status, _, _ = await command(
                capsys, "put", path, TOPIC, "--file", str(lines), "--expected", "1"
            )
            assert status == 0
            await n.lists(a="draining", b="ready")  # both or neither: one change
            for _ in range(20):
                assert await n.ask() == 200
            assert first.requests.qsize() == 1 and second.requests.qsize() == 20
            lines.write_text('{"a": null}')
            assert (await command(capsys, "put", path, TOPIC, "--file", str(lines)))[0] == 0
            await n.lists(b="ready")
            assert n.site.endpoint_table.version == 3 and n.part.follower.topics.change_count == 3

    run(test())


@pytest.mark.parametrize("when_stale", ["refuse", "go-on"])
def test_a_node_that_lost_its_store_goes_on_and_says_how_old_its_list_is(
    tmp_path: Path, when_stale: str, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)

    async def test() -> None:
        peer = await Peer().start()
        s = await started(tmp_path / "s")
        async with node(s.listen, when_stale=when_stale) as n:
            await put(s, line("a", peer), line("b", peer))
            await n.lists(a="ready", b="ready")
            await n.state(FreshnessState.FRESH)
            s.close()
            await n.until(lambda: n.part.follower.age_ms(now_ms()) > 100)
            assert n.listed() == {"a": "ready", "b": "ready"} and await n.ask() == 200
            ages = [n.part.follower.age_ms(now_ms())]
            await n.state(FreshnessState.DOUBTFUL)
            assert await n.ask() == 200
            await n.state(FreshnessState.STALE)
            assert n.part.follower.age_ms(now_ms()) > ages[0] and n.listed() == {
                "a": "ready",
                "b": "ready",
            }
            assert await n.ask() == (503 if when_stale == "refuse" else 200)
            assert n.site.endpoint_table.suspended is (when_stale == "refuse")
            s = await started(tmp_path / "s", s.listen[1])
            await put(s, line("b", peer, "leaving"))
            await n.lists(a="ready", b="draining")
            await n.state(FreshnessState.FRESH)
            assert await n.ask() == 200 and n.part.follower.topics.by_name[TOPIC].version == 2
            s.close()

    run(test())
    assert "the server list is stale" in caplog.text and "is left" in caplog.text


def test_a_store_of_another_journal_that_knows_less_is_refused(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with store(tmp_path / "s") as s, store(tmp_path / "other") as other:
            for number in range(3):
                await put(s, line(f"s{number}"))
            await put(other, line("old"))
            async with node(s.listen) as n:
                await n.lists(s0="ready", s1="ready", s2="ready")
                s.close()
                n.part.reload(node_settings(other.listen))
                await n.until(lambda: n.part.follower.faults["behind"] >= 3)
                assert n.listed() == {"s0": "ready", "s1": "ready", "s2": "ready"}
                await n.state(FreshnessState.STALE)
                back = await started(tmp_path / "s")
                n.part.reload(node_settings(other.listen, back.listen))
                await put(back, line("s3"))
                await n.until(lambda: "s3" in n.listed() and n.part.state is FreshnessState.FRESH)
                assert "old" not in n.listed()
                back.close()

    run(test())
    assert "behind: the follower has number 3, this store 1" in caplog.text


BAD_LINES: dict[str, bytes] = {
    "no JSON": b"{",
    "no line": b"[]",
    "no address": b'{"instanceId": "b", "lifecycle": "active"}',
    "bad address": b'{"instanceId": "b", "hostPort": "b", "lifecycle": "active"}',
    "another key": b'{"instanceId": "c", "hostPort": "h:1", "lifecycle": "active"}',
    "unknown lifecycle": b'{"instanceId": "b", "hostPort": "h:1", "lifecycle": "gone"}',
    "no weight": b'{"instanceId": "b", "hostPort": "h:1", "lifecycle": "active", "weight": NaN}',
    "too deep": b"[" * 30_000,
}


@pytest.mark.parametrize("how", BAD_LINES)
def test_a_bad_line_changes_nothing_until_it_is_mended(
    tmp_path: Path, how: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with store(tmp_path / "s") as s, node(s.listen) as n:
            await put(s, line("a"))
            await n.lists(a="ready")
            await n.state(FreshnessState.FRESH)
            await put(s, line("a", state="leaving"), b=BAD_LINES[how])
            await n.until(
                lambda: caplog.text.count("as of 2 can't be used") == 2
            )  # the change, and the whole
            assert n.listed() == {"a": "ready"}  # nothing of it, and not the other line beside it
            await n.state(FreshnessState.DOUBTFUL)  # it is known to be old
            assert n.part.follower.dial_count == 1 and n.part.follower.faults["unusable"] == 1
            await put(s, line("b"))
            await n.lists(a="draining", b="ready")
            await n.state(FreshnessState.FRESH)
            assert n.part.follower.dial_count == 1

    run(test())


def test_a_list_that_the_policy_breaks_over_is_told_again_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with store(tmp_path / "s") as s, node(s.listen) as n:
            await put(s, line("a"))
            await n.lists(a="ready")
            policy = n.site.pipeline.policy
            handle = policy.handle
            broken: list[Any] = []

            def break_once(now: float, event: Any) -> Any:
                if getattr(event, "version", 0) == 2 and not broken:
                    broken.append(event)
                    raise RuntimeError("odd")
                return handle(now, event)

            monkeypatch.setattr(policy, "handle", break_once)
            await put(s, line("b"))
            await n.until(lambda: n.part.follower.topics.change_count == 3)
            assert (
                broken
                and n.listed() == {"a": "ready", "b": "ready"}
                and n.part.follower.dial_count == 1
            )
            await n.state(FreshnessState.FRESH)

    run(test())


def test_new_stores_and_times_are_taken_by_a_reload_and_the_list_stays(tmp_path: Path) -> None:
    async def test() -> None:
        s = await started(tmp_path / "s")
        async with node(s.listen) as n:
            await put(s, line("a"))
            await n.lists(a="ready")
            old = n.part.driver
            s.close()
            moved = await started(tmp_path / "s")
            fresh = node_settings(
                moved.listen, when_stale="go-on", service="other", stale_after_ms=700.0, group="g2"
            )
            known = n.site.installation
            installation = Installation(
                known.config, known.component_settings | {"distribution": fresh}
            )
            assert n.site.reload(installation) == [] and not old.is_open and not old.links
            await put(moved, line("b"))
            await n.lists(a="ready", b="ready")
            assert n.part.topic == TOPIC and n.part.follower.freshness.rule.stale_after_ms == 700
            assert n.part.follower.topics.change_count == 2
            moved.close()
            await n.state(FreshnessState.STALE)
            assert not n.site.endpoint_table.suspended
            again = n.part.driver
            assert (
                n.site.reload(installation) == [] and n.part.driver is again
            )  # nothing has changed

    run(test())


def test_a_store_beside_other_parts_tells_its_own_node_and_is_in_the_figures(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        (port,) = free_ports(1)
        parts = {
            "http": HttpSettings(listen=("127.0.0.1", 0)),
            "metrics": MetricsSettings(listen=("127.0.0.1", 0)),
            "distribution": node_settings(("127.0.0.1", port)),
            "distribution-store": store_settings(Path("store"), port),
        }
        what = Installation(config(1), parts, folder=str(tmp_path))
        site = Application(what, asyncio.get_running_loop())
        await site.start()
        n = Node(site)
        assert (tmp_path / "store" / "snapshot").exists() or any((tmp_path / "store").iterdir())
        driver = site.components["distribution-store"].driver  # type: ignore[attr-defined]
        await put(driver, line("a"))
        await n.lists(a="ready")
        await n.state(FreshnessState.FRESH)
        _, body = await n.get(b"GET /_distribution HTTP/1.1\r\nHost: x\r\n\r\n")
        result = json.loads(body)
        assert (
            result["topics"] == {TOPIC: 1} and result["state"] == "fresh" and result["changes"] == 1
        )
        assert result["store"] == f"127.0.0.1:{port}" and result["age_ms"] < 600
        meters = site.host.metrics.metrics
        figures = {name: meter.values() for name, meter in meters.items() if "distribution" in name}
        assert figures["badgercart_distribution_number"] == {TOPIC: 1.0}
        assert figures["badgercart_distribution_changes"] == {"": 1.0}
        assert figures["badgercart_distribution_dials"][""] >= 1
        assert meters["badgercart_store_leading"].values() == {"": 1.0}
        assert meters["badgercart_store_followers"].values() == {"": 1.0}
        assert 0 <= meters["badgercart_list_age_seconds"].values()[""] < 1
        second = Application(what, asyncio.get_running_loop())
        with pytest.raises(
            Exception, match="distribution-store does not start: .*another process has it"
        ):
            await second.start()
        site.close()

    run(test())


# Commands.


def test_commands_say_what_is_in_force_who_leads_and_why_not(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        async with store(tmp_path / "s") as s:
            path, lines = (
                node_file(tmp_path, ("127.0.0.1", free_ports(1)[0]), s.listen),
                tmp_path / "l.json",
            )
            status, _, err = await command(capsys, "get", path, TOPIC)
            assert status == 1 and f"{TOPIC}: there is no such topic yet" in err
            lines.write_text(json.dumps([line("a"), line("b")]))
            assert (await command(capsys, "put", path, TOPIC, "--file", str(lines)))[0] == 0
            lines.write_text('{"pesti": {"quota_per_s": 46}, "odd": "text"}')
            assert (await command(capsys, "put", path, "settings/tenants", "--file", str(lines)))[
                0
            ] == 0
            status, out, _ = await command(capsys, "get", path, "settings/tenants", "--json")
            entries = {"odd": "text", "pesti": {"quota_per_s": 46}}
            assert status == 0
            assert json.loads(out) == {"topic": "settings/tenants", "number": 1, "entries": entries}
            status, out, _ = await command(capsys, "get", path, TOPIC)
            assert (
                status == 0 and f"{TOPIC}: 2 entries as of number 1" in out and '"hostPort"' in out
            )
            status, out, _ = await command(capsys, "status", path)
            assert (
                status == 0 and "leading" in out and "127.0.0.1" in out
            )  # the other address answers nobody
            status, out, _ = await command(capsys, "status", path, "--json")
            assert [list(each) for each in json.loads(out).values()][0] == ["error"]
            result = json.loads(out)[f"127.0.0.1:{s.listen[1]}"]
            assert (result["name"], result["leader"], result["topics"], result["entries"]) == (
                "s1",
                "s1",
                2,
                4,
            )
            assert result["committed"] == 3 and result["age_ms"] < 5000
            lines.write_text(json.dumps([line("c")]))
            words = ("put", path, TOPIC, "--file", str(lines), "--expected", "0")
            status, _, err = await command(capsys, *words)
            assert (
                status == 1
                and "conflict: number 0 was expected, it is 1; nothing was changed" in err
            )
            assert s.replica.topics[TOPIC].version == 1
            wrong = tmp_path / "wrong.toml"
            wrong.write_text(
                Path(path).read_text().replace("a secret of the tests", "another secret than it")
            )
            status, _, err = await command(capsys, "get", str(wrong), TOPIC)
            assert status == 1 and "its hash is not this group's" in err
            assert s.refused["forged"] == 1
        status, _, err = await command(capsys, "status", path)
        assert status == 1 and "no store that answers leads" in err
        status, _, err = await command(capsys, "put", path, TOPIC, "--file", str(lines))
        assert status == 1 and "no store can do that" in err
        status, _, err = await command(capsys, "get", path, "")
        assert status == 2 and "is no topic" in err

    run(test())


def test_a_put_whose_answer_is_lost_is_not_tried_elsewhere(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        async def cut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(10)  # it has begun to come
            writer.close()

        server = await asyncio.start_server(cut, "127.0.0.1", 0)
        async with store(tmp_path / "s") as s:
            path = node_file(tmp_path, server.sockets[0].getsockname(), s.listen)
            (lines := tmp_path / "l.json").write_text(json.dumps([line("a")]))
            status, _, err = await command(capsys, "put", path, TOPIC, "--file", str(lines))
            assert status == 1 and "it may be in force or not" in err and not s.replica.topics
        server.close()

    run(test())


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("{", "line 1 column 2"),
        ("[]", "neither a list of lines nor"),
        ("{}", "neither a list of lines nor"),
        ("3", "neither a list of lines nor"),
        ("[1]", "no line with an instanceId"),
        ('[{"hostPort": "h:1"}]', "no line with an instanceId"),
        ('[{"instanceId": "a"}]', "a: 'hostPort' is missing"),
        ('[{"instanceId": "a", "hostPort": "h", "lifecycle": "active"}]', "no host:port"),
        (
            '[{"instanceId": "a", "hostPort": "h:1", "lifecycle": "odd"}]',
            "a: 'odd' is missing, or none",
        ),
        (
            '{"b": {"instanceId": "a", "hostPort": "h:1", "lifecycle": "active"}}',
            "b: instanceId is 'a'",
        ),
        ('{"a": {"instanceId": "a", "weight": NaN}}', "NaN is no number"),
        ('[{"instanceId": "a"}, {"instanceId": "a"}]', "stands there twice"),
        ("[" * 30_000, "nested too deeply"),
        ('{"' + "a" * 201 + '": null}', "is no name"),
        (json.dumps({f"k{i}": None for i in range(4097)}), "is over 4096"),
    ],
)
def test_entries_that_no_node_could_use_are_not_put(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, words: str
) -> None:
    path = node_file(tmp_path, ("127.0.0.1", 1))
    (lines := tmp_path / "l.json").write_text(text)
    assert command_line(["distribution", "put", path, TOPIC, "--file", str(lines)]) == 2
    assert words in capsys.readouterr().err


def test_values_of_other_topics_are_any_json() -> None:
    assert parse_entries(b'{"a": 1, "b": null}', "settings/x") == (
        Entry("a", b"1"),
        Entry("b", None),
    )


# The file, and the process of a store alone.

STORE_FILE = """\
[distribution]
name = "s1"
listen = "127.0.0.1:{port}"
group = "test"
secret = "a secret of the tests"
folder = "store"
beat_ms = 20
[[distribution.store]]
name = "s1"
address = "127.0.0.1:{port}"
voter = true
"""


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        (
            'name = "s1"\nlisten',
            'name = "s2"\nlisten',
            "line 2: distribution.name: 's2' is none of the stores",
        ),
        ("voter = true", "voter = false", "distribution.store: has no voter"),
        (
            "beat_ms = 20",
            "election_ms = 200",
            "distribution.election_ms: is not three times heartbeat_ms",
        ),
        ("beat_ms = 20", "beat = 20", "line 7: distribution.beat: is not known here"),
        ("a secret of the tests", "short", "line 5: distribution.secret"),
        ('folder = "store"\n', "", "folder is missing"),
        (
            "voter = true",
            'voter = true\n[[distribution.store]]\nname = "s1"\naddress = "h:1"',
            "stands here twice",
        ),
    ],
)
def test_each_fault_of_a_stores_file_is_named_by_line_and_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], old: str, new: str, words: str
) -> None:
    path = tmp_path / "store.toml"
    text = STORE_FILE.format(port=7401)
    assert old in text
    path.write_text(text.replace(old, new))
    with pytest.raises(SettingsFileError) as caught:
        load_replica_file(str(path))
    assert words in str(caught.value)
    assert command_line(["distribution", "store", str(path)]) == 2
    assert words in capsys.readouterr().err
    path.write_text(NODE_FILE.format(stores='"h:1"') + text.replace(old, new))
    with pytest.raises(SettingsFileError, match=words.rpartition(": ")[2]):
        load_installation(str(path))  # the same in an installation


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ('"h:1"', "", "is an empty list"),
        ('"h:1"', '"h:1", "h:1"', "names an address twice"),
        (
            'service = "dispatch"',
            'service = "dispatch"\ndoubtful_after_ms = 20000',
            "later than stale_after_ms",
        ),
        (
            'service = "dispatch"',
            'service = "dispatch"\nwindow_ms = 40000',
            "longer than window_most_ms",
        ),
        (
            'service = "dispatch"',
            'service = "dispatch"\nwhen_stale = "hope"',
            "none of refuse, go-on",
        ),
    ],
)
def test_each_fault_of_a_nodes_table_is_named(
    tmp_path: Path, old: str, new: str, words: str
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(NODE_FILE.format(stores='"h:1"'))
    load_installation(str(path))
    path.write_text(NODE_FILE.format(stores='"h:1"').replace(old, new))
    with pytest.raises(SettingsFileError, match=words):
        load_installation(str(path))


def test_a_file_without_stores_is_no_file_for_the_commands(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = str(ROOT / "deploy" / "peers.toml")
    assert command_line(["distribution", "status", path]) == 2
    assert "has neither [members.distribution] nor [distribution]" in capsys.readouterr().err
    assert command_line(["distribution", "store", path]) == 2
    assert "an installation is run by `serve`" in capsys.readouterr().err
    example = str(ROOT / "deploy" / "distribution-store.toml")
    assert command_line(["distribution", "store", "--check", example]) == 0


def test_a_process_that_is_a_store_alone_keeps_what_it_said_over_a_kill(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def launch(path: Path) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "badgercart", "distribution", "store", str(path),
            stderr=asyncio.subprocess.PIPE, cwd=ROOT,
        )  # fmt: skip
        assert process.stderr is not None
        async with asyncio.timeout(6 * WAIT):
            while b"distribution.listening" not in (result := await process.stderr.readline()):
                assert result, "it ended"
        return process

    async def test() -> None:
        (port,) = free_ports(1)
        path, lines = tmp_path / "store.toml", tmp_path / "l.json"
        path.write_text(STORE_FILE.format(port=port))
        lines.write_text(json.dumps([line("a")]))
        process = await launch(path)
        async with node(
            ("127.0.0.1", port), stale_after_ms=60_000.0, doubtful_after_ms=30_000.0
        ) as n:
            assert (await command(capsys, "put", str(path), TOPIC, "--file", str(lines)))[0] == 0
            await n.lists(a="ready")
            second = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "badgercart", "distribution", "store", str(path),
                stderr=asyncio.subprocess.PIPE, cwd=ROOT,
            )  # fmt: skip
            _, err = await second.communicate()
            assert second.returncode == 2 and b"another process has it" in err
            process.kill()
            await process.wait()
            process = await launch(path)
            status, out, _ = await command(capsys, "get", str(path), TOPIC, "--json")
            assert status == 0 and json.loads(out)["entries"] == {"a": line("a")}
            lines.write_text(json.dumps([line("a", state="leaving")]))
            assert (await command(capsys, "put", str(path), TOPIC, "--file", str(lines)))[0] == 0
            await n.lists(a="draining")
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(test())


def test_the_platforms_node_imports_nothing_of_it() -> None:
    code = (
        "import sys, badgercart.__main__, badgercart.node; "
        "print([m for m in sys.modules if m.startswith('badgercart.distribution') or m == 'msgspec'])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_an_installation_without_it_imports_no_library_of_it(tmp_path: Path) -> None:
    code = (
        "import sys; from badgercart.app.file import load_installation; "
        f"load_installation({str(ROOT / 'deploy' / 'etcd.toml')!r}); "
        "print(sorted(m for m in sys.modules if m.startswith('badgercart.distribution.')))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == str(
        ["badgercart.distribution.component", "badgercart.distribution.settings"]
    )


def test_an_age_that_was_never_known_is_no_number_on_the_page(tmp_path: Path) -> None:
    async def test() -> None:
        async with node(("127.0.0.1", free_ports(1)[0])) as n:
            _, body = await n.get(b"GET /_distribution HTTP/1.1\r\nHost: x\r\n\r\n")
            result = json.loads(body)
            assert (
                result["age_ms"] is None and result["store"] is None and result["state"] == "stale"
            )
            assert n.part.follower.age_ms(now_ms()) == math.inf and n.site.endpoint_table.suspended

    run(test())
